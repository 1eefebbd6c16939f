//! An upstream as it describes itself in the platform's store.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::ServiceName;
use crate::ids::{DataCentre, UpstreamId};

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamPhase {
    /// Takes new work.
    Ready,
    /// Finishes its work and then leaves.
    Draining,
}

/// An upstream's own description.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Identifier of this incarnation.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Where it listens. Another upstream may get the address after it is gone.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Requests that run at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: UpstreamPhase,
    /// Whether its data centre may reclaim it.
    pub reclaimable: bool,
    /// Time until its host is reclaimed, if that was announced.
    pub leaves_in: Option<Duration>,
}
