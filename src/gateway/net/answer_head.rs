//! Checks of the heads of received answers, where the library accepts more than RFC 9112 allows.

use hyper::{
    HeaderMap,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};

/// Why the head of an answer cannot be believed. Nothing else in it can be either: where the answer
/// ends, and whether its request has run, is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadFault {
    /// It states a length beside a transfer coding (RFC 9112, section 6.3).
    LengthBesideCoding,
}

impl HeadFault {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::LengthBesideCoding => "length_beside_coding",
        }
    }
}

/// Checks the head of an answer.
///
/// # Errors
///
/// Fails with the first fault that is found.
pub fn check_head(headers: &HeaderMap) -> Result<(), HeadFault> {
    if headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH) {
        return Err(HeadFault::LengthBesideCoding);
    }
    Ok(())
}
