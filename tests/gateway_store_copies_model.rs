//! How late all gateways know a change that a store confirms after it returned from a copy, for
//! two ways to tell that revisions are given out again.

#[path = "readers/mod.rs"]
mod readers;

use readers::{Outages, Plan, Return, Way, World};

/// Number of gateways, and number of seeds that are simulated with it.
const SIZES: [(usize, u64); 5] = [(7, 400), (77, 40), (195, 12), (300, 6), (1_500, 8)];
/// Time within which all gateways know a confirmed change, in milliseconds: half of the operators'
/// bound.
const TARGET_MS: u64 = 1_000;
/// Simulated time after the change.
const WATCHED_MS: u64 = 3_000;
/// Most changes that are lost, and most that are made between the return and the last change.
const MAX_CHANGES: u64 = 12;

/// Returns the time from the confirmation of the last change until the last gateway knows it; the
/// watched time if one never does.
fn latest(seed: u64, gateways: usize, way: Way) -> u64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let copied = 2_000 + rng.u64(..1_000);
    let away = copied + 500 + rng.u64(..3_000);
    let back = away + rng.u64(..3_000);
    let confirmed = back + rng.u64(..2_500);
    let mut changes: Vec<u64> =
        (0..rng.u64(..MAX_CHANGES)).map(|_| rng.u64(copied..away)).collect();
    changes.extend((0..rng.u64(..MAX_CHANGES)).map(|_| rng.u64(back..=confirmed)));
    changes.push(confirmed);
    changes.sort_unstable();
    let mut outages = Outages::default();
    outages.refusing.push(away..back);
    let plans = vec![Plan::default(); gateways];
    let world = World::new(rng.u64(..), plans, outages, changes);
    let mut world = world.returning(Return { copied, back, way });
    let knew = world.play(confirmed + WATCHED_MS);
    let known = knew.into_iter().map(|at| at.unwrap_or(confirmed + WATCHED_MS));
    known.max().map_or(0, |at| at.saturating_sub(confirmed))
}

/// Returns the latest time over all seeds, and the number of seeds beyond the target.
fn play(gateways: usize, seeds: u64, way: Way) -> (u64, usize) {
    let times: Vec<u64> = (0..seeds).map(|seed| latest(seed, gateways, way)).collect();
    let late = times.iter().filter(|t| **t > TARGET_MS).count();
    let worst = times.into_iter().max().unwrap_or_default();
    println!("{gateways} gateways, {way:?}: {worst} ms at most, {late} of {seeds} late");
    (worst, late)
}

#[test]
fn a_change_confirmed_after_a_return_is_known_in_time_by_eras() {
    let worst = SIZES.map(|(gateways, seeds)| play(gateways, seeds, Way::Eras).0);
    assert!(worst.iter().all(|worst| *worst <= TARGET_MS), "{worst:?}");
}

#[test]
fn a_change_confirmed_after_a_return_is_missed_without_eras() {
    let late = SIZES.map(|(gateways, seeds)| play(gateways, seeds, Way::Refusals).1);
    assert!(late.iter().all(|late| *late > 0), "{late:?}");
}
