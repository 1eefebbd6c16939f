//! Upstreams that fall over if they have to reject too many requests for want of room.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{Board, UpstreamView};
use crate::gateway::{
    decide::{GRANT_RETRY_DELAY, GrantId, LimitAnnouncement, LimitMembers, ShareHolder},
    model::Lifetime,
    peering::ProcessId,
};

/// Who grants the room of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomOwner {
    /// Nobody: the upstream is not brittle.
    None,
    /// This gateway.
    Own,
    /// Another gateway, with its heartbeat address, at which it is asked.
    Peer(ShareHolder, SocketAddr),
    /// A gateway that is not heard, or that denied room a moment ago.
    Unavailable,
}

impl Board {
    /// Records that an upstream announced how many rejections in a second it bears, or, with
    /// `None`, that it is not brittle; returns whether that is new.
    pub fn note_brittle(
        &mut self,
        upstream: Lifetime,
        max_rejections: Option<f64>,
        announced: Instant,
        now: Instant,
    ) -> bool {
        let at = self.store_time(announced);
        self.brittle.learn(upstream, LimitAnnouncement { rate: max_rejections, at }, now)
    }

    /// Merges another gateway's reports of brittle upstreams.
    pub fn merge_brittle_reports(&mut self, process: &ProcessId, now: Instant) {
        let reports = self.peers.get(process).map(|p| p.last.brittle.clone()).unwrap_or_default();
        for report in reports {
            self.brittle.learn(report.0, report.1, now);
        }
    }

    /// Divides the brittle upstreams among the gateways that grant their room.
    pub(super) fn divide_room(&mut self, members: LimitMembers, now: Instant) {
        if self.brittle.count_limited() > 0 {
            self.extend_brittleness(now);
            self.brittle.divide(members, now);
            self.room_grants.retain(|upstream| self.brittle.is_holder(upstream));
        }
    }

    /// Takes upstreams of which nothing is known for brittle if others of their service are: they
    /// may have just restarted after a fall.
    fn extend_brittleness(&mut self, now: Instant) {
        let known = |v: &UpstreamView| self.brittle.announcement(v.lifetime);
        let mut unknown = Vec::new();
        for view in self.upstreams.values().filter(|v| known(v).is_none()) {
            let of_service = self.of_service(&view.upstream.service);
            let announced = of_service.filter_map(known).filter(|a| a.rate.is_some());
            if let Some(newest) = announced.max_by_key(|a| a.at) {
                unknown.push((view.lifetime, newest));
            }
        }
        for (upstream, notice) in unknown {
            self.brittle.learn(upstream, notice, now);
        }
    }

    /// Returns whether an upstream may have room, as far as this gateway knows: it is not brittle,
    /// this gateway grants its room, or the one that does has not denied it a moment ago.
    pub fn may_have_room(&self, upstream: Lifetime, now: Instant) -> bool {
        self.brittle.rate(upstream).is_none()
            || self.brittle.is_holder(upstream)
            || self.brittle.holders_to_ask(upstream, now).next().is_some()
    }

    /// Returns who grants the room of an upstream.
    pub fn room_owner(&self, upstream: Lifetime, now: Instant) -> RoomOwner {
        if self.brittle.rate(upstream).is_none() {
            return RoomOwner::None;
        }
        if self.brittle.is_holder(upstream) {
            return RoomOwner::Own;
        }
        let mut holders = self.brittle.holders_to_ask(upstream, now);
        let owner = holders.find_map(|holder| self.heartbeat_address(holder, now));
        owner.map_or(RoomOwner::Unavailable, |(holder, at)| RoomOwner::Peer(holder, at))
    }

    /// Grants room for one request at an upstream whose room this gateway grants.
    ///
    /// # Errors
    ///
    /// Fails with the time after which to ask again, if there is no room or if another gateway
    /// grants it.
    pub fn grant_room(
        &mut self,
        upstream: Lifetime,
        id: GrantId,
        now: Instant,
    ) -> Result<(), Duration> {
        let name = self.lifetimes.upstream(upstream).ok_or(GRANT_RETRY_DELAY)?;
        let view = self.upstreams.get(name).filter(|v| v.lifetime == upstream);
        let view = view.ok_or(GRANT_RETRY_DELAY)?;
        // A gateway that has not heard that the upstream is brittle grants nothing either.
        if !self.brittle.is_holder(upstream) {
            return Err(GRANT_RETRY_DELAY);
        }
        // The request that asks is counted already if it is this gateway's own.
        let own = view.own.running.saturating_sub(u32::from(id.grantee.is_none()));
        let reported = own + self.peer_load(view).running;
        self.room_grants.grant(upstream, id, view.upstream.slots, reported, now)
    }
}
