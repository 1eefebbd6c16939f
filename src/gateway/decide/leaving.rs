//! Upstreams that said in their answers that they leave.
//!
//! Their rows in the store may still say that they take work: the store may be away, or the
//! rows late. An upstream that has said so once leaves, for the rest of its lifetime.

use std::{collections::HashMap, time::Instant};

use serde::{Deserialize, Serialize};

use super::{
    StoreMillis,
    telling::{Telling, take_turns},
};
use crate::gateway::model::Lifetime;

/// An upstream that leaves, as a gateway tells it to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReport(
    /// The upstream.
    pub Lifetime,
    /// When it first said so, by the store's clock.
    pub StoreMillis,
);

#[derive(Clone, Copy, Debug)]
struct Said {
    since: Instant,
    telling: Telling,
}

/// Upstreams that said that they leave, by lifetime.
#[derive(Clone, Debug, Default)]
pub struct LeavingBook {
    said: HashMap<Lifetime, Said>,
}

impl LeavingBook {
    /// Notes that an upstream has said so since a moment; returns whether that is new.
    pub fn learn(&mut self, upstream: Lifetime, since: Instant, now: Instant) -> bool {
        match self.said.get_mut(&upstream) {
            Some(said) => {
                said.since = said.since.min(since);
                false
            }
            None => {
                self.said.insert(upstream, Said { since, telling: Telling::new(now) });
                true
            }
        }
    }

    /// Returns since when an upstream has said so; `None` if it has not.
    pub fn since(&self, upstream: Lifetime) -> Option<Instant> {
        self.said.get(&upstream).map(|said| said.since)
    }

    /// Returns which of the upstreams that `are_told` the others are told now, each with
    /// the moment since when it has said so.
    pub fn to_tell(
        &mut self,
        are_told: impl Fn(Lifetime) -> bool,
        now: Instant,
    ) -> Vec<(Lifetime, Instant)> {
        let due = self.said.iter_mut().filter(|(_, said)| said.telling.is_due(now));
        let told = due.filter(|(upstream, _)| are_told(**upstream));
        take_turns(told.map(|(upstream, said)| (*upstream, &mut said.telling, said.since)))
    }

    /// Forgets upstreams that are not `listed`, after a while.
    pub fn retain(&mut self, listed: impl Fn(Lifetime) -> bool, now: Instant) {
        self.said.retain(|upstream, said| said.telling.keep(listed(*upstream), now));
    }
}
