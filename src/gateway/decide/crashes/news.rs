//! What is told to the other gateways of late.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{CopyReport, SuspectReport, VerdictReport};
use crate::gateway::model::{Lifetime, RequestDigest};

/// For how long news are told: until each gateway has heard them from several others.
const TOLD: Duration = Duration::from_millis(2_500);
/// News of one kind in one message: with 60 bytes each they fit into a few packets.
const MOST_IN_MESSAGE: usize = 64;

/// What one gateway tells the others of requests that crash upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    /// Ends of upstreams under requests, as far as they are known here.
    pub suspects: Vec<SuspectReport>,
    /// Suspects that ran to a good end.
    pub cleared: Vec<RequestDigest>,
    /// Lifetimes of upstreams that were taken for ended and live.
    pub alive: Vec<Lifetime>,
    /// Verdicts that are new or changed.
    pub verdicts: Vec<VerdictReport>,
    /// Copies of suspects that the sender runs.
    pub copies: Vec<CopyReport>,
    /// See `Quarantine::mark`: whoever knows other verdicts asks for all.
    pub mark: u64,
}

/// Entries that are told for a while.
#[derive(Debug)]
pub(super) struct Told<T>(VecDeque<(Instant, T)>);

impl<T> Default for Told<T> {
    fn default() -> Self {
        Self(VecDeque::new())
    }
}

impl<T: Clone + PartialEq> Told<T> {
    /// Tells an entry from now on; the oldest yield.
    pub fn push(&mut self, entry: T, now: Instant) {
        self.0.retain(|(_, known)| *known != entry);
        if self.0.len() >= MOST_IN_MESSAGE {
            self.0.pop_front();
        }
        self.0.push_back((now, entry));
    }

    /// Returns what is still told.
    pub fn list(&mut self, now: Instant) -> Vec<T> {
        let old = |t: &Instant| now.saturating_duration_since(*t) > TOLD;
        while self.0.front().is_some_and(|(t, _)| old(t)) {
            self.0.pop_front();
        }
        self.0.iter().map(|(_, entry)| entry.clone()).collect()
    }
}
