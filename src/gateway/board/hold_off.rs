//! When upstreams that set a rate limit or asked for a pause may get requests again.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::Board;
use crate::gateway::{decide::ShareHolder, model::Lifetime};

impl Board {
    /// Returns how long this gateway must wait before it may send a request to an upstream that
    /// has set a rate limit or asked for a pause; `None` if other gateways hold the whole limit.
    pub fn hold_off(&self, upstream: Lifetime, now: Instant) -> Option<Duration> {
        let wait = self.limits.wait(upstream, now)?;
        Some(wait.max(self.rests.remaining(upstream, now)))
    }

    /// Returns whether another gateway may have capacity left in its share of an upstream's limit.
    pub fn may_ask_peer(&self, upstream: Lifetime, now: Instant) -> bool {
        self.rests.remaining(upstream, now).is_zero() && self.peer_to_ask(upstream, now).is_some()
    }

    /// Returns a gateway that may have capacity left in its share of an upstream's limit, with its
    /// heartbeat address, to which it is asked.
    pub fn peer_to_ask(
        &self,
        upstream: Lifetime,
        now: Instant,
    ) -> Option<(ShareHolder, SocketAddr)> {
        let mut holders = self.limits.holders_to_ask(upstream, now);
        holders.find_map(|holder| self.heartbeat_address(holder, now))
    }

    /// Returns a gateway with its heartbeat address, if it is heard.
    pub(super) fn heartbeat_address(
        &self,
        holder: ShareHolder,
        now: Instant,
    ) -> Option<(ShareHolder, SocketAddr)> {
        let peer = self.recently_heard(now).find(|p| p.holder == holder)?;
        Some((holder, peer.last.heartbeats))
    }

    /// Notes that a request to the service was refused, so that this gateway gets its turn under the
    /// limits of the upstreams.
    pub fn note_held_off(&mut self, service: &str, now: Instant) {
        if self.limits.count_limited() == 0 {
            return;
        }
        let serving: Vec<Lifetime> = self.serving(service).map(|v| v.lifetime).collect();
        serving.into_iter().for_each(|upstream| self.limits.note_refused(upstream, now));
    }

    /// Returns the time until this gateway may send a request to an upstream of the service;
    /// `None` if it may send one now, or if no upstream serves.
    pub fn service_hold_off(&self, service: &str, now: Instant) -> Option<Duration> {
        let serving: Vec<Lifetime> = self.serving(service).map(|v| v.lifetime).collect();
        let waits: Vec<Option<Duration>> =
            serving.iter().map(|upstream| self.hold_off(*upstream, now)).collect();
        if serving.is_empty() || waits.contains(&Some(Duration::ZERO)) {
            return None;
        }
        let others_waits = serving.iter().filter_map(|upstream| {
            let wait = self.limits.wait_for_holders(*upstream, now)?;
            Some(wait.max(self.rests.remaining(*upstream, now)))
        });
        // If no gateway is known to have capacity left, one may send after this time on average.
        let rate: f64 = serving.iter().filter_map(|upstream| self.limits.rate(*upstream)).sum();
        let mean_interval = (rate > 0.0).then(|| Duration::from_secs_f64(1.0 / rate));
        waits.into_iter().flatten().chain(others_waits).min().or(mean_interval)
    }
}
