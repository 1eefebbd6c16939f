//! Grants of the room of a brittle upstream.

use std::time::{Duration, Instant};

use tackhollow::gateway::{
    decide::{GranteeId, RoomGrants},
    model::Lifetime,
};

const SLOTS: u32 = 10;
/// Requests that are granted room in ten slots.
const GRANTED: usize = 8;

fn upstream() -> Lifetime {
    Lifetime::new("i-1", None)
}

fn grantee(n: u8) -> GranteeId {
    Some(([10, 0, 0, n], 1).into())
}

/// Asks for room until it is denied; returns how often it was granted.
fn fill(grants: &mut RoomGrants, of: GranteeId, reported: u32, now: Instant) -> usize {
    let ask = |_: &usize| grants.grant(upstream(), of, SLOTS, reported, now).is_ok();
    (0..100).take_while(ask).count()
}

#[test]
fn room_is_granted_once_and_again_after_it_was_given_back() {
    let (mut grants, now) = (RoomGrants::default(), Instant::now());
    assert_eq!(fill(&mut grants, grantee(1), 0, now), GRANTED);
    assert_eq!(fill(&mut grants, None, 0, now), 0);
    grants.give_back(upstream(), grantee(2), false, now);
    assert_eq!(fill(&mut grants, None, 0, now), 0, "another gateway gives nothing back");
    grants.give_back(upstream(), grantee(1), false, now);
    assert_eq!(fill(&mut grants, None, 0, now), 1);
}

#[test]
fn room_that_is_never_given_back_is_granted_again_after_a_while() {
    let (mut grants, now) = (RoomGrants::default(), Instant::now());
    fill(&mut grants, grantee(1), 0, now);
    assert_eq!(fill(&mut grants, grantee(2), 0, now + Duration::from_secs(11)), 0);
    assert_eq!(fill(&mut grants, grantee(2), 0, now + Duration::from_secs(13)), GRANTED);
}

#[test]
fn a_gateway_that_takes_over_counts_what_the_others_report() {
    let (mut grants, now) = (RoomGrants::default(), Instant::now());
    assert_eq!(fill(&mut grants, grantee(1), 7, now), 1, "seven run already");
    let later = now + Duration::from_secs(3);
    assert_eq!(fill(&mut grants, grantee(1), 7, later), GRANTED - 1, "its own grants count");
}

#[test]
fn a_rejection_pauses_and_reduces_what_is_granted() {
    let (mut grants, now) = (RoomGrants::default(), Instant::now());
    let at = |ms| now + Duration::from_millis(ms);
    (0..5).for_each(|_| grants.grant(upstream(), grantee(1), SLOTS, 0, now).expect("room"));
    grants.give_back(upstream(), grantee(1), true, now);
    let wait = grants.grant(upstream(), grantee(1), SLOTS, 0, now).expect_err("a pause");
    assert!(wait > Duration::from_millis(900), "{wait:?}");
    (0..4).for_each(|_| grants.give_back(upstream(), grantee(1), false, now));
    assert_eq!(fill(&mut grants, grantee(1), 0, at(500)), 0);
    assert_eq!(fill(&mut grants, grantee(1), 0, at(1_100)), 4, "four found room");
    assert_eq!(fill(&mut grants, grantee(1), 0, at(5_100)), GRANTED - 4, "other work has ended");
}

#[test]
fn a_small_upstream_gets_one_request_at_least() {
    let now = Instant::now();
    for slots in [0, 1, 2] {
        let mut grants = RoomGrants::default();
        assert!(grants.grant(upstream(), None, slots, 0, now).is_ok(), "{slots} slots");
        assert!(grants.grant(upstream(), None, slots, 0, now).is_err(), "{slots} slots");
    }
}

#[test]
fn grants_of_upstreams_that_another_gateway_takes_over_are_forgotten() {
    let (mut grants, now) = (RoomGrants::default(), Instant::now());
    fill(&mut grants, grantee(1), 0, now);
    grants.retain(|_| false);
    assert_eq!(fill(&mut grants, grantee(1), 0, now), GRANTED);
}
