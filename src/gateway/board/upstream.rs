//! State of one upstream, as this process knows it.

use std::time::{Duration, Instant};

use crate::gateway::{
    decide::{OutcomeMeter, Removal, RunningRequests, UpstreamHealth},
    model::{Lifetime, Revision, Upstream, UpstreamPhase},
};

/// Load on one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that run or wait there.
    pub running: u32,
    /// Prompt tokens that are still to be computed.
    pub pending_tokens: u32,
}

/// The state of an upstream's row while it is missing from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissingRow {
    /// What is known of the row's removal.
    pub removal: Removal,
    /// Latest known revision of the upstream while its row was still there.
    pub last_present: Revision,
    /// Earliest time at which the upstream may have left.
    pub since: Instant,
    /// When the row is no longer expected to return.
    pub until: Instant,
}

/// State of one upstream, as this process knows it.
#[derive(Clone, Debug)]
pub struct UpstreamView {
    /// The upstream's own description.
    pub upstream: Upstream,
    /// Revision of its newest change.
    pub changed: Revision,
    /// Its current lifetime, from one start of the upstream to the next.
    pub lifetime: Lifetime,
    /// Load that this process puts on it.
    pub own: Load,
    /// Requests of this process there whose cost was predicted.
    pub own_work: RunningRequests,
    /// Circuit breaker, fed by the results of this process's requests.
    pub breaker: UpstreamHealth,
    /// Answers and failures that this process has seen.
    pub outcomes: OutcomeMeter,
    /// Set while its row is missing and may return.
    pub missing: Option<MissingRow>,
    /// Earliest time at which its row may have started to say that it is draining, if it does.
    pub draining_since: Option<Instant>,
    /// Since when its answers say that it is leaving; `None` if they do not.
    pub announced_leaving_since: Option<Instant>,
}

/// Effect of a newer description of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptionChange {
    /// The upstream was not known.
    New,
    /// The upstream has restarted; its earlier state was discarded.
    NewLifetime,
    /// The upstream has started or stopped taking new requests.
    PhaseChanged,
    /// No change that affects decisions.
    Same,
}

/// Time for which a leaving upstream still gets requests that no other upstream takes, from the
/// earliest time at which it may have announced that. It goes on serving for at least two
/// seconds, and much of its work ends within one.
const LAST_RESORT_PERIOD: Duration = Duration::from_millis(1_000);

impl UpstreamView {
    /// Creates the state of an upstream that has just become known.
    pub fn new(upstream: Upstream, now: Instant) -> Self {
        Self {
            changed: 0,
            lifetime: upstream.lifetime(),
            upstream,
            own: Load::default(),
            own_work: RunningRequests::default(),
            breaker: UpstreamHealth::new(now),
            outcomes: OutcomeMeter::new(now),
            missing: None,
            draining_since: None,
            announced_leaving_since: None,
        }
    }

    /// Returns whether the upstream takes new requests.
    pub fn takes_work(&self) -> bool {
        let may_have_left = self.missing.is_some_and(|row| !row.removal.lapsed);
        !self.is_leaving() && !may_have_left
    }

    /// Returns whether the upstream has announced in its row or its answers that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.upstream.phase == UpstreamPhase::Draining || self.announced_leaving_since.is_some()
    }

    /// Applies a newer description. One without a start time belongs to the known lifetime. `seen`
    /// is when the store was last known not to hold it: the description may have been valid from
    /// then on, even if it arrived much later.
    pub fn update(
        &mut self,
        mut upstream: Upstream,
        seen: Instant,
        now: Instant,
    ) -> DescriptionChange {
        upstream.born = upstream.born.or(self.upstream.born);
        if upstream.born != self.upstream.born {
            *self = Self { changed: self.changed, ..Self::new(upstream, now) };
            return DescriptionChange::NewLifetime;
        }
        let changed = self.upstream.phase != upstream.phase;
        if changed {
            self.draining_since = (upstream.phase == UpstreamPhase::Draining).then_some(seen);
        }
        self.upstream = upstream;
        self.missing = None;
        if changed { DescriptionChange::PhaseChanged } else { DescriptionChange::Same }
    }

    /// Returns whether the upstream still takes requests that no other upstream takes.
    pub fn is_last_resort(&self, now: Instant) -> bool {
        let removed = self.missing.filter(|row| !row.removal.lapsed).map(|row| row.since);
        let since = [self.draining_since, self.announced_leaving_since, removed]
            .into_iter()
            .flatten()
            .min();
        since.is_some_and(|t| now.saturating_duration_since(t) < LAST_RESORT_PERIOD)
    }
}
