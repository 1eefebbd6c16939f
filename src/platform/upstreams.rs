//! Store rows in which upstreams register themselves.

use std::{net::SocketAddr, num::NonZeroU32, time::Duration};

use serde::{Deserialize, Deserializer};
use serde_json::error::Category;
use thiserror::Error;

use crate::{
    gateway::model::{Upstream, UpstreamPhase},
    ids::UpstreamId,
    time::UnixMillis,
};

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireUpstream {
    service: String,
    address: SocketAddr,
    zone: String,
    /// Version of its software.
    version: String,
    slots: NonZeroU32,
    state: String,
    #[serde(rename = "coldRemainingMs")]
    _slow_for_ms: f64,
    /// Number of orders that it has accepted.
    #[serde(rename = "sequence")]
    _orders: u64,
    #[serde(default)]
    spot: bool,
    /// Milliseconds until the upstream leaves, counted from the time the row was written.
    #[serde(rename = "leaves_ms")]
    leaves_ms: Option<f64>,
    #[serde(default, deserialize_with = "non_null")]
    born: Option<UnixMillis>,
}

/// Deserializes a field that may be missing but must not be `null`.
fn non_null<'de, D: Deserializer<'de>>(value: D) -> Result<Option<UnixMillis>, D::Error> {
    UnixMillis::deserialize(value).map(Some)
}

/// Why a row does not describe an upstream. The table may also be written by others than
/// upstreams.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The bytes are not JSON.
    #[error("not readable: {0}")]
    Unreadable(serde_json::Error),
    /// The identifier is empty or has a blank, a control character or one beyond ASCII. Requests name
    /// their upstream in a header, without which any upstream runs them.
    #[error("no identifier of an upstream: {0:?}")]
    Id(UpstreamId),
    /// A field is missing or has the wrong type.
    #[error("a field is missing or of another type: {0}")]
    Field(serde_json::Error),
    /// The state is none of the published ones.
    #[error("unknown state {0:?}")]
    State(String),
    /// A time in milliseconds that cannot be represented.
    #[error("no time: {0} ms")]
    Time(f64),
}

impl EntryError {
    /// Returns the cause as a label for logs and metrics.
    pub fn cause(&self) -> &'static str {
        match self {
            Self::Unreadable(_) => "unreadable",
            Self::Id(_) => "id",
            Self::Field(_) => "field",
            Self::State(_) => "state",
            Self::Time(_) => "time",
        }
    }
}

impl From<serde_json::Error> for EntryError {
    fn from(e: serde_json::Error) -> Self {
        match e.classify() {
            Category::Data => Self::Field(e),
            Category::Io | Category::Syntax | Category::Eof => Self::Unreadable(e),
        }
    }
}

/// Decodes the row of the upstream with identifier `id`.
///
/// # Errors
///
/// Fails if the row does not match the published schema, or no header can carry the identifier. The caller then treats the
/// upstream as removed, even if an earlier value of the row was valid.
pub fn decode_upstream(id: UpstreamId, bytes: &[u8]) -> Result<Upstream, EntryError> {
    if id.is_empty() || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(EntryError::Id(id));
    }
    let wire: WireUpstream = serde_json::from_slice(bytes)?;
    let phase = match wire.state.as_str() {
        "ready" => UpstreamPhase::Ready,
        "draining" => UpstreamPhase::Draining,
        _ => return Err(EntryError::State(wire.state)),
    };
    let duration = |ms: f64| {
        Duration::try_from_secs_f64(ms.max(0.0) / 1_000.0)
            .map_err(|_out_of_range| EntryError::Time(ms))
    };
    Ok(Upstream {
        id,
        born: wire.born,
        service: wire.service,
        version: wire.version,
        address: wire.address,
        data_centre: wire.zone,
        slots: wire.slots.get(),
        phase,
        reclaimable: wire.spot,
        leaves_in: wire.leaves_ms.map(duration).transpose()?,
    })
}
