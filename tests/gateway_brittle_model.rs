//! Fleets in front of upstreams that fall over when they have to reject too many requests, in
//! simulated time.

#[path = "brittle/fleet.rs"]
mod fleet;

use fleet::{Fleet, Load, Outcome, Strategy};

/// Numbers of gateways and of upstreams.
const SIZES: [(usize, usize); 5] = [(7, 4), (77, 10), (195, 20), (985, 40), (1_500, 40)];
/// Tolerated falls: a number, and a share of the upstreams.
const TOLERATED_FALLS: (usize, f64) = (2, 0.1);

struct Case {
    name: &'static str,
    max_rejections: usize,
    demand: f64,
    occupied: usize,
}

const CASES: [Case; 5] = [
    Case { name: "half the load", max_rejections: 4, demand: 0.5, occupied: 0 },
    Case { name: "full load", max_rejections: 4, demand: 1.0, occupied: 0 },
    Case { name: "four times the load", max_rejections: 4, demand: 4.0, occupied: 0 },
    Case { name: "bears few rejections", max_rejections: 2, demand: 4.0, occupied: 0 },
    Case { name: "half of the slots occupied", max_rejections: 4, demand: 2.0, occupied: 3 },
];

fn run(case: &Case, (gateways, upstreams): (usize, usize), strategy: Strategy) -> Outcome {
    let Case { max_rejections, demand, occupied, .. } = *case;
    let load = Load { gateways, upstreams, max_rejections, demand, occupied };
    let outcome = Fleet::new(load, strategy, 1).run();
    let Outcome { falls, utilization } = outcome;
    println!("{gateways:5} {:27} {strategy:?}: {falls} falls, {utilization:.2} used", case.name);
    outcome
}

fn tolerated(upstreams: usize) -> usize {
    TOLERATED_FALLS.0 + (upstreams as f64 * TOLERATED_FALLS.1) as usize
}

#[test]
fn brittle_upstreams_do_not_fall_over_in_fleets_of_any_size() {
    for case in &CASES {
        for size in SIZES {
            let outcome = run(case, size, Strategy::Owners);
            assert!(outcome.falls <= tolerated(size.1), "{} of {size:?}: {outcome:?}", case.name);
            assert!(outcome.utilization > 0.5, "{} of {size:?}: {outcome:?}", case.name);
        }
    }
}

/// A check that no strategy can fail would show nothing.
#[test]
fn brittle_upstreams_fall_over_if_nobody_takes_care() {
    let outcome = run(&CASES[2], SIZES[1], Strategy::Neither);
    assert!(outcome.falls > tolerated(SIZES[1].1), "{outcome:?}");
}

/// Prints the figures of all strategies. Run by hand with `--run-ignored all --no-capture`.
#[test]
#[ignore = "prints a table"]
fn table_of_strategies() {
    for case in &CASES {
        for size in SIZES {
            for strategy in Strategy::ALL {
                run(case, size, strategy);
            }
        }
    }
}
