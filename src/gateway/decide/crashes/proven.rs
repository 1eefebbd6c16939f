//! Requests that upstreams ran to a good end of late, and so crash none.

use std::collections::{HashSet, VecDeque};

use crate::gateway::model::RequestDigest;

/// Requests that are remembered, 32 bytes each. At the thirty requests a second of a
/// process of the largest fleet they are those of two minutes: long enough for a request
/// that many callers send, short enough that one which a new version of an upstream
/// cannot bear becomes a suspect.
const MOST: usize = 4_096;

/// Requests that ran to a good end of late.
#[derive(Debug, Default)]
pub struct Proven {
    known: HashSet<RequestDigest>,
    order: VecDeque<RequestDigest>,
}

impl Proven {
    /// Notes a request that ran to a good end.
    pub fn note(&mut self, digest: RequestDigest) {
        if !self.known.insert(digest) {
            return;
        }
        self.order.push_back(digest);
        if self.order.len() > MOST
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    /// Returns whether a request ran to a good end of late.
    pub fn contains(&self, digest: RequestDigest) -> bool {
        self.known.contains(&digest)
    }
}
