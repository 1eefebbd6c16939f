//! Backlog of a service: the predicted wait at its upstreams, how fast it changes, and when
//! callers that are refused should come back.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Time over which the slope is measured.
const SLOPE_PERIOD: Duration = Duration::from_secs(1);
/// Waits noted within this time count as one sample, the shortest of them, so that the number of
/// samples does not grow with the request rate.
const SAMPLE_PERIOD: Duration = Duration::from_millis(50);
/// Time for which a wait must have lasted to count as overload. One long prompt at a small service
/// causes a wait that is over within about this time and says nothing about its capacity.
const STANDING_PERIOD: Duration = Duration::from_millis(200);
/// Lower limit of a retry delay: callers that come back sooner find the same backlog.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// A retry delay is at most the caller's time left divided by this; callers wait no longer.
const TIME_LEFT_DIVISOR: u32 = 3;
/// Fraction of a retry delay over which callers are spread, so that they do not return together.
const SPREAD: f64 = 0.5;

/// Samples of the predicted wait at a service's upstreams, over about one second.
///
/// Addresses overload that lasts for some seconds. A wait that was not noted within the last second
/// counts as unknown.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// Start of each sample period with the shortest wait in it, in seconds; oldest first.
    samples: VecDeque<(Instant, f64)>,
}

impl Backlog {
    /// Notes the predicted wait, see [`super::PredictedService::median_wait`].
    pub fn note(&mut self, wait: Duration, now: Instant) {
        let wait = wait.as_secs_f64();
        match self.samples.back_mut() {
            Some((at, shortest)) if now.saturating_duration_since(*at) < SAMPLE_PERIOD => {
                *shortest = shortest.min(wait);
            }
            _ => self.samples.push_back((now, wait)),
        }
        while self.samples.front().is_some_and(|(at, _)| age(*at, now) > SLOPE_PERIOD) {
            self.samples.pop_front();
        }
    }

    /// Returns the wait that has lasted: the shortest one noted within the last 200 ms and just
    /// before. Zero if that is unknown, for instance with a single sample.
    pub fn standing_wait(&self, now: Instant) -> Duration {
        let known = || self.samples.iter().filter(|(at, _)| age(*at, now) <= SLOPE_PERIOD);
        let (recent, earlier): (Vec<_>, Vec<_>) =
            known().partition(|(at, _)| age(*at, now) < STANDING_PERIOD);
        let before = earlier.last().map(|(_, wait)| *wait);
        let shortest = recent.iter().map(|(_, wait)| *wait).reduce(f64::min);
        let lasted = before.zip(shortest).map(|(before, recent)| before.min(recent));
        Duration::from_secs_f64(lasted.unwrap_or_default())
    }

    /// Returns the change of the wait over the last second, in seconds per second, by least squares;
    /// negative while the backlog drains, 0 if it is unknown.
    pub fn slope(&self, now: Instant) -> f64 {
        let known = || self.samples.iter().filter(|(at, _)| age(*at, now) <= SLOPE_PERIOD);
        let count = known().count() as f64;
        let time = |at: &Instant| -age(*at, now).as_secs_f64();
        let mean_time = known().map(|(at, _)| time(at)).sum::<f64>() / count;
        let mean_wait = known().map(|(_, wait)| wait).sum::<f64>() / count;
        let covariance: f64 =
            known().map(|(at, wait)| (time(at) - mean_time) * (wait - mean_wait)).sum();
        let variance: f64 = known().map(|(at, _)| (time(at) - mean_time).powi(2)).sum();
        if variance > f64::EPSILON { covariance / variance } else { 0.0 }
    }

    /// Returns after which delay a refused caller should come back: the time until the wait falls
    /// below `limit` at the observed drain rate, or the wait itself if it does not fall. `chance`, a
    /// random number from 0 to 1, spreads callers over half of that time again.
    pub fn retry_after(
        &self,
        limit: Duration,
        time_left: Duration,
        chance: f64,
        now: Instant,
    ) -> Duration {
        let wait = self.samples.back().map_or(0.0, |(_, wait)| *wait);
        let excess = (wait - limit.as_secs_f64()).max(0.0);
        let drain = -self.slope(now);
        let base = if drain > 0.0 { excess / drain } else { wait };
        let base = base.max(MIN_RETRY_DELAY.as_secs_f64());
        let longest = time_left / TIME_LEFT_DIVISOR;
        let spread = 1.0 + SPREAD * chance.clamp(0.0, 1.0);
        // Where the time left is the limit, callers are spread below it.
        let delay = (base * spread).min(longest.as_secs_f64() * spread / (1.0 + SPREAD));
        Duration::from_secs_f64(delay).max(MIN_RETRY_DELAY).min(longest)
    }
}

fn age(at: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(at)
}
