//! Failure rates of upstreams over all gateways.

use std::{collections::HashMap, time::Instant};

use super::{Board, UpstreamView};
use crate::gateway::{
    decide::Outcomes,
    model::{Lifetime, ServiceName},
    peering::OutcomeReport,
};

/// Outcomes by upstream as seen by other processes, and by service as seen by all, as of the
/// last heartbeat.
#[derive(Clone, Debug, Default)]
pub struct SharedOutcomes {
    others: HashMap<Lifetime, Outcomes>,
    services: HashMap<ServiceName, Outcomes>,
}

impl Board {
    /// Returns the recent outcomes that this process has seen, to be sent with heartbeats.
    pub fn own_outcomes(&self, now: Instant) -> Vec<OutcomeReport> {
        let seen = self.upstreams.values().map(|v| (v.lifetime, v.outcomes.read(now)));
        seen.filter_map(|(lifetime, outcomes)| OutcomeReport::new(lifetime, outcomes)).collect()
    }

    /// Recomputes the sums of the outcomes that all processes report.
    pub fn update_shared_outcomes(&mut self, now: Instant) {
        let mut others: HashMap<Lifetime, Outcomes> = HashMap::new();
        for peer in self.recently_heard(now) {
            let left = Outcomes::remaining_weight(now.saturating_duration_since(peer.last_heard));
            for report in &peer.last.outcomes {
                others
                    .entry(report.lifetime())
                    .or_default()
                    .add(report.outcomes().weighted_by(left));
            }
        }
        let mut services: HashMap<ServiceName, Outcomes> = HashMap::new();
        for view in self.upstreams.values() {
            let service = services.entry(view.upstream.service.clone()).or_default();
            service.add(view.outcomes.read(now));
            service.add(others.get(&view.lifetime).copied().unwrap_or_default());
        }
        self.shared_outcomes = SharedOutcomes { others, services };
    }

    /// Returns the expected number of failures before a success at an upstream.
    pub fn expected_failures(&self, view: &UpstreamView, now: Instant) -> f64 {
        let SharedOutcomes { others, services } = &self.shared_outcomes;
        let mut seen = view.outcomes.read(now);
        seen.add(others.get(&view.lifetime).copied().unwrap_or_default());
        let service = services.get(&view.upstream.service).copied().unwrap_or_default();
        seen.expected_failures(service)
    }
}
