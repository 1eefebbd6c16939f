//! Checks of the heads of received answers, where the library accepts more than RFC 9112 allows.

use hyper::{
    HeaderMap, StatusCode,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};

/// The only transfer coding that every recipient takes. Requests ask for no other one.
const CHUNKED: &[u8] = b"chunked";

/// Largest status of an answer.
const MAX_STATUS: u16 = 599;

/// Why the head of an answer cannot be believed. Nothing else in it can be either: where the answer
/// ends, and whether its request has run, is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadFault {
    /// Its status is none of HTTP's, which end at 599 (RFC 9110, section 15).
    StatusOutOfRange,
    /// It changes the protocol, which no request asks for.
    UnrequestedUpgrade,
    /// It states a length beside a transfer coding (RFC 9112, section 6.3).
    LengthBesideCoding,
    /// It states a length that is no number, or several lengths. The library checks that only where a body
    /// follows.
    MalformedLength,
    /// Its body has a transfer coding that is unknown, or for which no request asks.
    UnknownCoding,
}

impl HeadFault {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::StatusOutOfRange => "status_out_of_range",
            Self::UnrequestedUpgrade => "unrequested_upgrade",
            Self::LengthBesideCoding => "length_beside_coding",
            Self::MalformedLength => "malformed_length",
            Self::UnknownCoding => "unknown_coding",
        }
    }
}

/// Checks the head of an answer.
///
/// # Errors
///
/// Fails with the first fault that is found.
pub fn check_head(status: StatusCode, headers: &HeaderMap) -> Result<(), HeadFault> {
    if status.as_u16() > MAX_STATUS {
        return Err(HeadFault::StatusOutOfRange);
    }
    if status == StatusCode::SWITCHING_PROTOCOLS {
        return Err(HeadFault::UnrequestedUpgrade);
    }
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => stated_length(headers).map(drop),
        (Some(_), _) if headers.contains_key(CONTENT_LENGTH) => Err(HeadFault::LengthBesideCoding),
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(CHUNKED) => Ok(()),
        (Some(_), _) => Err(HeadFault::UnknownCoding),
    }
}

/// Replaces a length that is stated several times by a single one (RFC 9110, section 8.6), since some
/// recipients reject a list.
pub fn state_length_once(headers: &mut HeaderMap) {
    if let Ok(Some(length)) = stated_length(headers) {
        headers.insert(CONTENT_LENGTH, length.into());
    }
}

/// Returns the length of the body; `None` if none is stated. It may be stated several times, also in
/// one line.
fn stated_length(headers: &HeaderMap) -> Result<Option<u64>, HeadFault> {
    let mut stated = None;
    let values = headers.get_all(CONTENT_LENGTH).iter();
    for text in values.flat_map(|v| v.as_bytes().split(|b| *b == b',')) {
        let length = parse_length(text.trim_ascii()).ok_or(HeadFault::MalformedLength)?;
        if *stated.get_or_insert(length) != length {
            return Err(HeadFault::MalformedLength);
        }
    }
    Ok(stated)
}

fn parse_length(digits: &[u8]) -> Option<u64> {
    // The parser of numbers takes a sign too.
    let is_number = digits.iter().all(u8::is_ascii_digit);
    str::from_utf8(digits).ok().filter(|_| is_number)?.parse().ok()
}
