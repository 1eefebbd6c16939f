//! Health of an upstream, derived from the outcomes of requests sent to it.
//!
//! Health is a cost in upstream selection: an upstream with recent failures is passed over
//! while others do better, and is tried again as its failures age. An upstream that could not
//! be reached is avoided for a short period, unless no other is left. A wrong judgement
//! therefore cannot leave a service without upstreams.

use std::time::{Duration, Instant};

/// Time after which a failure counts half. Partial failures typically last a few seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Factor applied to earlier failures when an attempt succeeds.
const SUCCESS_FACTOR: f64 = 0.75;
/// Upper limit of the failure count, so that a recovered upstream is tried again within a few
/// half-lives.
const MAX_FAILURES: f64 = 8.0;
/// How long an upstream is avoided after the first attempt that could not reach it: a crashed
/// upstream stays in the list for some seconds, and each attempt costs its caller time.
const INITIAL_AVOIDANCE: Duration = Duration::from_millis(500);
/// Upper limit of the avoidance period, which doubles with each consecutive attempt that could
/// not reach the upstream.
const MAX_AVOIDANCE: Duration = Duration::from_secs(2);

/// Outcome of an attempt, as far as it bears on the upstream's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream answered as expected.
    Good,
    /// The upstream answered with an error of its own, or the response broke off.
    Failed,
    /// No connection to the upstream could be made.
    Unreachable,
}

/// Health of one upstream, as seen by this process.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamHealth {
    decayed_failures: f64,
    updated_at: Instant,
    consecutive_unreachable: u32,
    avoid_until: Option<Instant>,
}

impl UpstreamHealth {
    /// Creates the health of an upstream that has not been tried yet.
    pub fn new(now: Instant) -> Self {
        Self {
            decayed_failures: 0.0,
            updated_at: now,
            consecutive_unreachable: 0,
            avoid_until: None,
        }
    }

    /// Records the outcome of an attempt.
    pub fn record(&mut self, verdict: AttemptOutcome, now: Instant) {
        let recent = self.recent_failures(now);
        self.decayed_failures = match verdict {
            AttemptOutcome::Good => recent * SUCCESS_FACTOR,
            AttemptOutcome::Failed => (recent + 1.0).min(MAX_FAILURES),
            AttemptOutcome::Unreachable => (recent + 3.0).min(MAX_FAILURES),
        };
        self.updated_at = now;
        self.update_avoidance(verdict, now);
    }

    fn update_avoidance(&mut self, verdict: AttemptOutcome, now: Instant) {
        if verdict != AttemptOutcome::Unreachable {
            self.consecutive_unreachable = 0;
            self.avoid_until = None;
            return;
        }
        // Attempts already in flight when the upstream became unreachable add no information.
        if !self.is_avoided(now) {
            let avoidance = INITIAL_AVOIDANCE * 2_u32.saturating_pow(self.consecutive_unreachable);
            self.avoid_until = Some(now + avoidance.min(MAX_AVOIDANCE));
            self.consecutive_unreachable += 1;
        }
    }

    /// Returns whether the upstream is currently avoided because it could not be reached.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    /// Returns whether the latest attempt could not reach the upstream.
    pub fn is_unreachable(&self) -> bool {
        self.consecutive_unreachable > 0
    }

    /// Returns the number of recent failures, weighted by age with exponential decay.
    pub fn recent_failures(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.decayed_failures * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
