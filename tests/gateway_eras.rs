//! Decisions that hold across the eras of the store: revisions that are given out again, usage
//! windows whose counts were stored, stored state of an earlier era, and repeated orders.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use proptest::prelude::*;
use tackhollow::gateway::{
    decide::{
        CapacityRecord, DurableState, QuotaLimiter, RolloutEnd, RolloutOrder, RolloutTracker,
        StoredWindows, UsageCounters,
    },
    model::{Revision, era_of, number_in_era, revision_in_era},
};

/// Greatest number that an era gives out.
const LAST_NUMBER: u64 = 9_999_999_999_999;

fn revision(era: u64, number: u64) -> Revision {
    revision_in_era(era, number).expect("in range")
}

proptest! {
    #[test]
    fn revisions_are_ordered_by_era_and_then_by_number(
        a in (0u64..1_000_000, 0u64..=LAST_NUMBER),
        b in (0u64..1_000_000, 0u64..=LAST_NUMBER),
    ) {
        let (first, second) = (revision(a.0, a.1), revision(b.0, b.1));
        prop_assert_eq!(first.cmp(&second), a.cmp(&b));
        prop_assert_eq!((era_of(first), number_in_era(first)), a);
    }

    #[test]
    fn stored_windows_are_known_whoever_tells_them(
        told in prop::collection::vec((0usize..3, 100u64..116), 0..40)
    ) {
        let mut gateways = [StoredWindows::default(); 3];
        told.iter().for_each(|(gateway, window)| gateways[*gateway].note(*window));
        let mut all = StoredWindows::default();
        gateways.into_iter().for_each(|known| all.merge(known));
        let stored: BTreeSet<u64> = told.iter().map(|(_, window)| *window).collect();
        for window in 90..120 {
            prop_assert_eq!(all.contains(window), stored.contains(&window), "window {}", window);
        }
    }
}

#[test]
fn revisions_and_eras_out_of_range_are_rejected() {
    struct Case {
        era: u64,
        number: u64,
    }
    let cases = [
        Case { era: 1, number: LAST_NUMBER + 1 },
        Case { era: u64::MAX, number: 1 },
        Case { era: u64::MAX / LAST_NUMBER, number: LAST_NUMBER },
    ];
    for Case { era, number } in cases {
        assert_eq!(revision_in_era(era, number), None, "{number} in era {era}");
    }
}

#[test]
fn state_of_an_earlier_era_grants_no_quota_and_leaves_its_windows_in_doubt() {
    struct Case {
        name: &'static str,
        stored_in: u64,
        is_outdated: bool,
    }
    let cases = [
        Case { name: "the same era", stored_in: 3, is_outdated: false },
        Case { name: "an earlier era", stored_in: 2, is_outdated: true },
    ];
    let now = Instant::now();
    let customer = "temple".to_owned();
    for Case { name, stored_in, is_outdated } in cases {
        let mut usage = UsageCounters::default();
        usage.count("a", 7, &customer);
        let levels = BTreeMap::from([(customer.clone(), 5.0)]);
        let state = DurableState::of(levels, &usage, CapacityRecord::default()).in_era(stored_in);
        let (bytes, _) = state.encode().expect("it encodes");
        let state = DurableState::decode(&bytes).expect("it decodes");
        assert_eq!(state.is_from_before(3), is_outdated, "{name}");
        let mut restored = UsageCounters::default();
        state.restore(&mut QuotaLimiter::new(now), &mut restored, is_outdated, now);
        assert_eq!(restored.total(7), usage.total(7), "{name}: counts");
        assert_eq!(restored.may_be_stored(7), is_outdated, "{name}: window in doubt");
        assert!(!restored.may_be_stored(8), "{name}: a later window");
    }
}

fn order(revision: Revision, destination: &str) -> RolloutOrder {
    RolloutOrder {
        service: "app".to_owned(),
        destination: destination.to_owned(),
        duration: Duration::from_secs(20),
        revision,
        started: 5,
    }
}

#[test]
fn an_order_that_a_returned_store_repeats_does_not_begin_anew() {
    struct Case {
        name: &'static str,
        read: RolloutOrder,
        /// Whether it is the order that has ended, as the store has it now.
        is_repeated: bool,
        /// Whether it is older, if a whole table lists it.
        is_older: bool,
    }
    let known = order(revision(1, 40), "v2");
    let cases = [
        Case {
            name: "the row of the copy",
            read: order(revision(2, 40), "v2"),
            is_repeated: true,
            is_older: false,
        },
        Case {
            name: "written again",
            read: order(revision(2, 44), "v2"),
            is_repeated: true,
            is_older: false,
        },
        Case {
            name: "an order before it",
            read: order(revision(2, 30), "v1"),
            is_repeated: false,
            is_older: true,
        },
        Case {
            name: "a later order",
            read: order(revision(2, 50), "v3"),
            is_repeated: false,
            is_older: false,
        },
        Case {
            name: "ordered once more",
            read: order(revision(1, 41), "v2"),
            is_repeated: false,
            is_older: false,
        },
    ];
    for case in cases {
        let mut rollouts = RolloutTracker::default();
        rollouts.add_order(known.clone(), true, 0.5);
        rollouts.end("app", known.revision, RolloutEnd::RolledBack);
        assert_eq!(known.is_repeated_by(&case.read), case.is_repeated, "{}", case.name);
        assert_eq!(known.is_newer_than_listed(&case.read), case.is_older, "{}", case.name);
        let is_new = rollouts.add_order(case.read.clone(), true, 0.5);
        assert_eq!(is_new, !case.is_repeated, "{}", case.name);
        let newest = rollouts.order("app").map(|o| o.revision);
        assert_eq!(newest, Some(case.read.revision), "{}", case.name);
        let has_ended = rollouts.views(6).any(|view| view.stage.name() == "rolled_back");
        assert_eq!(has_ended, case.is_repeated, "{}", case.name);
    }
}
