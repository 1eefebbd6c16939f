//! What an upstream says of itself in the head of an answer.

use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue},
};
use thiserror::Error;

/// Requests a second that the upstream takes from all callers together.
const RATE_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Characters of a bad signal that are shown.
const LONGEST_SHOWN: usize = 40;

/// Why a signal of an upstream cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SignalError {
    /// It is not a number of requests a second.
    #[error("{0:?} is not a rate of requests")]
    Rate(String),
}

/// Decodes the requests a second that the upstream takes from all callers together; `None`
/// if it names no limit. Of several the lowest counts.
///
/// # Errors
///
/// Fails if one of them is not a number, infinite or negative.
pub fn decode_rate_limit(headers: &HeaderMap) -> Result<Option<f64>, SignalError> {
    let mut lowest: Option<f64> = None;
    for value in headers.get_all(RATE_LIMIT) {
        let rate = decode_rate(value)?;
        lowest = Some(lowest.map_or(rate, |l| l.min(rate)));
    }
    Ok(lowest)
}

fn decode_rate(value: &HeaderValue) -> Result<f64, SignalError> {
    let text = String::from_utf8_lossy(value.as_bytes());
    let rate = text.trim().parse::<f64>().ok().filter(|rate| rate.is_finite() && *rate >= 0.0);
    rate.ok_or_else(|| SignalError::Rate(text.chars().take(LONGEST_SHOWN).collect()))
}
