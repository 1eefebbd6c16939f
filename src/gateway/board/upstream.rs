//! An upstream as this process knows it.

use std::time::{Duration, Instant};

use crate::gateway::{
    decide::{Breaker, OutcomeMeter, Removal},
    model::{Lifetime, Revision, Upstream, UpstreamPhase},
};

/// Load on one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests running or waiting.
    pub running: u32,
    /// Prompt tokens that are not read yet.
    pub pending_tokens: u32,
}

/// The row of an upstream while it is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissingRow {
    /// What is known of its removal.
    pub removal: Removal,
    /// Revision at which the row was there.
    pub listed: Revision,
    /// Since when the upstream may have left.
    pub since: Instant,
    /// Until when the row may come back.
    pub until: Instant,
}

/// An upstream as this process knows it.
#[derive(Clone, Debug)]
pub struct UpstreamView {
    /// Its own description.
    pub upstream: Upstream,
    /// Revision of the newest change of it.
    pub changed: Revision,
    /// Name of its lifetime.
    pub lifetime: Lifetime,
    /// Load that this process puts on it.
    pub own: Load,
    /// Its health as requests saw it.
    pub breaker: Breaker,
    /// How it answered this process.
    pub outcomes: OutcomeMeter,
    /// Its row, if that is missing and may come back.
    pub missing: Option<MissingRow>,
    /// Since when it may have said that it leaves, if it has.
    pub leaving_since: Option<Instant>,
    /// Since when its own answers say that it leaves, if they do.
    pub said_leaving: Option<Instant>,
}

/// What a newer description of an upstream changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Described {
    /// It was not known.
    New,
    /// It has started again: nothing of before holds.
    StartedAgain,
    /// It takes work now, or no longer.
    PhaseChanged,
    /// Nothing that decides anything.
    Same,
}

/// For how long an upstream that leaves gets requests that nobody else takes, from when it
/// may have said so. It serves on for two seconds or more, and much of its work ends
/// within one.
const LAST_RESORT: Duration = Duration::from_millis(1_000);

impl UpstreamView {
    /// Creates the view of an upstream that was just heard of.
    pub fn new(upstream: Upstream, now: Instant) -> Self {
        Self {
            changed: 0,
            lifetime: upstream.lifetime(),
            upstream,
            own: Load::default(),
            breaker: Breaker::new(now),
            outcomes: OutcomeMeter::new(now),
            missing: None,
            leaving_since: None,
            said_leaving: None,
        }
    }

    /// Returns whether it takes new work.
    pub fn takes_work(&self) -> bool {
        let may_have_left = self.missing.is_some_and(|row| !row.removal.lapsed);
        !self.is_leaving() && !may_have_left
    }

    /// Returns whether it has said that it leaves, in its row or in its answers.
    pub fn is_leaving(&self) -> bool {
        self.upstream.phase == UpstreamPhase::Draining || self.said_leaving.is_some()
    }

    /// Takes over its newer description. One that does not say when the upstream
    /// started is of the lifetime that is known. `seen` is when the store was last seen
    /// without it: from then on it may hold, however late it is learnt.
    pub fn update(&mut self, mut upstream: Upstream, seen: Instant, now: Instant) -> Described {
        upstream.born = upstream.born.or(self.upstream.born);
        if upstream.born != self.upstream.born {
            *self = Self { changed: self.changed, ..Self::new(upstream, now) };
            return Described::StartedAgain;
        }
        let changed = self.upstream.phase != upstream.phase;
        if changed {
            self.leaving_since = (upstream.phase == UpstreamPhase::Draining).then_some(seen);
        }
        self.upstream = upstream;
        self.missing = None;
        if changed { Described::PhaseChanged } else { Described::Same }
    }

    /// Returns whether it still takes requests that no other upstream takes.
    pub fn is_last_resort(&self, now: Instant) -> bool {
        let removed = self.missing.filter(|row| !row.removal.lapsed).map(|row| row.since);
        let since = [self.leaving_since, self.said_leaving, removed].into_iter().flatten().min();
        since.is_some_and(|t| now.saturating_duration_since(t) < LAST_RESORT)
    }
}
