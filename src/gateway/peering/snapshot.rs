//! The upstreams as one gateway knows them, for another that cannot read the store.

use serde::{Deserialize, Serialize};

use super::WireError;
use crate::{
    gateway::model::{Revision, Upstream},
    ids::UpstreamId,
};

/// The upstreams that a gateway knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamSnapshot {
    /// Revision of the store up to which all changes are in it.
    pub position: Revision,
    /// Revision of the newest change.
    pub last_change: Revision,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// Those among them whose rows are missing and may be back soon.
    pub missing: Vec<UpstreamId>,
}

impl UpstreamSnapshot {
    /// Encodes the snapshot as CBOR.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        let mut buf = Vec::with_capacity(4_096);
        ciborium::into_writer(self, &mut buf)?;
        Ok(buf)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        Ok(ciborium::from_reader(bytes)?)
    }
}
