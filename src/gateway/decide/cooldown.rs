//! Cooldowns: upstreams that rejected a request of this gateway and asked for a pause.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::gateway::model::Lifetime;

/// End of each upstream's cooldown. An upstream asks each gateway separately, so cooldowns are
/// not shared with other gateways.
#[derive(Clone, Debug, Default)]
pub struct CooldownTracker {
    until: HashMap<Lifetime, Instant>,
}

impl CooldownTracker {
    /// Starts or extends the cooldown of an upstream, which a later request never shortens.
    /// Returns whether the upstream was not cooling down before.
    pub fn extend_cooldown(&mut self, upstream: Lifetime, rest: Duration, now: Instant) -> bool {
        let is_new = self.remaining(upstream, now).is_zero() && !rest.is_zero();
        let until = self.until.entry(upstream).or_insert(now);
        *until = (*until).max(now + rest);
        is_new
    }

    /// Returns the remaining cooldown of an upstream; zero if it has none.
    pub fn remaining(&self, upstream: Lifetime, now: Instant) -> Duration {
        let until = self.until.get(&upstream);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns the number of upstreams that are cooling down.
    pub fn count_active(&self, now: Instant) -> usize {
        self.until.values().filter(|until| **until > now).count()
    }

    /// Removes cooldowns that are over.
    pub fn remove_expired(&mut self, now: Instant) {
        self.until.retain(|_, until| *until > now);
    }
}
