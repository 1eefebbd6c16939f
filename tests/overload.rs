//! Overload: a customer's flood is refused at once and harms no other, and
//! retries do not multiply it.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
};

use serde_json::{Value, json};
use support::{
    cluster::{Cluster, OTHER_KEY, Plan},
    drafts::{all_whole, start_drafts},
    http, wait_until,
};

/// Callers of the flood; more than the customer may have in progress.
const FLOOD: usize = 260;

/// Returns the sum of a metric's series over the entry processes.
fn metric(cluster: &Cluster, name: &str) -> f64 {
    let of = |addr| {
        let body = http::call("GET", addr, "/metrics", &Value::Null).body;
        let text = String::from_utf8_lossy(&body).into_owned();
        let lines = text.lines().filter(|l| l.split(['{', ' ']).next() == Some(name));
        lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum::<f64>()
    };
    cluster.addresses().into_iter().map(of).sum()
}

#[test]
fn a_flood_harms_no_other_customer() {
    let engine_args = ["--slots", "10"].map(str::to_owned).to_vec();
    let plan =
        Plan { data_centres: 1, engines_each: 2, engine_args, engine_slots: 10, ..Plan::default() };
    let cluster = Cluster::start(plan);
    let stop = Arc::new(AtomicBool::new(false));
    let refused = Arc::new(AtomicUsize::new(0));
    let flood: Vec<_> = (0..FLOOD)
        .map(|i| {
            let addr = cluster.addresses()[i % 2];
            let (stop, refused) = (stop.clone(), refused.clone());
            thread::spawn(move || flood(addr, i, &stop, &refused))
        })
        .collect();
    wait_until("the flood is refused at the door", || refused.load(Ordering::Relaxed) > 20);
    let caller = Arc::new(cluster.caller());
    all_whole("beside a flood", start_drafts(&caller, "beside a flood", 6, 40));
    stop.store(true, Ordering::Relaxed);
    flood.into_iter().for_each(|f| f.join().expect("a caller of the flood"));
    // Retries have not multiplied the load.
    let attempts = metric(&cluster, "tackhollow_attempts_total");
    let retries = metric(&cluster, "tackhollow_retries_total");
    assert!(retries <= attempts * 0.1, "{retries} retries in {attempts} attempts");
    // And the flood's own customer is served again.
    let again = Arc::new(tackhollow::caller::Caller::new(cluster.addresses(), OTHER_KEY));
    all_whole("after the flood", start_drafts(&again, "after the flood", 3, 10));
}

/// Asks again and again until stopped, as fast as answers come.
fn flood(addr: std::net::SocketAddr, i: usize, stop: &AtomicBool, refused: &AtomicUsize) {
    let ask = json!({
        "model": "chat-8b", "max_tokens": 60,
        "messages": [{ "role": "user", "content": format!("flood {i}") }],
    });
    while !stop.load(Ordering::Relaxed) {
        let answer = http::call_as(OTHER_KEY, "POST", addr, "/v1/chat/completions", &ask);
        match answer.status {
            200 => {}
            429 | 503 => {
                let body: Value = serde_json::from_slice(&answer.body).expect("JSON");
                assert_eq!(body["outcome"], json!("not_run"), "{body}");
                assert!(body["retry_after_ms"].as_u64() > Some(0), "{body}");
                if answer.status == 429 {
                    refused.fetch_add(1, Ordering::Relaxed);
                }
            }
            other => panic!("status {other}"),
        }
    }
}
