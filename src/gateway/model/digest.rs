//! Digest that identifies the content of a request independently of its request identifier.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Digest of a request: customer, method, host, path with query, and body. Requests that
/// an upstream cannot tell apart have the same digest.
///
/// The first 128 bits of a SHA-256 hash, equal in all gateways. The hash is cryptographic so
/// that no customer can craft a request with the digest of another customer's request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest(u128);

impl RequestDigest {
    /// Returns the digest of a request with these parts, in this order.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            // The length prefix keeps different lists of parts from hashing the same bytes.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let (mut first, hash) = ([0; 16], hash.finalize());
        first.copy_from_slice(&hash[..16]);
        Self(u128::from_be_bytes(first))
    }

    /// Returns a seed for hashes of the request.
    pub fn seed(self) -> u64 {
        self.0 as u64
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

/// Error for a string that is not 32 hexadecimal digits.
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
