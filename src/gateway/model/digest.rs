//! What stays the same when a request is sent again under another id.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Digest of a request: customer, method, host, path with query, and body. Two
/// requests that an upstream cannot tell apart have the same one.
///
/// The first 128 bits of SHA-256, the same in every gateway: nobody can make a
/// request whose digest is that of another customer's.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest(u128);

impl RequestDigest {
    /// Returns the digest of a request that consists of these parts.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            // With its length, so that no two lists of parts read alike.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let (mut first, hash) = ([0; 16], hash.finalize());
        first.copy_from_slice(&hash[..16]);
        Self(u128::from_be_bytes(first))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A text is no digest: not 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a digest has 32 hexadecimal digits")]
pub struct ParseDigestError;

impl FromStr for RequestDigest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, ParseDigestError> {
        let digits = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| digits);
        number.map(Self).ok_or(ParseDigestError)
    }
}
