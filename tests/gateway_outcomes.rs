//! Upstreams that fail part of their requests while they pass health checks: failures that
//! callers see when many gateways share their outcomes, in simulated time.

use std::time::{Duration, Instant};

use tackhollow::gateway::decide::{Candidate, EngineSpeed, OutcomeMeter, Outcomes, choose_engine};

#[test]
fn only_failures_beyond_the_service_mean_count() {
    struct Case {
        name: &'static str,
        seen: (f64, f64),
        service: (f64, f64),
        /// Bounds of the expected failures before a success.
        expected: (f64, f64),
    }
    let cases = [
        Case {
            name: "no answers yet",
            seen: (0.0, 0.0),
            service: (0.0, 0.0),
            expected: (0.0, 0.0),
        },
        Case { name: "no failures", seen: (9.0, 0.0), service: (500.0, 2.0), expected: (0.0, 0.0) },
        Case {
            name: "all upstreams fail alike",
            seen: (20.0, 3.0),
            service: (200.0, 30.0),
            expected: (0.0, 0.01),
        },
        Case {
            name: "half of the answers fail",
            seen: (9.0, 4.5),
            service: (500.0, 20.0),
            expected: (0.4, 0.7),
        },
        Case {
            name: "all answers fail",
            seen: (30.0, 30.0),
            service: (500.0, 30.0),
            expected: (3.0, 4.0),
        },
        Case {
            name: "one failure among few answers",
            seen: (1.0, 1.0),
            service: (500.0, 2.0),
            expected: (0.2, 0.5),
        },
    ];
    for Case { name, seen, service, expected } in cases {
        let outcomes = |(answers, failures)| Outcomes { answers, failures };
        let found = outcomes(seen).expected_failures(outcomes(service));
        assert!((expected.0..=expected.1).contains(&found), "{name}: {found}");
    }
}

/// A fleet of gateways in front of engines, some of which fail part of their requests.
struct Scenario {
    gateways: usize,
    engines: usize,
    failing: usize,
    /// Share of its requests that a failing engine fails.
    failure_share: f64,
    rate: f64,
    shared: bool,
}

/// Simulated time, in milliseconds.
const DURATION_MS: u64 = 8_000;
/// Time after which failures are counted, in milliseconds.
const WARM_UP_MS: u64 = 2_000;
/// Delay after which the outcomes of other gateways are known, in milliseconds.
const REPORT_DELAY_MS: u64 = 450;
/// Speed of the engines.
const SPEED: EngineSpeed =
    EngineSpeed { base: 0.02, per_token: 1.0 / 50_000.0, per_running: 0.002, slot_seconds: 1.9 };

/// Returns the share of the requests that fail.
fn simulate(scenario: &Scenario, seed: u64) -> f64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut meters = vec![vec![OutcomeMeter::new(start); scenario.engines]; scenario.gateways];
    let mut reports: Vec<(u64, Vec<Outcomes>)> =
        vec![(0, vec![Outcomes::default(); scenario.engines])];
    let (mut sent, mut failed) = (0, 0);
    for now in 0..DURATION_MS {
        if now % 150 == 0 {
            let sum = |engine: usize| {
                let mut sum = Outcomes::default();
                meters.iter().for_each(|m| sum.add(m[engine].read(at(now))));
                sum
            };
            reports.push((now, (0..scenario.engines).map(sum).collect()));
        }
        if rng.f64() >= scenario.rate / 1_000.0 {
            continue;
        }
        let gateway = rng.usize(..scenario.gateways);
        let report =
            reports.iter().rev().find(|(t, _)| t + REPORT_DELAY_MS <= now).unwrap_or(&reports[0]);
        let mut service = Outcomes::default();
        report.1.iter().for_each(|seen| service.add(*seen));
        let candidates: Vec<Candidate> = (0..scenario.engines)
            .map(|engine| {
                let own = meters[gateway][engine].read(at(now));
                let seen = if scenario.shared { report.1[engine] } else { own };
                Candidate {
                    // The number of running requests differs from engine to engine.
                    running: rng.f64() * 40.0,
                    pending_tokens: 0.0,
                    slots: 64,
                    missing_tokens: 3_000.0,
                    failures: seen.expected_failures(service),
                    remote: false,
                    connected: true,
                    jitter_sample: rng.f64(),
                }
            })
            .collect();
        let engine = choose_engine(&candidates, SPEED).expect("there are engines");
        let failed_request = engine < scenario.failing && rng.f64() < scenario.failure_share;
        meters[gateway][engine].note(failed_request, at(now));
        if now >= WARM_UP_MS {
            sent += 1;
            failed += u32::from(failed_request);
        }
    }
    f64::from(failed) / f64::from(sent.max(1))
}

#[test]
fn sharing_outcomes_between_gateways_reduces_failures() {
    let separate = Scenario {
        gateways: 81,
        engines: 60,
        failing: 20,
        failure_share: 0.45,
        rate: 170.0,
        shared: false,
    };
    let shared = Scenario { shared: true, ..separate };
    let mean = |scenario: &Scenario| (0..3).map(|seed| simulate(scenario, seed)).sum::<f64>() / 3.0;
    let (separate_share, shared_share) = (mean(&separate), mean(&shared));
    println!("share of failed requests: {separate_share:.3} separate, {shared_share:.3} shared");
    assert!(
        shared_share * 2.0 < separate_share,
        "{separate_share:.3} separate, {shared_share:.3} shared"
    );
}
