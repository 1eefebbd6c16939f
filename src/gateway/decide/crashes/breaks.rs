//! Runs that broke off at an upstream, while it is looked whether that has ended.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::gateway::model::{CustomerName, Lifetime, RequestDigest};

/// For how long a look whether an upstream has ended may take.
const UNDECIDED: Duration = Duration::from_secs(2);
/// Breaks that are kept; the oldest yield.
const MOST: usize = 512;

/// A run that broke off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Break {
    /// What was running.
    pub digest: RequestDigest,
    /// Whose it was; empty for an open route.
    pub customer: CustomerName,
    /// The upstream, in one lifetime.
    pub lifetime: Lifetime,
}

/// Breaks that may have been ends of upstreams: those of one moment are judged together.
#[derive(Debug, Default)]
pub struct Breaks {
    breaks: VecDeque<(Instant, Break)>,
}

impl Breaks {
    /// Notes a run that broke off.
    pub fn note(&mut self, broken: Break, now: Instant) {
        let old = |t: &Instant| now.saturating_duration_since(*t) > UNDECIDED;
        while self.breaks.len() >= MOST || self.breaks.front().is_some_and(|(t, _)| old(t)) {
            self.breaks.pop_front();
        }
        self.breaks.push_back((now, broken));
    }

    /// Takes the breaks at a lifetime of which it is known now whether it has ended.
    pub fn take(&mut self, lifetime: Lifetime) -> Vec<Break> {
        if self.breaks.iter().all(|(_, b)| b.lifetime != lifetime) {
            return Vec::new();
        }
        let all = std::mem::take(&mut self.breaks);
        let (of_lifetime, others) = all.into_iter().partition(|(_, b)| b.lifetime == lifetime);
        self.breaks = others;
        let of_lifetime: VecDeque<(Instant, Break)> = of_lifetime;
        of_lifetime.into_iter().map(|(_, broken)| broken).collect()
    }
}
