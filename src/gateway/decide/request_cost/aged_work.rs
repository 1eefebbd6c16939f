//! Sums of reported work that shrink with the age of each report.

use std::time::Instant;

/// Time constants of the decay, in seconds. Reported work decays with the one nearest to the mean
/// time that its requests have left.
const TIME_CONSTANTS: [f64; 5] = [0.06, 0.25, 1.0, 4.0, 16.0];
/// Largest work of one report, in seconds: an upstream runs some hundred requests of some minutes.
const MAX_SECONDS: f64 = 1e5;

/// Slot time that requests of other processes have left at an upstream, in seconds.
///
/// A report of `running` requests with `seconds` left in total decays exponentially with the mean
/// time that each has left. In this form the sums of all reports can be updated in place, whatever
/// the age of each, and work never falls to zero before its process reports the end.
#[derive(Clone, Copy, Debug, Default)]
pub struct AgedWork {
    sums: [f64; TIME_CONSTANTS.len()],
    /// Time to which the sums have decayed; `None` before the first report.
    at: Option<Instant>,
}

impl AgedWork {
    /// Adds work that was reported at `heard`.
    pub fn add(&mut self, seconds: f64, running: f64, heard: Instant) {
        self.change(seconds, running, heard, 1.0);
    }

    /// Takes back work that was reported at `heard`.
    pub fn subtract(&mut self, seconds: f64, running: f64, heard: Instant) {
        self.change(seconds, running, heard, -1.0);
    }

    /// Returns the work that is left.
    pub fn left(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let sums = self.sums.iter().zip(TIME_CONSTANTS).filter(|(sum, _)| **sum > 0.0);
        sums.map(|(sum, constant)| sum * (-age / constant).exp()).sum()
    }

    fn change(&mut self, seconds: f64, running: f64, heard: Instant, sign: f64) {
        let seconds = seconds.min(MAX_SECONDS);
        let at = self.at.map_or(heard, |at| at.max(heard));
        self.decay_to(at);
        let class = class(seconds / running.max(1.0));
        let age = at.saturating_duration_since(heard).as_secs_f64();
        let left = seconds * (-age / TIME_CONSTANTS[class]).exp();
        self.sums[class] = (self.sums[class] + sign * left).max(0.0);
    }

    fn decay_to(&mut self, at: Instant) {
        let age = self.at.map_or(0.0, |before| at.saturating_duration_since(before).as_secs_f64());
        for (sum, constant) in self.sums.iter_mut().zip(TIME_CONSTANTS) {
            *sum *= (-age / constant).exp();
        }
        self.at = Some(at);
    }
}

/// Returns the index of the time constant that is nearest to the mean time left, by its logarithm.
fn class(mean: f64) -> usize {
    let bounds = TIME_CONSTANTS.windows(2).map(|pair| (pair[0] * pair[1]).sqrt());
    bounds.take_while(|bound| mean >= *bound).count()
}
