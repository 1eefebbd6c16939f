//! Client of the operators' HTTP API.

use std::{net::SocketAddr, time::Duration};

use serde_json::Value;
use tackhollow::edge::http_client::{HttpClient, HttpError};
use thiserror::Error;

/// Time without a byte from an entry host after which a call fails.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(15);

/// Errors of an API call.
#[derive(Debug, Error)]
pub enum ApiError {
    /// No request could be sent to any entry host.
    #[error("no entry host answered ({0}); try another with --entry")]
    Unreachable(String),
    /// The item is no longer at the expected version: another change was accepted first.
    #[error(
        "{detail}\nin force now: {current}\nlook at it with `tackhollow get`, merge, \
         and apply again with --expect {version}"
    )]
    Conflict { detail: String, current: Value, version: u64 },
    /// An entry host answered with another status than 200 or 409. Status 0: the connection failed
    /// after the request was sent, so that the call may have taken effect.
    #[error("refused with status {status}: {detail}")]
    Refused { status: u16, detail: String },
    /// The body of the answer is not valid JSON.
    #[error("entry host answered with invalid JSON: {0}")]
    InvalidBody(String),
}

/// A client of the operators' API on a list of entry hosts.
pub struct Api {
    entries: Vec<SocketAddr>,
    authorization: String,
    http: HttpClient,
}

impl Api {
    pub fn new(entries: Vec<SocketAddr>, key: &str) -> Self {
        let http = HttpClient::fresh(SILENCE_TIMEOUT);
        Self { entries, authorization: format!("Bearer {key}"), http }
    }

    /// Sends a GET request to the first entry host that can be reached.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry host can be reached, or the one that was reached does not answer
    /// with status 200 and JSON.
    pub fn get(&self, path: &str) -> Result<Value, ApiError> {
        let mut last_error = "none was named".to_owned();
        for entry in &self.entries {
            match self.call("GET", *entry, path, b"") {
                Err(ApiError::Unreachable(e)) => last_error = e,
                other => return other,
            }
        }
        Err(ApiError::Unreachable(last_error))
    }

    /// Sends a GET request to this entry host.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be reached or does not answer with status 200 and JSON.
    pub fn get_from(&self, entry: SocketAddr, path: &str) -> Result<Value, ApiError> {
        self.call("GET", entry, path, b"")
    }

    /// Sends a change to the first entry host that can be reached. It is not retried on another one
    /// once any byte was sent, as it may have been accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry host can be reached, or the change was not accepted.
    pub fn change(&self, body: &Value) -> Result<Value, ApiError> {
        let body = body.to_string();
        let mut last_error = "none was named".to_owned();
        for entry in &self.entries {
            match self.call("POST", *entry, "/v1/admin/changes", body.as_bytes()) {
                Err(ApiError::Unreachable(e)) => last_error = e,
                other => return other,
            }
        }
        Err(ApiError::Unreachable(last_error))
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
        let parsed: Value = serde_json::from_slice(&answer.body)
            .map_err(|e| ApiError::InvalidBody(e.to_string()))?;
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
