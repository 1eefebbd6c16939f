//! The datagrams with which gateways tell each other at which software version a stream began.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::WireError;
use crate::gateway::{
    decide::ServiceVersion,
    model::{RequestDigest, ServiceName, UpstreamVersion},
};

/// First byte of the datagram.
pub(super) const STREAM_VERSION_FORMAT: u8 = 67;

/// What a gateway knows of the version at which a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KnownVersion {
    /// It was told of the stream.
    Recorded(UpstreamVersion),
    /// It was not, but the service has had only this version for longer than a stream lasts.
    Sole(UpstreamVersion),
    /// Neither.
    Unknown,
    /// It was not told, and the service has had several versions within the time that a stream lasts.
    Several,
}

impl KnownVersion {
    /// Returns the most certain of several gateways' answers. One that has seen several versions knows
    /// more than those that have seen one. Gateways that disagree about the only version know nothing.
    pub fn most_certain(answers: Vec<Self>) -> Self {
        let (mut soles, mut several) = (BTreeSet::new(), false);
        for known in answers {
            match known {
                Self::Recorded(version) => return Self::Recorded(version),
                Self::Sole(version) => drop(soles.insert(version)),
                Self::Several => several = true,
                Self::Unknown => {}
            }
        }
        if several {
            return Self::Several;
        }
        match (soles.pop_first(), soles.is_empty()) {
            (Some(version), true) => Self::Sole(version),
            _ => Self::Unknown,
        }
    }
}

/// Tells, asks or answers at which version a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamVersionMessage {
    /// A stream has begun.
    Began {
        /// The stream.
        stream: RequestDigest,
        /// Version of the upstream that sent its first event.
        version: UpstreamVersion,
    },
    /// Asks for the version of a stream.
    Ask {
        /// Number of the question, repeated in the answer.
        number: u64,
        /// The stream.
        stream: RequestDigest,
        /// Service of the stream.
        service: ServiceName,
    },
    /// Answers a question.
    Answer {
        /// Number of the question.
        number: u64,
        /// What the sender knows.
        known: KnownVersion,
    },
    /// Streams began at a gateway that was lost and has started again.
    BeganEarlier {
        /// The streams.
        streams: Vec<RequestDigest>,
        /// Version at which they began.
        version: UpstreamVersion,
    },
    /// Versions are in the store's record, so that streams may begin at them.
    Recorded {
        /// The versions, with their services.
        versions: Vec<ServiceVersion>,
    },
}

impl StreamVersionMessage {
    /// Encodes the datagram, including its first byte.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        Ok(postcard::to_extend(self, vec![STREAM_VERSION_FORMAT])?)
    }

    /// Decodes the bytes after the first one.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no such message.
    pub(super) fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}
