//! The datagram with which gateways inform each other of requests that crash upstreams.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{ProcessId, WireError};
use crate::gateway::decide::{CrashGossip, PartGossip, VerdictReport};

/// First byte of the datagram. Heartbeats use other values, so that a gateway of an earlier
/// version still understands crash notices of this one.
pub(super) const CRASH_NOTICE_FORMAT: u8 = 64;
/// First byte of an encoded list of verdicts, in the store and between gateways.
const VERDICTS_FORMAT: u8 = 1;

/// What a gateway reports to others about requests that crash upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// The sending process.
    pub process: ProcessId,
    /// Its address for queries from other gateways.
    pub peers: SocketAddr,
    /// Sequence number; increases with each notice of the process.
    pub number: u64,
    /// Whether the receiver alone may now run trials of quarantined requests.
    pub your_turn: bool,
    /// The reported evidence and verdicts on whole requests.
    pub news: CrashGossip,
    /// Those on parts of prompts. They follow the rest of the notice, which gateways of an earlier
    /// version read alone; `Default` in notices of such gateways.
    #[serde(skip)]
    pub parts: PartGossip,
}

impl CrashNotice {
    /// Encodes the notice, including its first byte.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        let notice = postcard::to_extend(self, vec![CRASH_NOTICE_FORMAT])?;
        match self.parts == PartGossip::default() {
            true => Ok(notice),
            false => Ok(postcard::to_extend(&self.parts, notice)?),
        }
    }

    /// Decodes the bytes after the first one.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a crash notice.
    pub(super) fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let (notice, rest): (Self, _) = postcard::take_from_bytes(bytes)?;
        let parts = match rest {
            [] => PartGossip::default(),
            rest => postcard::from_bytes(rest)?,
        };
        Ok(Self { parts, ..notice })
    }
}

/// Encodes a list of verdicts, including its first byte.
///
/// # Errors
///
/// Fails if a value cannot be encoded.
pub fn encode_verdicts<K: Serialize>(verdicts: &[VerdictReport<K>]) -> Result<Vec<u8>, WireError> {
    Ok(postcard::to_extend(verdicts, vec![VERDICTS_FORMAT])?)
}

/// Decodes a list of verdicts, including its first byte.
///
/// # Errors
///
/// Fails if the bytes are not a list of verdicts in this format.
pub fn decode_verdicts<K: DeserializeOwned>(
    bytes: &[u8],
) -> Result<Vec<VerdictReport<K>>, WireError> {
    match bytes.split_first() {
        Some((&VERDICTS_FORMAT, verdicts)) => Ok(postcard::from_bytes(verdicts)?),
        other => Err(WireError::Format(other.map(|(format, _)| *format))),
    }
}
