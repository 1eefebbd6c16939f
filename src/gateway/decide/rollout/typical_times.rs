//! Typical times of answers, to detect a version that is several times slower.

use std::collections::HashMap;

use super::RouteKey;

/// Multiple of the mean from which an answer counts as slow.
const SLOW_MULTIPLE: f64 = 3.0;
/// Weight of the newest answer in the exponential moving average.
const NEWEST_WEIGHT: f64 = 0.1;
/// Answers from which the mean is used.
const MIN_ANSWERS: u32 = 5;

#[derive(Clone, Copy, Debug, Default)]
struct MeanTime {
    mean: f64,
    answers: u32,
}

/// Mean answer times of a service by route, as multiples of the expected time.
#[derive(Clone, Debug, Default)]
pub struct TypicalTimes {
    routes: HashMap<RouteKey, MeanTime>,
}

impl TypicalTimes {
    /// Adds the time of an answer of an earlier version.
    pub fn add(&mut self, route: RouteKey, took: f64) {
        let typical = self.routes.entry(route).or_default();
        typical.answers = typical.answers.saturating_add(1);
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(typical.answers));
        // An answer that hung for seconds must not move the mean much.
        let took = match typical.answers > MIN_ANSWERS {
            true => took.min(typical.mean * SLOW_MULTIPLE),
            false => took,
        };
        typical.mean += weight * (took - typical.mean);
    }

    /// Returns whether an answer took several times the mean; `false` until the mean is known.
    pub fn is_slow(&self, route: RouteKey, took: f64) -> bool {
        let typical = self.routes.get(&route).copied().unwrap_or_default();
        typical.answers >= MIN_ANSWERS && took > typical.mean * SLOW_MULTIPLE
    }
}
