//! Which gateways call the platform's store for changes, and when, through outages of different
//! kinds and lengths: how late all gateways know a confirmed change, and how many calls it takes.

#[path = "readers/mod.rs"]
mod readers;

use std::time::Duration;

use proptest::prelude::*;
use readers::{Outages, Plan, World};
use tackhollow::gateway::decide::{Backoff, READER_COUNT, ReaderCandidate, reader_rank};

/// Number of gateways, and number of seeds that are simulated with it.
const SIZES: [(usize, u64); 3] = [(7, 400), (77, 40), (195, 12)];
/// Time within which all gateways know a confirmed change, whatever outage of the store came
/// before, in milliseconds: half of the operators' bound.
const TARGET_MS: u64 = 1_000;
/// The same if all readers, or a third of the gateways, fail at that moment: the operators' bound.
const BOUND_MS: u64 = 2_000;
/// Calls a second on one table by the readers.
const READER_RATE: f64 = 2.0;
/// Calls a second on one table by other gateways while their knowledge is old.
const FALLBACK_RATE: f64 = 2.5;
/// Time after which readers that the store does not answer are known as such and replaced, in
/// seconds.
const REPLACED_AFTER_S: u64 = 3;
/// Upper bound of the length of an outage, in milliseconds.
const MAX_OUTAGE_MS: u64 = 9_000;

/// Failure of gateways in addition to the outage of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GatewayFailure {
    None,
    /// One of the readers is killed, cut off from the store or frozen.
    OneReader,
    /// All readers are cut off from the store.
    AllReaders,
    /// All readers are killed.
    ReadersKilled,
    /// A third of the gateways, readers or not, is cut off from the store.
    OneThird,
}

/// Generates a world; returns it with the time at which a change is confirmed in it.
fn generate(rng: &mut fastrand::Rng, gateways: usize, failure: GatewayFailure) -> (World, u64) {
    let begins = 2_000 + rng.u64(..1_500);
    let back = begins + if rng.bool() { rng.u64(..MAX_OUTAGE_MS) } else { 0 };
    let confirmed = back + rng.u64(..1_000);
    let mut outages = Outages::default();
    match rng.u8(..3) {
        0 => outages.refusing.push(begins..back),
        1 => outages.silent.push(begins..back),
        _ => outages.silent.extend([begins..begins, begins + 300..back.max(begins + 300)]),
    }
    let until = confirmed + 3_000;
    // Gateways fail shortly before the change: the others would have noticed an earlier failure.
    let failed_at = confirmed - rng.u64(..500).min(confirmed);
    let mut plans = vec![Plan::default(); gateways];
    let cut = Plan { cut: Some(failed_at..until), ..Plan::default() };
    let dead = Plan { dies: Some(failed_at), ..Plan::default() };
    let frozen = Plan { frozen: Some(failed_at..until), ..Plan::default() };
    match failure {
        GatewayFailure::None => {}
        GatewayFailure::OneReader => {
            plans[rng.usize(..READER_COUNT)] = [cut, dead, frozen][rng.usize(..3)].clone();
        }
        GatewayFailure::AllReaders => plans[..READER_COUNT].fill(cut),
        GatewayFailure::ReadersKilled => plans[..READER_COUNT].fill(dead),
        GatewayFailure::OneThird => {
            (0..gateways).filter(|i| i % 3 == 0).for_each(|i| plans[i] = cut.clone());
        }
    }
    // The first change is confirmed before the outage, so that all readers call again together.
    let changes = vec![begins - rng.u64(..500), confirmed];
    (World::new(rng.u64(..), plans, outages, changes), confirmed)
}

/// Returns the time from the confirmation until the last living gateway knew the change.
fn latest(world: &mut World, confirmed: u64, gateways: usize) -> u64 {
    let knew = world.play(confirmed + 3_000);
    let living = (0..gateways).filter(|i| world.lives(*i));
    let known = living.map(|i| knew[i].unwrap_or(u64::MAX));
    known.max().map_or(0, |t| t.saturating_sub(confirmed))
}

#[test]
fn a_confirmed_change_is_known_to_all_gateways_in_time() {
    struct Case {
        failure: GatewayFailure,
        within: u64,
    }
    let cases = [
        Case { failure: GatewayFailure::None, within: TARGET_MS },
        Case { failure: GatewayFailure::OneReader, within: TARGET_MS },
        Case { failure: GatewayFailure::OneThird, within: BOUND_MS },
        Case { failure: GatewayFailure::AllReaders, within: BOUND_MS },
        Case { failure: GatewayFailure::ReadersKilled, within: BOUND_MS },
    ];
    let mut late = Vec::new();
    for case in cases {
        for (gateways, seeds) in SIZES {
            let mut worst = 0;
            for seed in 0..seeds {
                let mut rng = fastrand::Rng::with_seed(seed);
                let (mut world, confirmed) = generate(&mut rng, gateways, case.failure);
                // A frozen gateway cannot learn anything.
                let after = match case.failure {
                    GatewayFailure::OneReader => {
                        latest_of_non_readers(&mut world, confirmed, gateways)
                    }
                    _ => latest(&mut world, confirmed, gateways),
                };
                worst = worst.max(after);
                if after > case.within {
                    late.push(format!(
                        "{gateways} gateways, {:?}, seed {seed}: {after} ms",
                        case.failure
                    ));
                }
            }
            println!("{gateways} gateways, {:?}: {worst} ms at most", case.failure);
        }
    }
    assert!(late.is_empty(), "{} cases too late:\n{}", late.len(), late.join("\n"));
}

/// As [`latest`], without the readers, one of which may be frozen.
fn latest_of_non_readers(world: &mut World, confirmed: u64, gateways: usize) -> u64 {
    let knew = world.play(confirmed + 3_000);
    let known = (READER_COUNT..gateways).map(|i| knew[i].unwrap_or(u64::MAX));
    known.max().map_or(0, |t| t.saturating_sub(confirmed))
}

#[test]
fn the_estimated_age_of_knowledge_matches_its_true_age() {
    for (gateways, seeds) in SIZES {
        for seed in 0..seeds.min(20) {
            let mut rng = fastrand::Rng::with_seed(seed);
            let (mut world, confirmed) = generate(&mut rng, gateways, GatewayFailure::OneThird);
            for until in (0..confirmed).step_by(500) {
                world.play(until);
                for i in 0..gateways {
                    let (believed, truth) = world.ages(i);
                    // Clock readings are as old as their transmission took.
                    let transmission = Duration::from_millis(20);
                    assert!(
                        believed + transmission >= truth,
                        "{gateways} gateways, seed {seed}: {believed:?}, true age {truth:?}"
                    );
                    assert!(
                        believed <= truth + transmission,
                        "{gateways} gateways, seed {seed}: {believed:?}, true age {truth:?}"
                    );
                }
            }
        }
    }
}

/// Counts the calls on one table in nine seconds. Each call is billed, so their number must not
/// depend on the number of gateways.
#[test]
fn calls_do_not_grow_with_the_gateways() {
    struct Case {
        name: &'static str,
        is_cut: fn(usize) -> bool,
        /// Calls a second, without the first call of each reader.
        rate: f64,
    }
    let cases = [
        Case { name: "none cut off", is_cut: |_| false, rate: READER_RATE },
        Case { name: "a third cut off", is_cut: |i| i % 3 == 0, rate: READER_RATE + FALLBACK_RATE },
        Case {
            name: "the readers cut off",
            is_cut: |i| i < READER_COUNT,
            rate: READER_RATE + FALLBACK_RATE,
        },
        Case { name: "all cut off", is_cut: |_| true, rate: READER_RATE + FALLBACK_RATE },
    ];
    let seconds = 9;
    for case in cases {
        for (gateways, _) in SIZES {
            let plan = |i| match (case.is_cut)(i) {
                true => Plan { cut: Some(0..seconds * 1_000), ..Plan::default() },
                false => Plan::default(),
            };
            let plans = (0..gateways).map(plan).collect();
            let mut world = World::new(7, plans, Outages::default(), Vec::new());
            world.play(seconds * 1_000);
            let calls = world.calls as f64;
            println!("{}, {gateways} gateways: {calls} calls", case.name);
            // The first readers, and those that replace them, start with one call each.
            let first_calls = READER_COUNT as u64 * (1 + seconds / REPLACED_AFTER_S);
            let most = case.rate * seconds as f64 + first_calls as f64;
            assert!(
                calls <= most,
                "{}, {gateways} gateways: {calls} calls, {most} at most",
                case.name
            );
            assert!(
                calls >= READER_RATE * (seconds - 1) as f64,
                "{}, {gateways} gateways: too few calls",
                case.name
            );
        }
    }
}

#[test]
fn backoff_grows_with_each_failure_and_resets() {
    let mut backoff = Backoff::default();
    let delays: Vec<u128> = (0..5).map(|_| backoff.record_failure(0.0).as_millis()).collect();
    assert_eq!(delays, [300, 600, 1_000, 1_000, 1_000]);
    backoff.record_success();
    assert_eq!(backoff.record_failure(1.0).as_millis(), 180, "delays have jitter");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Checks that the right number of gateways are readers, and that none of them is one that the
    /// store does not answer while it answers enough others.
    #[test]
    fn a_bounded_number_of_gateways_reads_the_store(unanswered in prop::collection::vec(any::<bool>(), 1..100)) {
        let ids: Vec<String> = (0..unanswered.len()).map(|i| format!("p{i:03}")).collect();
        let readers: Vec<ReaderCandidate<'_>> = ids.iter().zip(&unanswered)
            .map(|(process, store_unreachable)| ReaderCandidate { store_unreachable: *store_unreachable, process })
            .collect();
        let rank_of = |own: &ReaderCandidate<'_>| reader_rank(*own, readers.iter().copied().filter(|r| r != own));
        let reading: Vec<&ReaderCandidate<'_>> = readers.iter().filter(|own| rank_of(own).is_some()).collect();
        prop_assert_eq!(reading.len(), readers.len().min(READER_COUNT));
        if unanswered.iter().filter(|unanswered| !**unanswered).count() >= READER_COUNT {
            prop_assert!(reading.iter().all(|r| !r.store_unreachable));
        }
        let mut ranks: Vec<usize> = readers.iter().filter_map(rank_of).collect();
        ranks.sort_unstable();
        prop_assert_eq!(ranks, (0..reading.len()).collect::<Vec<_>>(), "each reader has its own rank");
    }
}
