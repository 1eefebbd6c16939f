//! Helpers that build responses and read requests.

use std::collections::HashMap;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode, Uri, body::Incoming};
use serde_json::Value;
use tackhollow::gateway::net::{AnswerBody, full_body};

/// Returns a response with a JSON body.
pub fn json(status: StatusCode, body: &Value) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(body.to_string()));
    *response.status_mut() = status;
    response
}

/// Returns a response with an empty body.
pub fn empty(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Reads a body as JSON; returns `null` if it cannot be read or is not valid JSON.
pub async fn read_json(body: Incoming) -> Value {
    let bytes = body.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
    serde_json::from_slice(&bytes).unwrap_or_default()
}

/// Returns the query parameters by name; `None` if one has a malformed escape or is not UTF-8.
pub fn query(uri: &Uri) -> Option<HashMap<String, String>> {
    let pairs = uri.query().unwrap_or_default().split('&').filter(|pair| !pair.is_empty());
    let pairs = pairs.map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    pairs.map(|(name, value)| Some((unescape(name)?, unescape(value)?))).collect()
}

/// Decodes percent escapes, and a plus sign as a blank.
fn unescape(text: &str) -> Option<String> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        decoded.push(match byte {
            b'+' => b' ',
            b'%' => {
                let mut digit = || char::from(bytes.next()?).to_digit(16);
                (digit()? * 16 + digit()?) as u8
            }
            _ => byte,
        });
    }
    String::from_utf8(decoded).ok()
}
