//! Load that other processes put on upstreams.

use std::{collections::HashMap, time::Instant};

use super::Load;
use crate::gateway::{
    decide::{AgedWork, RemainingWork},
    model::Lifetime,
    peering::LoadReport,
};

/// Load of other processes on one upstream.
#[derive(Clone, Debug, Default)]
struct PeerLoad {
    load: Load,
    /// Memory held, in tokens.
    memory_tokens: f64,
    slot_seconds: AgedWork,
}

/// Sums of the load that other processes put on upstreams, by lifetime: load reported for an
/// earlier lifetime is not load on the present one.
///
/// Each report updates the sums in place, so that its cost does not depend on the number of
/// processes.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    sums: HashMap<Lifetime, PeerLoad>,
}

impl PeerLoads {
    /// Returns the load on an upstream in the given lifetime.
    pub fn on(&self, lifetime: Lifetime) -> Load {
        self.sums.get(&lifetime).map(|s| s.load).unwrap_or_default()
    }

    /// Returns the work that the requests of others have left at an upstream. Their number and
    /// their pending prompts are in [`PeerLoads::on`].
    pub fn work_on(&self, lifetime: Lifetime, now: Instant) -> RemainingWork {
        let Some(sum) = self.sums.get(&lifetime) else {
            return RemainingWork::default();
        };
        RemainingWork {
            slot_seconds: sum.slot_seconds.left(now),
            memory_tokens: sum.memory_tokens,
            ..RemainingWork::default()
        }
    }

    /// Adds the load that a process reported at `heard`.
    pub fn add(&mut self, reports: &[LoadReport], heard: Instant) {
        for report in reports {
            let LoadReport(lifetime, running, pending, ..) = report;
            let sum = self.sums.entry(*lifetime).or_default();
            sum.load.running = sum.load.running.saturating_add(*running);
            sum.load.pending_tokens = sum.load.pending_tokens.saturating_add(*pending);
            sum.memory_tokens += report.memory_tokens();
            sum.slot_seconds.add(report.slot_seconds(), f64::from(*running), heard);
        }
    }

    /// Subtracts the load that a process reported at `heard`.
    pub fn subtract(&mut self, reports: &[LoadReport], heard: Instant) {
        for report in reports {
            let LoadReport(lifetime, running, pending, ..) = report;
            let Some(sum) = self.sums.get_mut(lifetime) else {
                continue;
            };
            sum.load.running = sum.load.running.saturating_sub(*running);
            sum.load.pending_tokens = sum.load.pending_tokens.saturating_sub(*pending);
            sum.memory_tokens = (sum.memory_tokens - report.memory_tokens()).max(0.0);
            sum.slot_seconds.subtract(report.slot_seconds(), f64::from(*running), heard);
            // Work without requests is what rounding has left of sums.
            if sum.load == Load::default() {
                self.sums.remove(lifetime);
            }
        }
    }
}
