//! A sum over a sliding window of time.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Parts of the window that are kept apart; the oldest leaves as a whole, so
/// the sum covers a little more than the window.
const PARTS: u32 = 16;

/// A sum over a sliding window of time.
#[derive(Clone, Debug, Default)]
pub struct WindowSum {
    parts: VecDeque<(Instant, f64)>,
    total: f64,
}

impl WindowSum {
    /// Adds an amount; less than zero takes back.
    pub fn add(&mut self, amount: f64, window: Duration, now: Instant) {
        self.forget(window, now);
        self.total += amount;
        match self.parts.back_mut() {
            Some((at, sum)) if now.saturating_duration_since(*at) < window / PARTS => {
                *sum += amount
            }
            _ => self.parts.push_back((now, amount)),
        }
    }

    /// Returns the sum over the window that ends at `now`.
    pub fn total(&mut self, window: Duration, now: Instant) -> f64 {
        self.forget(window, now);
        self.total
    }

    /// Returns the time until `amount` has left the window; the whole window if
    /// there is not so much in it.
    pub fn time_until_left(&self, amount: f64, window: Duration, now: Instant) -> Duration {
        let mut left = 0.0;
        for (at, sum) in &self.parts {
            left += sum;
            if left >= amount {
                return Self::end(*at, window).saturating_duration_since(now);
            }
        }
        window
    }

    /// When a part that began at `at` has left the window as a whole.
    fn end(at: Instant, window: Duration) -> Instant {
        at + window + window / PARTS
    }

    fn forget(&mut self, window: Duration, now: Instant) {
        while self.parts.front().is_some_and(|(at, _)| now >= Self::end(*at, window)) {
            if let Some((_, sum)) = self.parts.pop_front() {
                self.total -= sum;
            }
        }
        if self.parts.is_empty() {
            self.total = 0.0;
        }
    }
}
