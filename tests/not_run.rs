//! Promise: when the system reports that a request was not run, it did not run.

mod support;

use std::{collections::HashMap, time::Duration};

use proptest::prelude::*;
use serde_json::{Value, json};
use support::{
    cluster::{Cluster, Plan, journal, runs},
    drafts::draft,
    http,
};
use tackhollow::{
    caller::{CallerError, ChatAsk, Verdict},
    routing::{AttemptEnd, RetryBudget, RetryDecision, RetryInput, decide_retry},
};

/// A fault of the services, at one point of the dispatch.
struct Case {
    name: &'static str,
    faults: Value,
    pause: bool,
    kill: bool,
}

fn cases() -> Vec<Case> {
    let case = |name, faults| Case { name, faults, pause: false, kill: false };
    vec![
        case("no fault", json!({})),
        case("refused before it ran", json!({ "refuse": 1_000 })),
        case("cut off before it ran", json!({ "drop_before": 1_000 })),
        case("cut off after it ran", json!({ "drop_after": 1_000 })),
        case("answered too late", json!({ "late": 1_000, "late_ms": 7_000 })),
        case("one refused, one cut off", json!({ "refuse": 1, "drop_after": 1 })),
        Case { name: "frozen", faults: json!({}), pause: true, kill: false },
        case("died before it ran", json!({ "die_before": true })),
        Case { name: "dead", faults: json!({}), pause: false, kill: true },
    ]
}

#[test]
fn what_was_said_not_to_run_is_in_no_journal() {
    let mut cluster = Cluster::start(Plan { entries_each: 1, ..Plan::default() });
    for case in cases() {
        // Services that failed in the case before rest for a while, once that is known.
        cluster.wait_slots_returned();
        cluster.wait_working();
        if case.kill {
            cluster.services.iter_mut().for_each(|s| s.proc.kill());
        }
        if !case.kill && !case.pause {
            for service in &mut cluster.services {
                if service.proc.is_running() {
                    http::call("POST", service.proc.http(), "/fault", &case.faults);
                }
            }
        }
        if case.pause {
            cluster.services.iter().for_each(|s| s.proc.pause());
        }
        let verdicts = call_all(&cluster, case.name);
        if case.pause {
            cluster.services.iter().for_each(|s| s.proc.resume());
        }
        check(&cluster, case.name, &verdicts);
    }
}

/// Makes six calls at once and returns their verdicts by body.
fn call_all(cluster: &Cluster, case: &str) -> HashMap<String, Verdict> {
    let caller = cluster.caller().with_patience(Duration::from_secs(30));
    std::thread::scope(|scope| {
        let call = |i: usize| {
            let caller = &caller;
            let body = format!("{case} {i}");
            scope.spawn(move || {
                let key = caller.new_key().expect("an entry host");
                let answer = caller.call("confirm", "/shift", &body, &key).expect("a verdict");
                (body, answer.verdict)
            })
        };
        let calls: Vec<_> = (0..6).map(call).collect();
        calls.into_iter().map(|c| c.join().expect("the caller's thread")).collect()
    })
}

fn check(cluster: &Cluster, case: &str, verdicts: &HashMap<String, Verdict>) {
    let runs = cluster.service_runs();
    for (body, verdict) in verdicts {
        let count = runs.iter().filter(|r| *r == body).count();
        match verdict {
            Verdict::Completed => assert_eq!(count, 1, "{case}: {body}"),
            Verdict::NotRun => assert_eq!(count, 0, "{case}: {body} was said not to have run"),
            Verdict::Unknown => assert!(count <= 1, "{case}: {body} ran {count} times"),
        }
    }
    let expect =
        |verdict| assert!(verdicts.values().all(|v| *v == verdict), "{case}: {verdicts:?}");
    match case {
        "no fault" => expect(Verdict::Completed),
        "refused before it ran" | "dead" => expect(Verdict::NotRun),
        // A service that failed three times in a row rests: what comes then
        // does not run, as the journals above bear out.
        "cut off after it ran" | "answered too late" => {
            let unknown = verdicts.values().filter(|v| **v == Verdict::Unknown).count();
            assert!(unknown >= 3, "{case}: {verdicts:?}");
            assert!(verdicts.values().all(|v| *v != Verdict::Completed), "{case}: {verdicts:?}");
        }
        _ => {}
    }
}

#[test]
fn a_model_request_refused_everywhere_did_not_run() {
    let cluster = Cluster::start(Plan { entries_each: 1, ..Plan::default() });
    for engine in &cluster.engines {
        http::call("POST", engine.proc.http(), "/fault", &json!({ "refuse": 100_000 }));
    }
    let caller = cluster.caller().with_patience(Duration::from_secs(60));
    let ask = ChatAsk { repeatable: false, ..draft("check the beam", 10) };
    let key = caller.new_key().expect("an entry host");
    let answer = caller.chat(&ask, &key).expect("a verdict");
    assert_eq!(answer.verdict, Verdict::NotRun);
    assert!(answer.retry_after.is_some());
    let ran: usize = cluster.engines.iter().map(|e| runs(&journal(&e.journal)).len()).sum();
    assert_eq!(ran, 0);
}

#[test]
fn a_request_without_a_model_is_refused_at_once() {
    let cluster = Cluster::start(Plan { entries_each: 1, data_centres: 1, ..Plan::default() });
    let caller = cluster.caller();
    let ask = ChatAsk { model: "none".to_owned(), ..draft("hello", 10) };
    let key = caller.new_key().expect("an entry host");
    let refused = caller.chat(&ask, &key);
    assert!(matches!(refused, Err(CallerError::Refused { status: 404, .. })), "{refused:?}");
}

fn ends() -> impl Strategy<Value = AttemptEnd> {
    prop_oneof![
        Just(AttemptEnd::NotSent),
        Just(AttemptEnd::RefusedByUpstream),
        Just(AttemptEnd::Broken),
        Just(AttemptEnd::Leaving),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// "Not run" follows only an attempt that no upstream can have run, and an
    /// attempt that may have run is made again only where that is allowed.
    #[test]
    fn not_run_is_said_truly(
        end in ends(),
        repeatable: bool,
        accepted: bool,
        attempts in 1u32..10,
        left_ms in 0u64..5_000,
        spent in 0u32..30,
    ) {
        let mut budget = RetryBudget::default();
        for _ in 0..spent {
            budget.take();
        }
        let time_left = Duration::from_millis(left_ms);
        let input = RetryInput { end, repeatable, attempts, time_left, accepted };
        let may_have_run = matches!(end, AttemptEnd::Broken | AttemptEnd::Leaving);
        match decide_retry(&input, &mut budget) {
            RetryDecision::NotRun => prop_assert!(!may_have_run),
            RetryDecision::Unknown => prop_assert!(may_have_run),
            RetryDecision::Again(pause) => {
                prop_assert!(repeatable || !may_have_run);
                prop_assert!(pause < time_left);
            }
        }
    }

    /// Without successes no more retries are made than the budget holds.
    #[test]
    fn retries_are_bounded(tries in 0usize..500) {
        let mut budget = RetryBudget::default();
        let granted = (0..tries).filter(|_| budget.take()).count();
        prop_assert!(granted <= 20);
    }
}
