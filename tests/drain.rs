//! Promise: a leaving upstream receives no new work after a few seconds.

mod support;

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use serde_json::{Value, json};
use support::{
    cluster::{Cluster, Plan, SECRET, apply, journal, runs},
    drafts::draft,
    proc::Proc,
    wait_until,
};
use tackhollow::{
    caller::{Caller, ChatAsk, Verdict},
    config::{Drain, Item},
    time::unix_millis,
};

/// A few seconds, as the promise has it.
const FEW_SECONDS: Duration = Duration::from_secs(4);

/// Asks for short answers until stopped; each must be completed.
fn load(caller: Arc<Caller>, stop: Arc<AtomicBool>) -> thread::JoinHandle<usize> {
    thread::spawn(move || {
        let mut count = 0;
        while !stop.load(Ordering::Relaxed) {
            let ask =
                ChatAsk { model: "chat-8b".to_owned(), ..draft(&format!("hello {count}"), 3) };
            let Some(key) = caller.new_key() else { continue };
            let answer = caller.chat(&ask, &key).expect("a verdict");
            assert_eq!(answer.verdict, Verdict::Completed, "{}", answer.text);
            count += 1;
        }
        count
    })
}

/// How the upstream comes to leave.
struct Case {
    name: &'static str,
    leave: fn(&Cluster),
}

const CASES: [Case; 3] = [
    Case {
        name: "notice from the platform, told by the engine",
        leave: |c| c.control("/control/reclaim?target=engine-0&in_ms=30000", &Value::Null),
    },
    Case {
        name: "the engine tells, the cloud's list does not",
        leave: |c| {
            let addr = c.engines[0].proc.http();
            support::http::call("POST", addr, "/reclaim", &json!({ "in_ms": 30_000 }));
        },
    },
    Case {
        name: "an operator drains it",
        leave: |c| {
            let drain = Drain { target: "engine-0".to_owned(), reason: "test".to_owned() };
            let answer = apply(c.entries[1].proc.http(), &Item::Drain(drain), None);
            assert_eq!(answer.0, 200, "{}", answer.1);
        },
    },
];

#[test]
fn a_leaving_engine_gets_nothing_new() {
    for case in CASES {
        let cluster = Cluster::start(Plan { data_centres: 1, engines_each: 2, ..Plan::default() });
        // An entry process that its peers refuse: it holds itself for the
        // owner of every upstream.
        let lone = lone_entry(&cluster);
        let addresses = [cluster.addresses(), vec![lone.http()]];
        let stop = Arc::new(AtomicBool::new(false));
        let callers = addresses.map(|a| {
            let caller = Caller::new(a, support::cluster::CUSTOMER_KEY);
            load(Arc::new(caller), stop.clone())
        });
        let busy = || runs(&journal(&cluster.engines[0].journal)).len() >= 10;
        wait_until("the engine is busy", busy);
        let left_at = unix_millis();
        (case.leave)(&cluster);
        thread::sleep(FEW_SECONDS + Duration::from_secs(2));
        stop.store(true, Ordering::Relaxed);
        for caller in callers {
            assert!(caller.join().expect("the caller's thread") > 0, "{}", case.name);
        }
        let limit = left_at + FEW_SECONDS.as_millis() as u64;
        let entries = journal(&cluster.engines[0].journal);
        let late = runs(&entries).into_iter().filter(|e| e["at_ms"].as_u64() > Some(limit)).count();
        assert_eq!(late, 0, "{}: new work after a few seconds", case.name);
    }
}

fn lone_entry(cluster: &Cluster) -> Proc {
    let path = cluster.dir.path().join("lone.toml");
    let text = fs::read_to_string(cluster.dir.path().join("entry-0.toml")).expect("settings");
    let text = text.replace(SECRET, "another-secret").replace("entry-0", "lone");
    fs::write(&path, text).expect("settings are written");
    let args = ["--settings".as_ref(), path.as_os_str()];
    let lone = Proc::start(env!("CARGO_BIN_EXE_tackhollow-entry"), args);
    let ready = || support::http::call("GET", lone.http(), "/readyz", &Value::Null).status == 200;
    wait_until("the lone entry process is ready", ready);
    let key = support::cluster::OPERATOR_KEY;
    wait_until("it hears the engines", || {
        let status =
            support::http::call_as(key, "GET", lone.http(), "/v1/admin/status", &Value::Null);
        let status: Value = serde_json::from_slice(&status.body).unwrap_or_default();
        let upstreams = status["upstreams"].as_array().cloned().unwrap_or_default();
        upstreams.iter().filter(|u| u["state"] == "working").count() >= 3
    });
    lone
}
