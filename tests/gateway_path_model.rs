//! Fleets of which a part is cut off from all upstreams, in simulated time.

#[path = "paths/fleet.rs"]
mod fleet;

use fleet::{Fleet, Load, Outcome, Strategy};

/// Numbers of gateways.
const SIZES: [usize; 6] = [7, 9, 77, 195, 985, 1_500];
/// Most calls a second of a simulation, so that those of large fleets do not take long.
const MAX_CALLS: f64 = 1_600.0;
/// Smallest share of served calls at gateways that are cut off, relative to the others.
const MIN_RELATIVE_SHARE: f64 = 2.0 / 3.0;

struct Case {
    name: &'static str,
    /// Share of the gateways that are cut off; at least one is.
    cut_off: f64,
    hangs: bool,
    broken_pairs: f64,
    /// Calls a second and gateway.
    calls: f64,
}

const ONE: Case =
    Case { name: "one gateway", cut_off: 0.0001, hangs: true, broken_pairs: 0.0, calls: 8.0 };

const CASES: [Case; 7] = [
    ONE,
    Case { name: "one, fails at once", hangs: false, ..ONE },
    Case { name: "a data centre", cut_off: 0.25, ..ONE },
    Case { name: "five of nine", cut_off: 0.55, ..ONE },
    Case { name: "nine of ten", cut_off: 0.9, ..ONE },
    Case { name: "few calls", cut_off: 0.25, calls: 0.5, ..ONE },
    Case { name: "broken pairs", cut_off: 0.25, broken_pairs: 0.02, ..ONE },
];

fn load(case: &Case, gateways: usize) -> Load {
    Load {
        gateways,
        data_centres: 4,
        upstreams: gateways * 2,
        calls: (gateways as f64 * case.calls).min(MAX_CALLS),
        cut_off: case.cut_off,
        hangs: case.hangs,
        broken_pairs: case.broken_pairs,
    }
}

fn run(case: &Case, gateways: usize, strategy: Strategy) -> Outcome {
    let outcome = Fleet::new(load(case, gateways), strategy, 1).run();
    println!("{gateways:5} {:18} {strategy:?} {outcome:?}", case.name);
    outcome
}

fn keeps_aim(outcome: &Outcome) -> bool {
    outcome.served_there >= outcome.served_elsewhere * MIN_RELATIVE_SHARE
}

#[test]
fn callers_of_gateways_cut_off_are_served_in_fleets_of_any_size() {
    for case in &CASES {
        for gateways in SIZES {
            let outcome = run(case, gateways, Strategy::Both);
            assert!(keeps_aim(&outcome), "{} of {gateways}: {outcome:?}", case.name);
            assert_eq!(outcome.wrong, 0, "{} of {gateways}: {outcome:?}", case.name);
        }
    }
}

/// A check that no strategy can fail would show nothing.
#[test]
fn callers_are_not_served_without_either_mechanism() {
    let outcome = run(&CASES[3], 9, Strategy::Neither);
    assert!(!keeps_aim(&outcome), "{outcome:?}");
}

/// Prints the figures of all strategies. Run by hand with `--run-ignored all --no-capture`.
#[test]
#[ignore = "prints a table"]
fn table_of_strategies() {
    for case in &CASES {
        for gateways in SIZES {
            for strategy in Strategy::ALL {
                run(case, gateways, strategy);
            }
        }
    }
}
