//! Predicted work of requests, and the work that upstreams have left.

use std::time::Instant;

use super::{Board, Load, UpstreamView};
use crate::gateway::{
    decide::{CostPrediction, DisabledMechanisms, RemainingWork, RequestFacts},
    peering::LoadReport,
};

impl Board {
    /// Predicts the cost of a request of whose prompt an upstream has nothing cached. Use
    /// [`CostPrediction::with_missing`] for each candidate.
    pub fn predict_work(
        &self,
        facts: &RequestFacts<'_>,
        off: &DisabledMechanisms,
        now: Instant,
    ) -> CostPrediction {
        self.costs_learnt.predict(facts, self.speed(facts.service, off), now)
    }

    /// Returns the work that an upstream has left: of this process's requests, and of the other
    /// processes' as last reported, less the time since each report.
    pub fn remaining_work(&self, view: &UpstreamView, now: Instant) -> RemainingWork {
        let others = self.peer_load(view);
        let counted = RemainingWork {
            running: f64::from(view.own.running + others.running),
            pending_tokens: f64::from(view.own.pending_tokens + others.pending_tokens)
                + self.noticed_tokens(view.lifetime, now),
            ..RemainingWork::default()
        };
        let own = view.own_work.remaining(now);
        let reported = self.peer_load.work_on(view.lifetime, now);
        let left = own.plus(reported);
        RemainingWork { running: counted.running, pending_tokens: counted.pending_tokens, ..left }
    }

    /// Returns the load that this process puts on upstreams, to be sent with heartbeats.
    pub fn own_loads(&self, now: Instant) -> Vec<LoadReport> {
        let loaded = self.upstreams.values().filter(|v| v.own != Load::default());
        let report = |v: &UpstreamView| {
            let work = v.own_work.remaining(now);
            LoadReport::new(v.lifetime, v.own.running, v.own.pending_tokens, work)
        };
        loaded.map(report).collect()
    }
}
