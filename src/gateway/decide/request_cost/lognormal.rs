//! Log-normal distributions: of outputs and of times, which vary by factors.

use std::f64::consts::SQRT_2;

/// Upper limit of the standard deviation of logarithms. Beyond it the mean of the distribution
/// would rest on values that hardly ever occur.
const MAX_SPREAD: f64 = 2.0;
/// Lower limit of the standard deviation of logarithms, so that the rest of a value that has
/// exceeded its prediction can be computed.
const MIN_SPREAD: f64 = 0.05;
/// Limit of the logarithms: e to this power is beyond all counts of tokens and all times.
const MAX_LOG: f64 = 20.0;
/// Probability of larger values below which the expected rest is computed by its asymptote: the
/// quotient of two such small numbers is no longer precise.
const MIN_TAIL: f64 = 1e-3;

/// Distribution of a positive value whose logarithm is normally distributed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LogNormal {
    /// Mean of the logarithm.
    pub mean_log: f64,
    /// Standard deviation of the logarithm.
    pub spread: f64,
}

impl LogNormal {
    /// Creates the distribution; absurd parameters are clamped.
    pub fn new(mean_log: f64, spread: f64) -> Self {
        let finite = |value: f64, default: f64| if value.is_finite() { value } else { default };
        Self {
            mean_log: finite(mean_log, 0.0).clamp(-MAX_LOG, MAX_LOG),
            spread: finite(spread, MAX_SPREAD).clamp(MIN_SPREAD, MAX_SPREAD),
        }
    }

    /// Returns the median.
    pub fn median(self) -> f64 {
        self.mean_log.exp()
    }

    /// Returns the mean.
    pub fn mean(self) -> f64 {
        (self.mean_log + self.spread * self.spread / 2.0).exp()
    }

    /// Returns the distribution of the value times `factor`.
    pub fn scaled(self, factor: f64) -> Self {
        Self::new(self.mean_log + factor.max(f64::MIN_POSITIVE).ln(), self.spread)
    }

    /// Returns the value that is exceeded with the given probability deviation: `deviations`
    /// standard deviations above the median.
    pub fn at_deviations(self, deviations: f64) -> f64 {
        (self.mean_log + deviations * self.spread).min(MAX_LOG).exp()
    }

    /// Returns the expected rest of a value that is known to exceed `done`. It is never zero.
    pub fn expected_rest(self, done: f64) -> f64 {
        if done <= 0.0 {
            return self.mean();
        }
        let deviations = (done.ln() - self.mean_log) / self.spread;
        let tail = upper_tail(deviations);
        let rest = if tail > MIN_TAIL {
            self.mean() * upper_tail(deviations - self.spread) / tail - done
        } else {
            done * self.spread / deviations
        };
        rest.max(f64::MIN_POSITIVE)
    }
}

/// Returns the probability that a standard normal variable exceeds `x`.
fn upper_tail(x: f64) -> f64 {
    let below = |x: f64| erfc(x / SQRT_2) / 2.0;
    if x >= 0.0 { below(x) } else { 1.0 - below(-x) }
}

/// Complementary error function for arguments from 0, by the approximation 7.1.26 of Abramowitz and
/// Stegun, whose absolute error is below 1.5e-7.
fn erfc(x: f64) -> f64 {
    let t = 1.0 / (1.0 + 0.327_591_1 * x);
    let coefficients =
        [1.061_405_429, -1.453_152_027, 1.421_413_741, -0.284_496_736, 0.254_829_592];
    let polynomial = coefficients.iter().fold(0.0, |sum, c| (sum + c) * t);
    polynomial * (-x * x).exp()
}
