//! Signals that an upstream sends about itself in the headers of an answer.

use std::time::{Duration, UNIX_EPOCH};

use httpdate::parse_http_date;
use hyper::{
    HeaderMap, StatusCode,
    header::{HeaderName, HeaderValue, RETRY_AFTER},
};
use thiserror::Error;

use crate::time::UnixMillis;

/// Rate limit of the upstream for all callers together, in requests per second.
const RATE_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Rejections for want of room in a second above which the upstream falls over.
const BRITTLE: HeaderName = HeaderName::from_static("server-brittle");
/// Whether the upstream is leaving: it finishes its work and accepts no more.
const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Maximum number of characters of an invalid signal that an error message quotes.
const MAX_QUOTED_CHARS: usize = 40;

/// Upper bound on the back-off that an upstream can ask for.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(86_400);

/// Why a signal of an upstream is invalid.
#[derive(Debug, Error)]
pub enum SignalError {
    /// A rate is not a finite number that is zero or more.
    #[error("{0:?} is not a rate of requests")]
    Rate(String),
    /// The `Retry-After` value is neither a number of seconds nor an HTTP date.
    #[error("{text:?} is no time to wait: {source}")]
    Wait {
        /// Value of the header, shortened.
        text: String,
        /// Why it does not parse as a date.
        source: httpdate::Error,
    },
}

/// Returns whether the upstream announces that it is leaving.
pub fn announces_leaving(headers: &HeaderMap) -> bool {
    headers.get_all(SERVER_LEAVING).iter().any(|v| v.as_bytes().trim_ascii() == b"1")
}

/// Decodes the back-off that the upstream requests from this process with `Retry-After` on an
/// answer with status 429 or 503. If there are several values, the longest one applies. Dates
/// are relative to `time`, the wall-clock time of this process.
///
/// # Errors
///
/// Fails if a value is neither a number of seconds nor an HTTP date.
pub fn decode_retry_after(
    status: StatusCode,
    headers: &HeaderMap,
    time: UnixMillis,
) -> Result<Option<Duration>, SignalError> {
    if !matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        return Ok(None);
    }
    let mut longest: Option<Duration> = None;
    for value in headers.get_all(RETRY_AFTER) {
        longest = longest.max(Some(decode_retry_after_value(value, time)?));
    }
    Ok(longest)
}

fn decode_retry_after_value(
    value: &HeaderValue,
    time: UnixMillis,
) -> Result<Duration, SignalError> {
    let text = text(value);
    let seconds = text.parse::<f64>().ok().filter(|s| !s.is_nan() && *s >= 0.0);
    if let Some(seconds) = seconds {
        return Ok(Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64())));
    }
    let date = parse_http_date(&text)
        .map_err(|source| SignalError::Wait { text: quoted(&text), source })?;
    let until = date.duration_since(UNIX_EPOCH).unwrap_or_default();
    Ok(until.saturating_sub(Duration::from_millis(time)).min(MAX_RETRY_AFTER))
}

fn text(value: &HeaderValue) -> String {
    String::from_utf8_lossy(value.as_bytes()).trim().to_owned()
}

fn quoted(text: &str) -> String {
    text.chars().take(MAX_QUOTED_CHARS).collect()
}

/// Decodes the rate limit of the upstream for all callers together, in requests per second;
/// `None` if it states no limit. If there are several values, the lowest one applies.
///
/// # Errors
///
/// Fails if a value is not a number, infinite or negative.
pub fn decode_rate_limit(headers: &HeaderMap) -> Result<Option<f64>, SignalError> {
    decode_lowest_rate(headers, &RATE_LIMIT)
}

/// Decodes how many rejections in a second the upstream bears, for all callers together; `None` if
/// it states no such number. If there are several values, the lowest one applies.
///
/// # Errors
///
/// Fails if a value is not a number, infinite or negative.
pub fn decode_max_rejections(headers: &HeaderMap) -> Result<Option<f64>, SignalError> {
    decode_lowest_rate(headers, &BRITTLE)
}

fn decode_lowest_rate(headers: &HeaderMap, name: &HeaderName) -> Result<Option<f64>, SignalError> {
    let mut lowest: Option<f64> = None;
    for value in headers.get_all(name) {
        let rate = decode_rate(value)?;
        lowest = Some(lowest.map_or(rate, |l| l.min(rate)));
    }
    Ok(lowest)
}

fn decode_rate(value: &HeaderValue) -> Result<f64, SignalError> {
    let text = text(value);
    let rate = text.parse::<f64>().ok().filter(|rate| rate.is_finite() && *rate >= 0.0);
    rate.ok_or_else(|| SignalError::Rate(quoted(&text)))
}
