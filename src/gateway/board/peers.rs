//! Other gateway processes, as known from their heartbeats.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use super::{Board, HEARTBEAT_PERIOD, HEARTBEAT_REACH, PEER_TIMEOUT};
use crate::{
    gateway::{
        decide::{
            MIN_HEARTBEAT_INTERVAL, QuotaShare, READER_COUNT, ShareHolder, check_interval,
            heartbeat_interval, max_relay_age,
        },
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
/// Longest silence after which a gateway counts as gone, other than the holder of the lease.
const MAX_PEER_SILENCE: Duration = PEER_TIMEOUT;
/// Silence of the holder of the lease after which another process may take it over, in fleets in
/// which heartbeats take longer to arrive. The holder sends at the shortest interval, and its
/// heartbeats are relayed first.
const MAX_HOLDER_SILENCE: Duration = Duration::from_secs(5);
/// The same in intervals between heartbeats, for fleets in which those are long.
const HOLDER_SILENCE_INTERVALS: u32 = 4;
/// Age up to which the state that a gateway reports counts: its load, and whether the store
/// answers it.
const MAX_STATE_AGE: Duration = Duration::from_secs(5);
/// Time after the start during which the hosts announced in the store count as serving, whether
/// heard from or not: in a fleet of some hundred, it takes a few heartbeats to hear from most.
const ANNOUNCED_GRACE_PERIOD: Duration = Duration::from_secs(3);

/// Maximum number of other gateways' heartbeats relayed in one period.
const MAX_RELAYED: usize = 30;
/// Gateways whose heartbeats are relayed first in a large fleet, besides the holder of the lease:
/// the readers of the store, and those that take their place.
const RELAYED_READERS: usize = 2 * READER_COUNT;

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
        let silence = HEARTBEAT_PERIOD.mul_f64(periods * PEER_SILENCE_INTERVALS);
        silence.clamp(MIN_PEER_SILENCE, MAX_PEER_SILENCE)
    }

    /// Returns the number of gateways, as far as this process knows. All report to the holder of
    /// the lease, so it knows of gateways from which this process has not heard for long.
    pub fn fleet_size(&self, now: Instant) -> usize {
        let is_recently_started =
            now.saturating_duration_since(self.started) < ANNOUNCED_GRACE_PERIOD;
        let announced = if is_recently_started { self.announced_hosts } else { 0 };
        let holder = self.peers.values().filter(|p| p.last.holds_lease());
        let recent = |p: &&PeerView| now.saturating_duration_since(p.last_heard) < PEER_TIMEOUT;
        let by_holder = holder.filter(recent).map(|p| p.last.fleet_size as usize).max();
        announced.max(1 + self.peers.len()).max(by_holder.unwrap_or_default())
    }

    /// Returns the interval between checks that are made each `base` in a fleet that is not large.
    pub fn check_interval(&self, base: Duration, now: Instant) -> Duration {
        check_interval(base, self.fleet_size(now))
    }

    /// Returns whether this process knows all that it needs to serve.
    pub fn is_informed(&self) -> bool {
        self.configuration_knowledge.is_some()
            && self.upstreams_knowledge.is_some()
            && self.crash_verdicts_known
    }

    /// Returns the gateways whose last reported state is recent enough to act on.
    pub fn recently_reported(&self, now: Instant) -> impl Iterator<Item = &PeerView> {
        let age = move |p: &&PeerView| now.saturating_duration_since(p.last_heard);
        self.recently_heard(now).filter(move |p| age(p) < MAX_STATE_AGE)
    }

    /// Returns the gateway that holds the lease; `None` if none has been heard for too long.
    pub fn lease_holder(&self, now: Instant) -> Option<&PeerView> {
        let interval = heartbeat_interval(self.fleet_size(now));
        let silence = MAX_HOLDER_SILENCE.max(interval * HOLDER_SILENCE_INTERVALS);
        let recent = |p: &&PeerView| now.saturating_duration_since(p.last_heard) < silence;
        self.recently_heard(now).filter(recent).find(|p| p.last.holds_lease())
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
        QuotaShare { heard, members: self.fleet_size(now) }
    }

    /// Returns whether some process knows that the store has been available without interruption:
    /// a missing row then means that its upstream is gone.
    pub fn store_was_available(&self, now: Instant) -> bool {
        self.steadiness.is_steady(now) || self.recently_reported(now).any(|p| p.last.store_steady)
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

    /// Selects the heartbeats to relay; the flag tells whether each is also relayed to other data
    /// centres than `data_centre`. Those relayed least often come first, then those from other data
    /// centres, which fewer gateways receive directly.
    pub fn heartbeats_to_relay(
        &mut self,
        data_centre: &DataCentre,
        now: Instant,
    ) -> Vec<(bool, RelayedHeartbeat)> {
        let age = |p: &PeerView| now.saturating_duration_since(p.last_heard);
        let near = |p: &PeerView| p.last.data_centre == *data_centre;
        let max_age = max_relay_age(self.fleet_size(now));
        let first = self.relayed_first(now);
        let is_first = |p: &PeerView| first.contains(&p.holder);
        let peers = self.peers.values_mut();
        let mut chosen: Vec<&mut PeerView> =
            peers.filter(|p| age(p) < max_age || is_first(p)).collect();
        chosen.sort_by_key(|p| (!is_first(p), p.times_relayed, near(p), Reverse(p.last_heard)));
        chosen.truncate(MAX_RELAYED);
        chosen.iter_mut().for_each(|p| p.times_relayed += 1);
        let relayed =
            |p: &mut PeerView| (near(p) || is_first(p), RelayedHeartbeat::new(&p.last, age(p)));
        chosen.into_iter().map(relayed).collect()
    }

    /// Returns the gateways whose heartbeats are relayed before all others: none while heartbeats
    /// are frequent enough for all to arrive.
    fn relayed_first(&self, now: Instant) -> Vec<ShareHolder> {
        if heartbeat_interval(self.fleet_size(now)) == MIN_HEARTBEAT_INTERVAL {
            return Vec::new();
        }
        let reached = self.recently_heard(now).filter(|p| p.last.store_answers);
        let readers = reached.take(RELAYED_READERS);
        readers.chain(self.lease_holder(now)).map(|p| p.holder).collect()
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
        self.peer_load.add(&heartbeat.loads);
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
            self.peer_load.subtract(&before.last.loads);
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
        if let Some(peer) = self.peers.remove(process).filter(|p| p.load_counted) {
            self.peer_load.subtract(&peer.last.loads);
        }
    }

    /// Subtracts the load of gateways that have fallen silent.
    pub fn subtract_silent_loads(&mut self, now: Instant) {
        let silence = self.peer_silence().min(MAX_STATE_AGE);
        for peer in self.peers.values_mut().filter(|p| p.load_counted) {
            if now.saturating_duration_since(peer.last_heard) >= silence {
                peer.load_counted = false;
                self.peer_load.subtract(&peer.last.loads);
            }
        }
    }

    /// Returns the gateways that callers may use.
    pub fn serving_peers(&self, now: Instant) -> impl Iterator<Item = &PeerView> {
        let serves = |p: &&PeerView| p.last.phase == Phase::Serving && p.last.configuration > 0;
        self.recently_heard(now).filter(serves)
    }
}
