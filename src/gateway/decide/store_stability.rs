//! Whether the store has been answering without interruption, judged by this process's own
//! calls.

use std::time::{Duration, Instant};

use super::StoreMillis;

/// Longest time between two answers that is not an interruption. The holder of the lease calls
/// the store several times a second.
const MAX_ANSWER_GAP: Duration = Duration::from_millis(1_000);
/// Time for which the store must have answered: longer than rows that expired during an outage
/// take to reappear.
const MIN_STREAK: Duration = Duration::from_millis(2_500);

/// Period in which the store has answered without interruption.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreStability {
    streak: Option<(Instant, Instant)>,
}

impl StoreStability {
    /// Records whether the store answered a call.
    pub fn note(&mut self, answered: bool, now: Instant) {
        let unbroken = |last: Instant| now.saturating_duration_since(last) <= MAX_ANSWER_GAP;
        self.streak = match self.streak {
            _ if !answered => None,
            Some((since, last)) if unbroken(last) => Some((since, now)),
            _ => Some((now, now)),
        };
    }

    /// Returns whether the store has answered for long enough that no row is missing because of
    /// an outage of the store.
    pub fn is_steady(&self, now: Instant) -> bool {
        self.steady_answer_age(now).is_some()
    }

    /// Returns the time since the latest answer, if the store has answered for long enough.
    pub fn steady_answer_age(&self, now: Instant) -> Option<Duration> {
        let (since, last) = self.streak?;
        let age = now.saturating_duration_since(last);
        let is_long_enough = now.saturating_duration_since(since) >= MIN_STREAK;
        (age <= MAX_ANSWER_GAP && is_long_enough).then_some(age)
    }
}

/// Returns whether an answer of the store is recent enough to rule out an outage since then. Both
/// moments are of the store's clock.
pub fn is_unbroken_since(answer: StoreMillis, now: StoreMillis) -> bool {
    Duration::from_millis(now.saturating_sub(answer)) <= MAX_ANSWER_GAP
}
