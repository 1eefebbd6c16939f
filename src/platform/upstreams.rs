//! Rows in which upstreams describe themselves.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;

use super::PlatformError;
use crate::{
    gateway::model::{Upstream, UpstreamPhase},
    ids::UpstreamId,
};

#[derive(Deserialize)]
struct WireUpstream {
    service: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    state: String,
    #[serde(default)]
    spot: bool,
    /// Milliseconds from when the row was written.
    leaves_ms: Option<f64>,
}

/// Decodes the row of the upstream `id`.
///
/// # Errors
///
/// Fails if the row does not have the published form.
pub fn decode_upstream(id: UpstreamId, bytes: &[u8]) -> Result<Upstream, PlatformError> {
    let wire: WireUpstream =
        serde_json::from_slice(bytes).map_err(PlatformError::malformed("upstream"))?;
    let phase = match wire.state.as_str() {
        "ready" => UpstreamPhase::Ready,
        // Whatever else it says of itself, it should get no new work.
        _ => UpstreamPhase::Draining,
    };
    Ok(Upstream {
        id,
        service: wire.service,
        address: wire.address,
        data_centre: wire.zone,
        slots: wire.slots,
        phase,
        reclaimable: wire.spot,
        leaves_in: wire.leaves_ms.map(|ms| Duration::from_secs_f64(ms.max(0.0) / 1_000.0)),
    })
}
