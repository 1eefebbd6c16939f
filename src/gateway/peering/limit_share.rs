//! The datagrams with which a gateway asks another for a permit for one request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::WireError;
use crate::gateway::model::Lifetime;

/// First byte of the datagram.
pub(super) const LIMIT_FORMAT: u8 = 66;

/// Asks for a permit out of another gateway's share, or answers that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitShareMessage {
    /// Asks whether the sender may send one request to the upstream.
    Ask {
        /// Request number, repeated in the answer.
        number: u64,
        /// The upstream, in one lifetime.
        upstream: Lifetime,
    },
    /// Asks for room for one request at a brittle upstream.
    AskRoom {
        /// Request number, repeated in the answer.
        number: u64,
        /// The upstream, in one lifetime.
        upstream: Lifetime,
    },
    /// Gives room back that was granted.
    GiveBackRoom {
        /// Number of the question by which it was granted. Also sent if no answer arrived in time,
        /// since the room may have been granted.
        number: u64,
        /// The upstream, in one lifetime.
        upstream: Lifetime,
        /// Whether the upstream rejected the request for want of room.
        rejected: bool,
    },
    /// Grants the request, or denies it for some time.
    Answer {
        /// Number of the answered request.
        number: u64,
        /// `None` if granted; otherwise how long no request will be granted.
        wait: Option<Duration>,
    },
}

impl LimitShareMessage {
    /// Encodes the datagram, including its first byte.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        Ok(postcard::to_extend(self, vec![LIMIT_FORMAT])?)
    }

    /// Decodes the bytes after the first one.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are neither a request nor an answer.
    pub(super) fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}
