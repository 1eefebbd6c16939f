//! Rate limits of upstreams kept by many gateways together, in simulated time.

#[path = "limits/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Fleet, Load, Way};

/// Plays of each case, and of one with the largest fleet.
const PLAYS: (u64, u64) = (3, 1);
/// Gateways from which a fleet is played less often.
const LARGE: usize = 1_000;
/// Share of the limit that an upstream bears in four seconds, and requests beyond it.
const BORNE: (f64, f64) = (1.5, 5.0);

const SIZES: [usize; 5] = [7, 77, 195, 300, 1_500];

struct Case {
    name: &'static str,
    rate: f64,
    upstreams: usize,
    /// Requests a second of all callers, of those that the upstreams take.
    demand: f64,
    restarts: f64,
    late: f64,
    lost: f64,
    cut: Duration,
}

const CALM: Duration = Duration::ZERO;

fn cases() -> Vec<Case> {
    let case = |name, rate, upstreams, demand| Case {
        name,
        rate,
        upstreams,
        demand,
        restarts: 0.0,
        late: 1.0,
        lost: 0.0,
        cut: CALM,
    };
    let cut = Duration::from_secs(10);
    vec![
        case("one a second, few callers", 1.0, 4, 0.5),
        case("one a second, many callers", 1.0, 4, 3.0),
        case("a fifth a second", 0.2, 20, 3.0),
        case("ten a second", 10.0, 4, 2.0),
        case("two hundred a second", 200.0, 1, 1.2),
        Case { restarts: 1.0, ..case("restarts", 1.0, 4, 3.0) },
        Case { late: 3.0, lost: 0.1, ..case("late heartbeats, lost questions", 1.0, 4, 3.0) },
        Case { late: 3.0, lost: 0.1, restarts: 1.0, cut, ..case("all of it", 2.0, 4, 3.0) },
        Case { cut, ..case("a fifth is cut off", 2.0, 4, 3.0) },
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
        lasts: Duration::from_secs(30),
    }
}

/// Returns the most that an upstream got in four seconds and the mean share that was used.
fn play(case: &Case, gateways: usize, way: Way) -> (usize, f64) {
    let plays = if gateways < LARGE { PLAYS.0 } else { PLAYS.1 };
    let played: Vec<_> =
        (0..plays).map(|seed| Fleet::new(load(case, gateways), way, seed).play()).collect();
    let most = played.iter().map(|p| p.most).max().unwrap_or_default();
    (most, played.iter().map(|p| p.used).sum::<f64>() / played.len() as f64)
}

fn borne(case: &Case) -> usize {
    (BORNE.0 * case.rate * 4.0 + BORNE.1) as usize
}

/// No upstream gets more than it bears, and asking other gateways never costs callers.
fn check(sizes: &[usize]) {
    for case in cases() {
        for &gateways in sizes {
            let (name, borne) = (case.name, borne(&case));
            let [asking, alone] = [Way::Asking, Way::FewHolders].map(|way| {
                let (most, used) = play(&case, gateways, way);
                assert!(most <= borne, "{name}, {gateways}, {way:?}: {most} of {borne} borne");
                used
            });
            assert!(asking >= alone, "{name}, {gateways}: {asking} used, {alone} without asking");
        }
    }
}

#[test]
fn no_upstream_gets_more_than_it_bears_from_few_gateways() {
    check(&SIZES[..2]);
}

#[test]
fn no_upstream_gets_more_than_it_bears_from_some_hundred_gateways() {
    check(&SIZES[2..4]);
}

#[test]
fn no_upstream_gets_more_than_it_bears_from_the_gateways_of_the_plan() {
    check(&SIZES[4..]);
}

/// The table of docs/design/signals.md.
#[test]
#[ignore = "by hand: it compares ways to keep a limit"]
fn ways_to_keep_a_limit() {
    for case in cases() {
        for gateways in SIZES {
            let ways = Way::ALL.map(|way| {
                let (most, used) = play(&case, gateways, way);
                format!("{most}, {used:.2}")
            });
            println!("| {} | {gateways} | {} | {} |", case.name, borne(&case), ways.join(" | "));
        }
    }
}
