//! Promise: a request marked as non-idempotent runs at most once.

mod support;

use std::{
    sync::{Arc, Barrier},
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use proptest::prelude::*;
use serde_json::json;
use support::{
    cluster::{CUSTOMER_KEY, Cluster, LEAVE_BOUND, Plan},
    http,
};
use tackhollow::{
    caller::Verdict,
    edge::http_client::{HttpAnswer, HttpClient, HttpError},
    ids::Home,
    record::{Begin, CallWork, Records, Work},
};

/// Sends one call to one entry host, without following or retrying.
fn send(addr: std::net::SocketAddr, key: &str, body: &str) -> Result<HttpAnswer, HttpError> {
    let authorization = format!("Bearer {CUSTOMER_KEY}");
    let headers = [("authorization", authorization.as_str()), ("idempotency-key", key)];
    let url = format!("http://{addr}/v1/services/confirm/shift");
    HttpClient::fresh(Duration::from_secs(15)).call("POST", &url, &headers, body.as_bytes())
}

fn ran(cluster: &Cluster, body: &str) -> usize {
    cluster.service_runs().iter().filter(|r| *r == body).count()
}

#[test]
fn the_same_key_at_every_entry_host_at_once() {
    let cluster = Cluster::start(Plan::default());
    let caller = cluster.caller();
    for round in 0..20 {
        let homed = caller.new_key().expect("an entry host");
        let plain = format!("plain-{round}");
        for key in [homed, plain] {
            let body = format!("confirm {key}");
            let barrier = Barrier::new(cluster.entries.len());
            let answers: Vec<HttpAnswer> = thread::scope(|scope| {
                let all: Vec<_> = cluster
                    .addresses()
                    .into_iter()
                    .map(|addr| {
                        let (key, body, barrier) = (&key, &body, &barrier);
                        scope.spawn(move || {
                            barrier.wait();
                            send(addr, key, body).expect("an answer")
                        })
                    })
                    .collect();
                all.into_iter().map(|t| t.join().expect("the caller's thread")).collect()
            });
            assert_eq!(ran(&cluster, &body), 1, "{key}");
            for answer in &answers {
                assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
                assert_eq!(answer.body, answers[0].body);
            }
        }
    }
}

/// What happens between the first sending and the second.
struct Case {
    name: &'static str,
    /// Faults of the services at the first sending.
    faults: serde_json::Value,
    /// What happens to the home in between.
    between: fn(&mut Cluster, usize),
    /// What the second sending may say.
    may_say: &'static [Verdict],
}

fn cases() -> Vec<Case> {
    let nothing: fn(&mut Cluster, usize) = |_, _| {};
    vec![
        Case {
            name: "retried at once",
            faults: json!({}),
            between: nothing,
            may_say: &[Verdict::Completed],
        },
        Case {
            name: "answer lost on the way from the service",
            faults: json!({ "drop_after": 1 }),
            between: nothing,
            may_say: &[Verdict::Unknown],
        },
        Case {
            name: "late answer",
            faults: json!({ "late": 1, "late_ms": 2_000 }),
            between: nothing,
            may_say: &[Verdict::Completed],
        },
        Case {
            name: "home killed",
            faults: json!({}),
            between: |c, home| c.entries[home].proc.kill(),
            may_say: &[Verdict::Unknown],
        },
        Case {
            name: "home killed and restarted",
            faults: json!({}),
            between: |c, home| {
                c.entries[home].proc.kill();
                c.restart_entry(home);
                c.wait_members();
            },
            may_say: &[Verdict::Unknown],
        },
        Case {
            name: "home reclaimed",
            faults: json!({}),
            between: |c, home| {
                c.entries[home].proc.signal(Signal::SIGUSR1);
                c.entries[home].proc.wait(LEAVE_BOUND);
            },
            may_say: &[Verdict::Completed],
        },
        Case {
            name: "home frozen for a while",
            faults: json!({}),
            between: |c, home| {
                c.entries[home].proc.pause();
                thread::sleep(Duration::from_millis(300));
                c.entries[home].proc.resume();
            },
            may_say: &[Verdict::Completed],
        },
    ]
}

#[test]
fn a_key_sent_again_after_a_failure() {
    for case in cases() {
        let limits = "entries_ttl_ms = 500\nhand_over_margin_ms = 4700\n".to_owned();
        let mut cluster = Cluster::start(Plan { limits, ..Plan::default() });
        let caller = cluster.caller().with_patience(Duration::from_secs(30));
        let home = 0;
        let addr = cluster.entries[home].proc.http();
        let key = key_of(&cluster, home);
        for service in &cluster.services {
            http::call("POST", service.proc.http(), "/fault", &case.faults);
        }
        let body = format!("confirm {}", case.name);
        // The caller may give up waiting; what it sent stays sent.
        thread::scope(|scope| {
            scope.spawn(|| drop(send(addr, &key, &body)));
            support::wait_until("the call ran", || ran(&cluster, &body) == 1);
        });
        (case.between)(&mut cluster, home);
        let again = caller.call("confirm", "/shift", &body, &key).expect("a verdict");
        assert!(
            case.may_say.contains(&again.verdict),
            "{}: {:?} {}",
            case.name,
            again.verdict,
            again.text
        );
        assert_eq!(ran(&cluster, &body), 1, "{}", case.name);
    }
}

/// Returns a new key whose home is an entry host.
fn key_of(cluster: &Cluster, entry: usize) -> String {
    let home = cluster.status(entry)["home"].as_str().expect("a home").to_owned();
    let seconds = tackhollow::time::unix_millis() / 1000;
    format!("{home}.{seconds:x}.{:016x}", fastrand::u64(..))
}

/// A process that starts has no configuration. It may not call a key's request
/// "not run" that an earlier process has run.
#[test]
fn a_process_that_starts_does_not_call_another_homes_call_not_run() {
    let plan = Plan { data_centres: 1, entries_each: 1, ..Plan::default() };
    let mut cluster = Cluster::start(plan);
    let key = key_of(&cluster, 0);
    let body = "confirm before the restart";
    let first = send(cluster.entries[0].proc.http(), &key, body).expect("an answer");
    assert_eq!((first.status, ran(&cluster, body)), (200, 1));
    // With the platform away and no peers it stays without a configuration.
    cluster.platform_faults(json!({ "down": "refuse" }));
    cluster.entries[0].proc.kill();
    cluster.restart_entry(0);
    let again = send(cluster.entries[0].proc.http(), &key, body).expect("an answer");
    let said: serde_json::Value = serde_json::from_slice(&again.body).expect("a problem");
    assert_eq!(said["outcome"], "unknown", "{said}");
}

#[test]
fn a_plain_key_with_a_lost_answer_of_the_table_and_without_the_table() {
    let cluster = Cluster::start(Plan { entries_each: 1, ..Plan::default() });
    let caller = cluster.caller().with_patience(Duration::from_secs(20));
    cluster.platform_faults(json!({ "lose_answers": 1 }));
    let answer = caller.call("confirm", "/shift", "lost answer", "plain-lost").expect("a verdict");
    assert_eq!(answer.verdict, Verdict::Completed);
    let again = caller.call("confirm", "/shift", "lost answer", "plain-lost").expect("a verdict");
    assert_eq!((again.verdict, ran(&cluster, "lost answer")), (Verdict::Completed, 1));

    for down in ["refuse", "hang"] {
        cluster.platform_faults(json!({ "down": down }));
        let key = format!("plain-{down}");
        let refused = caller.call("confirm", "/shift", &key, &key).expect("a verdict");
        assert_eq!(refused.verdict, Verdict::NotRun, "{down}");
        assert!(refused.retry_after.is_some());
        assert_eq!(ran(&cluster, &key), 0);
        // A key that names its home needs no table.
        let homed = caller.new_key().expect("an entry host");
        let served = caller.call("confirm", "/shift", &homed, &homed).expect("a verdict");
        assert_eq!(served.verdict, Verdict::Completed, "{down}");
    }
}

#[test]
fn an_old_key_is_not_run() {
    let limits = "entries_ttl_ms = 500\nkey_validity_ms = 2000\n".to_owned();
    let cluster = Cluster::start(Plan { entries_each: 1, limits, ..Plan::default() });
    let home = cluster.status(0)["home"].as_str().expect("a home").to_owned();
    let old = tackhollow::time::unix_millis() / 1000 - 10;
    let key = format!("{home}.{old:x}.7");
    let answer = send(cluster.entries[0].proc.http(), &key, "old").expect("an answer");
    assert_eq!(answer.status, 502);
    assert_eq!(ran(&cluster, "old"), 0);
}

fn work(body: u8) -> Work {
    Work::Call(CallWork {
        service: "confirm".to_owned(),
        method: "POST".to_owned(),
        path: "/".to_owned(),
        content_type: "text/plain".to_owned(),
        body: vec![body],
        repeatable: false,
        refuses_with: vec![429],
        silence_ms: 1_000,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), cases: 64, ..ProptestConfig::default() })]

    /// Of any number of sendings of a key from many threads one begins it.
    #[test]
    fn one_beginning_for_a_key(keys in prop::collection::vec(0u8..6, 1..40)) {
        let records = Arc::new(Records::default());
        let home = Home { http: "127.0.0.1:1".parse().expect("an address"), incarnation: 1 };
        let begun: Vec<u8> = thread::scope(|scope| {
            let begin = |key: u8| {
                let (records, home) = (records.clone(), home.clone());
                scope.spawn(move || {
                    let deadline = Instant::now() + Duration::from_secs(5);
                    let name = format!("key-{key}");
                    let begun = records.begin(&home, "temple-fairs", Some(&name), work(key), deadline);
                    matches!(begun, Ok(Begin::New(_))).then_some(key)
                })
            };
            let threads: Vec<_> = keys.iter().map(|key| begin(*key)).collect();
            threads.into_iter().filter_map(|t| t.join().expect("a thread")).collect()
        });
        let mut distinct = keys;
        distinct.sort_unstable();
        distinct.dedup();
        let mut begun = begun;
        begun.sort_unstable();
        prop_assert_eq!(begun, distinct);
    }

    /// A key is never dropped while its prefix may still begin a request.
    #[test]
    fn a_key_outlives_its_validity(validity_s in 1u64..100, looked_after_s in 0u64..400) {
        let records = Records::default();
        let home = Home { http: "127.0.0.1:1".parse().expect("an address"), incarnation: 1 };
        let began = Instant::now();
        let deadline = began + Duration::from_secs(500);
        let begun = records.begin(&home, "temple-fairs", Some("key"), work(1), deadline);
        let Ok(Begin::New(record)) = begun else { panic!("the key is new") };
        record.finish(tackhollow::record::Outcome::Unknown { reason: String::new() });
        let validity = Duration::from_secs(validity_s);
        let now = Instant::now() + Duration::from_secs(looked_after_s);
        records.sweep(now, Duration::ZERO, validity * 2);
        let kept = records.get_by_key("temple-fairs", "key").is_some();
        prop_assert!(kept || looked_after_s >= validity_s);
    }
}
