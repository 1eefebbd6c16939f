//! Requests that nobody waits on: accepted once they are recorded, finished
//! whatever happens to the entry processes.

mod support;

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use serde_json::{Value, json};
use support::{
    cluster::{CUSTOMER_KEY, Cluster, OTHER_KEY, Plan},
    drafts::expected,
    http, wait_until,
};
use tackhollow::{
    edge::http_client::HttpClient,
    entry::{HolderState, Orphans},
};

/// Hands a draft in. Returns the status and where to ask for the job.
fn hand_in(addr: std::net::SocketAddr, prompt: &str, tokens: u32) -> (u16, String) {
    let authorization = format!("Bearer {CUSTOMER_KEY}");
    let headers = [
        ("authorization", authorization.as_str()),
        ("content-type", "application/json"),
        ("prefer", "respond-async"),
    ];
    let body = json!({
        "model": "draft-70b", "max_tokens": tokens, "class": "draft",
        "messages": [{ "role": "user", "content": prompt }],
    });
    let url = format!("http://{addr}/v1/chat/completions");
    let answer = HttpClient::fresh(Duration::from_secs(20))
        .call("POST", &url, &headers, body.to_string().as_bytes())
        .expect("an answer");
    let body: Value = serde_json::from_slice(&answer.body).expect("JSON");
    (answer.status, body["url"].as_str().unwrap_or_default().to_owned())
}

fn job(key: &str, addr: std::net::SocketAddr, url: &str) -> (u16, Value) {
    let answer = http::call_as(key, "GET", addr, url, &Value::Null);
    (answer.status, serde_json::from_slice(&answer.body).unwrap_or_default())
}

fn wait_result(addr: std::net::SocketAddr, id: &str, prompt: &str, tokens: u32) {
    wait_until("the job has a result", || job(CUSTOMER_KEY, addr, id).0 == 200);
    let text = job(CUSTOMER_KEY, addr, id).1["choices"][0]["message"]["content"].clone();
    assert_eq!(text, json!(expected(prompt, tokens)), "{id}");
}

#[test]
fn drafts_survive_the_loss_of_every_entry_process() {
    let mut cluster = Cluster::start(Plan::default());
    let mut jobs = Vec::new();
    for i in 0..6 {
        let prompt = format!("season {i}");
        let (status, id) = hand_in(cluster.entries[i % 4].proc.http(), &prompt, 400);
        assert_eq!(status, 202);
        jobs.push((id, prompt));
    }
    wait_until("every draft runs", || cluster.engine_runs() >= jobs.len());
    cluster.entries.iter_mut().for_each(|e| e.proc.kill());
    for entry in 0..cluster.entries.len() {
        cluster.restart_entry(entry);
    }
    cluster.wait_members();
    for (id, prompt) in &jobs {
        wait_result(cluster.entries[2].proc.http(), id, prompt, 400);
    }
    let unknown = job(CUSTOMER_KEY, cluster.entries[1].proc.http(), "/v1/jobs/none");
    assert_eq!(unknown.0, 404);
    let stranger = job(OTHER_KEY, cluster.entries[1].proc.http(), &jobs[0].0);
    assert_eq!(stranger.0, 404);
}

#[test]
fn many_drafts_share_a_write_and_an_outage_accepts_none() {
    let cluster = Cluster::start(Plan { entries_each: 1, data_centres: 1, ..Plan::default() });
    let addr = cluster.entries[0].proc.http();
    let writes = || {
        let counters = http::get_json(cluster.platform.http(), "/control/counters");
        counters["object_writes"].as_u64().expect("a count")
    };
    let before = writes();
    let ids: Vec<String> = std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..40).map(|i| scope.spawn(move || hand_in(addr, &format!("job {i}"), 5))).collect();
        threads.into_iter().map(|t| t.join().expect("a caller").1).collect()
    });
    assert_eq!(ids.iter().collect::<HashSet<_>>().len(), 40);
    for (i, id) in ids.iter().enumerate() {
        wait_result(addr, id, &format!("job {i}"), 5);
    }
    let batches = writes() - before - 40;
    assert!(batches < 20, "{batches} writes beside the results of 40 jobs");

    cluster.platform_faults(json!({ "down": "refuse" }));
    let (status, _) = hand_in(addr, "during the outage", 5);
    assert_eq!(status, 503);
    cluster.platform_faults(json!({ "lose_answers": 0 }));
    let (status, id) = hand_in(addr, "after the outage", 5);
    assert_eq!(status, 202);
    wait_result(addr, &id, "after the outage", 5);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// A batch is claimed only where its holder was seen gone at every look
    /// over the whole time asked for.
    #[test]
    fn a_living_holder_is_never_robbed(looks in prop::collection::vec((0u64..6_000, any::<bool>()), 1..60)) {
        let mut orphans = Orphans::default();
        let mut now = Instant::now();
        let mut gone_since = None;
        for (pause, gone) in looks {
            now += Duration::from_millis(pause);
            let state = if gone { HolderState::Gone } else { HolderState::Alive };
            let due = orphans.observe("jobs/", &[("jobs/batch".to_owned(), state)], now);
            gone_since = if gone { gone_since.or(Some(now)) } else { None };
            let long = gone_since.is_some_and(|at| now.duration_since(at) >= Duration::from_secs(10));
            prop_assert_eq!(!due.is_empty(), long);
        }
    }
}
