//! Calls of the operators' API.

use std::{net::SocketAddr, time::Duration};

use serde_json::Value;
use tackhollow::edge::http_client::{HttpClient, HttpError};
use thiserror::Error;

/// Longest silence of an entry host.
const SILENCE: Duration = Duration::from_secs(15);

/// Why a call did not succeed.
#[derive(Debug, Error)]
pub enum ApiError {
    /// No entry host answered.
    #[error("no entry host answered ({0}); try another with --entry")]
    Unreachable(String),
    /// Somebody else changed the item.
    #[error(
        "{detail}\nin force now: {current}\nlook at it with `tackhollow get`, merge, \
         and apply again with --expect {version}"
    )]
    Conflict { detail: String, current: Value, version: u64 },
    /// The system refused.
    #[error("refused with status {status}: {detail}")]
    Refused { status: u16, detail: String },
    /// The answer cannot be read.
    #[error("the answer cannot be read: {0}")]
    Body(String),
}

/// A client of some entry hosts.
pub struct Api {
    entries: Vec<SocketAddr>,
    authorization: String,
    http: HttpClient,
}

impl Api {
    pub fn new(entries: Vec<SocketAddr>, key: &str) -> Self {
        let http = HttpClient::fresh(SILENCE);
        Self { entries, authorization: format!("Bearer {key}"), http }
    }

    /// Reads from the first entry host that answers.
    pub fn get(&self, path: &str) -> Result<Value, ApiError> {
        let mut last = "none was named".to_owned();
        for entry in &self.entries {
            match self.call("GET", *entry, path, b"") {
                Err(ApiError::Unreachable(e)) => last = e,
                other => return other,
            }
        }
        Err(ApiError::Unreachable(last))
    }

    /// Reads from one entry host.
    pub fn get_from(&self, entry: SocketAddr, path: &str) -> Result<Value, ApiError> {
        self.call("GET", entry, path, b"")
    }

    /// Sends a change to the first entry host that can be connected to. A
    /// change that was sent is not sent again elsewhere.
    pub fn change(&self, body: &Value) -> Result<Value, ApiError> {
        let body = body.to_string();
        let mut last = "none was named".to_owned();
        for entry in &self.entries {
            match self.call("POST", *entry, "/v1/admin/changes", body.as_bytes()) {
                Err(ApiError::Unreachable(e)) => last = e,
                other => return other,
            }
        }
        Err(ApiError::Unreachable(last))
    }

    fn call(
        &self,
        method: &str,
        entry: SocketAddr,
        path: &str,
        body: &[u8],
    ) -> Result<Value, ApiError> {
        let headers =
            [("authorization", self.authorization.as_str()), ("content-type", "application/json")];
        let url = format!("http://{entry}{path}");
        let answer = self.http.call(method, &url, &headers, body).map_err(|e| match e {
            HttpError::NotSent(e) => ApiError::Unreachable(e),
            HttpError::Broken(e) => ApiError::Refused {
                status: 0,
                detail: format!("{e}; it may have been accepted: see `tackhollow history`"),
            },
        })?;
        let parsed: Value =
            serde_json::from_slice(&answer.body).map_err(|e| ApiError::Body(e.to_string()))?;
        match answer.status {
            200 => Ok(parsed),
            409 => Err(conflict(&parsed)),
            status => Err(ApiError::Refused { status, detail: detail(&parsed) }),
        }
    }
}

fn conflict(body: &Value) -> ApiError {
    let current = body.get("current").cloned().unwrap_or_default();
    let version = current.get("version").and_then(Value::as_u64).unwrap_or_default();
    ApiError::Conflict { detail: detail(body), current, version }
}

fn detail(body: &Value) -> String {
    body.get("detail").and_then(Value::as_str).unwrap_or("no detail").to_owned()
}
