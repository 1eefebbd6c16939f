//! When upstreams take requests again, by their own words.

use std::time::{Duration, Instant};

use super::Board;
use crate::gateway::model::Lifetime;

impl Board {
    /// Returns how long it takes until this gateway may send a request to an upstream that
    /// has named a rate limit or asked for rest; `None` if others have all of its limit.
    pub fn hold_off(&self, upstream: Lifetime, now: Instant) -> Option<Duration> {
        let wait = self.limits.wait(upstream, now)?;
        Some(wait.max(self.rests.left(upstream, now)))
    }

    /// Returns when an upstream of a service may get a request again, if all of them keep
    /// this gateway from sending one now.
    pub fn hold_off_of(&self, service: &str, now: Instant) -> Option<Duration> {
        let serving: Vec<Lifetime> = self.serving(service).map(|v| v.lifetime).collect();
        let waits: Vec<Option<Duration>> =
            serving.iter().map(|upstream| self.hold_off(*upstream, now)).collect();
        if serving.is_empty() || waits.contains(&Some(Duration::ZERO)) {
            return None;
        }
        // Where this gateway has no part, others have: on average one of them may send so soon.
        let rate: f64 = serving.iter().filter_map(|upstream| self.limits.rate(*upstream)).sum();
        let elsewhere = (rate > 0.0).then(|| Duration::from_secs_f64(1.0 / rate));
        waits.into_iter().flatten().min().or(elsewhere)
    }
}
