//! The other gateways as this process hears them.

use std::time::{Duration, Instant};

use super::{Board, HEARTBEAT_FAN_OUT, HEARTBEAT_PERIOD};
use crate::gateway::{
    decide::QuotaShare,
    net::Phase,
    peering::{Heartbeat, ProcessId},
};

/// Silence after which a gateway is no longer named to callers: five
/// heartbeats, so that a few lost datagrams change nothing.
const SHORTEST_SILENCE: Duration = Duration::from_millis(800);
/// The same where each gateway is heard less often, in mean intervals.
const SILENT_INTERVALS: f64 = 3.0;
/// Time after the start in which the hosts that have announced themselves in
/// the store count as serving, whether they were heard or not: with some
/// hundred of them, a few heartbeats pass until most are.
const ANNOUNCED_COUNT: Duration = Duration::from_secs(3);

/// Another gateway as last heard.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// What it last told.
    pub last: Heartbeat,
    /// When.
    pub heard: Instant,
    /// Whether its load is part of the sums.
    counted: bool,
}

impl Board {
    /// Returns the silence after which a gateway counts as gone.
    pub fn peer_silence(&self) -> Duration {
        let beats = self.peers.len() as f64 / HEARTBEAT_FAN_OUT as f64;
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

    /// Takes over a heartbeat; returns when its process was heard before, if it was.
    pub fn hear(
        &mut self,
        process: ProcessId,
        heartbeat: Heartbeat,
        now: Instant,
    ) -> Option<Instant> {
        if !self.peers.contains_key(&process) {
            self.end_earlier_processes(&heartbeat.host);
        }
        self.others_load.add(&heartbeat.loads);
        let view = PeerView { last: heartbeat, heard: now, counted: true };
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
