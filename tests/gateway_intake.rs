//! Account of what connections make a gateway hold, and which of them gives way.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use tackhollow::gateway::{
    decide::{HolderId, IntakeAccount, IntakeLimits, choose_unread},
    model::EndpointKind,
};

const SECOND: Duration = Duration::from_secs(1);
const MIB: usize = 1 << 20;
/// Largest read from a connection.
const READ_BYTES: usize = 64 << 10;
const KINDS: [EndpointKind; 4] =
    [EndpointKind::Callers, EndpointKind::Directory, EndpointKind::Readiness, EndpointKind::Peers];

fn account(memory: usize) -> IntakeAccount {
    IntakeAccount::new(IntakeLimits::of_host(memory, 1_000))
}

/// What a client sends to an account.
#[derive(Clone, Copy, Debug)]
enum Sent {
    Nothing,
    Head(usize),
    Body(usize),
    /// A body that goes on for some seconds, at some bytes a second.
    GrowingBody {
        bytes: usize,
        rate: usize,
        seconds: u32,
    },
    /// A whole request, whose answer is awaited.
    WholeRequest(usize),
}

/// Adds a connection whose client sends this from `now` on.
fn add(account: &mut IntakeAccount, sent: Sent, now: Instant) -> HolderId {
    let id = account.open(EndpointKind::Callers, now);
    let body = |account: &mut IntakeAccount, bytes: usize| {
        account.receive(id, 1 << 10, now);
        account.begin_request(id);
        account.begin_body(id, now);
        for read in 0..bytes.div_ceil(READ_BYTES) {
            account.receive(id, READ_BYTES.min(bytes - read * READ_BYTES), now);
            account.hand_on(id);
        }
        account.hold_body(id, bytes);
    };
    match sent {
        Sent::Nothing => {}
        Sent::Head(bytes) => account.receive(id, bytes, now),
        Sent::Body(bytes) => body(account, bytes),
        Sent::GrowingBody { bytes, rate, seconds } => {
            body(account, bytes);
            for n in 1..=seconds {
                account.receive(id, rate, now + SECOND * n);
                account.hand_on(id);
                account.hold_body(id, bytes + rate * n as usize);
            }
        }
        Sent::WholeRequest(bytes) => {
            body(account, bytes);
            account.complete_body(id);
        }
    }
    id
}

const fn growing(bytes: usize, rate: usize) -> Sent {
    Sent::GrowingBody { bytes, rate, seconds: 5 }
}

/// Guards against innocent clients giving way to a crowd.
#[test]
fn the_connection_that_holds_most_for_the_least_progress_gives_way() {
    struct Case<'a> {
        name: &'static str,
        /// Connections that were opened five seconds ago.
        clients: &'a [Sent],
        /// Which of them gives way for memory, if any.
        for_memory: Option<usize>,
        /// Which of them gives way to a new connection, if any.
        for_connection: Option<usize>,
    }
    let cases = [
        Case { name: "none", clients: &[], for_memory: None, for_connection: None },
        Case {
            name: "a large body before a small one and an idle connection",
            clients: &[Sent::Nothing, Sent::Body(10 << 10), Sent::Body(4 * MIB)],
            for_memory: Some(2),
            for_connection: Some(0),
        },
        Case {
            name: "a long head before short ones, and the oldest of several that are equally late",
            clients: &[Sent::Head(1 << 10), Sent::Head(60 << 10), Sent::Nothing],
            for_memory: Some(1),
            for_connection: Some(0),
        },
        Case {
            name: "a body that trickles before one that grows",
            clients: &[growing(MIB, 1 << 20), growing(MIB, 1)],
            for_memory: Some(1),
            for_connection: Some(1),
        },
        Case {
            name: "whole requests never",
            clients: &[Sent::WholeRequest(4 * MIB), Sent::WholeRequest(10)],
            for_memory: None,
            for_connection: None,
        },
        Case {
            name: "bodies that grow never",
            clients: &[growing(MIB, 1 << 20)],
            for_memory: None,
            for_connection: None,
        },
    ];
    for case in cases {
        let (mut account, began) = (account(300 * MIB), Instant::now());
        let ids: Vec<_> = case.clients.iter().map(|s| add(&mut account, *s, began)).collect();
        let now = began + SECOND * 5;
        let newcomer = account.open(EndpointKind::Callers, now);
        let index = |id: Option<HolderId>| id.and_then(|id| ids.iter().position(|i| *i == id));
        let name = case.name;
        assert_eq!(index(account.choose_by_cost(newcomer, now)), case.for_memory, "{name}");
        let oldest = account.choose_by_age(Some(EndpointKind::Callers), now);
        assert_eq!(index(oldest), case.for_connection, "{name}");
    }
}

/// Guards against an answer being cut that its caller still reads.
#[test]
fn a_connection_with_an_unread_answer_does_not_give_way() {
    let (mut account, began) = (account(300 * MIB), Instant::now());
    let id = add(&mut account, Sent::WholeRequest(10), began);
    account.set_unread(id, true, began);
    account.end_request(id, began);
    let later = began + SECOND * 30;
    assert_eq!(account.choose_by_age(None, later), None);
    account.set_unread(id, false, later);
    assert_eq!(account.choose_by_age(None, later + SECOND), Some(id));
}

/// Guards against a customer whose callers do not read costing other customers their answers.
#[test]
fn the_customer_with_most_unread_answers_is_cut_off_first() {
    struct Case {
        answers: &'static [(u64, &'static str)],
        chosen: Option<(u64, usize)>,
    }
    let cases = [
        Case { answers: &[], chosen: None },
        Case { answers: &[(7, "a")], chosen: Some((7, 1)) },
        Case { answers: &[(1, "b"), (2, "a"), (3, "a"), (4, "b"), (5, "a")], chosen: Some((2, 3)) },
        Case { answers: &[(1, "b"), (2, ""), (3, "")], chosen: Some((2, 2)) },
    ];
    for case in cases {
        assert_eq!(choose_unread(case.answers.iter().copied()), case.chosen, "{:?}", case.answers);
    }
}

/// Guards against large bodies that take the room of small requests.
#[test]
fn small_bodies_find_room_beside_large_ones() {
    let (mut account, now) = (account(30 * MIB), Instant::now());
    let large: Vec<_> = (0..10).map(|_| add(&mut account, Sent::WholeRequest(MIB), now)).collect();
    assert!(account.held() > 10 * MIB);
    let small = add(&mut account, Sent::Body(1 << 10), now);
    assert!(account.over_bytes(small), "ten bodies of a mebibyte fill the room");
    for id in &large[..2] {
        account.release_body(*id, MIB);
    }
    assert!(!account.over_bytes(small), "a small body may use all of the room");
    let large = add(&mut account, Sent::Body(MIB / 8), now);
    assert!(account.over_bytes(large), "a large one three quarters");
}

/// Guards against one kind of address taking the descriptors of the others.
#[test]
fn all_kinds_of_connections_together_leave_descriptors_to_the_process() {
    for descriptors in [300, 1_024, 3_075, 10_250] {
        let limits = IntakeLimits::of_host(120 * MIB, descriptors);
        let all: usize = KINDS.iter().map(|kind| limits.connections(*kind)).sum();
        assert!(all * 5 <= descriptors * 4, "{all} of {descriptors}");
        let mut account = IntakeAccount::new(limits);
        let now = Instant::now();
        for kind in KINDS {
            for _ in 0..limits.connections(kind) {
                account.open(kind, now);
                assert!(!account.over_connections(kind), "{kind:?} of {descriptors}");
            }
            let last = account.open(kind, now);
            assert!(account.over_connections(kind), "{kind:?} of {descriptors}");
            let oldest = account.choose_by_age(Some(kind), now + SECOND).expect("an idle one");
            account.evict(oldest);
            assert!(!account.over_connections(kind), "{kind:?} of {descriptors}");
            assert_ne!(oldest, last);
        }
    }
}

/// A step of a client.
#[derive(Clone, Copy, Debug)]
enum Step {
    Open,
    Receive(usize),
    BeginRequest,
    BeginBody,
    HoldBody(usize),
    CompleteBody,
    EndBody,
    EndRequest,
    ReleaseBody,
    SetUnread(bool),
    Evict,
    Close,
}

fn step() -> impl Strategy<Value = (usize, Step)> {
    let step = prop_oneof![
        Just(Step::Open),
        (0..100_000_usize).prop_map(Step::Receive),
        Just(Step::BeginRequest),
        Just(Step::BeginBody),
        (0..100_000_usize).prop_map(Step::HoldBody),
        Just(Step::CompleteBody),
        Just(Step::EndBody),
        Just(Step::EndRequest),
        Just(Step::ReleaseBody),
        any::<bool>().prop_map(Step::SetUnread),
        Just(Step::Evict),
        Just(Step::Close),
    ];
    (0..4_usize, step)
}

proptest! {
    /// Guards against memory that stays charged after its connection has gone.
    #[test]
    fn nothing_is_held_once_all_connections_are_closed(steps in prop::collection::vec(step(), 0..80)) {
        let mut account = account(30 * MIB);
        let mut now = Instant::now();
        let mut open: Vec<HolderId> = Vec::new();
        let mut complete: Vec<(HolderId, usize)> = Vec::new();
        for (n, step) in steps {
            now += Duration::from_millis(10);
            if matches!(step, Step::Open) {
                open.push(account.open(KINDS[n], now));
                continue;
            }
            let Some(id) = open.get(n).copied() else {
                continue;
            };
            match step {
                Step::Open => {}
                Step::Receive(bytes) => account.receive(id, bytes, now),
                Step::BeginRequest => account.begin_request(id),
                Step::BeginBody => account.begin_body(id, now),
                Step::HoldBody(bytes) => account.hold_body(id, bytes),
                Step::CompleteBody => complete.push((id, account.complete_body(id))),
                Step::EndBody => account.end_body(id),
                Step::EndRequest => account.end_request(id, now),
                Step::ReleaseBody => {
                    if let Some((id, bytes)) = complete.pop() {
                        account.release_body(id, bytes);
                    }
                }
                Step::SetUnread(is_unread) => account.set_unread(id, is_unread, now),
                Step::Evict => account.evict(id),
                Step::Close => {
                    account.close(id);
                    open.retain(|other| *other != id);
                }
            }
        }
        open.into_iter().for_each(|id| account.close(id));
        complete.into_iter().for_each(|(id, bytes)| account.release_body(id, bytes));
        prop_assert_eq!((account.held(), account.connections()), (0, 0));
    }
}
