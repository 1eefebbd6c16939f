//! Promise: every caller receives the whole answer to its own request.

mod support;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use serde_json::json;
use support::{
    cluster::{Cluster, OTHER_KEY, Plan},
    drafts::{all_whole, start_drafts},
    http,
};
use tackhollow::{
    caller::Caller,
    record::{ChatWork, Message, Outcome, Record, Work},
    routing::Class,
};

/// Faults that engines commit while answers stream.
struct Case {
    name: &'static str,
    faults: serde_json::Value,
}

#[test]
fn crossed_doubled_late_and_cut_answers() {
    let cluster = Cluster::start(Plan { engines_each: 2, ..Plan::default() });
    let cases = [
        Case { name: "another request's id", faults: json!({ "wrong_id": 2_000 }) },
        Case { name: "doubled", faults: json!({ "doubled": 2_000 }) },
        Case { name: "late", faults: json!({ "late": 5, "late_ms": 1_500 }) },
        Case { name: "cut", faults: json!({ "cut": 6, "cut_after": 17 }) },
        Case {
            name: "all at once",
            faults: json!({
                "wrong_id": 1_000, "doubled": 1_000, "late": 3, "late_ms": 800,
                "cut": 4, "cut_after": 9, "refuse": 2, "drop": 2,
            }),
        },
    ];
    let first = Arc::new(cluster.caller());
    let second = Arc::new(Caller::new(cluster.addresses(), OTHER_KEY));
    for case in cases {
        for engine in &cluster.engines {
            let set = http::call("POST", engine.proc.http(), "/fault", &case.faults);
            assert_eq!(set.status, 200, "{}", case.name);
        }
        let ours = start_drafts(&first, case.name, 15, 60);
        let theirs = start_drafts(&second, &format!("theirs {}", case.name), 15, 60);
        all_whole(case.name, ours);
        all_whole(case.name, theirs);
    }
}

fn record() -> Record {
    let message = Message { role: "user".to_owned(), content: "hello".to_owned() };
    let work = Work::Chat(ChatWork {
        model: "chat-8b".to_owned(),
        messages: vec![message],
        max_tokens: 100,
        class: Class::Chat,
        repeatable: true,
    });
    let deadline = Instant::now() + Duration::from_secs(60);
    Record::new("home.1".to_owned(), "temple-fairs".to_owned(), None, work, deadline)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Whatever order pieces come in, doubled or with gaps, a record holds a
    /// prefix of the answer, and a reader that joins anywhere gets its rest.
    #[test]
    fn a_record_holds_a_prefix(offsets in prop::collection::vec(0usize..30, 0..200), join in 0usize..40) {
        let record = record();
        let truth = |i: usize| format!("t{i} ");
        for offset in offsets {
            record.push(offset, &truth(offset));
        }
        let whole: String = (0..record.len()).map(truth).collect();
        prop_assert_eq!(record.text(), whole);
        let tail = record.wait_after(join, Duration::ZERO);
        let rest: String = (join..record.len()).map(truth).collect();
        prop_assert_eq!(tail.tokens.concat(), rest);
    }

    /// Nothing is appended once a request ended, and its outcome is set once.
    #[test]
    fn an_outcome_is_final(before in 0usize..10, after in 0usize..10) {
        let record = record();
        for i in 0..before {
            prop_assert!(record.push(i, "t "));
        }
        let completed = Outcome::ChatCompleted { finish_reason: "stop".to_owned() };
        prop_assert!(record.finish(completed.clone()));
        for i in 0..after {
            prop_assert!(!record.push(before + i, "late "));
        }
        let late = Outcome::Unknown { reason: "late".to_owned() };
        prop_assert!(!record.finish(late));
        prop_assert_eq!(record.outcome(), Some(completed));
        prop_assert_eq!(record.len(), before);
    }
}
