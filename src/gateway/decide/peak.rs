//! The largest need of the last seconds, for each kind of engine.
//!
//! The need is kept to, and not what is wished for because of it: engines on demand
//! then go as soon as reclaimable ones carry the load. Keeping to the wish held them
//! for ten seconds more after each loss.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// For how long reclaimable engines are kept for the largest need: while it falls,
/// their caches are warm, and it is no larger for that; with fewer of them it rises
/// again. They cost a fraction of the others.
const KEEP_RECLAIMABLE: Duration = Duration::from_secs(20);

/// The largest need of a span of time.
#[derive(Clone, Debug)]
pub struct NeedPeak {
    span: Duration,
    /// Falling needs, each with its time: the first is the largest.
    falling: VecDeque<(Instant, f64)>,
}

impl NeedPeak {
    /// Begins without a need; the largest of `span` counts.
    pub fn new(span: Duration) -> Self {
        Self { span, falling: VecDeque::new() }
    }

    /// Notes the need at `now` and returns the largest of late.
    pub fn note(&mut self, need: f64, now: Instant) -> f64 {
        while self.falling.back().is_some_and(|(_, n)| *n <= need) {
            self.falling.pop_back();
        }
        self.falling.push_back((now, need));
        let span = self.span;
        let old = |at: Instant| now.saturating_duration_since(at) > span;
        while self.falling.front().is_some_and(|(at, _)| old(*at)) {
            self.falling.pop_front();
        }
        self.falling.front().map_or(need, |(_, n)| *n)
    }
}

/// Engines that a load needs, for each kind of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// Engines in all.
    pub engines: f64,
    /// Engines for which reclaimable ones are kept.
    pub reclaimable: f64,
}

/// Follows the need of a load.
#[derive(Clone, Debug)]
pub struct NeedMeter {
    engines: NeedPeak,
    reclaimable: NeedPeak,
}

impl NeedMeter {
    /// Begins without a need. Load comes in waves, and an engine takes `boot` to
    /// start, so that the largest need of that time counts.
    pub fn new(boot: Duration) -> Self {
        let reclaimable = NeedPeak::new(KEEP_RECLAIMABLE.max(boot));
        Self { engines: NeedPeak::new(boot), reclaimable }
    }

    /// Notes the need at `now` and returns what engines are kept for.
    pub fn note(&mut self, need: f64, now: Instant) -> Need {
        Need {
            engines: self.engines.note(need, now),
            reclaimable: self.reclaimable.note(need, now),
        }
    }
}
