//! Upstreams that left lately, in case the store returns from a copy that still lists them.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use crate::{
    gateway::model::{Lifetime, Upstream},
    ids::UpstreamId,
};

/// Time for which a departure is remembered. A copy that is older than this lists upstreams that
/// left as if they were serving.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);
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
        self.left.insert(id.clone(), (lifetime, now));
    }

    /// Returns whether an upstream is known to have left lately.
    pub fn is_known(&self, id: &UpstreamId) -> bool {
        self.left.contains_key(id)
    }

    /// Forgets an upstream's departure: its row was written or removed since.
    pub fn forget(&mut self, id: &UpstreamId) {
        self.left.remove(id);
        self.withheld.remove(id);
    }

    /// Withholds those of the upstreams that a copy lists that left in the same lifetime.
    pub fn withhold(&mut self, listed: &[Upstream], now: Instant) {
        let until = now + WITHHELD_TIME;
        let left = |upstream: &&Upstream| {
            let left = self.left.get(&upstream.id);
            left.is_some_and(|(lifetime, _)| *lifetime == upstream.lifetime())
        };
        let withheld = listed.iter().filter(left).map(|u| (u.id.clone(), (u.clone(), until)));
        self.withheld = withheld.collect();
    }

    /// Returns whether an upstream is withheld.
    pub fn is_withheld(&self, upstream: &Upstream) -> bool {
        let withheld = self.withheld.get(&upstream.id);
        withheld.is_some_and(|(known, _)| known.lifetime() == upstream.lifetime())
    }

    /// Forgets old departures, and returns the withheld upstreams whose rows are still listed after
    /// that time.
    pub fn expire(&mut self, now: Instant) -> Vec<Upstream> {
        self.left.retain(|_, (_, at)| now.saturating_duration_since(*at) < DEPARTURE_RETENTION);
        let due: Vec<UpstreamId> = self
            .withheld
            .iter()
            .filter(|(_, (_, at))| *at <= now)
            .map(|(id, _)| id.clone())
            .collect();
        due.iter().filter_map(|id| self.withheld.remove(id)).map(|(upstream, _)| upstream).collect()
    }
}
