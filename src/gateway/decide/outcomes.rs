//! Failure rates of upstreams, as all gateways together see them.
//!
//! Some upstreams fail part of their requests while they pass their health checks. One of many
//! gateways sends each upstream too few requests to detect that by itself.

use std::time::{Duration, Instant};

/// Time after which an answer counts half. Partial failures last some seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Weight of the service's mean failure rate, in answers: few answers say little about an
/// upstream.
const PRIOR_ANSWERS: f64 = 3.0;
/// Upper limit of the expected failures before a success, so that an upstream is tried again.
const MAX_EXPECTED_FAILURES: f64 = 4.0;

/// Recent answers, weighted by age with exponential decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcomes {
    /// All answers, failures included.
    pub answers: f64,
    /// Failures among the answers.
    pub failures: f64,
}

impl Outcomes {
    /// Returns the factor by which the weight of answers decays over `time`.
    pub fn remaining_weight(time: Duration) -> f64 {
        0.5_f64.powf(time.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    /// Returns the answers, scaled by a factor.
    pub fn weighted_by(self, share: f64) -> Self {
        Self { answers: self.answers * share, failures: self.failures * share }
    }

    /// Adds the answers of another source.
    pub fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.failures += other.failures;
    }

    /// Returns the expected number of failures before a success. `service` holds the answers of
    /// all upstreams of the service: failures that all upstreams share do not count against any
    /// one of them.
    pub fn expected_failures(self, service: Self) -> f64 {
        let mean = service.failures / service.answers.max(1.0);
        let rate = (self.failures + PRIOR_ANSWERS * mean) / (self.answers + PRIOR_ANSWERS);
        let excess = (rate - mean).clamp(0.0, 1.0);
        (excess / (1.0 - excess)).min(MAX_EXPECTED_FAILURES)
    }
}

/// Recent answers that one process has received from one upstream.
#[derive(Clone, Copy, Debug)]
pub struct OutcomeMeter {
    seen: Outcomes,
    updated_at: Instant,
}

impl OutcomeMeter {
    /// Creates a meter without answers.
    pub fn new(now: Instant) -> Self {
        Self { seen: Outcomes::default(), updated_at: now }
    }

    /// Records an answer, and whether it was a failure.
    pub fn note(&mut self, failed: bool, now: Instant) {
        let mut seen = self.read(now);
        seen.add(Outcomes { answers: 1.0, failures: f64::from(u8::from(failed)) });
        *self = Self { seen, updated_at: now };
    }

    /// Returns the answers, decayed to `now`.
    pub fn read(&self, now: Instant) -> Outcomes {
        self.seen
            .weighted_by(Outcomes::remaining_weight(now.saturating_duration_since(self.updated_at)))
    }
}
