//! How long facts that upstreams announced are kept and reported to other gateways, and how many
//! of them go into one heartbeat.

use std::time::{Duration, Instant};

use crate::gateway::model::Lifetime;

/// Most facts of one kind in a heartbeat. If there are more, they take turns.
const MAX_FACTS_PER_HEARTBEAT: usize = 32;
/// How long facts about an upstream are still reported after it was last listed.
const UNLISTED_REPORT_TIME: Duration = Duration::from_secs(12);
/// How long such facts are kept. It is well beyond the time in which they are reported:
/// otherwise gateways would go on learning a forgotten fact from each other for ever.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// Reporting state of a fact about an upstream.
#[derive(Clone, Copy, Debug)]
pub struct GossipState {
    /// When the upstream was last listed; when the fact was learnt, if it never was.
    last_listed: Instant,
    /// Heartbeats that carried the fact since it was last prioritized.
    times_sent: u32,
}

impl GossipState {
    /// Creates the state of a fact that is learnt at `now`.
    pub fn new(now: Instant) -> Self {
        Self { last_listed: now, times_sent: 0 }
    }

    /// Puts the fact ahead of those that were already sent.
    pub fn prioritize(&mut self) {
        self.times_sent = 0;
    }

    /// Returns whether the fact is still reported.
    pub fn is_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_listed) < UNLISTED_REPORT_TIME
    }

    /// Records whether the upstream is listed; returns whether the fact is still kept. It outlasts
    /// the listing, as an outage of the store can remove the row of an upstream that still serves.
    pub fn update_listed(&mut self, is_listed: bool, now: Instant) -> bool {
        if is_listed {
            self.last_listed = now;
        }
        now.saturating_duration_since(self.last_listed) < UNLISTED_RETENTION
    }
}

/// Returns the facts for one heartbeat, those that were sent least often first, and counts them
/// as sent.
pub fn select_for_heartbeat<'a, T>(
    facts: impl Iterator<Item = (Lifetime, &'a mut GossipState, T)>,
) -> Vec<(Lifetime, T)> {
    let mut facts: Vec<_> = facts.collect();
    facts.sort_unstable_by_key(|(upstream, gossip, _)| (gossip.times_sent, *upstream));
    facts.truncate(MAX_FACTS_PER_HEARTBEAT);
    let count_sent = |(upstream, gossip, fact): (Lifetime, &mut GossipState, T)| {
        gossip.times_sent = gossip.times_sent.saturating_add(1);
        (upstream, fact)
    };
    facts.into_iter().map(count_sent).collect()
}
