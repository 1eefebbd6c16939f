//! Upstreams that turned a request of this gateway away and asked for rest.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::gateway::model::Lifetime;

/// Until when upstreams rest. Each asked this gateway alone.
#[derive(Clone, Debug, Default)]
pub struct RestBook {
    until: HashMap<Lifetime, Instant>,
}

impl RestBook {
    /// Notes that an upstream wants no requests for a while; returns whether it did not rest
    /// before. A later word never ends a rest sooner.
    pub fn learn(&mut self, upstream: Lifetime, rest: Duration, now: Instant) -> bool {
        let is_new = self.left(upstream, now).is_zero() && !rest.is_zero();
        let until = self.until.entry(upstream).or_insert(now);
        *until = (*until).max(now + rest);
        is_new
    }

    /// Returns for how long an upstream still rests.
    pub fn left(&self, upstream: Lifetime, now: Instant) -> Duration {
        let until = self.until.get(&upstream);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns the number of upstreams that rest.
    pub fn resting(&self, now: Instant) -> usize {
        self.until.values().filter(|until| **until > now).count()
    }

    /// Forgets rests that are over.
    pub fn forget(&mut self, now: Instant) {
        self.until.retain(|_, until| *until > now);
    }
}
