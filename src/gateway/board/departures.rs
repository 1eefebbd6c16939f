//! Upstreams that left lately, in case the store returns from a copy that still lists them.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use crate::{
    gateway::model::{Lifetime, Upstream},
    ids::UpstreamId,
};

/// Time for which a departure is remembered. A copy that is older lists upstreams that left as if
/// they were serving.
const MEMORY: Duration = Duration::from_secs(60);
/// Time after the return for which a row of an upstream that left is not used unless it is written
/// again. With less, the store may not have removed it again; with more, an upstream that is back
/// is idle for longer.
const WITHHELD_TIME: Duration = Duration::from_secs(10);

/// Upstreams that left lately, and rows of such upstreams in a store that returned from a copy.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    left: HashMap<UpstreamId, (Lifetime, Instant)>,
    /// Listed upstreams that are not used, each with the end of that time.
    withheld: BTreeMap<UpstreamId, (Upstream, Instant)>,
}

impl Departures {
    /// Records that an upstream is gone.
    pub fn note(&mut self, id: &UpstreamId, lifetime: Lifetime, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MEMORY;
        self.left.retain(|_, (_, at)| is_recent(*at));
        self.left.insert(id.clone(), (lifetime, now));
    }

    /// Forgets an upstream's departure: its row was written or removed since.
    pub fn forget(&mut self, id: &UpstreamId) {
        self.left.remove(id);
        self.withheld.remove(id);
    }

    /// Splits off the upstreams that left in the same lifetime, from those that a copy lists, and
    /// withholds them; returns the others.
    pub fn withhold(&mut self, listed: Vec<Upstream>, now: Instant) -> Vec<Upstream> {
        let has_left = |upstream: &Upstream| {
            let left = self.left.get(&upstream.id);
            left.is_some_and(|(lifetime, at)| {
                *lifetime == upstream.lifetime() && now.saturating_duration_since(*at) < MEMORY
            })
        };
        let (left, others): (Vec<_>, Vec<_>) = listed.into_iter().partition(has_left);
        let until = now + WITHHELD_TIME;
        self.withheld = left.into_iter().map(|u| (u.id.clone(), (u, until))).collect();
        others
    }

    /// Returns the withheld upstreams whose rows are still listed after that time.
    pub fn take_due(&mut self, now: Instant) -> Vec<Upstream> {
        let due: Vec<UpstreamId> = self
            .withheld
            .iter()
            .filter(|(_, (_, at))| *at <= now)
            .map(|(id, _)| id.clone())
            .collect();
        due.iter().filter_map(|id| self.withheld.remove(id)).map(|(upstream, _)| upstream).collect()
    }
}
