//! Selection of an upstream: predicted wait, health, caches, and draining upstreams.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use tackhollow::gateway::{
    board::{DescriptionChange, UpstreamView},
    decide::{
        AttemptOutcome, Candidate, EngineSpeed, PrefixCacheEstimate, UpstreamHealth, choose_engine,
        predicted_wait,
    },
    model::{Lifetime, Upstream, UpstreamPhase},
};

const SPEED: EngineSpeed =
    EngineSpeed { base: 0.02, per_token: 1.0 / 50_000.0, per_running: 0.002, slot_seconds: 1.9 };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const IDLE: Candidate = Candidate {
    running: 0.0,
    pending_tokens: 0.0,
    slots: 64,
    missing_tokens: 1_000.0,
    failures: 0.0,
    remote: false,
    connected: false,
    jitter_sample: 0.0,
};

/// A failure costs as much as the slot time of a request of the service, and not a fixed time.
#[test]
fn a_failure_costs_the_slot_time_of_a_request() {
    struct Case {
        name: &'static str,
        held: f64,
        best: usize,
    }
    let cases = [
        Case {
            name: "short requests: the failing upstream is preferred to the busy one",
            held: 0.06,
            best: 0,
        },
        Case { name: "long requests: the failing upstream is passed over", held: 1.9, best: 1 },
    ];
    let failing = Candidate { failures: 0.5, ..IDLE };
    let busy = Candidate { running: 50.0, ..IDLE };
    for case in cases {
        let speed = EngineSpeed { slot_seconds: case.held, ..SPEED };
        assert_eq!(choose_engine(&[failing, busy], speed), Some(case.best), "{}", case.name);
    }
}

#[test]
fn the_upstream_with_the_lowest_cost_is_chosen() {
    struct Case {
        name: &'static str,
        candidates: Vec<Candidate>,
        best: Option<usize>,
    }
    let cases = [
        Case { name: "no candidates", candidates: vec![], best: None },
        Case {
            name: "an idle connection decides between equal upstreams",
            candidates: vec![IDLE, Candidate { connected: true, jitter_sample: 1.0, ..IDLE }],
            best: Some(1),
        },
        Case {
            name: "an idle connection does not outweigh a longer wait",
            candidates: vec![IDLE, Candidate { connected: true, running: 10.0, ..IDLE }],
            best: Some(0),
        },
        Case {
            name: "cached prefix",
            candidates: vec![Candidate { missing_tokens: 17_000.0, ..IDLE }, IDLE],
            best: Some(1),
        },
        Case {
            name: "cached prefix behind a long queue",
            candidates: vec![
                Candidate { missing_tokens: 17_000.0, ..IDLE },
                Candidate { pending_tokens: 90_000.0, ..IDLE },
            ],
            best: Some(0),
        },
        Case {
            name: "cached prefix behind a shorter queue: reading it elsewhere would delay other requests",
            candidates: vec![
                Candidate { missing_tokens: 6_000.0, ..IDLE },
                Candidate { pending_tokens: 17_000.0, ..IDLE },
            ],
            best: Some(1),
        },
        Case {
            name: "recent failures",
            candidates: vec![
                Candidate { failures: 2.0, ..IDLE },
                Candidate { running: 20.0, ..IDLE },
            ],
            best: Some(1),
        },
        Case {
            name: "all upstreams failing",
            candidates: vec![
                Candidate { failures: 3.0, ..IDLE },
                Candidate { failures: 2.0, ..IDLE },
            ],
            best: Some(1),
        },
        Case {
            name: "all slots taken",
            candidates: vec![
                Candidate { running: 70.0, ..IDLE },
                Candidate { running: 40.0, ..IDLE },
            ],
            best: Some(1),
        },
        Case {
            name: "slow upstream with unread tokens",
            candidates: vec![
                Candidate { running: 6.0, pending_tokens: 8_000.0, ..IDLE },
                Candidate { running: 9.0, ..IDLE },
            ],
            best: Some(1),
        },
        Case {
            name: "same data centre",
            candidates: vec![Candidate { remote: true, ..IDLE }, IDLE],
            best: Some(1),
        },
    ];
    for case in cases {
        assert_eq!(choose_engine(&case.candidates, SPEED), case.best, "{}", case.name);
    }
}

proptest! {
    /// More load never shortens the predicted wait.
    #[test]
    fn the_predicted_wait_grows_with_load(
        running in 0.0..200.0f64, pending in 0.0..200_000.0f64, more in 0.0..50.0f64,
    ) {
        let c = Candidate { running, pending_tokens: pending, ..IDLE };
        let busier = Candidate { running: running + more, ..c };
        let queued = Candidate { pending_tokens: pending + more, ..c };
        prop_assert!(predicted_wait(&busier, SPEED) >= predicted_wait(&c, SPEED));
        prop_assert!(predicted_wait(&queued, SPEED) >= predicted_wait(&c, SPEED));
    }
}

#[test]
fn failures_decay_with_time_and_with_successes() {
    let now = Instant::now();
    let mut breaker = UpstreamHealth::new(now);
    (0..50).for_each(|_| breaker.record(AttemptOutcome::Failed, now));
    let many = breaker.recent_failures(now);
    assert!(
        many <= 8.0,
        "the failure count is bounded, so that a recovered upstream is tried again: {many}"
    );
    assert!(breaker.recent_failures(now + ms(8_000)) < many / 10.0);
    (0..12).for_each(|_| breaker.record(AttemptOutcome::Good, now));
    assert!(breaker.recent_failures(now) < 0.5);
}

#[test]
fn an_unreachable_upstream_is_avoided_temporarily() {
    struct Case {
        name: &'static str,
        /// Times of the attempts and their outcomes.
        attempts: Vec<(u64, AttemptOutcome)>,
        at: u64,
        avoided: bool,
    }
    let unreachable = AttemptOutcome::Unreachable;
    let cases = [
        Case { name: "not tried", attempts: vec![], at: 0, avoided: false },
        Case {
            name: "attempt failed",
            attempts: vec![(0, AttemptOutcome::Failed)],
            at: 1,
            avoided: false,
        },
        Case { name: "unreachable", attempts: vec![(0, unreachable)], at: 400, avoided: true },
        Case {
            name: "avoidance period over",
            attempts: vec![(0, unreachable)],
            at: 600,
            avoided: false,
        },
        Case {
            name: "concurrent attempts count once",
            attempts: vec![(0, unreachable), (1, unreachable), (2, unreachable)],
            at: 600,
            avoided: false,
        },
        Case {
            name: "unreachable again, avoided for longer",
            attempts: vec![(0, unreachable), (600, unreachable)],
            at: 1_400,
            avoided: true,
        },
        Case {
            name: "reached in the meantime",
            attempts: vec![(0, unreachable), (100, AttemptOutcome::Good)],
            at: 101,
            avoided: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut breaker = UpstreamHealth::new(now);
        case.attempts.iter().for_each(|(at, verdict)| breaker.record(*verdict, now + ms(*at)));
        assert_eq!(breaker.is_avoided(now + ms(case.at)), case.avoided, "{}", case.name);
    }
}

#[test]
fn the_least_recently_used_prefix_is_evicted() {
    let now = Instant::now();
    let mut cache = PrefixCacheEstimate::default();
    let engine = Lifetime::new("engine-1", Some(1));
    for (i, prefix) in [1u64, 2, 1, 3].into_iter().enumerate() {
        cache.note(engine, prefix, 300, 1_000, now + ms(i as u64));
    }
    assert_eq!([1, 2, 3].map(|p| cache.holds(engine, p)), [true, false, true]);
    assert!(!cache.holds(Lifetime::new("engine-2", Some(1)), 1));
    assert!(!cache.holds(Lifetime::new("engine-1", Some(2)), 1), "the engine has restarted");
    cache.retain(|_| false);
    assert!(!cache.holds(engine, 1));
}

#[test]
fn a_draining_upstream_is_a_last_resort_temporarily() {
    let now = Instant::now();
    let upstream = |phase| Upstream {
        id: "i-1".to_owned(),
        born: None,
        service: "llm".to_owned(),
        version: "v1".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "a".to_owned(),
        phase,
        slots: 64,
        reclaimable: true,
        leaves_in: None,
    };
    let mut view = UpstreamView::new(upstream(UpstreamPhase::Ready), now);
    assert!(view.takes_work() && !view.is_last_resort(now));
    let changed = view.update(upstream(UpstreamPhase::Draining), now + ms(100), now + ms(100));
    assert_eq!(changed, DescriptionChange::PhaseChanged);
    let again = view.update(upstream(UpstreamPhase::Draining), now + ms(900), now + ms(900));
    assert_eq!(again, DescriptionChange::Same, "the same phase reported again");
    assert!(!view.takes_work() && view.is_last_resort(now + ms(1_000)));
    assert!(!view.is_last_resort(now + ms(1_200)), "it may end soon");
    let known_late = UpstreamView::new(upstream(UpstreamPhase::Draining), now);
    assert!(!known_late.is_last_resort(now), "the start of draining is unknown");
}
