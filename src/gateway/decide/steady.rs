//! Whether the store has answered all along, as a process knows it from its
//! own calls.

use std::time::{Duration, Instant};

/// Longest pause between answers that still counts as all along. The holder of
/// the lease calls several times a second.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);
/// For how long the store must have answered: longer than rows that lapsed
/// while it was away take to come back.
const STEADY_FOR: Duration = Duration::from_millis(2_500);

/// Answers of the store without a break.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Steadiness {
    run: Option<(Instant, Instant)>,
}

impl Steadiness {
    /// Notes whether a call was answered.
    pub fn note(&mut self, answered: bool, now: Instant) {
        let unbroken = |last: Instant| now.saturating_duration_since(last) <= LONGEST_PAUSE;
        self.run = match self.run {
            _ if !answered => None,
            Some((since, last)) if unbroken(last) => Some((since, now)),
            _ => Some((now, now)),
        };
    }

    /// Returns whether the store has surely answered for long enough that no
    /// row is missing for its sake.
    pub fn is_steady(&self, now: Instant) -> bool {
        self.run.is_some_and(|(since, last)| {
            now.saturating_duration_since(last) <= LONGEST_PAUSE
                && now.saturating_duration_since(since) >= STEADY_FOR
        })
    }
}
