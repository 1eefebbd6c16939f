//! Speed of engines and required number of engines, learnt from requests.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use tackhollow::gateway::decide::{
    EngineSpeed, FirstTokenSample, LoadMeter, NeedPeak, Occupancy, RequestCost, ServiceLoad,
    SpeedModel, engines_needed, mean_cost, occupancy,
};

/// Number of requests within which the speed must be learnt from the default.
const LEARNING_REQUESTS: u32 = 200;

/// Feeds requests of many sizes against engines of a given speed; every `outlier`th takes one
/// second longer, as with a failing engine or a cold cache.
fn learn(model: &mut SpeedModel, actual: EngineSpeed, requests: u32, outlier: u32) {
    for i in 1..=requests {
        let tokens = f64::from(i * 7_919 % 20_000);
        let running = f64::from(i * 31 % 17);
        let delay = if outlier > 0 && i % outlier == 0 { 1.0 } else { 0.0 };
        let took = Duration::from_secs_f64(actual.first_token(tokens, running) + delay);
        model.note_first_token(FirstTokenSample { tokens, running, took });
    }
}

proptest! {
    /// The speed is learnt despite outliers, whatever it is.
    #[test]
    fn the_speed_is_learnt(
        speed in 3.7..5.7f64, base in 0.0..0.2f64, running in 0.0..0.01f64, outlier in 8u32..40,
    ) {
        let actual = EngineSpeed {
            base,
            per_token: 10_f64.powf(-speed),
            per_running: running,
            ..EngineSpeed::default()
        };
        let mut model = SpeedModel::default();
        learn(&mut model, actual, LEARNING_REQUESTS, outlier);
        let large = (actual.first_token(10_000.0, 5.0), model.speed().first_token(10_000.0, 5.0));
        let error = (large.1 - large.0).abs() / large.0.max(0.05);
        prop_assert!(error < 0.25, "{:?} instead of {actual:?}", model.speed());
    }
}

#[test]
fn a_change_of_speed_is_followed() {
    let speed = |tokens_per_second: f64| EngineSpeed {
        base: 0.03,
        per_token: 1.0 / tokens_per_second,
        ..EngineSpeed::default()
    };
    let mut model = SpeedModel::default();
    learn(&mut model, speed(160_000.0), 400, 0);
    learn(&mut model, speed(40_000.0), 400, 0);
    let found = 1.0 / model.speed().per_token;
    assert!((30_000.0..55_000.0).contains(&found), "{found} tokens/s instead of 40,000");
}

#[test]
fn the_model_of_another_process_is_adopted() {
    struct Case {
        name: &'static str,
        own_requests: u32,
        peer_requests: f64,
        adopted: bool,
    }
    let cases = [
        Case { name: "just started", own_requests: 0, peer_requests: 80.0, adopted: true },
        Case {
            name: "the other has seen fewer requests",
            own_requests: 20,
            peer_requests: 10.0,
            adopted: false,
        },
        Case {
            name: "enough requests of its own",
            own_requests: 60,
            peer_requests: 90.0,
            adopted: false,
        },
    ];
    let actual = EngineSpeed { per_token: 1.0 / 160_000.0, ..EngineSpeed::default() };
    let peer = EngineSpeed { per_token: 1.0 / 20_000.0, ..EngineSpeed::default() };
    for case in cases {
        let mut model = SpeedModel::default();
        learn(&mut model, actual, case.own_requests, 0);
        let before = model.speed();
        assert_eq!(model.adopt(peer, case.peer_requests), case.adopted, "{}", case.name);
        let expected = if case.adopted { peer.per_token } else { before.per_token };
        assert!((model.speed().per_token - expected).abs() < 1e-9, "{}", case.name);
    }
}

/// Feeds `rate` requests per second for `seconds`, each of the given cost, and returns the end.
fn load(
    meter: &mut LoadMeter,
    from: Instant,
    seconds: u32,
    rate: u32,
    cost: RequestCost,
) -> Instant {
    let gap = Duration::from_secs(1) / rate;
    let mut now = from;
    for _ in 0..seconds * rate {
        now += gap;
        meter.request(cost.tokens as u32, now);
        meter.ended(cost.slot_seconds, now);
    }
    now
}

#[test]
fn the_requirement_follows_the_rate_quickly_and_the_cost_slowly() {
    let normal = RequestCost { tokens: 3_000.0, slot_seconds: 0.5 };
    let cold = RequestCost { tokens: 6_000.0, slot_seconds: 1.5 };
    struct Case {
        name: &'static str,
        rate: u32,
        cost: RequestCost,
        seconds: u32,
        /// Requirement relative to that of the normal load.
        factor: std::ops::Range<f64>,
    }
    let cases = [
        Case { name: "unchanged", rate: 100, cost: normal, seconds: 5, factor: 0.95..1.05 },
        Case { name: "twice the requests", rate: 200, cost: normal, seconds: 5, factor: 1.7..2.1 },
        Case {
            name: "cold caches after a loss",
            rate: 100,
            cost: cold,
            seconds: 5,
            factor: 1.0..1.4,
        },
        Case {
            name: "permanently higher cost",
            rate: 100,
            cost: cold,
            seconds: 90,
            factor: 2.1..2.4,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut meter = LoadMeter::new(start);
        let now = load(&mut meter, start, 60, 100, normal);
        let need = |meter: &LoadMeter, now| {
            let cost = meter.cost(now).expect("requests have ended");
            let load = ServiceLoad { rate: meter.rate(now), cost };
            engines_needed(occupancy(load, EngineSpeed::default()), 24, 0.0)
        };
        let before = need(&meter, now);
        let now = load(&mut meter, now, case.seconds, case.rate, case.cost);
        let factor = need(&meter, now) / before;
        assert!(case.factor.contains(&factor), "{}: {factor}", case.name);
    }
}

#[test]
fn the_end_of_a_load_is_detected_and_a_pause_is_not_an_end() {
    let start = Instant::now();
    let mut meter = LoadMeter::new(start);
    let cost = RequestCost { tokens: 100.0, slot_seconds: 0.1 };
    let now = load(&mut meter, start, 20, 50, cost);
    assert!(meter.rate(now + Duration::from_millis(200)) > 40.0, "after ten mean intervals");
    assert_eq!(meter.rate(now + Duration::from_millis(600)), 0.0, "after thirty mean intervals");
    let now = load(&mut meter, now + Duration::from_secs(3), 1, 50, cost);
    assert!(meter.rate(now) > 10.0, "the load has resumed");
}

#[test]
fn the_request_cost_is_averaged_over_processes_by_rate() {
    struct Case {
        name: &'static str,
        /// Requests per second and tokens per request, reported by each process.
        reports: &'static [(f64, f64)],
        tokens: Option<f64>,
    }
    let cases = [
        Case { name: "no load", reports: &[(0.0, 0.0), (0.0, 900.0)], tokens: None },
        Case {
            name: "load at one process",
            reports: &[(0.0, 0.0), (2.0, 900.0)],
            tokens: Some(900.0),
        },
        Case {
            name: "weighted by rate",
            reports: &[(1.0, 500.0), (3.0, 900.0)],
            tokens: Some(800.0),
        },
    ];
    for case in cases {
        let load = |(rate, tokens): &(f64, f64)| ServiceLoad {
            rate: *rate,
            cost: RequestCost { tokens: *tokens, slot_seconds: 1.0 },
        };
        let loads = case.reports.iter().map(load);
        assert_eq!(mean_cost(loads).map(|c| c.tokens), case.tokens, "{}", case.name);
    }
}

/// A process that has just started must not report too low a rate. The rate was once divided by
/// the whole time constant, so a restarted process reported a third of its rate after one
/// second.
#[test]
fn the_rate_is_correct_within_a_second_of_the_start() {
    let start = Instant::now();
    let cost = RequestCost { tokens: 100.0, slot_seconds: 0.1 };
    let mut meter = LoadMeter::new(start);
    let now = load(&mut meter, start, 1, 50, cost);
    let first = meter.rate(now);
    assert!((45.0..55.0).contains(&first), "{first}");
    let now = load(&mut meter, now + Duration::from_secs(30), 1, 50, cost);
    let again = meter.rate(now);
    assert!((45.0..55.0).contains(&again), "after a pause: {again}");
}

#[test]
fn the_peak_covers_the_last_seconds() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut peak = NeedPeak::new(Duration::from_secs(4));
    let seen: Vec<f64> = [(0, 8.0), (1_000, 5.0), (2_000, 6.0), (4_500, 3.0), (6_500, 3.0)]
        .into_iter()
        .map(|(ms, need)| peak.record(need, at(ms)))
        .collect();
    assert_eq!(seen, [8.0, 8.0, 8.0, 6.0, 3.0]);
}

#[test]
fn a_service_without_prompts_has_no_reading_speed() {
    let mut model = SpeedModel::default();
    for _ in 0..2_000 {
        let took = Duration::from_millis(60);
        model.note_first_token(FirstTokenSample { tokens: 0.0, running: 1.0, took });
    }
    let speed = model.speed();
    assert!((speed.first_token(0.0, 1.0) - 0.06).abs() < 0.005, "{speed:?}");
    assert!(speed.tokens_per_second().is_none_or(|s| s.is_finite() && s > 0.0), "{speed:?}");
    let nothing_read = EngineSpeed { per_token: 0.0, ..speed };
    assert_eq!(nothing_read.tokens_per_second(), None);
}

#[test]
fn the_relative_margin_shrinks_with_the_load() {
    let reading = |reading: f64| Occupancy { reading, slots: 0.0 };
    let share = |busy: f64| engines_needed(reading(busy), 24, 1.5) / busy;
    assert_eq!(engines_needed(Occupancy::default(), 24, 1.5), 0.0);
    assert!((1.49..1.51).contains(&share(9.0)), "{}", share(9.0));
    assert!((1.24..1.26).contains(&share(36.0)), "{}", share(36.0));
    // Slots of nine engines serve many requests, whose number varies less.
    let slots = engines_needed(Occupancy { reading: 0.0, slots: 216.0 }, 24, 1.5);
    assert!((9.9..9.95).contains(&slots), "{slots}");
}
