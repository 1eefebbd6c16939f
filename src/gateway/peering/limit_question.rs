//! The datagrams by which a gateway asks another one for a request of its part of a limit.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::WireError;
use crate::gateway::model::Lifetime;

/// First byte of the datagram.
pub(super) const LIMIT_FORMAT: u8 = 65;

/// A question for a request of another gateway's part of a limit, or its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitQuestion {
    /// May the asking gateway send one request to this upstream?
    Ask {
        /// Told again with the answer.
        number: u64,
        /// The upstream.
        upstream: Lifetime,
    },
    /// It may, or is denied for so long.
    Answer {
        /// Number of the question.
        number: u64,
        /// `None` if it may.
        wait: Option<Duration>,
    },
}

impl LimitQuestion {
    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        Ok(postcard::to_extend(self, vec![LIMIT_FORMAT])?)
    }

    /// Decodes what follows the first byte.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are neither question nor answer.
    pub(super) fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}
