//! Promise: an accepted configuration is in force in every data centre within
//! seconds and never reverts.

mod support;

use std::{
    fs,
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

use proptest::prelude::*;
use serde_json::{Value, json};
use support::{
    cluster::{CUSTOMER_KEY, Cluster, DATA_CENTRES, OPERATOR_KEY, Plan, apply, apply_as},
    drafts::draft,
    http,
    proc::Proc,
    wait_until,
};
use tackhollow::{
    caller::{Caller, Verdict},
    cloud::PlatformClient,
    config::{Change, ConfigStore, Drain, Item, ItemKey, ItemKind, Template},
    control::{Lease, LeaseAction, LeaseRow, LeaseTiming},
};

fn template(name: &str, models: &[&str]) -> Item {
    let models: Vec<&str> = models.to_vec();
    let template: Template =
        serde_json::from_value(json!({ "name": name, "models": models })).expect("a template");
    Item::Template(template)
}

#[test]
fn two_operators_race() {
    let cluster = Cluster::start(Plan::default());
    let addresses = cluster.addresses();
    for round in 0..10 {
        let name = format!("raced-{round}");
        let (a, b) = thread::scope(|scope| {
            let one = scope.spawn(|| apply(addresses[0], &template(&name, &["chat-8b"]), Some(0)));
            let other = "second-operator-key";
            let two = scope
                .spawn(|| apply_as(other, addresses[3], &template(&name, &["draft-70b"]), Some(0)));
            (one.join().expect("an operator"), two.join().expect("an operator"))
        });
        let mut statuses = [a.0, b.0];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409], "{a:?} {b:?}");
        let lost = if a.0 == 409 { &a.1 } else { &b.1 };
        assert_eq!(lost["current"]["item"]["template"]["name"], json!(name));
        let won = if a.0 == 200 { &a.1 } else { &b.1 };
        cluster.wait_version(won["version"].as_u64().expect("a version"));
    }
    // Every change stands in the log once, and the refusals in the audit trail.
    let answer =
        http::call_as(OPERATOR_KEY, "GET", addresses[1], "/v1/admin/changes", &Value::Null);
    let log: Value = serde_json::from_slice(&answer.body).expect("JSON");
    let versions: Vec<u64> = log["changes"]
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(|c| c["version"].as_u64())
        .collect();
    assert_eq!(versions, (1..=13).collect::<Vec<u64>>());
    let answer =
        http::call_as(OPERATOR_KEY, "GET", addresses[1], "/v1/admin/refusals", &Value::Null);
    let refusals: Value = serde_json::from_slice(&answer.body).expect("JSON");
    assert_eq!(refusals["refusals"].as_array().map(Vec::len), Some(10));
}

#[test]
fn a_write_whose_answer_is_lost() {
    let cluster = Cluster::start(Plan { entries_each: 1, ..Plan::default() });
    cluster.platform_faults(json!({ "lose_answers": 1 }));
    let answer = apply(cluster.entries[0].proc.http(), &template("lost", &["chat-8b"]), None);
    assert_eq!((answer.0, answer.1["version"].as_u64()), (200, Some(4)), "{}", answer.1);
    cluster.wait_version(4);
    // Applying it again changes nothing.
    let again = apply(cluster.entries[1].proc.http(), &template("lost", &["chat-8b"]), None);
    assert_eq!((again.0, again.1["unchanged"].as_bool()), (200, Some(true)), "{}", again.1);
}

#[test]
fn an_outage_right_after_the_acceptance_and_restarts_during_it() {
    let mut cluster = Cluster::start(Plan::default());
    let accepted = apply(cluster.entries[0].proc.http(), &template("kept", &["chat-8b"]), None);
    cluster.platform_faults(json!({ "down": "hang", "cloud_down": true }));
    let version = accepted.1["version"].as_u64().expect("a version");
    cluster.wait_version(version);
    for entry in [0, 3] {
        cluster.entries[entry].proc.kill();
        cluster.restart_entry(entry);
    }
    cluster.wait_version(version);
    // They serve, too: the list of upstreams came from a peer.
    cluster.wait_upstreams();
    let restarted = Caller::new(vec![cluster.entries[3].proc.http()], CUSTOMER_KEY);
    let key = restarted.new_key().expect("an entry host");
    let answer = restarted.chat(&draft("during the outage", 8), &key).expect("a verdict");
    assert_eq!(answer.verdict, Verdict::Completed);
    // Nothing is accepted meanwhile, and that is said.
    let refused = apply(cluster.entries[1].proc.http(), &template("later", &["chat-8b"]), None);
    assert_eq!(refused.0, 503, "{}", refused.1);
    cluster.platform_faults(json!({}));
    for entry in 0..cluster.entries.len() {
        assert!(cluster.status(entry)["config_version"].as_u64() >= Some(version));
    }
}

#[test]
fn a_change_that_would_break_a_promise_is_refused() {
    let cluster = Cluster::start(Plan { entries_each: 1, data_centres: 1, ..Plan::default() });
    let addr = cluster.entries[0].proc.http();
    let bound = json!({
        "name": "bound", "models": ["chat-8b"], "data_centres": ["bkk-bangna"],
    });
    let bound = Item::Template(serde_json::from_value(bound).expect("a template"));
    assert_eq!(apply(addr, &bound, None).0, 200);
    let deployment = json!({ "customer": "bound", "template": "bound", "key_hashes": [] });
    let deployment = Item::Deployment(serde_json::from_value(deployment).expect("a deployment"));
    assert_eq!(apply(addr, &deployment, None).0, 200);
    let last = Item::Drain(Drain { target: "bkk-bangna".to_owned(), reason: String::new() });
    let refused = apply(addr, &last, None);
    assert_eq!(refused.0, 422, "{}", refused.1);
    let missing = json!({ "customer": "lost", "template": "missing", "key_hashes": [] });
    let missing = Item::Deployment(serde_json::from_value(missing).expect("a deployment"));
    assert_eq!(apply(addr, &missing, None).0, 422);
}

fn control(cluster: &Cluster, name: &str) -> Proc {
    let path = cluster.dir.path().join(format!("{name}.toml"));
    let text = format!(
        "id = \"{name}\"\ndata_centre = \"{}\"\nlisten.http = \"127.0.0.1:0\"\n\
         [platform]\naddress = \"{}\"\ntimeout_ms = 500\n\
         [lease]\nttl_ms = 3000\nmargin_ms = 1500\nperiod_ms = 200\n",
        DATA_CENTRES[0],
        cluster.platform.http(),
    );
    fs::write(&path, text).expect("settings are written");
    let args = ["--settings".as_ref(), path.as_os_str()];
    Proc::start(env!("CARGO_BIN_EXE_tackhollow-control"), args)
}

/// Returns the fencing numbers of the orders that an engine carried out.
fn fences(engine: std::net::SocketAddr) -> Vec<u64> {
    let orders = http::get_json(engine, "/orders");
    let orders = orders["orders"].as_array().cloned().unwrap_or_default();
    orders.iter().filter_map(|o| o[0].as_u64()).collect()
}

#[test]
fn a_paused_lease_holder_gives_no_old_order() {
    for checks_fencing in ["true", "false"] {
        let engine_args = vec!["--checks-fencing".to_owned(), checks_fencing.to_owned()];
        let plan = Plan { data_centres: 1, entries_each: 1, engine_args, ..Plan::default() };
        let cluster = Cluster::start(plan);
        let engine = cluster.engines[0].proc.http();
        let first = control(&cluster, "control-1");
        let unload = json!({ "fence": 0, "action": "load_adapter", "name": "stray-1" });
        http::call("POST", engine, "/orders", &unload);
        wait_until("the first holder gives an order", || fences(engine).contains(&1));
        let second = control(&cluster, "control-2");
        first.pause();
        let stray = json!({ "fence": 1, "action": "load_adapter", "name": "stray-2" });
        http::call("POST", engine, "/orders", &stray);
        wait_until("the second holder gives an order", || fences(engine).contains(&2));
        first.resume();
        let stray = json!({ "fence": 2, "action": "load_adapter", "name": "stray-3" });
        http::call("POST", engine, "/orders", &stray);
        wait_until("the order is corrected", || {
            let orders = http::get_json(engine, "/orders");
            orders["adapters"].as_array().is_some_and(Vec::is_empty)
        });
        let fences = fences(engine);
        let first_new = fences.iter().position(|f| *f == 2).expect("an order of the second");
        let old = fences[first_new..].iter().filter(|f| **f < 2).count();
        assert_eq!(old, 0, "checks_fencing={checks_fencing}: {fences:?}");
        drop(second);
    }
}

fn change(version: u64, name: u8, to: Option<Item>) -> Change {
    Change {
        version,
        change_id: format!("{version}"),
        key: ItemKey { kind: ItemKind::Template, name: format!("t{name}") },
        from: None,
        to,
        by: "noi".to_owned(),
        via: "entry-0".to_owned(),
        at_ms: 0,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Changes that come late, doubled or out of order never lower the
    /// version, and what is in force is what the log says at that version.
    #[test]
    fn versions_only_rise(names in prop::collection::vec((0u8..4, any::<bool>()), 1..40), order in prop::collection::vec(any::<prop::sample::Index>(), 0..200)) {
        let log: Vec<Change> = names
            .iter()
            .enumerate()
            .map(|(i, (name, keep))| {
                let item = keep.then(|| template(&format!("t{name}"), &["chat-8b"]));
                change(i as u64 + 1, *name, item)
            })
            .collect();
        let mut store = ConfigStore::default();
        for index in order {
            let before = store.version();
            let _ = store.apply(index.get(&log).clone());
            prop_assert!(store.version() >= before);
            prop_assert!(store.version() <= before + 1);
        }
        let mut expected = ConfigStore::default();
        for change in log.iter().take(store.version() as usize) {
            prop_assert_eq!(expected.apply(change.clone()), Ok(true));
        }
        prop_assert_eq!(store.items(), expected.items());
    }

    /// Two processes that pause at any time never both may give orders, and a
    /// fencing number is never given to both.
    #[test]
    fn one_holder_at_a_time(steps in prop::collection::vec((0usize..2, 0u64..6_000, any::<bool>()), 1..120)) {
        let start = std::time::Instant::now();
        let timing = LeaseTiming { ttl: Duration::from_secs(10), margin: Duration::from_secs(4) };
        let mut leases = [Lease::new("a".to_owned(), timing), Lease::new("b".to_owned(), timing)];
        let mut row: (u64, Option<LeaseRow>) = (0, None);
        let mut now = start;
        let mut fences: std::collections::HashMap<u64, String> = std::collections::HashMap::new();
        for (who, pause, answered) in steps {
            let sent = now;
            leases[who].observe(row.0, row.1.clone(), now);
            if let LeaseAction::Write { row_version, row: next } = leases[who].next_action(now) {
                // The write takes effect at once; its answer may come late or never.
                if row_version == row.0 {
                    row = (row.0 + 1, Some(next.clone()));
                    let owner = fences.entry(next.fence).or_insert_with(|| next.holder.clone());
                    prop_assert_eq!(&*owner, &next.holder);
                    now += Duration::from_millis(pause);
                    if answered {
                        leases[who].written(row.0, next, sent, now);
                    }
                }
            }
            now += Duration::from_millis(pause / 2);
            let holders = leases.iter().filter(|l| l.may_order(now).is_some()).count();
            prop_assert!(holders <= 1);
        }
    }
}

#[test]
fn a_read_that_gets_no_answer_is_made_once_more() {
    struct Case {
        name: &'static str,
        /// Connections that are closed without an answer.
        unanswered: usize,
        read: bool,
    }
    let cases = [
        Case { name: "an answer at once", unanswered: 0, read: true },
        Case { name: "one answer is lost", unanswered: 1, read: true },
        Case { name: "nobody answers", unanswered: 2, read: false },
    ];
    const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n[]";
    for case in cases {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        thread::spawn(move || {
            for (i, stream) in listener.incoming().enumerate() {
                let mut stream = stream.expect("a connection");
                let mut head = [0; 1_024];
                let read = stream.read(&mut head).expect("a request");
                if read > 0 && i >= case.unanswered {
                    stream.write_all(ANSWER.as_bytes()).expect("the caller is there");
                }
            }
        });
        let client = PlatformClient::new(address, Duration::from_secs(1));
        assert_eq!(client.list_objects("").is_ok(), case.read, "{}", case.name);
    }
}
