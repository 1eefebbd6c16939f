//! Health of an upstream, judged from what requests saw.
//!
//! Health is a cost: an upstream that fails is passed over while others do
//! better, and is tried again as its failures age. One that could not be
//! reached is avoided for a while, but for the case that no other is left. So a
//! false verdict cannot empty a service.

use std::time::{Duration, Instant};

/// Time after which a failure counts half. Grey failures last some seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Share of earlier failures that remains after a success.
const AFTER_SUCCESS: f64 = 0.75;
/// Most failures that are remembered, so that a recovered upstream is tried
/// again within a few half-lives.
const MOST: f64 = 8.0;
/// For how long an upstream that could not be reached is avoided: a crashed one
/// stays in the list for some seconds, and each try costs its caller time.
const AVOID_FIRST: Duration = Duration::from_millis(500);
/// The same after several such tries in a row; it doubles with each up to this.
const AVOID_LONGEST: Duration = Duration::from_secs(2);

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
    unreachable: u32,
    avoid_until: Option<Instant>,
}

impl Breaker {
    /// Creates the health of an upstream that has not been tried.
    pub fn new(now: Instant) -> Self {
        Self { failures: 0.0, at: now, unreachable: 0, avoid_until: None }
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
        self.note_reached(verdict, now);
    }

    fn note_reached(&mut self, verdict: Verdict, now: Instant) {
        if verdict != Verdict::Unreachable {
            self.unreachable = 0;
            self.avoid_until = None;
            return;
        }
        // Tries that were under way when it became known tell nothing new.
        if !self.is_avoided(now) {
            let pause = AVOID_FIRST * 2_u32.saturating_pow(self.unreachable);
            self.avoid_until = Some(now + pause.min(AVOID_LONGEST));
            self.unreachable += 1;
        }
    }

    /// Returns whether it is avoided, since it could not be reached of late.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    /// Returns the recent failures; older ones count less.
    pub fn recent_failures(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.failures * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
