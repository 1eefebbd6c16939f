//! Rate limits of upstreams: where a request may go, and when.

use std::time::Instant;

use super::{Board, PEER_FORGOTTEN};
use crate::gateway::{
    decide::{Holder, LimitMembers, LimitNotice},
    model::Lifetime,
    net::Phase,
    peering::ProcessId,
};

/// Share of the gateways announced in the store that must be known before this one takes a
/// part in limits: one that knows few of them would take the parts of others.
const KNOWN_SHARE: f64 = 0.75;

impl Board {
    /// Divides the rate limits of upstreams among the gateways that are known. `own` is this
    /// one's host. One that leaves has no part, unless it is alone.
    pub fn divide_limits(&mut self, own: &str, leaving: bool, now: Instant) {
        if self.limits.limited() == 0 {
            return;
        }
        let serving = || self.peers.values().filter(|p| p.last.phase == Phase::Serving);
        let others = serving().map(|p| p.holder);
        let is_alone = serving().next().is_none();
        let takes_part = self.knows_most_gateways(now) && (!leaving || is_alone);
        let members = LimitMembers::new(Holder::new(own), others, takes_part);
        self.limits.divide(members, now);
    }

    /// Returns whether this process has heard most of the gateways that there were when it
    /// started, or has had the time to hear all that still serve.
    fn knows_most_gateways(&self, now: Instant) -> bool {
        let known = 1 + self.peers.len();
        let young = now.saturating_duration_since(self.started) < PEER_FORGOTTEN;
        !young || known as f64 >= self.announced as f64 * KNOWN_SHARE
    }

    /// Takes over what another gateway tells of the limits of upstreams; returns those that
    /// this changes.
    pub fn hear_limits(
        &mut self,
        process: &ProcessId,
        now: Instant,
    ) -> Vec<(Lifetime, LimitNotice)> {
        let told = self.peers.get(process).map(|p| p.last.limits.clone()).unwrap_or_default();
        let changes = told.into_iter().filter(|r| self.limits.learn(r.0, r.1, now));
        changes.map(|r| (r.0, r.1)).collect()
    }
}
