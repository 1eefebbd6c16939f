//! Parts of prompts that requests share.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::prefix::{self, Fingerprint};

/// Key of a part of prompts to one service: a hash of the service and of the part's id. Callers
/// choose the ids, so different customers may use the same one.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartKey(u64);

impl PartKey {
    /// Returns the key of the part with this fingerprint in prompts to `service`.
    pub fn new(service: &str, part: Fingerprint) -> Self {
        let hash = prefix::fnv1a(prefix::hash(service.as_bytes()), &part.to_le_bytes());
        Self(prefix::mix(hash))
    }
}

impl fmt::Display for PartKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for PartKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Error for a string that is not 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the key of a part of prompts has 16 hexadecimal digits")]
pub struct ParsePartKeyError;

impl FromStr for PartKey {
    type Err = ParsePartKeyError;

    fn from_str(text: &str) -> Result<Self, ParsePartKeyError> {
        let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = u64::from_str_radix(text, 16).ok().filter(|_| digits);
        number.map(Self).ok_or(ParsePartKeyError)
    }
}
