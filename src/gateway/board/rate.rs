//! A smoothed rate.

use std::time::Instant;

/// Prompt tokens that callers bring, smoothed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rate {
    per_second: f64,
    at: Instant,
}

/// Time over which the rate of prompt tokens is smoothed.
const RATE_SPAN: f64 = 3.0;

impl Rate {
    /// Begins with no tokens.
    pub(super) fn new(now: Instant) -> Self {
        Self { per_second: 0.0, at: now }
    }

    /// Returns the rate at `now`.
    pub(super) fn decayed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_second * (-age / RATE_SPAN).exp()
    }

    /// Counts tokens.
    pub(super) fn add(&mut self, tokens: f64, now: Instant) {
        self.per_second = self.decayed(now) + tokens / RATE_SPAN;
        self.at = now;
    }
}
