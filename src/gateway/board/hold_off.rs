//! When upstreams that named limits or asked for rest take requests again.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::Board;
use crate::gateway::{decide::Holder, model::Lifetime};

impl Board {
    /// Returns how long it takes until this gateway may send a request to an upstream that
    /// has named a rate limit or asked for rest; `None` if others have all of its limit.
    pub fn hold_off(&self, upstream: Lifetime, now: Instant) -> Option<Duration> {
        let wait = self.limits.wait(upstream, now)?;
        Some(wait.max(self.rests.left(upstream, now)))
    }

    /// Returns whether another gateway may have room in its part of an upstream's limit.
    pub fn may_ask(&self, upstream: Lifetime, now: Instant) -> bool {
        self.rests.left(upstream, now).is_zero() && self.holder_to_ask(upstream, now).is_some()
    }

    /// Returns a gateway that may have room in its part of an upstream's limit, and where it
    /// is asked.
    pub fn holder_to_ask(&self, upstream: Lifetime, now: Instant) -> Option<(Holder, SocketAddr)> {
        let address = |holder: Holder| {
            let peer = self.heard(now).find(|p| p.holder == holder)?;
            Some((holder, peer.last.heartbeats))
        };
        self.limits.holders_to_ask(upstream, now).find_map(address)
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
        let of_others = serving.iter().filter_map(|upstream| {
            let wait = self.limits.wait_of_others(*upstream, now)?;
            Some(wait.max(self.rests.left(*upstream, now)))
        });
        // Where nobody is known to have room, on average some gateway may send so soon.
        let rate: f64 = serving.iter().filter_map(|upstream| self.limits.rate(*upstream)).sum();
        let elsewhere = (rate > 0.0).then(|| Duration::from_secs_f64(1.0 / rate));
        waits.into_iter().flatten().chain(of_others).min().or(elsewhere)
    }
}
