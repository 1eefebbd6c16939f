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
/// For how long it is remembered of an upstream that is not listed.
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
    /// When it was last said, or told by another gateway.
    heard: Instant,
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
                *said = Said { since: said.since.min(since), heard: now, ..*said };
                false
            }
            None => {
                self.said.insert(upstream, Said { since, heard: now, told: 0 });
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
    pub fn to_tell(&mut self, are_told: impl Fn(Lifetime) -> bool) -> Vec<(Lifetime, Instant)> {
        let all = self.said.iter_mut().filter(|(upstream, _)| are_told(**upstream));
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
        let recent = |said: &Said| now.saturating_duration_since(said.heard) < UNLISTED_KEPT;
        self.said.retain(|upstream, said| listed(*upstream) || recent(said));
    }
}
