//! Peak of the engine requirement over the last seconds, for each kind of engine.
//!
//! The peak is taken of the requirement and not of the planned number of engines, so that
//! engines on demand are given up as soon as reclaimable ones carry the load. A peak of the
//! planned number kept them for ten seconds longer after each loss.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Time over which the peak counts for reclaimable engines. While the load falls, keeping them
/// keeps their caches warm, which does not raise the requirement; with fewer engines the
/// requirement would rise again. They cost a fraction of engines on demand.
const RECLAIMABLE_PEAK_SPAN: Duration = Duration::from_secs(20);

/// Peak of the requirement over a span of time.
#[derive(Clone, Debug)]
pub struct NeedPeak {
    span: Duration,
    /// Requirements in decreasing order, each with its time; the first is the peak.
    decreasing: VecDeque<(Instant, f64)>,
}

impl NeedPeak {
    /// Creates a peak over the last `span`, without a requirement.
    pub fn new(span: Duration) -> Self {
        Self { span, decreasing: VecDeque::new() }
    }

    /// Records the requirement at `now` and returns the peak.
    pub fn record(&mut self, need: f64, now: Instant) -> f64 {
        while self.decreasing.back().is_some_and(|(_, n)| *n <= need) {
            self.decreasing.pop_back();
        }
        self.decreasing.push_back((now, need));
        let span = self.span;
        let expired = |at: Instant| now.saturating_duration_since(at) > span;
        while self.decreasing.front().is_some_and(|(at, _)| expired(*at)) {
            self.decreasing.pop_front();
        }
        self.decreasing.front().map_or(need, |(_, n)| *n)
    }
}

/// Engines that a load requires, for each kind of engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// Engines required in total.
    pub engines: f64,
    /// Engines for which reclaimable ones are kept; the peak over a longer time.
    pub reclaimable: f64,
}

/// Follows the requirement of a load.
#[derive(Clone, Debug)]
pub struct NeedMeter {
    engines: NeedPeak,
    reclaimable: NeedPeak,
}

impl NeedMeter {
    /// Creates a meter without a requirement. Load fluctuates, and an engine takes `boot` to
    /// start, so the peak over that time counts.
    pub fn new(boot: Duration) -> Self {
        let reclaimable = NeedPeak::new(RECLAIMABLE_PEAK_SPAN.max(boot));
        Self { engines: NeedPeak::new(boot), reclaimable }
    }

    /// Records the requirement at `now` and returns the engines to keep.
    pub fn record_need(&mut self, need: f64, now: Instant) -> Need {
        Need {
            engines: self.engines.record(need, now),
            reclaimable: self.reclaimable.record(need, now),
        }
    }
}
