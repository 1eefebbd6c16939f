//! Other gateway processes, as known from their heartbeats.

use std::{
    cmp::Reverse,
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{Board, HEARTBEAT_PERIOD, HEARTBEAT_REACH};
use crate::{
    gateway::{
        decide::{MAX_RELAY_AGE, QuotaShare, ShareHolder, is_unbroken_since},
        net::Phase,
        peering::{Heartbeat, ProcessId, RelayedHeartbeat},
    },
    ids::DataCentre,
};

/// Minimum silence after which a gateway is no longer listed to callers. It spans five
/// heartbeats, so that a few lost datagrams have no effect.
const MIN_PEER_SILENCE: Duration = Duration::from_millis(800);
/// The same in mean intervals between heartbeats, for fleets in which those are longer.
const PEER_SILENCE_INTERVALS: f64 = 4.0;
/// Time after the start during which the hosts announced in the store count as serving, whether
/// heard from or not: in a fleet of some hundred, it takes a few heartbeats to hear from most.
const ANNOUNCED_GRACE_PERIOD: Duration = Duration::from_secs(3);

/// Maximum number of other gateways' heartbeats relayed in one period.
const MAX_RELAYED: usize = 30;

/// Another gateway process, as last heard from.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// Its latest heartbeat.
    pub last: Heartbeat,
    /// When its latest heartbeat arrived; for a relayed one, when it was sent.
    pub last_heard: Instant,
    /// Its identity in the division of rate limits.
    pub holder: ShareHolder,
    /// Whether its load is included in the sums of others' load.
    load_counted: bool,
    /// How often this process has relayed the latest heartbeat.
    times_relayed: u32,
}

impl Board {
    /// Returns the silence after which a gateway counts as gone.
    pub fn peer_silence(&self) -> Duration {
        let periods = self.peers.len() as f64 / HEARTBEAT_REACH as f64;
        HEARTBEAT_PERIOD.mul_f64(periods * PEER_SILENCE_INTERVALS).max(MIN_PEER_SILENCE)
    }

    /// Returns the gateways heard from within the allowed silence.
    pub fn recently_heard(&self, now: Instant) -> impl Iterator<Item = &PeerView> {
        let silence = self.peer_silence();
        let recent = move |p: &&PeerView| now.saturating_duration_since(p.last_heard) < silence;
        self.peers.values().filter(recent)
    }

    /// Returns the figures that determine this process's share of quotas.
    pub fn quota_share(&self, now: Instant) -> QuotaShare {
        let heard = 1 + self.recently_heard(now).count();
        let is_recently_started =
            now.saturating_duration_since(self.started) < ANNOUNCED_GRACE_PERIOD;
        let announced = if is_recently_started { self.announced_hosts } else { 0 };
        QuotaShare { heard, members: announced.max(1 + self.peers.len()) }
    }

    /// Returns whether some process knows that the store has been available without interruption:
    /// a missing row then means that its upstream is gone.
    pub fn store_was_available(&self, now: Instant) -> bool {
        self.store_witness("", now).is_some()
    }

    /// Returns the process that knows so: `own`, which stands for this one, or another gateway.
    pub fn store_witness(&self, own: &str, now: Instant) -> Option<ProcessId> {
        if self.steadiness.is_steady(now) {
            return Some(own.to_owned());
        }
        let store_now = self.store_clock.now(now)?;
        let is_unbroken = |p: &&PeerView| {
            p.last.last_steady_answer().is_some_and(|at| is_unbroken_since(at, store_now))
        };
        self.recently_heard(now).find(is_unbroken).map(|p| p.last.process())
    }

    /// Returns whether another gateway has a newer configuration.
    pub fn configuration_is_behind(&self, now: Instant) -> bool {
        let own = self.configuration_version();
        self.recently_heard(now).any(|p| p.last.configuration > own)
    }

    /// Returns whether a heartbeat is older than what is known of its host: a later one has
    /// arrived, or one of a process that started there later. Datagrams may be reordered.
    pub fn is_outdated(&self, process: &ProcessId, heartbeat: &Heartbeat) -> bool {
        if let Some(known) = self.peers.get(process) {
            return known.last.up_ms > heartbeat.up_ms;
        }
        let mut of_host = self.peers.values().filter(|p| p.last.host == heartbeat.host);
        of_host.any(|p| p.last.started() > heartbeat.started())
    }

    /// Selects the heartbeats to relay; the flag tells whether each came from `data_centre`. Those
    /// relayed least often come first, then those from other data centres, which fewer gateways
    /// receive directly.
    pub fn heartbeats_to_relay(
        &mut self,
        data_centre: &DataCentre,
        now: Instant,
    ) -> Vec<(bool, RelayedHeartbeat)> {
        let age = |p: &PeerView| now.saturating_duration_since(p.last_heard);
        let near = |p: &PeerView| p.last.data_centre == *data_centre;
        let store_now = self.store_clock.now(now);
        let peers = self.peers.values_mut();
        let mut chosen: Vec<&mut PeerView> = peers.filter(|p| age(p) < MAX_RELAY_AGE).collect();
        chosen.sort_by_key(|p| (p.times_relayed, near(p), Reverse(p.last_heard)));
        chosen.truncate(MAX_RELAYED);
        chosen.iter_mut().for_each(|p| p.times_relayed += 1);
        let relayed = |p: &mut PeerView| RelayedHeartbeat::new(&p.last, age(p), store_now);
        chosen.into_iter().map(|p| (near(p), relayed(p))).collect()
    }

    /// Records a heartbeat that was sent at `heard`; returns the time of the process's previous
    /// heartbeat, if there was one.
    pub fn record_heartbeat(
        &mut self,
        process: ProcessId,
        heartbeat: Heartbeat,
        heard: Instant,
    ) -> Option<Instant> {
        if !self.peers.contains_key(&process) {
            self.forget_earlier_processes(&heartbeat.host);
        }
        self.peer_load.add(&heartbeat.loads, heard);
        self.noticed_work.sender_reported(heartbeat.incarnation, heartbeat.up_ms, heard);
        let holder = ShareHolder::new(&heartbeat.host);
        let view = PeerView {
            last: heartbeat,
            last_heard: heard,
            holder,
            load_counted: true,
            times_relayed: 0,
        };
        let before = self.peers.insert(process, view)?;
        if before.load_counted {
            self.peer_load.subtract(&before.last.loads, before.last_heard);
        }
        Some(before.last_heard)
    }

    /// Forgets earlier processes of a host on which a new one has started.
    fn forget_earlier_processes(&mut self, host: &str) {
        let of_host = self.peers.iter().filter(|(_, p)| p.last.host == host);
        let ended: Vec<ProcessId> = of_host.map(|(id, _)| id.clone()).collect();
        ended.iter().for_each(|id| self.forget_peer(id));
    }

    /// Forgets another gateway process and subtracts its load.
    pub fn forget_peer(&mut self, process: &ProcessId) {
        let Some(peer) = self.peers.remove(process) else {
            return;
        };
        self.noticed_work.sender_ended(peer.last.incarnation);
        if peer.load_counted {
            self.peer_load.subtract(&peer.last.loads, peer.last_heard);
        }
    }

    /// Subtracts the load of gateways that have fallen silent.
    pub fn subtract_silent_loads(&mut self, now: Instant) {
        let silence = self.peer_silence();
        for peer in self.peers.values_mut().filter(|p| p.load_counted) {
            if now.saturating_duration_since(peer.last_heard) >= silence {
                peer.load_counted = false;
                self.peer_load.subtract(&peer.last.loads, peer.last_heard);
            }
        }
    }

    /// Returns the addresses of up to `max` gateways through which upstreams may be reached, in the
    /// order in which they are to be asked.
    pub fn tunnel_peers(&self, own: &DataCentre, max: usize, now: Instant) -> Vec<SocketAddr> {
        let connected = || self.serving_peers(now).filter(|p| !p.last.cut_off).map(|p| &p.last);
        let near = connected().filter(|p| p.data_centre == *own).map(|p| p.peers);
        let all: Vec<SocketAddr> = connected().map(|p| p.peers).collect();
        let near: Vec<SocketAddr> = near.collect();
        self.tunnel_outcomes.choose(&near, &all, max, now, &mut fastrand::Rng::new())
    }

    /// Returns the gateways that callers may use.
    pub fn serving_peers(&self, now: Instant) -> impl Iterator<Item = &PeerView> {
        let serves = |p: &&PeerView| p.last.phase == Phase::Serving && p.last.configuration > 0;
        self.recently_heard(now).filter(serves)
    }
}
