//! Roll-outs of new versions: which upstreams a request may go to.

use std::time::Instant;

use super::{Board, UpstreamView};
use crate::{
    gateway::{
        decide::{Exposing, ExposureTerms, Member, RouteKey, Side, StoreMillis},
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
    pub fn choose_side(
        &mut self,
        service: &ServiceName,
        route: RouteKey,
        terms: ExposureTerms,
        now: Instant,
    ) -> Option<Side> {
        let share = self.quota_share(now);
        let member = Member { heard: share.heard, members: share.members };
        let (now, draw) = (self.store_time(now), fastrand::f64());
        self.rollouts.choose_side(service, route, &Exposing { terms, member, now, draw })
    }

    /// Chooses which versions get a retry: the earlier ones as long as they have traffic, so that a
    /// bad version costs a request at most one attempt.
    pub fn side_again(&self, service: &str, terms: ExposureTerms, now: Instant) -> Side {
        match self.rollouts.share(service, terms, self.store_time(now)) < 1.0 {
            true => Side::Earlier,
            false => Side::New,
        }
    }

    /// Returns the upstreams of a service that a request for `side` may go to. If none of that side
    /// takes it, those of the other side serve it: the earlier upstreams have stopped, or the new
    /// ones are gone.
    pub fn open_to<'a>(
        &'a self,
        service: &'a str,
        side: Option<Side>,
        terms: ExposureTerms,
        now: Instant,
    ) -> Vec<&'a UpstreamView> {
        let rejected = |v: &&UpstreamView| self.rollouts.is_rejected(service, &v.upstream.version);
        let (rejected, open): (Vec<_>, Vec<_>) = self.of_service(service).partition(rejected);
        // If no other version is listed, one that was rolled back is better than none.
        let all = if open.is_empty() { rejected } else { open };
        let Some(side) = side else {
            return all;
        };
        let of_side =
            |v: &&UpstreamView| self.rollouts.side_of(service, &v.upstream.version) == Some(side);
        let (own, other): (Vec<_>, Vec<_>) = all.into_iter().partition(of_side);
        if !own.iter().any(|v| v.takes_work() || v.is_last_resort(now)) {
            return other;
        }
        match side {
            Side::Earlier => own,
            Side::New => {
                let share = self.rollouts.share(service, terms, self.store_time(now));
                canary_subset(own, share)
            }
        }
    }

    /// Returns the upstreams of a service that carry its traffic or most of it: while two versions
    /// run side by side, only one of them is needed for the load.
    pub fn carrying<'a>(
        &'a self,
        service: &'a str,
        terms: ExposureTerms,
        now: Instant,
    ) -> impl Iterator<Item = &'a UpstreamView> + use<'a> {
        let moved = self.rollouts.share(service, terms, self.store_time(now)) >= 1.0;
        let idle = if moved { Side::Earlier } else { Side::New };
        self.serving(service)
            .filter(move |v| self.rollouts.side_of(service, &v.upstream.version) != Some(idle))
    }

    /// Returns whether upstreams of earlier versions are listed, against which a new version can be
    /// compared and to which traffic can return.
    pub fn has_earlier(&self, service: &str) -> bool {
        let side = |v: &UpstreamView| self.rollouts.side_of(service, &v.upstream.version);
        self.of_service(service).any(|v| side(v) == Some(Side::Earlier))
    }

    /// Returns how many requests run on the earlier versions of a service.
    pub fn running_at_earlier(&self, service: &str) -> u32 {
        let earlier = self
            .of_service(service)
            .filter(|v| self.rollouts.side_of(service, &v.upstream.version) == Some(Side::Earlier));
        earlier.map(|v| v.own.running + self.others_load(v).running).sum()
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
