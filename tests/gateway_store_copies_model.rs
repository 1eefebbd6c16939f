//! How late all gateways know a change that a store confirms after it returned from a copy, for
//! two ways to tell that revisions are given out again.

#[path = "readers/mod.rs"]
mod readers;

use readers::{Outages, Plan, Return, Way, World};
use tackhollow::gateway::decide::READER_COUNT;

/// Number of gateways, and number of seeds that are simulated with it.
const SIZES: [(usize, u64); 5] = [(7, 400), (77, 40), (195, 12), (300, 6), (1_500, 8)];
/// Time within which all gateways know a confirmed change, in milliseconds: half of the operators'
/// bound.
const TARGET_MS: u64 = 1_000;
/// Simulated time after the change.
const WATCHED_MS: u64 = 3_000;
/// Time within which all gateways know it if all readers are cut off from the store, in
/// milliseconds: the operators' bound.
const BOUND_MS: u64 = 2_000;
/// Most changes that are lost, and most that are made between the return and the last change.
const MAX_CHANGES: u64 = 12;
/// The same where revisions are given out again far past the known ones.
const MANY_CHANGES: u64 = 300;

/// What else happens around a return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Beside {
    /// Nothing.
    Nothing,
    /// Many changes follow the return, or are lost.
    ManyChanges,
    /// A third of the gateways is cut off from the store from the return on.
    ThirdCutOff,
    /// All readers are cut off from the store from the return on.
    ReadersCutOff,
    /// A third of the gateways does nothing from before the outage until after the return.
    ThirdSuspended,
}

/// What a draw shows.
struct Played {
    /// Time from the confirmation of the last change until the last gateway knows it, in
    /// milliseconds; the watched time if one never does.
    latest_ms: u64,
    /// Calls to the store a second in the time watched.
    call_rate: f64,
}

fn latest(seed: u64, gateways: usize, way: Way) -> u64 {
    play_beside(seed, gateways, way, Beside::Nothing).latest_ms
}

fn play_beside(seed: u64, gateways: usize, way: Way, beside: Beside) -> Played {
    let mut rng = fastrand::Rng::with_seed(seed);
    let copied = 2_000 + rng.u64(..1_000);
    let away = copied + 500 + rng.u64(..3_000);
    let back = away + rng.u64(..3_000);
    let confirmed = back + rng.u64(..2_500);
    let most = if beside == Beside::ManyChanges { MANY_CHANGES } else { MAX_CHANGES };
    let mut changes: Vec<u64> = (0..rng.u64(..most)).map(|_| rng.u64(copied..away)).collect();
    changes.extend((0..rng.u64(..most)).map(|_| rng.u64(back..=confirmed)));
    changes.push(confirmed);
    changes.sort_unstable();
    let mut outages = Outages::default();
    outages.refusing.push(away..back);
    let until = confirmed + WATCHED_MS;
    let mut plans = vec![Plan::default(); gateways];
    let cut = Plan { cut: Some(back..until), ..Plan::default() };
    let suspended = Plan { frozen: Some(copied..confirmed), ..Plan::default() };
    match beside {
        Beside::Nothing | Beside::ManyChanges => {}
        Beside::ReadersCutOff => plans[..READER_COUNT].fill(cut),
        Beside::ThirdCutOff => plans.iter_mut().step_by(3).for_each(|p| *p = cut.clone()),
        Beside::ThirdSuspended => {
            plans.iter_mut().step_by(3).for_each(|p| *p = suspended.clone());
        }
    }
    let world = World::new(rng.u64(..), plans, outages, changes);
    let mut world = world.returning(Return { copied, back, way });
    world.play(confirmed);
    let calls_before = world.calls;
    let knew = world.play(until);
    let known = knew.into_iter().map(|at| at.unwrap_or(until));
    Played {
        latest_ms: known.max().map_or(0, |at| at.saturating_sub(confirmed)),
        call_rate: (world.calls - calls_before) as f64 * 1_000.0 / WATCHED_MS as f64,
    }
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

#[test]
fn a_change_is_known_in_time_whatever_happens_beside_a_return() {
    struct Case {
        beside: Beside,
        within: u64,
    }
    let cases = [
        Case { beside: Beside::ManyChanges, within: TARGET_MS },
        Case { beside: Beside::ThirdCutOff, within: BOUND_MS },
        Case { beside: Beside::ReadersCutOff, within: BOUND_MS },
        Case { beside: Beside::ThirdSuspended, within: BOUND_MS },
    ];
    let mut late = Vec::new();
    for Case { beside, within } in cases {
        for (gateways, seeds) in SIZES {
            let played: Vec<Played> = (0..seeds.div_ceil(4))
                .map(|seed| play_beside(seed, gateways, Way::Eras, beside))
                .collect();
            let worst = played.iter().map(|p| p.latest_ms).max().unwrap_or_default();
            let calls = played.iter().map(|p| p.call_rate).sum::<f64>() / played.len() as f64;
            println!("{gateways} gateways, {beside:?}: {worst} ms, {calls:.1} calls a second");
            if worst > within {
                late.push(format!("{gateways} gateways, {beside:?}: {worst} ms"));
            }
        }
    }
    assert!(late.is_empty(), "{late:#?}");
}
