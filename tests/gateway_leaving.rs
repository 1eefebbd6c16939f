//! Until when upstreams that are leaving still get requests.
//!
//! Guards against requests that reach an upstream more than two seconds after it announced that
//! it is leaving. Such an upstream gets requests as a last resort for one second. That second
//! used to start when the gateway learnt of the announcement, so a gateway that learnt of it a
//! second late sent requests for two seconds. The main cause of late requests is covered by
//! `gateway_freshness`.

#[path = "support/upstreams.rs"]
mod upstreams;

use std::time::{Duration, Instant};

use tackhollow::gateway::{
    board::Board,
    decide::{PeerCorrectedClock, SyncPoint},
    model::{Upstream, UpstreamPhase},
};
use upstreams::upstream;

const SECOND: Duration = Duration::from_secs(1);

/// Returns a board that learns that the upstream is leaving `learnt` after it last saw the store.
fn board(start: Instant, learnt: Duration) -> Board {
    let mut board = Board::new(PeerCorrectedClock::new(start, 0), start);
    board.store_clock.note(5_000, start);
    board.upstreams_knowledge = Some(SyncPoint { position: 3, as_of: 5_000 });
    board.apply_description(upstream(UpstreamPhase::Ready, 1), start);
    board.apply_description(upstream(UpstreamPhase::Draining, 1), start + learnt);
    board
}

#[test]
fn a_leaving_upstream_is_the_last_resort_for_a_second_from_its_earliest_possible_announcement() {
    struct Case {
        name: &'static str,
        learnt: Duration,
        at: Duration,
        taken: bool,
    }
    let ms = Duration::from_millis;
    let cases = [
        Case { name: "learnt at once", learnt: ms(10), at: ms(900), taken: true },
        Case { name: "learnt at once, second over", learnt: ms(10), at: ms(1_000), taken: false },
        Case { name: "learnt late", learnt: ms(700), at: ms(900), taken: true },
        Case { name: "learnt late, second over", learnt: ms(700), at: ms(1_100), taken: false },
        Case { name: "learnt after the second", learnt: ms(2_500), at: ms(2_500), taken: false },
    ];
    let start = Instant::now();
    for case in cases {
        let board = board(start, case.learnt);
        let taken = board.upstreams["i-1"].is_last_resort(start + case.at);
        assert_eq!(taken, case.taken, "{}", case.name);
    }
}

/// Between the choice of an upstream and the first byte sent to it, a connection may have to be
/// opened. What the gateway learns in that time counts.
#[test]
fn a_request_is_sent_only_if_the_chosen_upstream_still_takes_it() {
    struct Case {
        name: &'static str,
        /// Description learnt meanwhile, with its age; `None` if the upstream is gone.
        learnt: Option<(Upstream, Duration)>,
        taken: bool,
    }
    let ready = || upstream(UpstreamPhase::Ready, 1);
    let leaving = || upstream(UpstreamPhase::Draining, 1);
    let restarted = Upstream { born: Some(2), ..ready() };
    let cases = [
        Case { name: "unchanged", learnt: Some((ready(), Duration::ZERO)), taken: true },
        Case { name: "it is leaving", learnt: Some((leaving(), Duration::ZERO)), taken: true },
        Case {
            name: "it has been leaving for a second",
            learnt: Some((leaving(), SECOND)),
            taken: false,
        },
        Case { name: "it is gone", learnt: None, taken: false },
        Case { name: "it has restarted", learnt: Some((restarted, Duration::ZERO)), taken: false },
    ];
    let start = Instant::now();
    for case in cases {
        let mut board = Board::new(PeerCorrectedClock::new(start, 0), start);
        board.apply_description(upstream(UpstreamPhase::Ready, 1), start);
        let chosen = board.upstreams["i-1"].lifetime;
        let now = start + 3 * SECOND;
        match case.learnt {
            Some((described, age)) => {
                board.apply_description(described, now - age);
            }
            None => board.upstreams.clear(),
        }
        let taken = board.may_be_sent_to(&"i-1".to_owned(), chosen, now);
        assert_eq!(taken, case.taken, "{}", case.name);
    }
}
