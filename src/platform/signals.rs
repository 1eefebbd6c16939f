//! What an upstream says of itself in the head of an answer.

use std::time::{Duration, UNIX_EPOCH};

use httpdate::parse_http_date;
use hyper::{
    HeaderMap, StatusCode,
    header::{HeaderName, HeaderValue, RETRY_AFTER},
};
use thiserror::Error;

use crate::time::UnixMillis;

/// Requests a second that the upstream takes from all callers together.
const RATE_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Whether the upstream leaves: finishes its work and takes none.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Characters of a bad signal that are shown.
const LONGEST_SHOWN: usize = 40;

/// Longest rest that is kept, however long it is asked for.
const LONGEST_REST: Duration = Duration::from_secs(86_400);

/// Why a signal of an upstream cannot be used.
#[derive(Debug, Error)]
pub enum SignalError {
    /// It is not a number of requests a second.
    #[error("{0:?} is not a rate of requests")]
    Rate(String),
    /// It is not a time to wait, or a date.
    #[error("{text:?} is no time to wait: {source}")]
    Wait {
        /// What it says.
        text: String,
        /// Why it is no date.
        source: httpdate::Error,
    },
}

/// Returns whether the upstream says that it leaves.
pub fn says_leaving(headers: &HeaderMap) -> bool {
    headers.get_all(LEAVING).iter().any(|v| v.as_bytes().trim_ascii() == b"1")
}

/// Decodes for how long the upstream wants no requests from this process, by an answer that
/// turns one away. Of several times the longest counts. A date is compared with `time`, this
/// process's time of day.
///
/// # Errors
///
/// Fails if one of them is neither a number of seconds nor a date.
pub fn decode_rest(
    status: StatusCode,
    headers: &HeaderMap,
    time: UnixMillis,
) -> Result<Option<Duration>, SignalError> {
    if !matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        return Ok(None);
    }
    let mut longest: Option<Duration> = None;
    for value in headers.get_all(RETRY_AFTER) {
        longest = longest.max(Some(decode_wait(value, time)?));
    }
    Ok(longest)
}

fn decode_wait(value: &HeaderValue, time: UnixMillis) -> Result<Duration, SignalError> {
    let text = text(value);
    let seconds = text.parse::<f64>().ok().filter(|s| !s.is_nan() && *s >= 0.0);
    if let Some(seconds) = seconds {
        return Ok(Duration::from_secs_f64(seconds.min(LONGEST_REST.as_secs_f64())));
    }
    let date = parse_http_date(&text)
        .map_err(|source| SignalError::Wait { text: shown(&text), source })?;
    let until = date.duration_since(UNIX_EPOCH).unwrap_or_default();
    Ok(until.saturating_sub(Duration::from_millis(time)).min(LONGEST_REST))
}

fn text(value: &HeaderValue) -> String {
    String::from_utf8_lossy(value.as_bytes()).trim().to_owned()
}

fn shown(text: &str) -> String {
    text.chars().take(LONGEST_SHOWN).collect()
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
    let text = text(value);
    let rate = text.parse::<f64>().ok().filter(|rate| rate.is_finite() && *rate >= 0.0);
    rate.ok_or_else(|| SignalError::Rate(shown(&text)))
}
