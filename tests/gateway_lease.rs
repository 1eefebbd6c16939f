//! The lease on the singleton duties: who may act, and when another process may take it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use tackhollow::{
    control::{HeardClaim, Lease, LeaseAction, LeaseClaim, LeaseRow, LeaseTiming},
    gateway::board::{LeaseView, OwnLease},
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_released_lease_can_be_taken_immediately() {
    let timing = LeaseTiming { ttl: ms(3_200), margin: ms(700) };
    let now = Instant::now();
    let mut holder = Lease::new("a".to_owned(), timing);
    let LeaseAction::Write { row, .. } = holder.next_action(now) else {
        panic!("the lease is free");
    };
    holder.written(1, row.clone(), now, now);
    let mut other = Lease::new("b".to_owned(), timing);
    other.observe(1, Some(row), now);
    assert_eq!(other.next_action(now + ms(100)), LeaseAction::Wait);
    let (version, released) = holder.release(now).expect("the lease was held");
    assert_eq!((version, holder.may_order(now)), (1, None), "no orders after the release");
    other.observe(2, Some(released), now + ms(100));
    let LeaseAction::Write { row_version, row } = other.next_action(now + ms(101)) else {
        panic!("the lease is free again");
    };
    assert_eq!((row_version, row.holder.as_str(), row.fence), (2, "b", 2));
    assert_eq!(holder.release(now), None, "a lease is released only once");
}

#[test]
fn a_process_takes_the_lease_of_its_predecessor_immediately() {
    struct Case {
        name: &'static str,
        holder: &'static str,
        is_taken: bool,
    }
    let cases = [
        Case { name: "an earlier process of this host", holder: "host-1.5f", is_taken: true },
        Case { name: "another host", holder: "host-2.5f", is_taken: false },
        Case {
            name: "a host whose name has the same prefix",
            holder: "host-1.a.5f",
            is_taken: false,
        },
        Case { name: "no incarnation", holder: "host-1", is_taken: false },
    ];
    let timing = LeaseTiming { ttl: ms(3_200), margin: ms(700) };
    for case in cases {
        let now = Instant::now();
        let mut lease = Lease::new("host-1.77".to_owned(), timing).of_host("host-1".to_owned());
        let row =
            LeaseRow { holder: case.holder.to_owned(), fence: 4, renewal: 9, recent: Vec::new() };
        lease.observe(12, Some(row), now);
        assert_eq!(lease.is_inherited(), case.is_taken, "{}", case.name);
        match lease.next_action(now + ms(10)) {
            LeaseAction::Wait => assert!(!case.is_taken, "{}", case.name),
            LeaseAction::Write { row_version, row } => {
                assert!(case.is_taken, "{}", case.name);
                assert_eq!((row_version, row.fence), (12, 5), "{}", case.name);
            }
        }
    }
}

/// Guards against a row of an older build being taken for one that no other host held lately.
#[test]
fn a_row_that_names_no_recent_holders_counts_as_held_by_any() {
    struct Case {
        name: &'static str,
        row: &'static str,
        after: Duration,
        is_taken: bool,
    }
    let released = r#"{"holder":"","fence":4,"renewal":9}"#;
    let named = r#"{"holder":"","fence":4,"renewal":9,"recent":[{"host":"host-2","idle_ms":0}]}"#;
    let own = r#"{"holder":"host-1.5f","fence":4,"renewal":9}"#;
    let cases = [
        Case { name: "older build, at once", row: released, after: ms(10), is_taken: false },
        Case { name: "older build, lapsed", row: released, after: ms(3_300), is_taken: true },
        Case { name: "older build, own host", row: own, after: ms(10), is_taken: true },
        Case { name: "another host's", row: named, after: ms(10), is_taken: true },
    ];
    let timing = LeaseTiming { ttl: ms(3_200), margin: ms(700) };
    for case in cases {
        let now = Instant::now();
        let mut lease = Lease::new("host-1.77".to_owned(), timing).of_host("host-1".to_owned());
        lease.observe(12, serde_json::from_str(case.row).expect("a row"), now);
        let action = lease.next_action(now + case.after);
        assert_eq!(action != LeaseAction::Wait, case.is_taken, "{}", case.name);
    }
}

#[test]
fn a_lease_is_taken_once_its_holders_claim_has_expired() {
    struct Case {
        name: &'static str,
        claim: LeaseClaim,
        /// When the lease is tried for, in milliseconds after the claim was received.
        at_ms: u64,
        is_taken: bool,
    }
    let claim = LeaseClaim { fence: 4, renewal: 9, age_ms: 2_000, given_up: false };
    let cases = [
        Case { name: "valid claim", claim, at_ms: 1_100, is_taken: false },
        Case { name: "expired claim", claim, at_ms: 1_300, is_taken: true },
        Case {
            name: "claim older than the last renewal",
            claim: LeaseClaim { renewal: 8, ..claim },
            at_ms: 1_300,
            is_taken: false,
        },
        Case {
            name: "claim of an earlier lease",
            claim: LeaseClaim { fence: 3, ..claim },
            at_ms: 1_300,
            is_taken: false,
        },
        Case {
            name: "given up, but calls of the holder may be in flight",
            claim: LeaseClaim { given_up: true, ..claim },
            at_ms: 200,
            is_taken: false,
        },
        Case {
            name: "given up before a delayed renewal arrived",
            claim: LeaseClaim { given_up: true, renewal: 8, ..claim },
            at_ms: 400,
            is_taken: true,
        },
    ];
    let timing = LeaseTiming { ttl: ms(3_200), margin: ms(700) };
    for case in cases {
        let now = Instant::now();
        let mut lease = Lease::new("host-1.77".to_owned(), timing);
        let holder = "host-2.5f".to_owned();
        lease.hear(HeardClaim { holder: holder.clone(), claim: case.claim, at: now });
        let later = now + ms(case.at_ms);
        lease.observe(
            12,
            Some(LeaseRow { holder, fence: 4, renewal: 9, recent: Vec::new() }),
            later,
        );
        let is_taken = matches!(lease.next_action(later), LeaseAction::Write { .. });
        assert_eq!(is_taken, case.is_taken, "{}", case.name);
    }
}

#[test]
fn a_given_up_claim_counts_from_its_first_report() {
    let now = Instant::now();
    let timing = LeaseTiming { ttl: ms(3_200), margin: ms(700) };
    let mut lease = Lease::new("host-1.77".to_owned(), timing);
    let holder = "host-2.5f".to_owned();
    let claim = LeaseClaim { fence: 4, renewal: 9, age_ms: 1_600, given_up: false };
    let hear = |lease: &mut Lease, at_ms, claim| {
        lease.hear(HeardClaim { holder: holder.clone(), claim, at: now + ms(at_ms) });
    };
    hear(&mut lease, 0, claim);
    // The claim is repeated in heartbeats for longer than a call of the holder may take.
    let given_up = LeaseClaim { given_up: true, ..claim };
    (1..10).for_each(|i| hear(&mut lease, i * 150, given_up));
    hear(&mut lease, 1_400, LeaseClaim { fence: 3, ..given_up });
    let later = now + ms(1_450);
    lease.observe(
        12,
        Some(LeaseRow { holder: holder.clone(), fence: 4, renewal: 9, recent: Vec::new() }),
        later,
    );
    assert!(matches!(lease.next_action(later), LeaseAction::Write { .. }), "the lease is free");
}

#[test]
fn a_given_up_lease_does_not_allow_acting() {
    let now = Instant::now();
    let own = OwnLease { fence: 4, renewal: 9, sent: now, until: now + ms(2_500), given_up: false };
    let mut view = LeaseView { own: Some(own) };
    assert_eq!(view.may_act(now + ms(2_000)), Some(4));
    assert_eq!(view.may_act(now + ms(2_500)), None, "the lease has expired");
    view.give_up();
    assert_eq!(view.may_act(now + ms(100)), None);
    let claim = LeaseClaim { fence: 4, renewal: 9, age_ms: 100, given_up: true };
    assert_eq!(view.claim(now + ms(100)), Some(claim), "the claim is still reported");
    assert_eq!(view.claim(now + ms(60_000)), None, "the claim is no longer reported");
}

/// Fencing tokens that each era of the table reserves in these tests.
const TOKENS_PER_ERA: u64 = 1_000;

#[test]
fn a_row_of_an_earlier_era_is_taken_after_its_time_to_live_alone() {
    struct Case {
        name: &'static str,
        /// Holder in the row.
        holder: &'static str,
        /// Fencing token of the row.
        fence: u64,
        /// Time after the read of the row.
        after: Duration,
        /// Fencing token with which the lease is taken; `None` if the process waits.
        taken: Option<u64>,
    }
    let soon = ms(10);
    let lapsed = ms(3_300);
    let cases = [
        Case { name: "released", holder: "", fence: 7, after: soon, taken: None },
        Case { name: "released, lapsed", holder: "", fence: 7, after: lapsed, taken: Some(1_000) },
        Case { name: "inherited", holder: "host-1.5f", fence: 7, after: soon, taken: None },
        Case {
            name: "inherited, lapsed",
            holder: "host-1.5f",
            fence: 7,
            after: lapsed,
            taken: Some(1_000),
        },
        Case { name: "own, not held", holder: "host-1.77", fence: 7, after: soon, taken: None },
        Case {
            name: "inherited, of this era",
            holder: "host-1.5f",
            fence: 1_004,
            after: soon,
            taken: Some(1_005),
        },
    ];
    let timing = LeaseTiming { ttl: ms(3_200), margin: ms(700) };
    for case in cases {
        let now = Instant::now();
        let mut lease = Lease::new("host-1.77".to_owned(), timing).of_host("host-1".to_owned());
        let row = LeaseRow {
            holder: case.holder.to_owned(),
            fence: case.fence,
            renewal: 9,
            recent: Vec::new(),
        };
        lease.observe(12, Some(row), now);
        lease.raise_fences(TOKENS_PER_ERA);
        let taken = match lease.next_action(now + case.after) {
            LeaseAction::Write { row, .. } => Some(row.fence),
            LeaseAction::Wait => None,
        };
        assert_eq!(taken, case.taken, "{}", case.name);
    }
}

/// A step of the property below.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A process reads the row and acts on it.
    Act { process: usize, pause_ms: u64, is_answered: bool },
    /// The table is copied.
    Copy,
    /// The table returns from its copy.
    Return,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (0usize..3, 0u64..6_000, any::<bool>())
            .prop_map(|(process, pause_ms, is_answered)| Step::Act { process, pause_ms, is_answered }),
        1 => Just(Step::Copy),
        1 => Just(Step::Return),
    ]
}

proptest! {
    #[test]
    fn one_process_holds_the_lease_though_its_table_returns_from_copies(
        steps in prop::collection::vec(step(), 1..160)
    ) {
        let timing = LeaseTiming { ttl: ms(10_000), margin: ms(4_000) };
        let mut leases = ["a", "b", "c"].map(|name| Lease::new(name.to_owned(), timing));
        // The first row is in every copy.
        let first = LeaseRow { holder: String::new(), fence: 1, renewal: 1, recent: Vec::new() };
        let mut row = (1, Some(first));
        let mut copy = row.clone();
        let mut era = 0;
        let mut now = Instant::now();
        let mut owners: HashMap<u64, String> = HashMap::new();
        for step in steps {
            match step {
                Step::Copy => copy = row.clone(),
                Step::Return => {
                    era += 1;
                    row = (copy.0 + 1_000_000 * era, copy.1.clone());
                }
                Step::Act { process, pause_ms, is_answered } => {
                    let lease = &mut leases[process];
                    let sent = now;
                    lease.observe(row.0, row.1.clone(), now);
                    lease.raise_fences(era * TOKENS_PER_ERA);
                    if let LeaseAction::Write { row_version, row: next } = lease.next_action(now) {
                        prop_assert_eq!(row_version, row.0);
                        row = (row.0 + 1, Some(next.clone()));
                        let owner = owners.entry(next.fence).or_insert_with(|| next.holder.clone());
                        prop_assert_eq!(&*owner, &next.holder, "a token was given out twice");
                        now += ms(pause_ms);
                        if is_answered {
                            lease.written(row.0, next, sent, now);
                        }
                    }
                    now += ms(pause_ms / 2);
                }
            }
            let holders = leases.iter().filter(|l| l.may_order(now).is_some()).count();
            prop_assert!(holders <= 1, "{} holders", holders);
        }
    }
}
