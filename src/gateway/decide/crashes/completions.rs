//! Requests that upstreams recently ran to completion, and that therefore crash none.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::gateway::model::RequestDigest;

/// Time for which a completion clears a request. A request that is sent so often that it is running
/// at every crash completes several times within it. A request that upstreams fail to run since a
/// new version of theirs no longer completes, and is suspected again after it.
const COMPLETION_VALIDITY: Duration = Duration::from_secs(10);
/// Requests that are remembered, at 48 bytes each: those of [`COMPLETION_VALIDITY`] at a hundred
/// requests a second, three times the rate of one process in the largest fleet.
const MAX_REQUESTS: usize = 1_024;

/// Requests that recently ran to completion.
#[derive(Debug, Default)]
pub struct Completions {
    newest: HashMap<RequestDigest, Instant>,
    order: VecDeque<(Instant, RequestDigest)>,
}

impl Completions {
    /// Records that a request ran to completion.
    pub fn record(&mut self, digest: RequestDigest, now: Instant) {
        self.newest.insert(digest, now);
        self.order.push_back((now, digest));
        while self.order.len() > MAX_REQUESTS
            || self.order.front().is_some_and(|(t, _)| is_old(*t, now))
        {
            let Some((at, oldest)) = self.order.pop_front() else {
                return;
            };
            if self.newest.get(&oldest) == Some(&at) {
                self.newest.remove(&oldest);
            }
        }
    }

    /// Returns whether a request recently ran to completion.
    pub fn contains(&self, digest: RequestDigest, now: Instant) -> bool {
        self.newest.get(&digest).is_some_and(|at| !is_old(*at, now))
    }
}

fn is_old(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) > COMPLETION_VALIDITY
}
