//! The engines' protocol: OpenAI-style chat completions with fields for
//! resuming, and calls that move KV cache.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{edge::http_client::HttpClient, record::ChatWork};

/// Speed at which KV cache moves between engines, in tokens a second.
pub const KV_MOVE_RATE: f64 = 50_000.0;

/// Where an attempt goes on.
#[derive(Clone, Debug, Default)]
pub struct Resume {
    /// Text so far.
    pub text: String,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What the engine did for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt and of the text so far.
    pub prefill_tokens: u32,
    /// Of these, tokens found in the cache.
    pub cached_tokens: u32,
}

/// A piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Attempt that it belongs to.
    pub request_id: String,
    /// Number of the token, or of all tokens at the end.
    pub offset: usize,
    /// The token.
    pub token: Option<String>,
    /// Why the answer ends here.
    pub finish_reason: Option<String>,
    /// What the engine did, with the first piece.
    pub usage: Option<Usage>,
}

/// Exported KV cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvHandle {
    /// Engine that holds it.
    pub source: SocketAddr,
    /// Name of it there.
    pub handle: String,
}

/// Returns the body of an attempt's request.
pub fn request_body(chat: &ChatWork, attempt_id: &str, resume: &Resume) -> Vec<u8> {
    let body = json!({
        "model": chat.model,
        "messages": chat.messages,
        "max_tokens": chat.max_tokens,
        "stream": true,
        "priority": chat.class.default_policy().priority,
        "request_id": attempt_id,
        "resume": { "text": resume.text, "tokens": resume.tokens },
    });
    body.to_string().into_bytes()
}

/// Parses the data of an event; `None` for `[DONE]` and what cannot be read.
pub fn parse_chunk(data: &str) -> Option<Chunk> {
    let value: Value = serde_json::from_str(data).ok()?;
    let choice = value.get("choices")?.get(0)?;
    let text = |v: Option<&Value>| v.and_then(Value::as_str).map(str::to_owned);
    Some(Chunk {
        request_id: text(value.get("id"))?,
        offset: value.get("offset")?.as_u64()? as usize,
        token: text(choice.get("delta").and_then(|d| d.get("content"))),
        finish_reason: text(choice.get("finish_reason")),
        usage: value.get("usage").and_then(|u| serde_json::from_value(u.clone()).ok()),
    })
}

/// Returns whether a status says that the engine refused the request before
/// running it.
pub fn is_refusal(status: u16) -> bool {
    matches!(status, 400 | 404 | 429 | 503)
}

/// Asks an engine to export the cache of a running attempt.
pub fn export_kv(addr: SocketAddr, attempt_id: &str, within: Duration) -> Option<KvHandle> {
    let client = HttpClient::fresh(within);
    let body = json!({ "request_id": attempt_id }).to_string();
    let answer =
        client.call("POST", &format!("http://{addr}/kv/export"), &[], body.as_bytes()).ok()?;
    if answer.status != 200 {
        return None;
    }
    let value: Value = serde_json::from_slice(&answer.body).ok()?;
    let handle = value.get("handle")?.as_str()?.to_owned();
    Some(KvHandle { source: addr, handle })
}

/// Asks an engine to import a cache; without it the tokens are computed again.
pub fn import_kv(addr: SocketAddr, kv: &KvHandle, within: Duration) {
    let client = HttpClient::fresh(within);
    let Ok(body) = serde_json::to_vec(kv) else {
        return;
    };
    if let Err(e) = client.call("POST", &format!("http://{addr}/kv/import"), &[], &body) {
        log::debug!("no cache imported at {addr}: {e}");
    }
}
