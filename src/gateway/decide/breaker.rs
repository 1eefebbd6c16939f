//! Health of an upstream, judged from what requests saw.
//!
//! Health is a cost and never a ban: an upstream that fails is passed over
//! while others do better, and is tried again as its failures age, so a false
//! verdict cannot empty a service.

use std::time::{Duration, Instant};

/// Time after which a failure counts half. Grey failures last some seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Share of earlier failures that remains after a success.
const AFTER_SUCCESS: f64 = 0.75;
/// Most failures that are remembered, so that a recovered upstream is tried
/// again within a few half-lives.
const MOST: f64 = 8.0;
/// Weight of a new observation of slowness.
const SLOWNESS_WEIGHT: f64 = 0.2;

/// How an attempt ended, as far as it tells of the upstream's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It answered as it should.
    Good,
    /// It answered with a failure of its own, or broke off.
    Failed,
    /// It could not be reached.
    Unreachable,
}

/// Health of one upstream in the view of this process.
#[derive(Clone, Copy, Debug)]
pub struct Breaker {
    failures: f64,
    at: Instant,
    slowness: f64,
}

impl Breaker {
    /// Creates the health of an upstream that has not been tried.
    pub fn new(now: Instant) -> Self {
        Self { failures: 0.0, at: now, slowness: 1.0 }
    }

    /// Notes how an attempt ended.
    pub fn record(&mut self, verdict: Verdict, now: Instant) {
        let recent = self.recent_failures(now);
        self.failures = match verdict {
            Verdict::Good => recent * AFTER_SUCCESS,
            Verdict::Failed => (recent + 1.0).min(MOST),
            Verdict::Unreachable => (recent + 3.0).min(MOST),
        };
        self.at = now;
    }

    /// Notes how long an answer took against what was expected.
    pub fn record_time(&mut self, took: Duration, expected: Duration) {
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let ratio = ratio.clamp(0.5, 10.0);
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness);
    }

    /// Returns the recent failures; older ones count less.
    pub fn recent_failures(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.failures * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    /// Returns how much longer its answers take than expected: 1 is as expected.
    pub fn slowness(&self) -> f64 {
        self.slowness
    }
}
