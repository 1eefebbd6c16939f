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
    /// Returns the store's clock, by which roll-outs go; 0 while it is not known.
    pub fn store_time(&self, now: Instant) -> StoreMillis {
        self.store_clock.now(now).unwrap_or_default()
    }

    /// Returns which versions get a new request, and counts it; `None` without a roll-out.
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

    /// Returns which versions get a request that was sent before: the earlier ones as long as
    /// they have traffic, so that a bad version costs a request one attempt at most.
    pub fn side_again(&self, service: &str, terms: ExposureTerms, now: Instant) -> Side {
        match self.rollouts.share(service, terms, self.store_time(now)) < 1.0 {
            true => Side::Earlier,
            false => Side::New,
        }
    }

    /// Returns the upstreams of a service that a request for `side` may go to. Where none of
    /// that side takes it, those of the other side serve: the earlier ones have stopped, or
    /// the new ones are gone.
    pub fn open_to<'a>(
        &'a self,
        service: &'a str,
        side: Option<Side>,
        terms: ExposureTerms,
        now: Instant,
    ) -> Vec<&'a UpstreamView> {
        let rejected = |v: &&UpstreamView| self.rollouts.is_rejected(service, &v.upstream.version);
        let (rejected, open): (Vec<_>, Vec<_>) = self.of_service(service).partition(rejected);
        // With no other version listed, one that was taken back is better than none.
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
                few_of(own, share)
            }
        }
    }

    /// Returns the upstreams of a service that carry its traffic or most of it: while two
    /// versions stand side by side, the load needs one of them.
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

    /// Returns whether upstreams of earlier versions of a service are listed, beside which a new
    /// one can be tried, and to which traffic can go back.
    pub fn has_earlier(&self, service: &str) -> bool {
        let side = |v: &UpstreamView| self.rollouts.side_of(service, &v.upstream.version);
        self.of_service(service).any(|v| side(v) == Some(Side::Earlier))
    }

    /// Returns how many requests run at the earlier versions of a service.
    pub fn running_at_earlier(&self, service: &str) -> u32 {
        let earlier = self
            .of_service(service)
            .filter(|v| self.rollouts.side_of(service, &v.upstream.version) == Some(Side::Earlier));
        earlier.map(|v| v.own.running + self.others_load(v).running).sum()
    }
}

/// Returns so many of the upstreams that each is as loaded as it will be with all traffic:
/// a version that is bad under load shows it early. All processes choose the same.
fn few_of(mut all: Vec<&UpstreamView>, share: f64) -> Vec<&UpstreamView> {
    all.sort_by_cached_key(|v| (!v.takes_work(), prefix::hash(v.upstream.id.as_bytes())));
    let serving = all.iter().filter(|v| v.takes_work()).count();
    let few = (serving as f64 * share).ceil() as usize;
    all.truncate(few.max(1));
    all
}
