//! Health checks of upstreams whose rows lapsed: who makes them, when, and what they change.

use tackhollow::gateway::{
    decide::{CheckRange, Removal, ShareHolder},
    model::Lifetime,
};

fn gateway(n: usize) -> ShareHolder {
    ShareHolder::new(&format!("frontend-bkk-{n}"))
}

fn upstreams(count: usize) -> impl Iterator<Item = Lifetime> {
    (0..count).map(|n| Lifetime::new(&format!("i-{n}"), None))
}

/// Returns how many of the gateways check each upstream, and how many upstreams the busiest one
/// checks.
fn count(gateways: usize, all: usize) -> (Vec<usize>, usize) {
    let known = || (0..gateways).map(gateway);
    let ranges: Vec<CheckRange> = known().map(|own| CheckRange::new(own, known())).collect();
    let checkers =
        upstreams(all).map(|u| ranges.iter().filter(|r| r.contains(u)).count()).collect();
    let busiest = ranges.iter().map(|r| upstreams(all).filter(|u| r.contains(*u)).count()).max();
    (checkers, busiest.unwrap_or_default())
}

#[test]
fn an_upstream_gets_the_same_number_of_checks_whatever_the_number_of_gateways() {
    struct Case {
        gateways: usize,
        upstreams: usize,
        checkers: usize,
        busiest: usize,
    }
    let cases = [
        Case { gateways: 1, upstreams: 20, checkers: 1, busiest: 20 },
        Case { gateways: 2, upstreams: 20, checkers: 2, busiest: 20 },
        Case { gateways: 7, upstreams: 100, checkers: 2, busiest: 70 },
        Case { gateways: 300, upstreams: 1_000, checkers: 2, busiest: 60 },
        Case { gateways: 1_000, upstreams: 3_000, checkers: 2, busiest: 60 },
        Case { gateways: 2_000, upstreams: 6_000, checkers: 2, busiest: 60 },
    ];
    for case in cases {
        let (checkers, busiest) = count(case.gateways, case.upstreams);
        assert!(checkers.iter().all(|n| *n == case.checkers), "{} gateways", case.gateways);
        assert!(busiest <= case.busiest, "{} gateways: {busiest}", case.gateways);
    }
}

#[test]
fn gateways_that_do_not_know_of_one_another_leave_no_upstream_unchecked() {
    let gateways = 100;
    // Each knows all but every tenth of the others.
    let range = |own: usize| {
        let known = (0..gateways).filter(move |n| !(n + own).is_multiple_of(10));
        CheckRange::new(gateway(own), known.map(gateway))
    };
    let ranges: Vec<CheckRange> = (0..gateways).map(range).collect();
    for upstream in upstreams(1_000) {
        assert!(ranges.iter().any(|r| r.contains(upstream)), "{upstream:?}");
    }
}

#[test]
fn an_upstream_is_used_while_it_passes_checks_and_no_longer_than_the_bound() {
    struct Case {
        name: &'static str,
        lapsed: bool,
        passed_check: u64,
        /// When its use ends, by the store's clock.
        end: u64,
        /// Earliest moment at which it is to be checked; `None` if it never is.
        checked_from: Option<u64>,
    }
    let cases = [
        Case {
            name: "not checked yet",
            lapsed: true,
            passed_check: 0,
            end: 11_900,
            checked_from: Some(11_000),
        },
        Case {
            name: "left, so not a lapse",
            lapsed: false,
            passed_check: 0,
            end: 11_900,
            checked_from: None,
        },
        Case {
            name: "passed early",
            lapsed: true,
            passed_check: 10_300,
            end: 11_900,
            checked_from: Some(11_000),
        },
        Case {
            name: "passed the first check",
            lapsed: true,
            passed_check: 11_000,
            end: 12_500,
            checked_from: Some(11_600),
        },
        Case {
            name: "passes for ever",
            lapsed: true,
            passed_check: 12_300,
            end: 13_500,
            checked_from: None,
        },
    ];
    for case in cases {
        let removal = Removal {
            revision: 3,
            last_seen: 10_000,
            store_back: 10_400,
            lapsed: case.lapsed,
            passed_check: case.passed_check,
            lost: false,
        };
        assert_eq!(removal.grace_period_end(), case.end, "{}", case.name);
        let checked_from = (10_000..14_000).find(|now| removal.needs_check(*now));
        assert_eq!(checked_from, case.checked_from, "{}", case.name);
    }
}
