//! Whose turn it is to try what is quarantined.
//!
//! One process at a time in the whole fleet, so that a culprit ends one upstream a trial.
//! The holder of the lease gives the turn to one after the other: with the holder alone a
//! caller that keeps a connection to another gateway would be refused for as long as it does.

use std::time::{Duration, Instant};

/// For how long a process may try once it hears that it is its turn.
const LASTS: Duration = Duration::from_secs(2);
/// Between turns: longer than one lasts and its message is under way, so that two never
/// overlap. A gateway of nine has its turn every half a minute.
const EVERY: Duration = Duration::from_secs(3);

/// Turns as one process gives and has them.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrialTurn {
    until: Option<Instant>,
    given: Option<Instant>,
}

impl TrialTurn {
    /// Returns whether this process is to give the next turn now. `gives` says whether it
    /// holds the lease; a new holder first lets pass what the one before may have given.
    pub fn next_is_due(&mut self, gives: bool, now: Instant) -> bool {
        if !gives {
            self.given = None;
            return false;
        }
        let given = *self.given.get_or_insert(now);
        let due = now.saturating_duration_since(given) >= EVERY;
        if due {
            self.given = Some(now);
        }
        due
    }

    /// Notes that it is this process's turn from now on.
    pub fn take(&mut self, now: Instant) {
        self.until = Some(now + LASTS);
    }

    /// Returns whether it is this process's turn.
    pub fn may_try(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
