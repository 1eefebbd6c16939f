//! Grants of the room of a brittle upstream.

use std::time::{Duration, Instant};

use tackhollow::gateway::{
    decide::{GrantId, RoomGrants},
    model::Lifetime,
};

const SLOTS: u32 = 10;
/// Requests that are granted room in ten slots.
const GRANTED: usize = 8;

fn upstream() -> Lifetime {
    Lifetime::new("i-1", None)
}

fn id(gateway: u8, number: usize) -> GrantId {
    GrantId { grantee: Some(([10, 0, 0, gateway], 1).into()), number: number as u64 }
}

/// Asks for room until it is denied, with numbers from `first` on; returns how often it was granted.
fn fill(grants: &mut RoomGrants, gateway: u8, first: usize, reported: u32, now: Instant) -> usize {
    let ask =
        |n: &usize| grants.grant(upstream(), id(gateway, first + n), SLOTS, reported, now).is_ok();
    (0..100).take_while(ask).count()
}

#[test]
fn room_is_granted_once_and_again_after_it_was_given_back() {
    let (mut grants, now) = (RoomGrants::default(), Instant::now());
    assert_eq!(fill(&mut grants, 1, 0, 0, now), GRANTED);
    assert_eq!(fill(&mut grants, 2, 0, 0, now), 0);
    grants.give_back(upstream(), id(2, 3), false, now);
    grants.give_back(upstream(), id(1, 77), false, now);
    assert_eq!(fill(&mut grants, 2, 0, 0, now), 0, "what was not granted is not given back");
    grants.give_back(upstream(), id(1, 3), false, now);
    grants.give_back(upstream(), id(1, 3), false, now);
    assert_eq!(fill(&mut grants, 2, 0, 0, now), 1, "given back once");
}

#[test]
fn room_that_is_never_given_back_is_granted_again_after_a_while() {
    let (mut grants, now) = (RoomGrants::default(), Instant::now());
    fill(&mut grants, 1, 0, 0, now);
    assert_eq!(fill(&mut grants, 2, 0, 0, now + Duration::from_secs(11)), 0);
    assert_eq!(fill(&mut grants, 2, 0, 0, now + Duration::from_secs(13)), GRANTED);
}

#[test]
fn a_gateway_that_takes_over_counts_what_the_others_report() {
    let (mut grants, now) = (RoomGrants::default(), Instant::now());
    assert_eq!(fill(&mut grants, 1, 0, 7, now), 1, "seven run already");
    let later = now + Duration::from_secs(3);
    assert_eq!(fill(&mut grants, 1, 50, 7, later), GRANTED - 1, "its own grants count");
}

#[test]
fn a_rejection_pauses_and_reduces_what_is_granted() {
    let (mut grants, now) = (RoomGrants::default(), Instant::now());
    let at = |ms| now + Duration::from_millis(ms);
    (0..5).for_each(|n| grants.grant(upstream(), id(1, n), SLOTS, 0, now).expect("room"));
    grants.give_back(upstream(), id(1, 4), true, now);
    let wait = grants.grant(upstream(), id(1, 9), SLOTS, 0, now).expect_err("a pause");
    assert!(wait > Duration::from_millis(900), "{wait:?}");
    (0..4).for_each(|n| grants.give_back(upstream(), id(1, n), false, now));
    assert_eq!(fill(&mut grants, 1, 10, 0, at(500)), 0);
    assert_eq!(fill(&mut grants, 1, 20, 0, at(1_100)), 4, "four found room");
    assert_eq!(fill(&mut grants, 1, 30, 0, at(5_100)), GRANTED - 4, "other work has ended");
}

#[test]
fn a_small_upstream_gets_one_request_at_least() {
    let now = Instant::now();
    for slots in [0, 1, 2] {
        let mut grants = RoomGrants::default();
        assert!(grants.grant(upstream(), id(1, 1), slots, 0, now).is_ok(), "{slots} slots");
        assert!(grants.grant(upstream(), id(1, 2), slots, 0, now).is_err(), "{slots} slots");
    }
}

#[test]
fn grants_of_upstreams_that_another_gateway_takes_over_are_forgotten() {
    let (mut grants, now) = (RoomGrants::default(), Instant::now());
    fill(&mut grants, 1, 0, 0, now);
    grants.retain(|_| false);
    assert_eq!(fill(&mut grants, 1, 0, 0, now), GRANTED);
}
