//! Upstreams that said in their answers that they leave.
//!
//! Their rows in the store may still say that they take work: the store may be away, or the
//! rows late. An upstream that has said so once leaves, for the rest of its lifetime.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::StoreMillis;
use crate::gateway::model::Lifetime;

/// Upstreams that go along with one heartbeat at most: with more, they take turns.
const TOLD_AT_ONCE: usize = 32;
/// For how long it is told of an upstream that is not listed.
const UNLISTED_TOLD: Duration = Duration::from_secs(12);
/// For how long it is remembered: well beyond the time in which it is told, or gateways would
/// tell each other for ever.
const UNLISTED_KEPT: Duration = Duration::from_secs(60);

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
    /// When the upstream was last listed; when this was learnt, if it never was.
    listed: Instant,
    /// How often the others were told.
    told: u32,
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
                self.said.insert(upstream, Said { since, listed: now, told: 0 });
                true
            }
        }
    }

    /// Returns since when an upstream has said so; `None` if it has not.
    pub fn since(&self, upstream: Lifetime) -> Option<Instant> {
        self.said.get(&upstream).map(|said| said.since)
    }

    /// Returns which of the upstreams that `are_told` the others are told now, each with
    /// the moment since when it has said so: of more than one heartbeat takes, those that
    /// were told least.
    pub fn to_tell(
        &mut self,
        are_told: impl Fn(Lifetime) -> bool,
        now: Instant,
    ) -> Vec<(Lifetime, Instant)> {
        let all = self.said.iter_mut().filter(|(upstream, said)| {
            now.saturating_duration_since(said.listed) < UNLISTED_TOLD && are_told(**upstream)
        });
        let mut told: Vec<(&Lifetime, &mut Said)> = all.collect();
        told.sort_unstable_by_key(|(upstream, said)| (said.told, **upstream));
        told.truncate(TOLD_AT_ONCE);
        let tell = |(upstream, said): (&Lifetime, &mut Said)| {
            said.told = said.told.saturating_add(1);
            (*upstream, said.since)
        };
        told.into_iter().map(tell).collect()
    }

    /// Forgets upstreams that are not `listed`, after a while: their rows may be missing for
    /// the store's sake.
    pub fn retain(&mut self, listed: impl Fn(Lifetime) -> bool, now: Instant) {
        self.said.retain(|upstream, said| {
            if listed(*upstream) {
                said.listed = now;
            }
            now.saturating_duration_since(said.listed) < UNLISTED_KEPT
        });
    }
}
