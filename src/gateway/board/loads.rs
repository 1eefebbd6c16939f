//! Load that the other processes put on upstreams.

use std::collections::HashMap;

use super::Load;
use crate::gateway::{model::Lifetime, peering::LoadReport};

/// Sums of the load that the other processes put on upstreams, by lifetime: what
/// they say of an earlier lifetime is not load on the present one.
///
/// The sums follow each report, so that hearing one costs the same whatever the number
/// of processes.
#[derive(Clone, Debug, Default)]
pub struct OthersLoad {
    sums: HashMap<Lifetime, Load>,
}

impl OthersLoad {
    /// Returns the load on an upstream.
    pub fn on(&self, lifetime: Lifetime) -> Load {
        self.sums.get(&lifetime).copied().unwrap_or_default()
    }

    /// Adds what a process reports.
    pub fn add(&mut self, reports: &[LoadReport]) {
        for LoadReport(lifetime, running, pending) in reports {
            let sum = self.sums.entry(*lifetime).or_default();
            sum.running += running;
            sum.pending_tokens += pending;
        }
    }

    /// Takes off what a process reported before.
    pub fn take_off(&mut self, reports: &[LoadReport]) {
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
