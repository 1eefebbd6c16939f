//! Which gateways call the platform's store, and how often, while it answers all,
//! some or none of them.

use std::time::Duration;

use proptest::prelude::*;
use tackhollow::gateway::decide::{Backoff, Reader, WATCHERS, reads_store};

/// Gateways: a small site, a grown one, a large one.
const SIZES: [usize; 3] = [7, 77, 195];
/// Length of the outage that is played.
const OUTAGE: Duration = Duration::from_secs(9);
/// Between looks of a gateway at whether it should read.
const STEP: Duration = Duration::from_millis(100);
/// Time until a gateway has heard from any other, at 195.
const NEWS: Duration = Duration::from_millis(1_200);

struct Gateway {
    id: String,
    /// Whether the store answers it.
    answered: bool,
    /// Since when it knows that the store does not answer it.
    away_since: Option<Duration>,
    backoff: Backoff,
    next_call: Duration,
}

/// Plays an outage for those gateways that `is_away` names; returns the calls.
fn calls(gateways: usize, is_away: impl Fn(usize) -> bool) -> usize {
    let mut all: Vec<Gateway> = (0..gateways)
        .map(|i| Gateway {
            id: format!("frontend-{i:03}"),
            answered: !is_away(i),
            away_since: None,
            backoff: Backoff::default(),
            next_call: Duration::ZERO,
        })
        .collect();
    let (mut calls, mut now) = (0, Duration::ZERO);
    while now < OUTAGE {
        for i in 0..all.len() {
            let told = |g: &Gateway| g.away_since.is_some_and(|t| now >= t + NEWS);
            let own = Reader { turned_away: all[i].away_since.is_some(), process: &all[i].id };
            let others = all.iter().enumerate().filter(|(n, _)| *n != i);
            let others = others.map(|(_, g)| Reader { turned_away: told(g), process: &g.id });
            if !reads_store(own, others) || now < all[i].next_call {
                continue;
            }
            calls += 1;
            let gateway = &mut all[i];
            if gateway.answered {
                // A feed without changes.
                gateway.next_call = now + Duration::from_secs(4);
                continue;
            }
            gateway.away_since.get_or_insert(now);
            gateway.next_call = now + gateway.backoff.failed(0.5);
        }
        now += STEP;
    }
    calls
}

/// Before, each gateway that was turned away called on every 300 ms: 65 of 195 made
/// 1,950 calls on each of two tables.
#[test]
fn calls_in_an_outage_do_not_grow_with_the_gateways() {
    struct Case {
        name: &'static str,
        is_away: fn(usize) -> bool,
        most: usize,
    }
    let cases = [
        Case { name: "none away", is_away: |_| false, most: 3 * WATCHERS },
        Case { name: "a third away", is_away: |i| i % 3 == 0, most: 30 },
        Case { name: "the first ones away", is_away: |i| i < 5, most: 40 },
        Case { name: "all away", is_away: |_| true, most: 12 * OUTAGE.as_secs() as usize },
    ];
    for case in cases {
        for gateways in SIZES {
            let calls = calls(gateways, case.is_away);
            assert!(calls <= case.most, "{} of {gateways}: {calls} calls", case.name);
            assert!(calls >= WATCHERS, "{} of {gateways}: somebody looks", case.name);
        }
    }
}

#[test]
fn pauses_grow_with_each_failure_and_begin_anew() {
    let mut backoff = Backoff::default();
    let pauses: Vec<u128> = (0..5).map(|_| backoff.failed(0.0).as_millis()).collect();
    assert_eq!(pauses, [300, 600, 1_000, 1_000, 1_000]);
    backoff.answered();
    assert_eq!(backoff.failed(1.0).as_millis(), 180, "a part is left to chance");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Whoever is turned away: a few read, and never one that is turned away while
    /// enough others are not.
    #[test]
    fn a_few_read_the_store(turned_away in prop::collection::vec(any::<bool>(), 1..100)) {
        let ids: Vec<String> = (0..turned_away.len()).map(|i| format!("p{i:03}")).collect();
        let readers: Vec<Reader<'_>> = ids.iter().zip(&turned_away)
            .map(|(process, turned_away)| Reader { turned_away: *turned_away, process })
            .collect();
        let reading: Vec<&Reader<'_>> = readers.iter()
            .filter(|own| reads_store(**own, readers.iter().copied().filter(|r| r != *own)))
            .collect();
        prop_assert_eq!(reading.len(), readers.len().min(WATCHERS));
        if turned_away.iter().filter(|away| !**away).count() >= WATCHERS {
            prop_assert!(reading.iter().all(|r| !r.turned_away));
        }
    }
}
