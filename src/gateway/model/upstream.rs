//! Upstreams as they register themselves in the platform's store.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::{ServiceName, UpstreamVersion};
use crate::{
    ids::{DataCentre, UpstreamId},
    prefix,
    time::UnixMillis,
};

/// Identifier of one lifetime of an upstream: a hash of its id and start time. An upstream that
/// restarts keeps its id but loses its state (running requests, caches), so the gateway tracks
/// state per lifetime.
///
/// It has only 32 bits because each heartbeat carries it for each loaded upstream. If two
/// upstreams collide, each is taken to have the load of both.
///
/// It is sent as four bytes: as an integer of variable length, most hashes would take five.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "[u8; 4]", into = "[u8; 4]")]
pub struct Lifetime(u32);

impl From<[u8; 4]> for Lifetime {
    fn from(bytes: [u8; 4]) -> Self {
        Self(u32::from_le_bytes(bytes))
    }
}

impl From<Lifetime> for [u8; 4] {
    fn from(lifetime: Lifetime) -> Self {
        lifetime.0.to_le_bytes()
    }
}

impl Lifetime {
    /// Returns the lifetime of the upstream `id` that started at `born`.
    pub fn new(id: &str, born: Option<UnixMillis>) -> Self {
        let hash = prefix::hash(id.as_bytes());
        let hash = born.map_or(hash, |ms| prefix::fnv1a(hash, &ms.to_le_bytes()));
        Self((hash ^ (hash >> u32::BITS)) as u32)
    }

    /// Returns a seed for hashes that must differ between lifetimes.
    pub fn seed(self) -> u64 {
        u64::from(self.0)
    }
}

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamPhase {
    /// Accepts new requests.
    Ready,
    /// Finishes its running requests and then leaves.
    Draining,
}

/// Description of an upstream, written by the upstream itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Identifier; unchanged when the upstream restarts.
    pub id: UpstreamId,
    /// Start time by the upstream's clock, which may jump; `None` if it states none. Any
    /// different value, even an earlier one, means a different lifetime.
    pub born: Option<UnixMillis>,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Version of its software.
    pub version: UpstreamVersion,
    /// Address it listens on. The address may be reused by another upstream later.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub phase: UpstreamPhase,
    /// Whether the data centre may reclaim its host.
    pub reclaimable: bool,
    /// Time until its host is reclaimed; `None` if no reclaim was announced.
    pub leaves_in: Option<Duration>,
}

impl Upstream {
    /// Returns the lifetime that this description belongs to.
    pub fn lifetime(&self) -> Lifetime {
        Lifetime::new(&self.id, self.born)
    }
}
