//! Division of upstreams' rate limits among the gateways.

use std::time::Instant;

use super::{Board, PEER_TIMEOUT};
use crate::gateway::{
    decide::{LimitAnnouncement, LimitMembers, ShareHolder},
    model::Lifetime,
    net::Phase,
    peering::ProcessId,
};

/// Share of the gateways announced in the store that must be known before this one takes a share
/// of limits: one that knows only a few gateways would take the shares of others.
const MIN_KNOWN_SHARE: f64 = 0.75;

impl Board {
    /// Divides the rate limits and the room of brittle upstreams among the known gateways. `own` is the name of this
    /// gateway's host. A gateway that is leaving gets no share, unless it is the only one.
    pub fn divide_limits(&mut self, own: &str, leaving: bool, now: Instant) {
        if self.limits.count_limited() + self.brittle.count_limited() == 0 {
            return;
        }
        let serving = || self.peers.values().filter(|p| p.last.phase == Phase::Serving);
        let others = serving().map(|p| p.holder);
        let is_alone = serving().next().is_none();
        let takes_part = self.knows_most_gateways(now) && (!leaving || is_alone);
        let members = LimitMembers::new(ShareHolder::new(own), others, takes_part);
        self.limits.divide(members.clone(), now);
        self.divide_room(members, now);
    }

    /// Returns whether this process has heard from most of the gateways that were announced at its
    /// start, or has run for long enough to hear from all that still serve.
    fn knows_most_gateways(&self, now: Instant) -> bool {
        let known = 1 + self.peers.len();
        let is_recently_started = now.saturating_duration_since(self.started) < PEER_TIMEOUT;
        !is_recently_started || known as f64 >= self.announced_hosts as f64 * MIN_KNOWN_SHARE
    }

    /// Merges another gateway's reports of upstreams' limits; returns the limits that changed.
    pub fn merge_limit_reports(
        &mut self,
        process: &ProcessId,
        now: Instant,
    ) -> Vec<(Lifetime, LimitAnnouncement)> {
        let reports = self.peers.get(process).map(|p| p.last.limits.clone()).unwrap_or_default();
        let changes = reports.into_iter().filter(|r| self.limits.learn(r.0, r.1, now));
        changes.map(|r| (r.0, r.1)).collect()
    }
}
