//! Rate limits of upstreams enforced by many gateways together, in simulated time.

#[path = "limits/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Fleet, Load, Strategy};

/// Simulations of each case, with fewer than `LARGE` gateways and with more.
const RUNS: (u64, u64) = (3, 1);
/// Number of gateways from which fewer simulations are run.
const LARGE: usize = 1_000;
/// Tolerated requests in four seconds: a multiple of the limit, and requests on top of it.
const TOLERATED: (f64, f64) = (1.5, 5.0);

/// Numbers of gateways.
const SIZES: [usize; 5] = [7, 77, 195, 300, 1_500];

struct Case {
    name: &'static str,
    rate: f64,
    upstreams: usize,
    /// Demand of all callers, as a multiple of what the upstreams take.
    demand: f64,
    restarts: f64,
    late: f64,
    lost: f64,
    cut: Duration,
}

const NO_CUT: Duration = Duration::ZERO;

fn cases() -> Vec<Case> {
    let case = |name, rate, upstreams, demand| Case {
        name,
        rate,
        upstreams,
        demand,
        restarts: 0.0,
        late: 1.0,
        lost: 0.0,
        cut: NO_CUT,
    };
    let cut = Duration::from_secs(10);
    vec![
        case("one a second, few callers", 1.0, 4, 0.5),
        case("one a second, many callers", 1.0, 4, 3.0),
        case("one in five seconds", 0.2, 20, 3.0),
        case("ten a second", 10.0, 4, 2.0),
        case("two hundred a second", 200.0, 1, 1.2),
        Case { restarts: 1.0, ..case("restarts", 1.0, 4, 3.0) },
        Case {
            late: 3.0,
            lost: 0.1,
            ..case("late heartbeats, lost requests for grants", 1.0, 4, 3.0)
        },
        Case {
            late: 3.0,
            lost: 0.1,
            restarts: 1.0,
            cut,
            ..case("all faults together", 2.0, 4, 3.0)
        },
        Case { cut, ..case("a fifth of the gateways is cut off", 2.0, 4, 3.0) },
    ]
}

fn load(case: &Case, gateways: usize) -> Load {
    Load {
        gateways,
        upstreams: case.upstreams,
        rate: case.rate,
        demand: case.rate * case.upstreams as f64 * case.demand,
        restarts: case.restarts,
        late: case.late,
        lost: case.lost,
        cut: case.cut,
        duration: Duration::from_secs(30),
    }
}

/// Returns the most requests that an upstream got in four seconds, and the mean utilization.
fn simulate(case: &Case, gateways: usize, strategy: Strategy) -> (usize, f64) {
    let runs = if gateways < LARGE { RUNS.0 } else { RUNS.1 };
    let results: Vec<_> =
        (0..runs).map(|seed| Fleet::new(load(case, gateways), strategy, seed).run()).collect();
    let most = results.iter().map(|r| r.most).max().unwrap_or_default();
    (most, results.iter().map(|r| r.utilization).sum::<f64>() / results.len() as f64)
}

fn tolerated(case: &Case) -> usize {
    (TOLERATED.0 * case.rate * 4.0 + TOLERATED.1) as usize
}

/// Checks that no upstream gets more than is tolerated, and that asking holders for grants never
/// lowers the utilization.
fn check(sizes: &[usize]) {
    for case in cases() {
        for &gateways in sizes {
            let (name, tolerated) = (case.name, tolerated(&case));
            let [asking, alone] = [Strategy::Grants, Strategy::Holders].map(|strategy| {
                let (most, utilization) = simulate(&case, gateways, strategy);
                assert!(
                    most <= tolerated,
                    "{name}, {gateways} gateways, {strategy:?}: {most} requests, {tolerated} tolerated"
                );
                utilization
            });
            assert!(
                asking >= alone,
                "{name}, {gateways} gateways: utilization {asking}, {alone} without grants"
            );
        }
    }
}

#[test]
fn no_upstream_gets_more_than_tolerated_from_few_gateways() {
    check(&SIZES[..2]);
}

#[test]
fn no_upstream_gets_more_than_tolerated_from_some_hundred_gateways() {
    check(&SIZES[2..4]);
}

#[test]
fn no_upstream_gets_more_than_tolerated_from_the_largest_planned_fleet() {
    check(&SIZES[4..]);
}

/// Prints the table of docs/design/signals.md.
#[test]
#[ignore = "run by hand: compares strategies to enforce a limit"]
fn compare_strategies() {
    for case in cases() {
        for gateways in SIZES {
            let results = Strategy::ALL.map(|strategy| {
                let (most, utilization) = simulate(&case, gateways, strategy);
                format!("{most}, {utilization:.2}")
            });
            println!(
                "| {} | {gateways} | {} | {} |",
                case.name,
                tolerated(&case),
                results.join(" | ")
            );
        }
    }
}
