//! Upstreams that announced in a response that they are leaving.
//!
//! Their rows in the store may still say that they take work: the store may be unreachable, or
//! the rows may be late. An announcement holds for the rest of the upstream's lifetime.

use std::{collections::HashMap, time::Instant};

use serde::{Deserialize, Serialize};

use super::{
    StoreMillis,
    gossip::{GossipState, select_for_heartbeat},
};
use crate::gateway::model::Lifetime;

/// An upstream that is leaving, as gateways report it to each other in heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReport(
    /// The upstream that is leaving.
    pub Lifetime,
    /// Earliest known announcement, by the store's clock.
    pub StoreMillis,
);

#[derive(Clone, Copy, Debug)]
struct Announcement {
    since: Instant,
    gossip: GossipState,
}

/// The upstreams that announced that they are leaving, by lifetime.
#[derive(Clone, Debug, Default)]
pub struct LeavingTracker {
    announcements: HashMap<Lifetime, Announcement>,
}

impl LeavingTracker {
    /// Records that an upstream has been leaving since `since`; the earliest such time counts.
    /// Returns whether the upstream was not known to be leaving.
    pub fn learn(&mut self, upstream: Lifetime, since: Instant, now: Instant) -> bool {
        match self.announcements.get_mut(&upstream) {
            Some(known) => {
                known.since = known.since.min(since);
                false
            }
            None => {
                self.announcements
                    .insert(upstream, Announcement { since, gossip: GossipState::new(now) });
                true
            }
        }
    }

    /// Returns since when an upstream has been leaving; `None` if it made no announcement.
    pub fn since(&self, upstream: Lifetime) -> Option<Instant> {
        self.announcements.get(&upstream).map(|known| known.since)
    }

    /// Returns the upstreams to report in the next heartbeat, among those for which
    /// `needs_report` holds, each with the time since when it has been leaving.
    pub fn select_reports(
        &mut self,
        needs_report: impl Fn(Lifetime) -> bool,
        now: Instant,
    ) -> Vec<(Lifetime, Instant)> {
        let due = self.announcements.iter_mut().filter(|(_, known)| known.gossip.is_due(now));
        let reported = due.filter(|(upstream, _)| needs_report(**upstream));
        select_for_heartbeat(
            reported.map(|(upstream, known)| (*upstream, &mut known.gossip, known.since)),
        )
    }

    /// Removes upstreams that have not been `listed` for the retention time.
    pub fn retain(&mut self, listed: impl Fn(Lifetime) -> bool, now: Instant) {
        self.announcements
            .retain(|upstream, known| known.gossip.update_listed(listed(*upstream), now));
    }
}
