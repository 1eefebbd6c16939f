//! Sums of logarithms of observed values, which decay with age and can be merged.

use std::time::{Duration, Instant};

use super::LogNormal;

/// Time constant of the decay: long enough for the samples of one gateway among a hundred, short
/// enough to follow callers that begin to ask for something else.
pub const SUMS_DECAY: Duration = Duration::from_secs(60);
/// Limit of a single logarithm: e to this power is beyond all counts of tokens and all times.
const MAX_SAMPLE: f64 = 20.0;
/// Weight of the wider group in the estimate of a narrower one, in samples.
const WIDER_WEIGHT: f64 = 4.0;

/// Weight, sum and sum of squares of logarithms, decayed to a point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LogSums {
    weight: f64,
    sum: f64,
    squares: f64,
    at: Instant,
}

impl LogSums {
    /// Creates empty sums.
    pub fn new(now: Instant) -> Self {
        Self { weight: 0.0, sum: 0.0, squares: 0.0, at: now }
    }

    /// Creates sums from a weight in samples, the mean of the logarithm and its standard deviation.
    pub fn of(weight: f64, mean: f64, spread: f64, now: Instant) -> Self {
        Self {
            weight,
            sum: weight * mean,
            squares: weight * (mean * mean + spread * spread),
            at: now,
        }
    }

    /// Adds the logarithm of an observed value; one that is not finite is ignored.
    pub fn note(&mut self, log: f64, now: Instant) {
        if !log.is_finite() {
            return;
        }
        let log = log.clamp(-MAX_SAMPLE, MAX_SAMPLE);
        self.decay_to(now);
        self.weight += 1.0;
        self.sum += log;
        self.squares += log * log;
    }

    /// Returns the sums decayed to `now`.
    pub fn read(mut self, now: Instant) -> Self {
        self.decay_to(now);
        self
    }

    /// Adds `factor` times the sums of another source: 1 to add, -1 to take them back.
    pub fn add(&mut self, other: Self, factor: f64) {
        let now = self.at.max(other.at);
        self.decay_to(now);
        let other = other.read(now);
        self.weight = (self.weight + factor * other.weight).max(0.0);
        self.sum += factor * other.sum;
        self.squares += factor * other.squares;
    }

    /// Returns the number of samples, weighted by age.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Returns the mean of the logarithms; 0 without samples.
    pub fn mean(&self) -> f64 {
        if self.weight > f64::EPSILON { self.sum / self.weight } else { 0.0 }
    }

    /// Returns the standard deviation of the logarithms; 0 without samples.
    pub fn spread(&self) -> f64 {
        let mean = self.mean();
        let variance = self.squares / self.weight.max(f64::EPSILON) - mean * mean;
        variance.max(0.0).sqrt()
    }

    /// Returns the distribution of the group, given that of the next wider one, which has the
    /// weight of a few samples.
    pub fn within(&self, wider: LogNormal) -> LogNormal {
        let all = self.weight + WIDER_WEIGHT;
        let mean = (self.sum + WIDER_WEIGHT * wider.mean_log) / all;
        let own = self.weight * (self.spread().powi(2) + (self.mean() - mean).powi(2));
        let of_wider =
            WIDER_WEIGHT * (wider.spread * wider.spread + (wider.mean_log - mean).powi(2));
        LogNormal::new(mean, ((own + of_wider) / all).sqrt())
    }

    fn decay_to(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.at);
        let left = (-age.as_secs_f64() / SUMS_DECAY.as_secs_f64()).exp();
        self.weight *= left;
        self.sum *= left;
        self.squares *= left;
        self.at = self.at.max(now);
    }
}
