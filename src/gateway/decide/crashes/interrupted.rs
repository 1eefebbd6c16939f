//! Attempts that broke off at an upstream, kept until it is known whether the upstream has crashed.

use std::{
    collections::VecDeque,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::gateway::model::{CustomerName, Lifetime, PartKey, RequestDigest};

/// Time limit for finding out whether an upstream has crashed.
const MAX_UNDECIDED: Duration = Duration::from_secs(2);
/// Attempts that are kept; the oldest are dropped beyond this.
const MAX_ATTEMPTS: usize = 512;

/// An attempt that broke off before the answer was complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InterruptedAttempt {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Parts of its prompt that other requests may share; none if the upstream had written for so
    /// long that they do not crash it.
    pub parts: Rc<[PartKey]>,
    /// Customer that sent the request; empty for an open route.
    pub customer: CustomerName,
    /// Upstream that ran the attempt, in the lifetime in which it did.
    pub lifetime: Lifetime,
}

/// Attempts that broke off, perhaps because their upstream crashed. All attempts on one upstream
/// are judged together.
#[derive(Debug, Default)]
pub struct InterruptedAttempts {
    attempts: VecDeque<(Instant, InterruptedAttempt)>,
}

impl InterruptedAttempts {
    /// Records an attempt that broke off.
    pub fn note(&mut self, attempt: InterruptedAttempt, now: Instant) {
        let is_old = |t: &Instant| now.saturating_duration_since(*t) > MAX_UNDECIDED;
        while self.attempts.len() >= MAX_ATTEMPTS
            || self.attempts.front().is_some_and(|(t, _)| is_old(t))
        {
            self.attempts.pop_front();
        }
        self.attempts.push_back((now, attempt));
    }

    /// Removes and returns the attempts on an upstream of which it is now known whether it crashed.
    pub fn take(&mut self, lifetime: Lifetime) -> Vec<InterruptedAttempt> {
        if self.attempts.iter().all(|(_, a)| a.lifetime != lifetime) {
            return Vec::new();
        }
        let all = std::mem::take(&mut self.attempts);
        let (on_upstream, others) = all.into_iter().partition(|(_, a)| a.lifetime == lifetime);
        self.attempts = others;
        let on_upstream: VecDeque<(Instant, InterruptedAttempt)> = on_upstream;
        on_upstream.into_iter().map(|(_, attempt)| attempt).collect()
    }
}
