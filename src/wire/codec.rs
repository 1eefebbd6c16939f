//! Encoding of messages.

use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Why a message could not be encoded or decoded.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The value cannot be written as CBOR.
    #[error("cannot encode the message: {0}")]
    Encode(String),
    /// The bytes are not a message of the expected type.
    #[error("cannot decode the message: {0}")]
    Decode(String),
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    let mut buf = Vec::new();
    ciborium::into_writer(message, &mut buf).map_err(|e| CodecError::Encode(e.to_string()))?;
    Ok(buf)
}

/// Decodes a message.
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Result<T, CodecError> {
    ciborium::from_reader(buf).map_err(|e| CodecError::Decode(e.to_string()))
}
