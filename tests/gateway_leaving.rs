//! Upstreams that leave: until when they still get requests.
//!
//! What users saw: a request reached an upstream more than two seconds after it had said
//! that it leaves. The main cause is in `gateway_freshness`; these faults, found beside it,
//! add to it.
//!
//! Cause: an upstream that has begun to leave gets requests that nobody else takes for one
//! second. The second began when this process learnt of the leaving, and a process that
//! learnt it a second late sent until two seconds after.
//!
//! Evidence: the cases below, which failed by as much as the knowledge was old.

#[path = "support/upstreams.rs"]
mod upstreams;

use std::time::{Duration, Instant};

use tackhollow::gateway::{
    board::Board,
    decide::{Knowledge, TrueClock},
    model::{Upstream, UpstreamPhase},
};
use upstreams::upstream;

const SECOND: Duration = Duration::from_secs(1);

/// Returns what is known once the leaving is learnt `learnt` after the store was last seen.
fn board(start: Instant, learnt: Duration) -> Board {
    let mut board = Board::new(TrueClock::new(start, 0), start);
    board.store_clock.note(5_000, start);
    board.upstreams_knowledge = Some(Knowledge { position: 3, as_of: 5_000 });
    board.describe(upstream(UpstreamPhase::Ready, 1), start);
    board.describe(upstream(UpstreamPhase::Draining, 1), start + learnt);
    board
}

#[test]
fn a_leaving_upstream_is_the_last_resort_for_a_second_from_when_it_may_have_said_so() {
    struct Case {
        name: &'static str,
        learnt: Duration,
        at: Duration,
        taken: bool,
    }
    let ms = Duration::from_millis;
    let cases = [
        Case { name: "learnt at once", learnt: ms(10), at: ms(900), taken: true },
        Case { name: "learnt at once, over", learnt: ms(10), at: ms(1_000), taken: false },
        Case { name: "learnt late", learnt: ms(700), at: ms(900), taken: true },
        Case { name: "learnt late, over", learnt: ms(700), at: ms(1_100), taken: false },
        Case { name: "learnt too late", learnt: ms(2_500), at: ms(2_500), taken: false },
    ];
    let start = Instant::now();
    for case in cases {
        let board = board(start, case.learnt);
        let taken = board.upstreams["i-1"].is_last_resort(start + case.at);
        assert_eq!(taken, case.taken, "{}", case.name);
    }
}

/// Between the choice of an upstream and the first byte to it a connection may have to be
/// opened; what is learnt meanwhile counts.
#[test]
fn a_request_is_sent_only_where_the_upstream_still_takes_it() {
    struct Case {
        name: &'static str,
        /// What it says of itself meanwhile, and how long ago; `None` if it is gone.
        learnt: Option<(Upstream, Duration)>,
        taken: bool,
    }
    let ready = || upstream(UpstreamPhase::Ready, 1);
    let leaving = || upstream(UpstreamPhase::Draining, 1);
    let again = Upstream { born: Some(2), ..ready() };
    let cases = [
        Case { name: "the same", learnt: Some((ready(), Duration::ZERO)), taken: true },
        Case { name: "it leaves", learnt: Some((leaving(), Duration::ZERO)), taken: true },
        Case { name: "it left a second ago", learnt: Some((leaving(), SECOND)), taken: false },
        Case { name: "it is gone", learnt: None, taken: false },
        Case { name: "it started again", learnt: Some((again, Duration::ZERO)), taken: false },
    ];
    let start = Instant::now();
    for case in cases {
        let mut board = Board::new(TrueClock::new(start, 0), start);
        board.describe(upstream(UpstreamPhase::Ready, 1), start);
        let chosen = board.upstreams["i-1"].lifetime;
        let now = start + 3 * SECOND;
        match case.learnt {
            Some((said, ago)) => {
                board.describe(said, now - ago);
            }
            None => board.upstreams.clear(),
        }
        let taken = board.may_be_sent_to(&"i-1".to_owned(), chosen, now);
        assert_eq!(taken, case.taken, "{}", case.name);
    }
}
