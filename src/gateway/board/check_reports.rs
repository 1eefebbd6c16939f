//! Results of health checks of upstreams with lapsed rows, for other gateways. Each gateway passes
//! on what is new to it, so that results spread as fast as other news.

use std::time::{Duration, Instant};

use crate::gateway::{model::Revision, peering::UpstreamChange};

/// Most results in a heartbeat; more take turns. With a larger bound, a heartbeat needs another
/// packet; with a smaller one, results take longer to reach all gateways after a large outage.
const MAX_REPORTS: usize = 32;

/// A result, as the change of the upstream that follows from it.
#[derive(Clone, Debug)]
struct Report {
    /// Revision of the row's removal.
    revision: Revision,
    change: UpstreamChange,
    learnt: Instant,
    /// Heartbeats that carried it.
    times_sent: u32,
}

/// Results that were learnt recently.
#[derive(Clone, Debug, Default)]
pub struct CheckReports {
    reports: Vec<Report>,
}

impl CheckReports {
    /// Records a result, which replaces earlier ones of the same upstream.
    pub fn note(&mut self, revision: Revision, change: UpstreamChange, now: Instant) {
        self.reports.retain(|r| r.change.upstream() != change.upstream());
        self.reports.push(Report { revision, change, learnt: now, times_sent: 0 });
    }

    /// Forgets the results that were learnt longer than `retention` ago.
    pub fn forget(&mut self, now: Instant, retention: Duration) {
        self.reports.retain(|r| now.saturating_duration_since(r.learnt) <= retention);
    }

    /// Returns the results for one heartbeat, those that were sent least often first, and counts
    /// them as sent.
    pub fn select_for_heartbeat(&mut self) -> Vec<(Revision, UpstreamChange)> {
        self.reports.sort_by_key(|r| r.times_sent);
        let chosen = self.reports.iter_mut().take(MAX_REPORTS);
        let count_sent = |report: &mut Report| {
            report.times_sent += 1;
            (report.revision, report.change.clone())
        };
        chosen.map(count_sent).collect()
    }
}
