//! Roll-outs of new versions: which upstreams a request may go to.

use std::time::Instant;

use super::{Board, UpstreamView};
use crate::{
    gateway::{
        decide::{
            ExposureContext, ExposureTerms, GatewayCounts, RouteKey, StoreMillis, VersionGroup,
        },
        model::ServiceName,
    },
    prefix,
};

impl Board {
    /// Returns the present by the store's clock, which roll-outs follow; 0 while it is unknown.
    pub fn store_time(&self, now: Instant) -> StoreMillis {
        self.store_clock.now(now).unwrap_or_default()
    }

    /// Chooses which versions get a new request and counts it; `None` if there is no roll-out.
    pub fn choose_version_group(
        &mut self,
        service: &ServiceName,
        route: RouteKey,
        terms: ExposureTerms,
        now: Instant,
    ) -> Option<VersionGroup> {
        let share = self.quota_share(now);
        let member = GatewayCounts { heard: share.heard, members: share.members };
        let (now, draw) = (self.store_time(now), fastrand::f64());
        self.rollouts.choose_version_group(
            service,
            route,
            &ExposureContext { terms, member, now, draw },
        )
    }

    /// Chooses which versions get a retry: the earlier ones as long as they have traffic, so that a
    /// bad version costs a request at most one attempt.
    pub fn version_group_for_retry(
        &self,
        service: &str,
        terms: ExposureTerms,
        now: Instant,
    ) -> VersionGroup {
        match self.rollouts.share(service, terms, self.store_time(now)) < 1.0 {
            true => VersionGroup::Earlier,
            false => VersionGroup::New,
        }
    }

    /// Returns the upstreams of a service that a request for `version_group` may go to. If none of that side
    /// takes it, those of the other side serve it: the earlier upstreams have stopped, or the new
    /// ones are gone.
    pub fn upstreams_for_version_group<'a>(
        &'a self,
        service: &'a str,
        version_group: Option<VersionGroup>,
        terms: ExposureTerms,
        now: Instant,
    ) -> Vec<&'a UpstreamView> {
        let rejected = |v: &&UpstreamView| self.rollouts.is_rejected(service, &v.upstream.version);
        let (rejected, open): (Vec<_>, Vec<_>) = self.of_service(service).partition(rejected);
        // If no other version is listed, one that was rolled back is better than none.
        let all = if open.is_empty() { rejected } else { open };
        let Some(version_group) = version_group else {
            return all;
        };
        let of_side = |v: &&UpstreamView| {
            self.rollouts.version_group_of(service, &v.upstream.version) == Some(version_group)
        };
        let (own, other): (Vec<_>, Vec<_>) = all.into_iter().partition(of_side);
        if !own.iter().any(|v| v.takes_work() || v.is_last_resort(now)) {
            return other;
        }
        match version_group {
            VersionGroup::Earlier => own,
            VersionGroup::New => {
                let share = self.rollouts.share(service, terms, self.store_time(now));
                canary_subset(own, share)
            }
        }
    }

    /// Returns the upstreams of a service that carry its traffic or most of it: while two versions
    /// run side by side, only one of them is needed for the load.
    pub fn carrying_traffic<'a>(
        &'a self,
        service: &'a str,
        terms: ExposureTerms,
        now: Instant,
    ) -> impl Iterator<Item = &'a UpstreamView> + use<'a> {
        let moved = self.rollouts.share(service, terms, self.store_time(now)) >= 1.0;
        let idle = if moved { VersionGroup::Earlier } else { VersionGroup::New };
        self.serving(service).filter(move |v| {
            self.rollouts.version_group_of(service, &v.upstream.version) != Some(idle)
        })
    }

    /// Returns whether upstreams of earlier versions are listed, against which a new version can be
    /// compared and to which traffic can return.
    pub fn has_earlier_version(&self, service: &str) -> bool {
        let version_group =
            |v: &UpstreamView| self.rollouts.version_group_of(service, &v.upstream.version);
        self.of_service(service).any(|v| version_group(v) == Some(VersionGroup::Earlier))
    }

    /// Returns how many requests run on the earlier versions of a service.
    pub fn running_on_earlier_versions(&self, service: &str) -> u32 {
        let earlier = self.of_service(service).filter(|v| {
            self.rollouts.version_group_of(service, &v.upstream.version)
                == Some(VersionGroup::Earlier)
        });
        earlier.map(|v| v.own.running + self.peer_load(v).running).sum()
    }
}

/// Returns a subset of the upstreams in proportion to `share`, so that each is as loaded as it
/// will be with all traffic: a version that fails under load then shows it early. All processes
/// choose the same subset.
fn canary_subset(mut all: Vec<&UpstreamView>, share: f64) -> Vec<&UpstreamView> {
    all.sort_by_cached_key(|v| (!v.takes_work(), prefix::hash(v.upstream.id.as_bytes())));
    let serving = all.iter().filter(|v| v.takes_work()).count();
    let count = (serving as f64 * share).ceil() as usize;
    all.truncate(count.max(1));
    all
}
