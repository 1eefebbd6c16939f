//! Copies of requests that are running, on this process and on others. A copy is one execution of a
//! request at an upstream.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::gateway::{
    model::{Lifetime, RequestDigest},
    peering::ProcessId,
};

/// A running copy of a suspect or quarantined request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyReport<K = RequestDigest>(
    /// Digest of the request, or key of a part of its prompt.
    pub K,
    /// Upstream that runs it, in one lifetime.
    pub Lifetime,
);

/// The copies that another process last reported.
#[derive(Debug)]
struct RemoteCopies<K> {
    received: Instant,
    /// Number of the message that reported them: datagrams may overtake each other.
    number: u64,
    copies: Vec<CopyReport<K>>,
}

/// Copies of requests that are running.
#[derive(Debug)]
pub struct Copies<K = RequestDigest> {
    local: BTreeMap<K, Vec<Lifetime>>,
    remote: HashMap<ProcessId, RemoteCopies<K>>,
}

impl<K> Default for Copies<K> {
    fn default() -> Self {
        Self { local: BTreeMap::new(), remote: HashMap::new() }
    }
}

impl<K: Copy + Ord> Copies<K> {
    /// Adds a copy of this process.
    pub fn begin(&mut self, key: K, lifetime: Lifetime) {
        self.local.entry(key).or_default().push(lifetime);
    }

    /// Removes a copy of this process.
    pub fn end(&mut self, key: K, lifetime: Lifetime) {
        let Some(lifetimes) = self.local.get_mut(&key) else {
            return;
        };
        if let Some(i) = lifetimes.iter().position(|l| *l == lifetime) {
            lifetimes.swap_remove(i);
        }
        if lifetimes.is_empty() {
            self.local.remove(&key);
        }
    }

    /// Replaces the copies that another process reported, unless the message is older than one that
    /// was already merged. Returns whether it was newer.
    pub fn replace_remote(
        &mut self,
        process: &ProcessId,
        number: u64,
        copies: Vec<CopyReport<K>>,
        now: Instant,
    ) -> bool {
        if self.remote.get(process).is_some_and(|known| known.number >= number) {
            return false;
        }
        self.remote.insert(process.clone(), RemoteCopies { received: now, number, copies });
        true
    }

    /// Drops the copies of processes that have reported none for at least `silence`.
    pub fn expire_remote(&mut self, silence: Duration, now: Instant) {
        self.remote
            .retain(|_, reported| now.saturating_duration_since(reported.received) < silence);
    }

    /// Returns the copies of this process whose requests pass `filter`.
    pub fn local(&self, filter: impl Fn(K) -> bool) -> Vec<CopyReport<K>> {
        let matching = self.local.iter().filter(|(key, _)| filter(**key));
        matching
            .flat_map(|(key, lifetimes)| lifetimes.iter().map(|l| CopyReport(*key, *l)))
            .collect()
    }

    /// Returns whether a copy is running on any process, as far as is known.
    pub fn is_running(&self, key: K) -> bool {
        self.local.contains_key(&key) || self.remote().any(|c| c.0 == key)
    }

    /// Returns the copies that other processes have reported.
    pub fn remote(&self) -> impl Iterator<Item = &CopyReport<K>> {
        self.remote.values().flat_map(|reported| &reported.copies)
    }
}
