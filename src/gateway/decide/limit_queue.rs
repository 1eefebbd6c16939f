//! Turns of the gateways that wait for a request under one share of an upstream's rate limit.
//!
//! Without turns, a request that becomes possible goes to the gateway that asks first. Where callers
//! repeat refused requests at similar intervals, that is the same gateway each time, and callers of
//! the others are never served.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Longest time for which a gateway goes first when its turn has come. If it were shorter, callers
/// that repeat their requests would miss the turn.
const MAX_TURN_LENGTH: Duration = Duration::from_millis(100);
/// Length of a turn as a part of the interval between two requests. With a larger part, the upstream
/// gets less than it takes while gateways miss their turns.
const TURN_PART: f64 = 0.1;
/// Gateways that wait for turns. Beyond this, others get what these leave.
const MAX_WAITING: usize = 64;

/// A gateway that sends requests under a share: another one, by its heartbeat address, or `None` for
/// the holder of the share.
pub type LimitUser = Option<SocketAddr>;

/// Time at which a waiting gateway goes first.
#[derive(Clone, Copy, Debug)]
struct Turn {
    user: LimitUser,
    begin: Instant,
}

/// Gateways that were denied a request, in the order in which they began to wait.
#[derive(Clone, Debug, Default)]
pub(super) struct LimitQueue {
    /// Turns that are to come or have begun, one for each gateway.
    turns: Vec<Turn>,
    turn_length: Duration,
}

impl LimitQueue {
    /// Adapts the turns to a share, in requests a second. Nobody waits for a share of zero.
    pub fn set_share(&mut self, share: f64) {
        if share > 0.0 {
            self.turn_length = MAX_TURN_LENGTH.min(Duration::from_secs_f64(TURN_PART / share));
        } else {
            self.turns.clear();
        }
    }

    /// Returns the rest of a turn; zero if it is over, `None` if it has not begun.
    fn rest(&self, turn: &Turn, now: Instant) -> Option<Duration> {
        let end = turn.begin + self.turn_length;
        (now >= turn.begin).then(|| end.saturating_duration_since(now))
    }

    /// Returns the time for which gateways that wait before this one go first.
    pub fn blocked_for(&self, user: LimitUser, now: Instant) -> Duration {
        let before = self.turns.iter().take_while(|turn| turn.user != user);
        before.filter_map(|turn| self.rest(turn, now)).max().unwrap_or_default()
    }

    /// Sets the beginning of a gateway's next turn; one that did not wait yet is placed last.
    pub fn wait_until(&mut self, user: LimitUser, begin: Instant, now: Instant) {
        let length = self.turn_length;
        self.turns.retain(|turn| now < turn.begin + length);
        if let Some(turn) = self.turns.iter_mut().find(|turn| turn.user == user) {
            turn.begin = begin;
        } else if self.turns.len() < MAX_WAITING {
            self.turns.push(Turn { user, begin });
        }
    }

    /// Removes a gateway that got its request.
    pub fn leave(&mut self, user: LimitUser) {
        self.turns.retain(|turn| turn.user != user);
    }
}
