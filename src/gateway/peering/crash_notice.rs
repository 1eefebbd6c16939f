//! The datagram by which gateways tell each other of requests that crash upstreams.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{ProcessId, WireError};
use crate::gateway::decide::{CrashNews, VerdictReport};

/// First byte of the datagram. Heartbeats have bytes of their own, so that a gateway
/// of a version before goes on hearing those of this one.
pub(super) const NOTICE_FORMAT: u8 = 64;
/// First byte of a list of verdicts, in the platform's store and between gateways.
const VERDICTS_FORMAT: u8 = 1;

/// What a gateway tells the others of requests that crash upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// The sending process.
    pub process: ProcessId,
    /// Its address for other gateways' questions.
    pub peers: SocketAddr,
    /// Rises with each notice of the process.
    pub number: u64,
    /// Whether the receiver, and nobody else, may try now what is quarantined.
    pub your_turn: bool,
    /// What it tells.
    pub news: CrashNews,
}

impl CrashNotice {
    /// Encodes the notice.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        Ok(postcard::to_extend(self, vec![NOTICE_FORMAT])?)
    }

    /// Decodes what follows the first byte.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a notice.
    pub(super) fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}

/// Encodes verdicts.
///
/// # Errors
///
/// Fails if a value cannot be encoded.
pub fn encode_verdicts(verdicts: &[VerdictReport]) -> Result<Vec<u8>, WireError> {
    Ok(postcard::to_extend(verdicts, vec![VERDICTS_FORMAT])?)
}

/// Decodes verdicts.
///
/// # Errors
///
/// Fails if the bytes are not a list of verdicts.
pub fn decode_verdicts(bytes: &[u8]) -> Result<Vec<VerdictReport>, WireError> {
    match bytes.split_first() {
        Some((&VERDICTS_FORMAT, verdicts)) => Ok(postcard::from_bytes(verdicts)?),
        other => Err(WireError::Format(other.map(|(format, _)| *format))),
    }
}
