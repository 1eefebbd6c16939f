//! The datagram with which a gateway announces that it has sent a long prompt to an upstream.

use serde::{Deserialize, Serialize};

use super::WireError;
use crate::{
    gateway::{decide::NoticedRequest, model::Lifetime},
    ids::Incarnation,
};

/// First byte of the datagram.
pub(super) const WORK_NOTICE_FORMAT: u8 = 68;

/// Announces a request with a long prompt. The sender is named by its incarnation alone, so that
/// decoding allocates nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkNotice {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Uptime of the sender in milliseconds.
    pub up_ms: u64,
    /// The upstream, in one lifetime.
    pub upstream: Lifetime,
    /// Prompt tokens that the upstream has yet to process.
    pub tokens: u32,
}

impl WorkNotice {
    /// Encodes the datagram, including its first byte.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        Ok(postcard::to_extend(self, vec![WORK_NOTICE_FORMAT])?)
    }

    /// Decodes the bytes after the first one.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no notice.
    pub(super) fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        Ok(postcard::from_bytes(bytes)?)
    }

    /// Returns the announced request.
    pub fn request(&self) -> NoticedRequest {
        let Self { incarnation: sender, up_ms, upstream, tokens } = *self;
        NoticedRequest { sender, up_ms, upstream, tokens }
    }
}
