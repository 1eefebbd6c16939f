//! Gossip between gateways about requests that crash upstreams.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{CopyReport, PartReport, SuspectReport, VerdictReport};
use crate::gateway::model::{Lifetime, PartKey, RequestDigest};

/// Time for which an entry is announced: long enough for each gateway to hear it from several
/// others.
const ANNOUNCED_FOR: Duration = Duration::from_millis(2_500);
/// Entries of one kind in one message: at 60 bytes each they fit into a few packets.
const MAX_ENTRIES_PER_KIND: usize = 64;

/// What one gateway tells the others about requests that crash upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashGossip {
    /// Suspects with the crashes under them, as far as the sender knows.
    pub suspects: Vec<SuspectReport>,
    /// Suspects that ran to completion.
    pub cleared: Vec<RequestDigest>,
    /// Upstreams, by lifetime, that were reported crashed and are alive.
    pub alive: Vec<Lifetime>,
    /// Verdicts that are new or changed.
    pub verdicts: Vec<VerdictReport>,
    /// Copies of suspects and of quarantined requests that the sender is running.
    pub copies: Vec<CopyReport>,
    /// See `Quarantine::fingerprint`: a receiver with another one asks the sender for all its
    /// verdicts.
    pub fingerprint: u64,
}

/// What one gateway tells the others about parts of prompts that crash upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartGossip {
    /// Parts with the crashes under them, as far as the sender knows.
    pub suspects: Vec<PartReport>,
    /// Parts that were answered in full after the crashes under them.
    pub cleared: Vec<PartKey>,
    /// Signs that upstreams answer parts under which others crashed, with their ages in
    /// milliseconds.
    pub answered: Vec<(PartKey, u16)>,
    /// Verdicts that are new or changed.
    pub verdicts: Vec<VerdictReport<PartKey>>,
    /// Requests with isolated or quarantined parts that the sender is running.
    pub copies: Vec<CopyReport<PartKey>>,
    /// See `Quarantine::fingerprint`: a receiver with another one asks the sender for all its
    /// verdicts.
    pub fingerprint: u64,
}

/// Entries that are announced for a limited time.
#[derive(Debug)]
pub(super) struct Announcements<T>(VecDeque<(Instant, T)>);

impl<T> Default for Announcements<T> {
    fn default() -> Self {
        Self(VecDeque::new())
    }
}

impl<T: Clone + PartialEq> Announcements<T> {
    /// Announces an entry from now on; the oldest is dropped if there are too many.
    pub fn push(&mut self, entry: T, now: Instant) {
        self.0.retain(|(_, known)| *known != entry);
        if self.0.len() >= MAX_ENTRIES_PER_KIND {
            self.0.pop_front();
        }
        self.0.push_back((now, entry));
    }

    /// Returns the entries that are still announced.
    pub fn list(&mut self, now: Instant) -> Vec<T> {
        let is_old = |t: &Instant| now.saturating_duration_since(*t) > ANNOUNCED_FOR;
        while self.0.front().is_some_and(|(t, _)| is_old(t)) {
            self.0.pop_front();
        }
        self.0.iter().map(|(_, entry)| entry.clone()).collect()
    }
}
