//! Time between tokens at the client, through one entry process and straight
//! from the engines: 300 streams at once.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use tackhollow::{
    caller::Caller,
    edge::{http_client::HttpClient, sse::SseReader},
};

use crate::{
    measure::memory_mb,
    support::{
        cluster::{CUSTOMER_KEY, Cluster, Plan},
        drafts::draft,
    },
};

/// Streams at once.
const STREAMS: usize = 300;
/// Engines that they are spread over.
const ENGINES: usize = 8;
/// Tokens of a stream.
const TOKENS: u32 = 300;
/// Silence after which a stream counts as failed.
const SILENCE: Duration = Duration::from_secs(10);

/// Prints the gaps of both ways.
pub fn gaps() {
    let engine_args = ["--slots", "100"].map(str::to_owned).to_vec();
    let limits = "entries_ttl_ms = 500\nin_progress = 1000\n".to_owned();
    let plan = Plan {
        data_centres: 1,
        entries_each: 1,
        engines_each: ENGINES,
        engine_args,
        limits,
        ..Plan::default()
    };
    let cluster = Cluster::start(plan);
    crate::roles::raise_limits(&cluster);
    let engines: Vec<SocketAddr> = cluster.engines.iter().map(|e| e.proc.http()).collect();
    let straight = straight(&engines);
    let (through, memory) = through(&cluster);
    println!("\n### Time between tokens, {STREAMS} streams on one entry process\n");
    println!("| | 50th (ms) | 95th (ms) | 99th (ms) | largest (ms) |");
    println!("| --- | ---: | ---: | ---: | ---: |");
    print_row("straight from the engines", straight);
    print_row("through the entry process", through);
    println!("\nMemory of the entry process with {STREAMS} streams: {memory:.1} MB.");
}

fn print_row(name: &str, mut gaps: Vec<Duration>) {
    gaps.sort_unstable();
    let at = |share: f64| {
        let index = ((gaps.len() as f64 * share).ceil() as usize).max(1) - 1;
        gaps[index].as_secs_f64() * 1000.0
    };
    println!("| {name} | {:.2} | {:.2} | {:.2} | {:.2} |", at(0.5), at(0.95), at(0.99), at(1.0));
}

fn through(cluster: &Cluster) -> (Vec<Duration>, f64) {
    let caller = Caller::new(cluster.addresses(), CUSTOMER_KEY);
    let entry = cluster.entries[0].proc.id();
    thread::scope(|scope| {
        let ask = |i: usize| {
            let caller = &caller;
            scope.spawn(move || {
                let key = caller.new_key().expect("an entry host");
                caller.chat(&draft(&format!("gap {i}"), TOKENS), &key).expect("a verdict").gaps
            })
        };
        let streams: Vec<_> = (0..STREAMS).map(ask).collect();
        thread::sleep(Duration::from_secs(2));
        let memory = memory_mb(entry);
        let gaps = streams.into_iter().flat_map(|s| s.join().expect("a caller")).collect();
        (gaps, memory)
    })
}

fn straight(engines: &[SocketAddr]) -> Vec<Duration> {
    thread::scope(|scope| {
        let ask = |i: usize| scope.spawn(move || one_straight(engines[i % engines.len()], i));
        let streams: Vec<_> = (0..STREAMS).map(ask).collect();
        streams.into_iter().flat_map(|s| s.join().expect("a caller")).collect()
    })
}

fn one_straight(engine: SocketAddr, i: usize) -> Vec<Duration> {
    let body = json!({
        "model": "draft-70b", "max_tokens": TOKENS, "request_id": format!("straight-{i}"),
        "messages": [{ "role": "user", "content": format!("straight {i}") }],
    });
    let url = format!("http://{engine}/v1/chat/completions");
    let answer = HttpClient::fresh(SILENCE)
        .stream("POST", &url, &[], body.to_string().as_bytes())
        .expect("an answer");
    let mut events = SseReader::new(answer.reader);
    let mut gaps = Vec::new();
    let mut last = None;
    while let Ok(Some(event)) = events.next_event() {
        if !event.data.contains("content") {
            continue;
        }
        let now = Instant::now();
        gaps.extend(last.map(|at| now.duration_since(at)));
        last = Some(now);
    }
    gaps
}
