//! Upstreams that announced in their answers that they are leaving, whatever their rows in the
//! store say.

use std::time::{Duration, Instant};

use super::Board;
use crate::gateway::{
    decide::LeavingReport,
    model::{Lifetime, UpstreamPhase},
    peering::ProcessId,
};

impl Board {
    /// Records that an upstream has announced, at `since`, that it is leaving; returns whether that
    /// is new.
    pub fn note_leaving(&mut self, upstream: Lifetime, since: Instant, now: Instant) -> bool {
        let is_new = self.leaving.learn(upstream, since, now);
        let since = self.leaving.since(upstream);
        if let Some(id) = self.lifetimes.upstream(upstream).cloned()
            && let Some(view) = self.in_lifetime(&id, upstream)
        {
            view.announced_leaving_since = since;
        }
        is_new
    }

    /// Records that upstreams whose rows say so are leaving, for the rest of their lifetimes: the
    /// store may return from a copy in which they do not say so yet.
    pub fn keep_leaving_upstreams(&mut self, now: Instant) {
        let draining =
            self.upstreams.values().filter(|v| v.upstream.phase == UpstreamPhase::Draining);
        let leaving: Vec<(Lifetime, Instant)> =
            draining.map(|v| (v.lifetime, v.draining_since.unwrap_or(now))).collect();
        for (upstream, since) in leaving {
            self.note_leaving(upstream, since, now);
        }
    }

    /// Merges another gateway's reports of leaving upstreams; returns the upstreams for which that
    /// is new.
    pub fn merge_leaving_reports(&mut self, process: &ProcessId, now: Instant) -> Vec<Lifetime> {
        let reports = self.peers.get(process).map(|p| p.last.leaving.clone()).unwrap_or_default();
        let mut new = Vec::new();
        for LeavingReport(upstream, at) in reports {
            let age = Duration::from_millis(self.store_time(now).saturating_sub(at));
            let since = now.checked_sub(age).unwrap_or(now);
            if self.note_leaving(upstream, since, now) {
                new.push(upstream);
            }
        }
        new
    }

    /// Returns the leaving upstreams whose rows do not say so yet, to be sent with heartbeats.
    pub fn leaving_reports(&mut self, now: Instant) -> Vec<LeavingReport> {
        let (lifetimes, upstreams) = (&self.lifetimes, &self.upstreams);
        let row_is_outdated = |upstream| {
            let view = lifetimes.upstream(upstream).and_then(|id| upstreams.get(id));
            view.is_none_or(|v| v.upstream.phase == UpstreamPhase::Ready)
        };
        let announced = self.leaving.select_reports(row_is_outdated, now);
        let report = |(upstream, since): (Lifetime, Instant)| {
            let age = now.saturating_duration_since(since).as_millis() as u64;
            LeavingReport(upstream, self.store_time(now).saturating_sub(age))
        };
        announced.into_iter().map(report).collect()
    }
}
