//! The largest need of the last seconds.
//!
//! The need is kept to, and not what is wished for because of it: engines on demand
//! then go as soon as reclaimable ones carry the load. Keeping to the wish held them
//! for ten seconds more after each loss.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// For how long the largest need is kept to: load comes in waves, and an engine
/// takes seconds to start.
const PEAK_SPAN: Duration = Duration::from_secs(4);

/// The largest need of late.
#[derive(Clone, Debug, Default)]
pub struct NeedPeak {
    /// Falling needs, each with its time: the first is the largest.
    falling: VecDeque<(Instant, f64)>,
}

impl NeedPeak {
    /// Notes the need at `now` and returns the largest of late.
    pub fn note(&mut self, need: f64, now: Instant) -> f64 {
        while self.falling.back().is_some_and(|(_, n)| *n <= need) {
            self.falling.pop_back();
        }
        self.falling.push_back((now, need));
        let old = |at: Instant| now.saturating_duration_since(at) > PEAK_SPAN;
        while self.falling.front().is_some_and(|(at, _)| old(*at)) {
            self.falling.pop_front();
        }
        self.falling.front().map_or(need, |(_, n)| *n)
    }
}
