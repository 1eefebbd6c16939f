//! Upstreams that said in their answers that they leave, whatever the store says of them.

use std::time::{Duration, Instant};

use super::Board;
use crate::gateway::{
    decide::LeavingReport,
    model::{Lifetime, UpstreamPhase},
    peering::ProcessId,
};

impl Board {
    /// Notes that an upstream has said since a moment that it leaves; returns whether that is
    /// new.
    pub fn note_leaving(&mut self, upstream: Lifetime, since: Instant, now: Instant) -> bool {
        let is_new = self.leaving.learn(upstream, since, now);
        let since = self.leaving.since(upstream);
        if let Some(id) = self.lifetimes.upstream(upstream).cloned()
            && let Some(view) = self.in_lifetime(&id, upstream)
        {
            view.said_leaving = since;
        }
        is_new
    }

    /// Takes over what another gateway tells of upstreams that leave; returns those that are
    /// new.
    pub fn hear_leaving(&mut self, process: &ProcessId, now: Instant) -> Vec<Lifetime> {
        let told = self.peers.get(process).map(|p| p.last.leaving.clone()).unwrap_or_default();
        let mut new = Vec::new();
        for LeavingReport(upstream, at) in told {
            let age = Duration::from_millis(self.store_time(now).saturating_sub(at));
            let since = now.checked_sub(age).unwrap_or(now);
            if self.note_leaving(upstream, since, now) {
                new.push(upstream);
            }
        }
        new
    }

    /// Returns what the other gateways are told: upstreams that leave and whose rows do not
    /// say so.
    pub fn leaving_reports(&mut self, now: Instant) -> Vec<LeavingReport> {
        let (lifetimes, upstreams) = (&self.lifetimes, &self.upstreams);
        let row_is_behind = |upstream| {
            let view = lifetimes.upstream(upstream).and_then(|id| upstreams.get(id));
            view.is_none_or(|v| v.upstream.phase == UpstreamPhase::Ready)
        };
        let said = self.leaving.to_tell(row_is_behind, now);
        let report = |(upstream, since): (Lifetime, Instant)| {
            let age = now.saturating_duration_since(since).as_millis() as u64;
            LeavingReport(upstream, self.store_time(now).saturating_sub(age))
        };
        said.into_iter().map(report).collect()
    }
}
