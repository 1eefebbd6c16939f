//! Load that other processes put on upstreams.

use std::collections::HashMap;

use super::Load;
use crate::gateway::{model::Lifetime, peering::LoadReport};

/// Sums of the load that other processes put on upstreams, by lifetime: load reported for an
/// earlier lifetime is not load on the present one.
///
/// Each report updates the sums in place, so that its cost does not depend on the number of
/// processes.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    sums: HashMap<Lifetime, Load>,
}

impl PeerLoads {
    /// Returns the load on an upstream in the given lifetime.
    pub fn on(&self, lifetime: Lifetime) -> Load {
        self.sums.get(&lifetime).copied().unwrap_or_default()
    }

    /// Adds the load that a process reports.
    pub fn add(&mut self, reports: &[LoadReport]) {
        for LoadReport(lifetime, running, pending) in reports {
            let sum = self.sums.entry(*lifetime).or_default();
            sum.running += running;
            sum.pending_tokens += pending;
        }
    }

    /// Subtracts the load that a process reported before.
    pub fn subtract(&mut self, reports: &[LoadReport]) {
        for LoadReport(lifetime, running, pending) in reports {
            let Some(sum) = self.sums.get_mut(lifetime) else {
                continue;
            };
            sum.running = sum.running.saturating_sub(*running);
            sum.pending_tokens = sum.pending_tokens.saturating_sub(*pending);
            if *sum == Load::default() {
                self.sums.remove(lifetime);
            }
        }
    }
}
