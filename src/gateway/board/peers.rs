//! The other gateways as this process hears them.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use super::{Board, HEARD_A_PERIOD, HEARTBEAT_PERIOD};
use crate::{
    gateway::{
        decide::{Holder, PASSED_ON_WITHIN, QuotaShare},
        net::Phase,
        peering::{Heartbeat, PassedOn, ProcessId},
    },
    ids::DataCentre,
};

/// Silence after which a gateway is no longer named to callers: five
/// heartbeats, so that a few lost datagrams change nothing.
const SHORTEST_SILENCE: Duration = Duration::from_millis(800);
/// The same where each gateway is heard less often, in mean intervals.
const SILENT_INTERVALS: f64 = 4.0;
/// Time after the start in which the hosts that have announced themselves in
/// the store count as serving, whether they were heard or not: with some
/// hundred of them, a few heartbeats pass until most are.
const ANNOUNCED_COUNT: Duration = Duration::from_secs(3);

/// Heartbeats of others that go along with one period's heartbeats at most.
const MOST_PASSED_ON: usize = 30;

/// Another gateway as last heard.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// What it last told.
    pub last: Heartbeat,
    /// When; for what was passed on, when it was sent.
    pub heard: Instant,
    /// Its name where limits are divided.
    pub holder: Holder,
    /// Whether its load is part of the sums.
    counted: bool,
    /// How often that was passed on.
    passed_on: u32,
}

impl Board {
    /// Returns the silence after which a gateway counts as gone.
    pub fn peer_silence(&self) -> Duration {
        let beats = self.peers.len() as f64 / HEARD_A_PERIOD as f64;
        HEARTBEAT_PERIOD.mul_f64(beats * SILENT_INTERVALS).max(SHORTEST_SILENCE)
    }

    /// Returns the gateways that were heard of late.
    pub fn heard(&self, now: Instant) -> impl Iterator<Item = &PeerView> {
        let silence = self.peer_silence();
        let recent = move |p: &&PeerView| now.saturating_duration_since(p.heard) < silence;
        self.peers.values().filter(recent)
    }

    /// Returns which part of quotas this process may count on.
    pub fn quota_share(&self, now: Instant) -> QuotaShare {
        let heard = 1 + self.heard(now).count();
        let young = now.saturating_duration_since(self.started) < ANNOUNCED_COUNT;
        let announced = if young { self.announced } else { 0 };
        QuotaShare { heard, members: announced.max(1 + self.peers.len()) }
    }

    /// Returns whether some process knows that the store has answered all
    /// along: then a row that is gone is gone for good.
    pub fn store_was_there(&self, now: Instant) -> bool {
        self.steadiness.is_steady(now) || self.heard(now).any(|p| p.last.store_steady)
    }

    /// Returns whether another gateway has a newer configuration.
    pub fn configuration_is_behind(&self, now: Instant) -> bool {
        let own = self.configuration_version();
        self.heard(now).any(|p| p.last.configuration > own)
    }

    /// Returns whether a heartbeat tells less than what is known of its host: a later one was
    /// heard, or one of a process that started there later. Messages overtake each other.
    pub fn is_outdated(&self, process: &ProcessId, heartbeat: &Heartbeat) -> bool {
        if let Some(known) = self.peers.get(process) {
            return known.last.up_ms > heartbeat.up_ms;
        }
        let mut of_host = self.peers.values().filter(|p| p.last.host == heartbeat.host);
        of_host.any(|p| p.last.started() > heartbeat.started())
    }

    /// Returns the heartbeats that are worth passing on, with whether each came from
    /// `data_centre`. Those go first that were passed on least, and those from other data
    /// centres, which few hear directly.
    pub fn to_pass_on(&mut self, data_centre: &DataCentre, now: Instant) -> Vec<(bool, PassedOn)> {
        let age = |p: &PeerView| now.saturating_duration_since(p.heard);
        let near = |p: &PeerView| p.last.data_centre == *data_centre;
        let peers = self.peers.values_mut();
        let mut chosen: Vec<&mut PeerView> = peers.filter(|p| age(p) < PASSED_ON_WITHIN).collect();
        chosen.sort_by_key(|p| (p.passed_on, near(p), Reverse(p.heard)));
        chosen.truncate(MOST_PASSED_ON);
        chosen.iter_mut().for_each(|p| p.passed_on += 1);
        chosen.into_iter().map(|p| (near(p), PassedOn::new(&p.last, age(p)))).collect()
    }

    /// Takes over a heartbeat that was sent at `heard`; returns when its process was heard
    /// before, if it was.
    pub fn hear(
        &mut self,
        process: ProcessId,
        heartbeat: Heartbeat,
        heard: Instant,
    ) -> Option<Instant> {
        if !self.peers.contains_key(&process) {
            self.end_earlier_processes(&heartbeat.host);
        }
        self.others_load.add(&heartbeat.loads);
        let holder = Holder::new(&heartbeat.host);
        let view = PeerView { last: heartbeat, heard, holder, counted: true, passed_on: 0 };
        let before = self.peers.insert(process, view)?;
        if before.counted {
            self.others_load.take_off(&before.last.loads);
        }
        Some(before.heard)
    }

    /// Forgets processes of a host on which a new one has started.
    fn end_earlier_processes(&mut self, host: &str) {
        let of_host = self.peers.iter().filter(|(_, p)| p.last.host == host);
        let ended: Vec<ProcessId> = of_host.map(|(id, _)| id.clone()).collect();
        ended.iter().for_each(|id| self.forget_peer(id));
    }

    /// Forgets another gateway.
    pub fn forget_peer(&mut self, process: &ProcessId) {
        if let Some(peer) = self.peers.remove(process).filter(|p| p.counted) {
            self.others_load.take_off(&peer.last.loads);
        }
    }

    /// Takes off the load of gateways that have fallen silent.
    pub fn forget_silent_loads(&mut self, now: Instant) {
        let silence = self.peer_silence();
        for peer in self.peers.values_mut().filter(|p| p.counted) {
            if now.saturating_duration_since(peer.heard) >= silence {
                peer.counted = false;
                self.others_load.take_off(&peer.last.loads);
            }
        }
    }

    /// Returns the gateways that callers may use, as heard of late.
    pub fn serving_peers(&self, now: Instant) -> impl Iterator<Item = &PeerView> {
        let serves = |p: &&PeerView| p.last.phase == Phase::Serving && p.last.configuration > 0;
        self.heard(now).filter(serves)
    }
}
