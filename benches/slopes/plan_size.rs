//! One data centre at the size of the plan: 79 entry processes, 632 engines,
//! 18 other data centres as recorded summaries, and a slow platform.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tackhollow::config::Item;

use crate::{
    measure::{buckets, kernel_traffic, largest, mean, watch_during},
    roles::send_summaries,
    support::{
        cluster::{Cluster, Plan, apply},
        http,
        proc::Proc,
    },
};

/// Entry processes of a data centre: 1,500 nodes over 19 data centres.
const ENTRIES: usize = 79;
/// Engines of a data centre: 12,000 over 19.
const ENGINES: usize = 632;
/// The other data centres, as recorded summaries.
const OTHER_DATA_CENTRES: usize = 18;
/// Engine processes that stand for them.
const ENGINE_PROCESSES: usize = 4;
/// Time that each call of the slow platform takes, in milliseconds.
const SLOW_MS: u64 = 300;
/// Changes accepted in the run: at the plan's rate, 70,000 a day.
const CHANGES: usize = 40;
/// Between changes: 70,000 a day.
const CHANGE_EVERY: Duration = Duration::from_millis(1_234);

/// Measures the data centre at rest, and with changes at the plan's rate.
pub fn data_centre() {
    let plan = Plan {
        data_centres: 1,
        entries_each: ENTRIES,
        engines_each: ENGINE_PROCESSES,
        services_each: 1,
        extra_hosts: ENGINES - ENGINE_PROCESSES,
        limits: "entries_ttl_ms = 500\n".to_owned(),
        ..Plan::default()
    };
    let began = Instant::now();
    let cluster = Cluster::start(plan);
    let up = began.elapsed();
    let gossip = cluster.entries.iter().map(|e| e.proc.address("gossip")).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let summaries = send_summaries(gossip, OTHER_DATA_CENTRES, stop.clone());
    thread::sleep(Duration::from_secs(25));
    cluster.platform_faults(json!({ "slow_ms": SLOW_MS }));
    let procs: Vec<&Proc> = cluster.entries.iter().map(|e| &e.proc).collect();
    println!("\n### A data centre at the size of the plan\n");
    println!(
        "{ENTRIES} entry processes, {ENGINES} engines, {OTHER_DATA_CENTRES} other data centres as summaries, platform {SLOW_MS} ms slow; "
    );
    println!(
        "all members, upstreams and the configuration there {:.1} s after the first start.\n",
        up.as_secs_f64()
    );
    println!(
        "| | processor (% of a core) | memory (MB) | membership (B/s) | membership (messages/s) | between processes (B/s) | upstream events (B/s) |"
    );
    println!("| --- | ---: | ---: | ---: | ---: | ---: | ---: |");
    let calls = platform_calls(&cluster);
    row("at rest", &procs, || thread::sleep(Duration::from_secs(30)));
    let rest_calls = platform_calls(&cluster);
    row("with 70,000 changes a day", &procs, || change(&cluster));
    thread::sleep(Duration::from_secs(10));
    print_spread(&cluster);
    print_platform(&calls, &rest_calls);
    stop.store(true, Ordering::Relaxed);
    summaries.join().expect("the sender's thread");
}

/// Prints the mean and the largest figures while `during` runs.
fn row(name: &str, procs: &[&Proc], during: impl FnOnce()) {
    let (datagrams, bytes) = kernel_traffic();
    let began = Instant::now();
    let uses = watch_during(procs, during);
    let window = began.elapsed();
    let after = kernel_traffic();
    for (which, used) in [("mean", mean(&uses)), ("largest", largest(&uses))] {
        println!(
            "| {name}, {which} | {:.2} | {:.1} | {:.0} | {:.2} | {:.0} | {:.0} |",
            used.cpu_percent, used.memory_mb, used.gossip, used.messages, used.peer, used.events
        );
    }
    let per = |total: f64| total / window.as_secs_f64() / ENTRIES as f64;
    println!(
        "| {name}, kernel: {:.2} datagrams/s and {:.0} B/s over loopback, a process | | | | | | |",
        per(after.0 - datagrams),
        per(after.1 - bytes)
    );
}

/// Accepts changes at the plan's rate, each at another entry host.
fn change(cluster: &Cluster) {
    for i in 0..CHANGES {
        let began = Instant::now();
        let deployment = json!({
            "customer": format!("changed-{}", i % 10), "template": "rostering",
            "key_hashes": [tackhollow::config::key_hash(&format!("key {}", i % 10))],
            "parameters": { "max_in_progress": 100 + i },
        });
        let item = Item::Deployment(serde_json::from_value(deployment).expect("a deployment"));
        let answer = apply(cluster.entries[i % ENTRIES].proc.http(), &item, None);
        assert_eq!(answer.0, 200, "{}", answer.1);
        thread::sleep(CHANGE_EVERY.saturating_sub(began.elapsed()));
    }
}

/// Prints how long changes took from acceptance to being in force.
fn print_spread(cluster: &Cluster) {
    let mut sums: BTreeMap<String, (f64, f64)> = BTreeMap::new();
    let mut newest = 0;
    for (i, entry) in cluster.entries.iter().enumerate() {
        for (bound, count) in buckets(entry.proc.http(), "tackhollow_config_delay_seconds") {
            let sum = sums.entry(format!("{bound:020.6}")).or_insert((bound, 0.0));
            sum.1 += count;
        }
        newest = newest.max(cluster.status(i)["config_version"].as_u64().unwrap_or_default());
    }
    let behind = (0..ENTRIES)
        .filter(|i| cluster.status(*i)["config_version"].as_u64() != Some(newest))
        .count();
    let mut ordered: Vec<(f64, f64)> = sums.into_values().collect();
    ordered.sort_by(|a, b| a.0.total_cmp(&b.0));
    let total = ordered.last().map_or(0.0, |b| b.1);
    println!(
        "\nFrom acceptance to in force, {total} times over {ENTRIES} processes ({behind} behind 10 s after the last change):\n"
    );
    for share in [0.5, 0.95, 0.99, 1.0] {
        let bound = ordered.iter().find(|(_, n)| *n >= share * total).map_or(f64::NAN, |b| b.0);
        println!("- {:.0} in 100 within {bound:.3} s", share * 100.0);
    }
}

fn platform_calls(cluster: &Cluster) -> (Instant, Value) {
    (Instant::now(), http::get_json(cluster.platform.http(), "/control/counters"))
}

fn print_platform(before: &(Instant, Value), after: &(Instant, Value)) {
    let seconds = after.0.duration_since(before.0).as_secs_f64();
    let rate = |name: &str| {
        let value = |v: &Value| v[name].as_f64().unwrap_or_default();
        (value(&after.1) - value(&before.1)) / seconds
    };
    println!(
        "\nPlatform at rest: {:.1} table reads/s, {:.1} table writes/s, {:.1} cloud reads/s for {ENTRIES} processes.",
        rate("table_reads"),
        rate("table_writes"),
        rate("cloud_reads")
    );
}
