//! Headers of requests and answers.

use std::time::Duration;

use hyper::{
    HeaderMap, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, HeaderValue, TE, TRAILER},
    http::request::Parts,
};

use crate::prefix;

/// Names one client attempt; engines echo it.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Milliseconds for which the sender will wait.
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The caller's key; never passed on.
const KEY: HeaderName = HeaderName::from_static("x-key");
/// Name of the customer, set for the upstream.
const CUSTOMER: HeaderName = HeaderName::from_static("x-tenant");
/// Identifier of the only upstream that may run the request.
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
/// Rank at the engine, 0 to 9; 0 is the most urgent.
const PRIORITY: HeaderName = HeaderName::from_static("x-request-priority");
/// The upstream did not run the request.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// The upstream's signature over its answer.
const SEAL: HeaderName = HeaderName::from_static("x-response-seal");
/// Prompt tokens and output tokens at most, separated by a comma.
const TOKENS: HeaderName = HeaderName::from_static("x-token-usage");
/// Parts of the prompt in order: ID:TOKENS, separated by commas.
const PROMPT_PARTS: HeaderName = HeaderName::from_static("x-prompt-prefix");
/// Last event that the caller has; the answer goes on after it.
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    TE,
    TRAILER,
    EXPECT,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("transfer-encoding"),
    HeaderName::from_static("upgrade"),
];

/// Headers that only this system may set towards an upstream.
const OWN_HEADERS: [HeaderName; 10] = [
    KEY,
    CUSTOMER,
    EXPECT_INSTANCE,
    PRIORITY,
    HeaderName::from_static("x-expect-version"),
    HeaderName::from_static("x-hold"),
    // Keeps a finished request's cache from yielding to others; a caller that
    // sets it would take memory from all the others at that engine.
    HeaderName::from_static("x-pin-ms"),
    HeaderName::from_static("x-kv-backup"),
    HeaderName::from_static("kv-from"),
    HeaderName::from_static("kv-fetch"),
];

/// The prompt of a request to a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the whole prompt.
    pub tokens: u32,
    /// Tokens that the engine may generate at most.
    pub max_output: u32,
    /// Parts in order: fingerprint and tokens. The last is the request's own.
    pub parts: Vec<(prefix::Fingerprint, u32)>,
}

/// What the head of a request says to this system.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Identifier of the caller's attempt; empty if it sent none.
    pub id: String,
    /// Host that is asked for, without a port.
    pub host: String,
    /// Path that is asked for.
    pub path: String,
    /// For how long the caller will wait.
    pub patience: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// The prompt, for model engines.
    pub prompt: Option<Prompt>,
}

/// Decodes the head of a request.
pub fn decode_head(parts: &Parts) -> RequestHead {
    let text = |name: &HeaderName| parts.headers.get(name).and_then(|v| v.to_str().ok());
    let host = text(&HOST).or(parts.uri.authority().map(|a| a.as_str())).unwrap_or_default();
    let host = host.split_once(':').map_or(host, |(name, _)| name);
    let patience = text(&DEADLINE).and_then(|s| s.trim().parse().ok()).map(Duration::from_millis);
    RequestHead {
        id: text(&REQUEST_ID).unwrap_or_default().to_owned(),
        host: host.to_ascii_lowercase(),
        path: parts.uri.path().to_owned(),
        patience,
        key: text(&KEY).map(str::to_owned),
        prompt: text(&TOKENS).and_then(|tokens| prompt(tokens, text(&PROMPT_PARTS))),
    }
}

fn prompt(tokens: &str, parts: Option<&str>) -> Option<Prompt> {
    let (prompt, output) = tokens.split_once(',')?;
    let part = |s: &str| {
        let (id, tokens) = s.trim().split_once(':')?;
        Some((prefix::hash(id.as_bytes()), tokens.parse().ok()?))
    };
    Some(Prompt {
        tokens: prompt.trim().parse().ok()?,
        max_output: output.trim().parse().ok()?,
        parts: parts.unwrap_or_default().split(',').map_while(part).collect(),
    })
}

/// Removes what must not be passed on: headers of one connection, and those
/// that only this system sets.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_HEADERS.iter().chain(&listed) {
        headers.remove(name);
    }
    for name in &OWN_HEADERS {
        headers.remove(name);
    }
}

/// What this system says to an upstream about one attempt.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    /// Time in which the answer is of use.
    pub time_left: Duration,
    /// The upstream that is meant.
    pub upstream: &'a str,
    /// The customer, if the request has one.
    pub customer: Option<&'a str>,
    /// Rank, 0 to 9.
    pub priority: Option<u8>,
    /// Last event that was passed on, if the stream goes on after it.
    pub resume_after: Option<&'a str>,
}

/// Writes the headers of one attempt into those of the request.
pub fn stamp_attempt(headers: &mut HeaderMap, attempt: &Attempt<'_>) {
    headers.remove(CONTENT_LENGTH);
    headers.insert(DEADLINE, HeaderValue::from(attempt.time_left.as_millis().max(1) as u64));
    set(headers, EXPECT_INSTANCE, Some(attempt.upstream));
    set(headers, CUSTOMER, attempt.customer);
    if let Some(priority) = attempt.priority {
        headers.insert(PRIORITY, HeaderValue::from(u16::from(priority.min(9))));
    }
    if attempt.resume_after.is_some() {
        set(headers, LAST_EVENT, attempt.resume_after);
    }
}

fn set(headers: &mut HeaderMap, name: HeaderName, value: Option<&str>) {
    let value = value.and_then(|v| HeaderValue::from_str(v).ok());
    match value {
        Some(value) => drop(headers.insert(name, value)),
        None => drop(headers.remove(name)),
    }
}

/// Returns whether the upstream says that it did not run the request.
pub fn is_not_executed(status: StatusCode, headers: &HeaderMap) -> bool {
    headers.contains_key(NOT_EXECUTED) || status == StatusCode::MISDIRECTED_REQUEST
}

/// Returns whether an answer belongs to the request `id`: engines send answers
/// of earlier requests late at times.
pub fn same_request(headers: &HeaderMap, id: &str) -> bool {
    headers.get(REQUEST_ID).is_none_or(|v| v.as_bytes() == id.as_bytes())
}

/// Returns whether an answer bears its upstream's signature.
pub fn is_signed(headers: &HeaderMap) -> bool {
    headers.contains_key(SEAL)
}

/// Returns whether an answer claims success without the upstream's signature.
pub fn seal_missing(status: StatusCode, headers: &HeaderMap) -> bool {
    status.is_success() && !is_signed(headers)
}

/// Returns the seconds for which the upstream keeps an idle connection open,
/// if it says so.
pub fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    timeout.parse().ok().map(Duration::from_secs)
}

/// Returns whether the upstream closes the connection after this answer.
pub fn closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION);
    let mut tokens = values.iter().filter_map(|v| v.to_str().ok()).flat_map(|v| v.split(','));
    tokens.any(|t| t.trim().eq_ignore_ascii_case("close"))
}
