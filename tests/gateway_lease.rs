//! The lease on the duties: who may act, and when another may take it.

use std::time::{Duration, Instant};

use tackhollow::{
    control::{HeardClaim, Lease, LeaseAction, LeaseClaim, LeaseRow, LeaseTiming},
    gateway::board::{LeaseView, OwnLease},
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_lease_that_was_given_back_can_be_taken_at_once() {
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
    let (version, released) = holder.release().expect("it was held");
    assert_eq!((version, holder.may_order(now)), (1, None), "it gives no order from then on");
    other.observe(2, Some(released), now + ms(100));
    let LeaseAction::Write { row_version, row } = other.next_action(now + ms(101)) else {
        panic!("the lease is free again");
    };
    assert_eq!((row_version, row.holder.as_str(), row.fence), (2, "b", 2));
    assert_eq!(holder.release(), None, "it is given back once");
}

#[test]
fn a_host_takes_the_lease_of_its_earlier_process_at_once() {
    struct Case {
        name: &'static str,
        holder: &'static str,
        taken: bool,
    }
    let cases = [
        Case { name: "an earlier process of this host", holder: "host-1.5f", taken: true },
        Case { name: "another host", holder: "host-2.5f", taken: false },
        Case { name: "a host whose name begins alike", holder: "host-1.a.5f", taken: false },
        Case { name: "no incarnation", holder: "host-1", taken: false },
    ];
    let timing = LeaseTiming { ttl: ms(3_200), margin: ms(700) };
    for case in cases {
        let now = Instant::now();
        let mut lease = Lease::new("host-1.77".to_owned(), timing).of_host("host-1".to_owned());
        let row = LeaseRow { holder: case.holder.to_owned(), fence: 4, renewal: 9 };
        lease.observe(12, Some(row), now);
        assert_eq!(lease.is_inherited(), case.taken, "{}", case.name);
        match lease.next_action(now + ms(10)) {
            LeaseAction::Wait => assert!(!case.taken, "{}", case.name),
            LeaseAction::Write { row_version, row } => {
                assert!(case.taken, "{}", case.name);
                assert_eq!((row_version, row.fence), (12, 5), "{}", case.name);
            }
        }
    }
}

#[test]
fn a_lease_is_taken_once_its_holder_s_claim_is_over() {
    struct Case {
        name: &'static str,
        claim: LeaseClaim,
        /// When the lease is asked for, after the claim was heard.
        at: u64,
        taken: bool,
    }
    let claim = LeaseClaim { fence: 4, renewal: 9, age_ms: 2_000, given_up: false };
    let cases = [
        Case { name: "it runs", claim, at: 1_100, taken: false },
        Case { name: "it has run out", claim, at: 1_300, taken: true },
        Case {
            name: "it was renewed since",
            claim: LeaseClaim { renewal: 8, ..claim },
            at: 1_300,
            taken: false,
        },
        Case {
            name: "it is another one's",
            claim: LeaseClaim { fence: 3, ..claim },
            at: 1_300,
            taken: false,
        },
        Case {
            name: "given up, calls may be on the way",
            claim: LeaseClaim { given_up: true, ..claim },
            at: 200,
            taken: false,
        },
        Case {
            name: "given up before a renewal that came late",
            claim: LeaseClaim { given_up: true, renewal: 8, ..claim },
            at: 400,
            taken: true,
        },
    ];
    let timing = LeaseTiming { ttl: ms(3_200), margin: ms(700) };
    for case in cases {
        let now = Instant::now();
        let mut lease = Lease::new("host-1.77".to_owned(), timing);
        let holder = "host-2.5f".to_owned();
        lease.hear(HeardClaim { holder: holder.clone(), claim: case.claim, at: now });
        let later = now + ms(case.at);
        lease.observe(12, Some(LeaseRow { holder, fence: 4, renewal: 9 }), later);
        let taken = matches!(lease.next_action(later), LeaseAction::Write { .. });
        assert_eq!(taken, case.taken, "{}", case.name);
    }
}

#[test]
fn a_claim_given_up_counts_from_the_first_time_it_is_heard() {
    let now = Instant::now();
    let timing = LeaseTiming { ttl: ms(3_200), margin: ms(700) };
    let mut lease = Lease::new("host-1.77".to_owned(), timing);
    let holder = "host-2.5f".to_owned();
    let claim = LeaseClaim { fence: 4, renewal: 9, age_ms: 1_600, given_up: false };
    let hear = |lease: &mut Lease, at, claim| {
        lease.hear(HeardClaim { holder: holder.clone(), claim, at: now + ms(at) });
    };
    hear(&mut lease, 0, claim);
    // Heartbeats repeat it more often than a call of the holder may take.
    let given_up = LeaseClaim { given_up: true, ..claim };
    (1..10).for_each(|i| hear(&mut lease, i * 150, given_up));
    hear(&mut lease, 1_400, LeaseClaim { fence: 3, ..given_up });
    let later = now + ms(1_450);
    lease.observe(12, Some(LeaseRow { holder: holder.clone(), fence: 4, renewal: 9 }), later);
    assert!(matches!(lease.next_action(later), LeaseAction::Write { .. }), "it is free");
}

#[test]
fn a_lease_that_was_given_up_is_not_acted_on() {
    let now = Instant::now();
    let own = OwnLease { fence: 4, renewal: 9, sent: now, until: now + ms(2_500), given_up: false };
    let mut view = LeaseView { own: Some(own) };
    assert_eq!(view.may_act(now + ms(2_000)), Some(4));
    assert_eq!(view.may_act(now + ms(2_500)), None, "it has lapsed");
    view.give_up();
    assert_eq!(view.may_act(now + ms(100)), None);
    let claim = LeaseClaim { fence: 4, renewal: 9, age_ms: 100, given_up: true };
    assert_eq!(view.claim(now + ms(100)), Some(claim), "the others are told");
    assert_eq!(view.claim(now + ms(60_000)), None, "for a while");
}
