//! Promise: a graceful shutdown cuts off no request in progress.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use nix::sys::signal::Signal;
use serde_json::json;
use support::{
    cluster::{CUSTOMER_KEY, Cluster, LEAVE_BOUND, Plan},
    drafts::{all_whole, draft, expected, start_drafts},
    wait_until,
};
use tackhollow::caller::{Answer, Caller, Verdict};

/// What else is wrong during the shutdown.
struct Case {
    name: &'static str,
    platform: serde_json::Value,
}

#[test]
fn an_entry_process_under_load() {
    let cases = [
        Case { name: "all well", platform: json!({}) },
        Case { name: "platform away", platform: json!({ "down": "hang", "cloud_down": true }) },
    ];
    for case in cases {
        let limits = "entries_ttl_ms = 2000\n".to_owned();
        let mut cluster = Cluster::start(Plan { limits, ..Plan::default() });
        cluster.platform_faults(case.platform);
        let caller = Arc::new(cluster.caller());
        let drafts = start_drafts(&caller, case.name, 10, 250);
        wait_until("every draft runs", || cluster.engine_runs() >= 10);
        // A caller that holds only the address of the leaving process.
        let addr = cluster.entries[0].proc.http();
        let stop = Arc::new(AtomicBool::new(false));
        let holder = hold(addr, stop.clone());
        cluster.entries[0].proc.signal(Signal::SIGTERM);
        thread::sleep(Duration::from_millis(1_500));
        stop.store(true, Ordering::Relaxed);
        let held = holder.join().expect("the caller's thread");
        assert!(held > 0, "{}: served nobody who held the address", case.name);
        for answer in all_whole(case.name, drafts) {
            assert_eq!(answer.connections, 1, "{}: cut off", case.name);
        }
        let status = cluster.entries[0].proc.wait(LEAVE_BOUND);
        assert!(status.success(), "{}: {status}", case.name);
    }
}

/// Asks one entry host only, until stopped; each answer must come whole on its
/// first connection.
fn hold(addr: std::net::SocketAddr, stop: Arc<AtomicBool>) -> thread::JoinHandle<usize> {
    thread::spawn(move || {
        let mut count = 0;
        while !stop.load(Ordering::Relaxed) {
            let prompt = format!("held {count}");
            let answer = ask_directly(addr, &prompt);
            assert_eq!(answer, expected(&prompt, 5));
            count += 1;
        }
        count
    })
}

/// Asks an address without keys, lists or retries, unstreamed.
fn ask_directly(addr: std::net::SocketAddr, prompt: &str) -> String {
    let ask = json!({
        "model": "draft-70b", "max_tokens": 5,
        "messages": [{ "role": "user", "content": prompt }],
    });
    let answer = support::http::call_as(CUSTOMER_KEY, "POST", addr, "/v1/chat/completions", &ask);
    assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    let body: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
    body["choices"][0]["message"]["content"].as_str().expect("a text").to_owned()
}

#[test]
fn a_finished_request_is_found_after_the_shutdown() {
    let mut cluster = Cluster::start(Plan::default());
    let caller = cluster.caller();
    let home = cluster.status(0)["home"].as_str().expect("a home").to_owned();
    let seconds = tackhollow::time::unix_millis() / 1000;
    let key = format!("{home}.{seconds:x}.1");
    let first: Answer = caller.chat(&draft("once", 12), &key).expect("a verdict");
    cluster.entries[0].proc.signal(Signal::SIGTERM);
    cluster.entries[0].proc.wait(LEAVE_BOUND);
    let runs = cluster.engine_runs();
    let rest = Caller::new(cluster.addresses()[1..].to_vec(), CUSTOMER_KEY);
    let again = rest.chat(&draft("once", 12), &key).expect("a verdict");
    assert_eq!((again.verdict, again.text), (Verdict::Completed, first.text));
    assert_eq!(cluster.engine_runs(), runs, "it ran again");
}
