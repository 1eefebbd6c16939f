//! Pauses between calls that fail.

use std::time::Duration;

/// First pause: longer than a lost answer and shorter than anybody's patience.
const FIRST: Duration = Duration::from_millis(300);
/// Longest pause. The processes that read the store find out so late that it is
/// back, a quarter of the time in which a configuration must be in force.
const LONGEST: Duration = Duration::from_millis(1_000);
/// Part of a pause that is left to chance, so that processes that were turned away
/// together do not come back together.
const CHANCE: f64 = 0.4;

/// Pauses that grow with each failure in a row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Notes a call that was answered.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// Notes a call that failed and returns the pause before the next one; `chance`
    /// is from 0 to 1.
    pub fn failed(&mut self, chance: f64) -> Duration {
        let pause = FIRST.saturating_mul(2_u32.saturating_pow(self.failures)).min(LONGEST);
        self.failures = self.failures.saturating_add(1);
        pause.mul_f64(1.0 - CHANCE * chance.clamp(0.0, 1.0))
    }
}
