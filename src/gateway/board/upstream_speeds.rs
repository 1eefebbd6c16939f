//! Speeds of upstreams over all gateways.

use std::time::{Duration, Instant};

use super::Board;
use crate::gateway::{
    model::Lifetime,
    peering::{Heartbeat, ProcessId, SpeedFactorReport},
};

impl Board {
    /// Returns the samples of this process that the next heartbeat reports.
    pub fn speed_factor_reports(&mut self, now: Instant) -> Vec<SpeedFactorReport> {
        let reports = self.upstream_speeds.reports(now).into_iter();
        reports.map(|(lifetime, seen)| SpeedFactorReport::new(lifetime, seen)).collect()
    }

    /// Adds the samples that a heartbeat, sent at `sent`, reports beyond those that the latest
    /// heartbeat of the same process reported. It must be called before the heartbeat is recorded.
    /// Upstreams that are unknown here, and values that cannot have been measured, are ignored.
    pub fn merge_speed_factors(
        &mut self,
        process: &ProcessId,
        heartbeat: &Heartbeat,
        sent: Instant,
    ) {
        let before = self.peers.get(process).map(|peer| &peer.last);
        let passed = before.map_or(0, |b| heartbeat.up_ms.saturating_sub(b.up_ms));
        let passed = Duration::from_millis(passed);
        for report in &heartbeat.speed_factors {
            let lifetime = report.lifetime();
            let seen = report.samples();
            if self.lifetimes.upstream(lifetime).is_none() || !seen.is_plausible() {
                log::debug!("speed of upstream {lifetime:?} reported by {process} is ignored");
                continue;
            }
            let mut reported = before.iter().flat_map(|b| &b.speed_factors);
            let earlier = reported.find(|r| r.lifetime() == lifetime).map(|r| r.samples());
            let added = earlier.filter(|e| e.is_plausible()).map(|e| seen.since(e, passed));
            self.upstream_speeds.add_reported(lifetime, added.unwrap_or(seen), sent);
        }
    }

    /// Returns the factor by which times at an upstream are longer than at an average one; 1 if
    /// nothing is known.
    pub fn speed_factor(&self, upstream: Lifetime, now: Instant) -> f64 {
        self.upstream_speeds.samples(upstream, now).factor()
    }
}
