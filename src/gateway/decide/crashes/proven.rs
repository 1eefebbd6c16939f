//! Requests that upstreams ran to a good end of late, and so crash none.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::gateway::model::RequestDigest;

/// For how long a good end speaks for a request. What is asked for so often that it
/// stands at every end of an upstream runs to good ends several times in it; what upstreams
/// cannot bear since a new version of theirs does not any more.
const SPEAKS_FOR: Duration = Duration::from_secs(10);
/// Requests that are remembered, 48 bytes each: those of [`SPEAKS_FOR`] at a hundred
/// requests a second, three times what a process of the largest fleet gets.
const MOST: usize = 1_024;

/// Requests that ran to a good end of late.
#[derive(Debug, Default)]
pub struct Proven {
    newest: HashMap<RequestDigest, Instant>,
    order: VecDeque<(Instant, RequestDigest)>,
}

impl Proven {
    /// Notes a request that ran to a good end.
    pub fn note(&mut self, digest: RequestDigest, now: Instant) {
        self.newest.insert(digest, now);
        self.order.push_back((now, digest));
        while self.order.len() > MOST || self.order.front().is_some_and(|(t, _)| is_old(*t, now)) {
            let Some((at, oldest)) = self.order.pop_front() else {
                return;
            };
            if self.newest.get(&oldest) == Some(&at) {
                self.newest.remove(&oldest);
            }
        }
    }

    /// Returns whether a request ran to a good end of late.
    pub fn contains(&self, digest: RequestDigest, now: Instant) -> bool {
        self.newest.get(&digest).is_some_and(|at| !is_old(*at, now))
    }
}

fn is_old(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) > SPEAKS_FOR
}
