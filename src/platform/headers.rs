//! HTTP headers of requests and responses.

use std::time::Duration;

use hyper::{
    HeaderMap, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, HeaderValue, TE, TRAILER},
    http::request::Parts,
};

use crate::prefix;

/// Identifier of one client attempt; engines echo it in their answers.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Time that the sender waits for the answer, in milliseconds.
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The caller's API key; never forwarded.
const API_KEY: HeaderName = HeaderName::from_static("x-key");
/// Name of the customer, set on requests to upstreams.
const CUSTOMER: HeaderName = HeaderName::from_static("x-tenant");
/// Identifier of the only upstream that may run the request; any other rejects it.
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
/// Identifier of the upstream that answers a health check.
const INSTANCE: HeaderName = HeaderName::from_static("x-instance-id");
/// Scheduling priority at the engine, 0 to 9; 0 is the most urgent.
const PRIORITY: HeaderName = HeaderName::from_static("x-request-priority");
/// Set by the upstream on an answer to a request that it did not run.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// Signature of the upstream over its answer.
const RESPONSE_SEAL: HeaderName = HeaderName::from_static("x-response-seal");
/// Number of prompt tokens and maximum number of output tokens, separated by a comma.
const TOKEN_USAGE: HeaderName = HeaderName::from_static("x-token-usage");
/// Estimated number of output tokens.
const LENGTH_HINT: HeaderName = HeaderName::from_static("x-length-hint");
/// Parts of the prompt in order, each as ID:TOKENS, separated by commas.
const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-prompt-prefix");
/// Identifier of the last event that the caller received; the stream resumes after it.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Identifier of the caller's attempt that brought the first event of the stream that a request
/// takes up.
const RESUMES: HeaderName = HeaderName::from_static("resumes");

/// Hop-by-hop headers, which apply to a single connection.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    TE,
    TRAILER,
    EXPECT,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("transfer-encoding"),
    HeaderName::from_static("upgrade"),
];

/// Headers that only this system may set on requests to upstreams.
const INTERNAL_HEADERS: [HeaderName; 10] = [
    API_KEY,
    CUSTOMER,
    EXPECT_INSTANCE,
    PRIORITY,
    HeaderName::from_static("x-expect-version"),
    HeaderName::from_static("x-hold"),
    // Pins the KV cache of a finished request; a caller that set it would take
    // memory from all other callers of that engine.
    HeaderName::from_static("x-pin-ms"),
    HeaderName::from_static("x-kv-backup"),
    HeaderName::from_static("kv-from"),
    HeaderName::from_static("kv-fetch"),
];

/// The prompt of a request to a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Number of tokens of the whole prompt.
    pub tokens: u32,
    /// Maximum number of tokens that the engine may generate.
    pub max_output: u32,
    /// The caller's estimate of the output tokens, at most `max_output`; `None` if it states none.
    pub length_hint: Option<u32>,
    /// Parts in order, each with its fingerprint and number of tokens. The last part
    /// is specific to this request.
    pub parts: Vec<(prefix::Fingerprint, u32)>,
}

/// A stream that a caller takes up after its connection broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumedStream {
    /// Identifier of the caller's attempt that brought the first event; empty if it is not stated.
    pub began_as: String,
}

/// Fields of a request head that this system uses.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Identifier of the caller's attempt; empty if the header is missing.
    pub id: String,
    /// Requested host in lower case, without the port; empty if there is none.
    pub host: String,
    /// Requested path, without the query.
    pub path: String,
    /// Time that the caller waits for the answer; `None` if it states none.
    pub patience: Option<Duration>,
    /// The caller's API key.
    pub key: Option<String>,
    /// The stream that the request takes up; `None` if it begins one, or none.
    pub resumed: Option<ResumedStream>,
    /// Description of the prompt; `None` if the request is not for a model engine.
    pub prompt: Option<Prompt>,
    /// Fingerprints of the parts of the prompt that other requests may share: all but the last.
    pub shared_parts: Vec<prefix::Fingerprint>,
}

/// Decodes the head of a request. Header values that cannot be read count as missing.
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
        key: text(&API_KEY).map(str::to_owned),
        resumed: parts.headers.contains_key(&LAST_EVENT_ID).then(|| ResumedStream {
            began_as: text(&RESUMES).unwrap_or_default().trim().to_owned(),
        }),
        prompt: text(&TOKEN_USAGE)
            .and_then(|tokens| prompt(tokens, text(&LENGTH_HINT), text(&PROMPT_PREFIX))),
        shared_parts: shared_parts(&parts.headers),
    }
}

/// Returns the fingerprints of all parts but the last, whatever else of them is malformed: engines
/// may read an entry that this system cannot.
fn shared_parts(headers: &HeaderMap) -> Vec<prefix::Fingerprint> {
    let values = headers.get_all(PROMPT_PREFIX).into_iter().filter_map(|v| v.to_str().ok());
    let ids = values.flat_map(|v| v.split(',')).map(|entry| {
        let id = entry.split_once(':').map_or(entry, |(id, _)| id);
        id.trim().to_ascii_lowercase()
    });
    let mut parts: Vec<_> =
        ids.filter(|id| !id.is_empty()).map(|id| prefix::hash(id.as_bytes())).collect();
    parts.pop();
    parts
}

fn prompt(tokens: &str, hint: Option<&str>, parts: Option<&str>) -> Option<Prompt> {
    let (prompt, output) = tokens.split_once(',')?;
    let part = |s: &str| {
        let (id, tokens) = s.trim().split_once(':')?;
        Some((prefix::hash(id.as_bytes()), tokens.parse().ok()?))
    };
    let max_output: u32 = output.trim().parse().ok()?;
    Some(Prompt {
        tokens: prompt.trim().parse().ok()?,
        max_output,
        length_hint: hint.and_then(|h| length_hint(h, max_output)),
        parts: parts.unwrap_or_default().split(',').map_while(part).collect(),
    })
}

/// Decodes the estimate of the output. One beyond the range of the type counts as the maximum; one
/// that is 0 or no number counts as missing.
fn length_hint(hint: &str, max_output: u32) -> Option<u32> {
    let hint = hint.trim();
    let is_number = !hint.is_empty() && hint.bytes().all(|b| b.is_ascii_digit());
    let stated = is_number.then(|| hint.parse().unwrap_or(u32::MAX));
    stated.map(|h| h.min(max_output)).filter(|h| *h > 0)
}

/// Removes the headers that must not be forwarded: hop-by-hop headers and those
/// that only this system may set.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS.iter().chain(&listed) {
        headers.remove(name);
    }
    for name in &INTERNAL_HEADERS {
        headers.remove(name);
    }
}

/// Headers that this system sets on one attempt at an upstream.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    /// Time left until the deadline of the request.
    pub time_left: Duration,
    /// Identifier of the upstream that the attempt is sent to.
    pub upstream: &'a str,
    /// Name of the customer; `None` if the request belongs to no customer.
    pub customer: Option<&'a str>,
    /// Priority, 0 (most urgent) to 9; `None` leaves the header out.
    pub priority: Option<u8>,
    /// Identifier of the last event forwarded to the caller, if the attempt resumes a stream.
    pub resume_after: Option<&'a str>,
}

/// Sets the headers of one attempt on a request.
pub fn stamp_attempt(headers: &mut HeaderMap, attempt: &Attempt<'_>) {
    headers.remove(CONTENT_LENGTH);
    headers.insert(DEADLINE, HeaderValue::from(attempt.time_left.as_millis().max(1) as u64));
    set(headers, EXPECT_INSTANCE, Some(attempt.upstream));
    set(headers, CUSTOMER, attempt.customer);
    if let Some(priority) = attempt.priority {
        headers.insert(PRIORITY, HeaderValue::from(u16::from(priority.min(9))));
    }
    if attempt.resume_after.is_some() {
        set(headers, LAST_EVENT_ID, attempt.resume_after);
    }
}

/// Sets a header to a value that [fits](fits_header), or removes it.
fn set(headers: &mut HeaderMap, name: HeaderName, value: Option<&str>) {
    headers.remove(&name);
    match value.map(HeaderValue::from_str) {
        Some(Ok(value)) => drop(headers.insert(name, value)),
        Some(Err(_)) => log::error!("the header {name} is left out, it cannot carry {value:?}"),
        None => {}
    }
}

/// Returns whether a header can carry a text so that its receiver gets the same text: one without control
/// characters, and without blanks around it, which receivers drop.
pub fn fits_header(text: &str) -> bool {
    !text.is_empty() && text.trim_ascii() == text && HeaderValue::from_str(text).is_ok()
}

/// Returns whether the upstream reports that it did not run the request.
pub fn is_not_executed(status: StatusCode, headers: &HeaderMap) -> bool {
    headers.contains_key(NOT_EXECUTED) || status == StatusCode::MISDIRECTED_REQUEST
}

/// Returns whether an answer belongs to the request `id`. Engines occasionally send
/// a late answer to an earlier request.
pub fn same_request(headers: &HeaderMap, id: &str) -> bool {
    headers.get(REQUEST_ID).is_none_or(|v| v.as_bytes() == id.as_bytes())
}

/// Returns the identifier of the upstream that answered a health check; `None` for other answers.
pub fn answering_instance(headers: &HeaderMap) -> Option<&str> {
    headers.get(INSTANCE).and_then(|v| v.to_str().ok())
}

/// Returns whether an answer carries the signature of its upstream. An empty one is what is left if the
/// head was cut.
pub fn is_signed(headers: &HeaderMap) -> bool {
    headers.get(RESPONSE_SEAL).is_some_and(|seal| !seal.is_empty())
}

/// Returns whether an answer has a success status but no signature of its upstream.
pub fn is_unsigned_success(status: StatusCode, headers: &HeaderMap) -> bool {
    status.is_success() && !is_signed(headers)
}

/// Returns how long the upstream keeps an idle connection open, from its
/// `Keep-Alive` header; `None` if it states no timeout.
pub fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    timeout.parse().ok().map(Duration::from_secs)
}

/// Returns whether the upstream closes the connection after this answer
/// (`Connection: close`).
pub fn closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION);
    let mut tokens = values.iter().filter_map(|v| v.to_str().ok()).flat_map(|v| v.split(','));
    tokens.any(|t| t.trim().eq_ignore_ascii_case("close"))
}
