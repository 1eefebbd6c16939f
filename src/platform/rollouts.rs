//! Roll-out orders and their status rows in the store.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::PlatformError;
use crate::gateway::{
    decide::{RolloutOrder, StoreMillis},
    model::{Revision, ServiceName, UpstreamVersion},
};

/// Prefix of the keys of roll-out rows; the service name follows.
const KEY_PREFIX: &str = "rollout/";
/// Upper bound on the duration of an order, so that adding it to an `Instant` cannot overflow.
const MAX_DURATION_S: f64 = 86_400.0;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireOrder {
    service: String,
    destination: String,
    duration_s: f64,
}

#[derive(Serialize, Deserialize)]
struct WireStatus {
    state: RolloutState,
    destination: String,
}

/// State of a roll-out, as reported to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// Traffic is being moved to the new version.
    Running,
    /// All traffic goes to the new version; upstreams of the previous version stop at once.
    Completed,
    /// All traffic is back on the previous version.
    RolledBack,
}

/// A roll-out order as written by the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutDocument {
    /// Service whose version is changed.
    pub service: ServiceName,
    /// Version that the traffic moves to.
    pub destination: UpstreamVersion,
    /// Time within which the roll-out must end; at most a day.
    pub duration: Duration,
}

impl RolloutDocument {
    /// Returns the order that this document gives, written at `revision` and first seen at `started`.
    pub fn order(&self, revision: Revision, started: StoreMillis) -> RolloutOrder {
        RolloutOrder {
            service: self.service.clone(),
            destination: self.destination.clone(),
            duration: self.duration,
            revision,
            started,
        }
    }
}

/// Returns the service named by the key of a roll-out row, or `None` for any other key.
pub fn rollout_service(key: &str) -> Option<&str> {
    key.strip_prefix(KEY_PREFIX).filter(|service| !service.is_empty())
}

/// Returns the key of a service's roll-out rows: the order and its status.
pub fn rollout_key(service: &str) -> String {
    format!("{KEY_PREFIX}{service}")
}

/// Decodes a roll-out order.
///
/// # Errors
///
/// Fails if the document does not match the published schema.
pub fn decode_rollout(bytes: &[u8]) -> Result<RolloutDocument, PlatformError> {
    let wire: WireOrder =
        serde_json::from_slice(bytes).map_err(PlatformError::malformed("order to roll out"))?;
    let duration = Duration::from_secs_f64(wire.duration_s.clamp(0.0, MAX_DURATION_S));
    Ok(RolloutDocument { service: wire.service, destination: wire.destination, duration })
}

/// Encodes the status row of a roll-out.
pub fn encode_rollout_status(state: RolloutState, destination: &str) -> Vec<u8> {
    let wire = WireStatus { state, destination: destination.to_owned() };
    serde_json::to_vec(&wire).expect("texts always encode")
}

/// Decodes the status row of a roll-out.
///
/// # Errors
///
/// Fails if the row does not match the published schema.
pub fn decode_rollout_status(bytes: &[u8]) -> Result<(RolloutState, String), PlatformError> {
    let wire: WireStatus =
        serde_json::from_slice(bytes).map_err(PlatformError::malformed("state of a roll-out"))?;
    Ok((wire.state, wire.destination))
}
