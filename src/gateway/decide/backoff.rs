//! Exponential backoff with jitter between retries of a failing call.

use std::time::Duration;

/// Delay after the first failure: long enough that a lost response is not answered with an
/// immediate retry, and short enough for callers that wait.
const INITIAL_DELAY: Duration = Duration::from_millis(300);
/// Upper limit of the delay. A configuration must be in force within a bounded time, and a
/// process that reads the store may notice its recovery this late, so the limit is a quarter of
/// that time.
const MAX_DELAY: Duration = Duration::from_millis(1_000);
/// Fraction of each delay that is random, so that processes rejected at the same time do not
/// all retry at the same time.
const JITTER_FRACTION: f64 = 0.4;

/// Delays that double with each consecutive failure, up to a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backoff {
    consecutive_failures: u32,
}

impl Backoff {
    /// Resets the backoff after a successful call.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failed call and returns the delay before the next one. `chance` is the jitter,
    /// from 0 to 1: the larger it is, the shorter the delay.
    pub fn record_failure(&mut self, chance: f64) -> Duration {
        let delay = INITIAL_DELAY
            .saturating_mul(2_u32.saturating_pow(self.consecutive_failures))
            .min(MAX_DELAY);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        delay.mul_f64(1.0 - JITTER_FRACTION * chance.clamp(0.0, 1.0))
    }
}
