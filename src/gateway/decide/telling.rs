//! For how long what an upstream said is remembered and told to other gateways, and how much
//! of it goes along with one heartbeat.

use std::time::{Duration, Instant};

use crate::gateway::model::Lifetime;

/// Facts of one kind that go along with one heartbeat at most: with more, they take turns.
const TOLD_AT_ONCE: usize = 32;
/// For how long a fact is told of an upstream that is not listed.
const UNLISTED_TOLD: Duration = Duration::from_secs(12);
/// For how long it is remembered: well beyond the time in which it is told, or gateways would
/// tell each other for ever.
const UNLISTED_KEPT: Duration = Duration::from_secs(60);

/// How a fact on an upstream is told to others.
#[derive(Clone, Copy, Debug)]
pub struct Telling {
    /// When its upstream was last listed; when it was learnt, if it never was.
    listed: Instant,
    /// How often the others were told.
    times: u32,
}

impl Telling {
    /// Creates the account of a fact that is learnt now.
    pub fn new(now: Instant) -> Self {
        Self { listed: now, times: 0 }
    }

    /// Tells it before others: it has changed.
    pub fn begin_again(&mut self) {
        self.times = 0;
    }

    /// Returns whether it is still told.
    pub fn is_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.listed) < UNLISTED_TOLD
    }

    /// Notes whether its upstream is listed; returns whether it is still remembered. The row
    /// of an upstream that serves may be missing for the store's sake.
    pub fn keep(&mut self, is_listed: bool, now: Instant) -> bool {
        if is_listed {
            self.listed = now;
        }
        now.saturating_duration_since(self.listed) < UNLISTED_KEPT
    }
}

/// Returns the facts that go along with one heartbeat, those that were told least, and counts
/// that they are told.
pub fn take_turns<'a, T>(
    facts: impl Iterator<Item = (Lifetime, &'a mut Telling, T)>,
) -> Vec<(Lifetime, T)> {
    let mut facts: Vec<_> = facts.collect();
    facts.sort_unstable_by_key(|(upstream, telling, _)| (telling.times, *upstream));
    facts.truncate(TOLD_AT_ONCE);
    let tell = |(upstream, telling, fact): (Lifetime, &mut Telling, T)| {
        telling.times = telling.times.saturating_add(1);
        (upstream, fact)
    };
    facts.into_iter().map(tell).collect()
}
