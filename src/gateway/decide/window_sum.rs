//! Sum over a sliding time window.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Number of buckets in a window. A bucket expires as a whole, so the sum covers slightly more
/// than the window. With fewer, more room is freed at once than processes can report to each other
/// between two heartbeats; with more, each sum takes more memory.
const BUCKETS: u32 = 64;

/// Sum over a sliding time window.
#[derive(Clone, Debug, Default)]
pub struct WindowSum {
    buckets: VecDeque<(Instant, f64)>,
    total: f64,
}

impl WindowSum {
    /// Adds an amount; a negative amount reverses an earlier one.
    pub fn add(&mut self, amount: f64, window: Duration, now: Instant) {
        self.expire(window, now);
        self.total += amount;
        match self.buckets.back_mut() {
            Some((at, sum)) if now.saturating_duration_since(*at) < window / BUCKETS => {
                *sum += amount
            }
            _ => self.buckets.push_back((now, amount)),
        }
    }

    /// Returns the sum over the window that ends at `now`.
    pub fn total(&mut self, window: Duration, now: Instant) -> f64 {
        self.expire(window, now);
        self.total
    }

    /// Returns the time until `amount` has expired from the window; the whole window if it
    /// contains less.
    pub fn time_until_expired(&self, amount: f64, window: Duration, now: Instant) -> Duration {
        let mut expired = 0.0;
        for (at, sum) in &self.buckets {
            expired += sum;
            if expired >= amount {
                return Self::expiry(*at, window).saturating_duration_since(now);
            }
        }
        window
    }

    /// Returns when a bucket that began at `at` expires.
    fn expiry(at: Instant, window: Duration) -> Instant {
        at + window + window / BUCKETS
    }

    fn expire(&mut self, window: Duration, now: Instant) {
        while self.buckets.front().is_some_and(|(at, _)| now >= Self::expiry(*at, window)) {
            if let Some((_, sum)) = self.buckets.pop_front() {
                self.total -= sum;
            }
        }
        if self.buckets.is_empty() {
            self.total = 0.0;
        }
    }
}
