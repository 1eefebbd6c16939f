//! The lease on the singleton duties: who may act, and when another process may take it.

use std::time::{Duration, Instant};

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
    let (version, released) = holder.release().expect("the lease was held");
    assert_eq!((version, holder.may_order(now)), (1, None), "no orders after the release");
    other.observe(2, Some(released), now + ms(100));
    let LeaseAction::Write { row_version, row } = other.next_action(now + ms(101)) else {
        panic!("the lease is free again");
    };
    assert_eq!((row_version, row.holder.as_str(), row.fence), (2, "b", 2));
    assert_eq!(holder.release(), None, "a lease is released only once");
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
        let row = LeaseRow { holder: case.holder.to_owned(), fence: 4, renewal: 9 };
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
        lease.observe(12, Some(LeaseRow { holder, fence: 4, renewal: 9 }), later);
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
    lease.observe(12, Some(LeaseRow { holder: holder.clone(), fence: 4, renewal: 9 }), later);
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
