//! Copies of requests that run now, here and at other processes.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::gateway::{
    model::{Lifetime, RequestDigest},
    peering::ProcessId,
};

/// A copy of a suspect that runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyReport(
    /// What runs.
    pub RequestDigest,
    /// Where, in one lifetime.
    pub Lifetime,
);

/// What another process last told of its copies.
#[derive(Debug)]
struct Heard {
    at: Instant,
    /// Number of the message: datagrams overtake each other.
    number: u64,
    copies: Vec<CopyReport>,
}

/// Copies of requests that run now.
#[derive(Debug, Default)]
pub struct Copies {
    own: BTreeMap<RequestDigest, Vec<Lifetime>>,
    others: HashMap<ProcessId, Heard>,
}

impl Copies {
    /// Counts a copy of this process.
    pub fn begin(&mut self, digest: RequestDigest, lifetime: Lifetime) {
        self.own.entry(digest).or_default().push(lifetime);
    }

    /// Takes a copy of this process off.
    pub fn end(&mut self, digest: RequestDigest, lifetime: Lifetime) {
        let Some(lifetimes) = self.own.get_mut(&digest) else {
            return;
        };
        if let Some(i) = lifetimes.iter().position(|l| *l == lifetime) {
            lifetimes.swap_remove(i);
        }
        if lifetimes.is_empty() {
            self.own.remove(&digest);
        }
    }

    /// Takes over what another process says of its copies; returns whether that is new.
    pub fn hear(
        &mut self,
        process: &ProcessId,
        number: u64,
        copies: Vec<CopyReport>,
        now: Instant,
    ) -> bool {
        if self.others.get(process).is_some_and(|known| known.number >= number) {
            return false;
        }
        self.others.insert(process.clone(), Heard { at: now, number, copies });
        true
    }

    /// Forgets processes that have not told of copies for so long.
    pub fn forget(&mut self, silence: Duration, now: Instant) {
        self.others.retain(|_, heard| now.saturating_duration_since(heard.at) < silence);
    }

    /// Returns the copies of this process that `matter`.
    pub fn own(&self, matter: impl Fn(RequestDigest) -> bool) -> Vec<CopyReport> {
        let matter = self.own.iter().filter(|(digest, _)| matter(**digest));
        matter.flat_map(|(digest, at)| at.iter().map(|l| CopyReport(*digest, *l))).collect()
    }

    /// Returns whether a copy runs anywhere, as far as is known.
    pub fn is_running(&self, digest: RequestDigest) -> bool {
        self.own.contains_key(&digest) || self.told().any(|c| c.0 == digest)
    }

    /// Returns the copies of which other processes have told.
    pub fn told(&self) -> impl Iterator<Item = &CopyReport> {
        self.others.values().flat_map(|heard| &heard.copies)
    }
}
