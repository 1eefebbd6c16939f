//! Client of the platform's service, over HTTP and JSON.

use std::{net::SocketAddr, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

use super::{HostEntry, HostList, HostStart, Row, Rows, Txn, TxnAccepted, TxnRefused};
use crate::edge::http_client::{HttpClient, HttpError};

/// Why a call to the platform failed.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The call may or may not have taken effect.
    #[error("the platform did not answer: {0}")]
    Unavailable(HttpError),
    /// The platform answered with an unexpected status.
    #[error("the platform answered with status {0}")]
    Status(u16),
    /// The answer is not of the expected shape.
    #[error("the platform's answer cannot be read: {0}")]
    Body(String),
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum TxnOutcome {
    /// All writes were made.
    Accepted(TxnAccepted),
    /// None was made.
    Refused(TxnRefused),
}

/// Client of the platform's service.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    addr: SocketAddr,
    http: HttpClient,
}

impl PlatformClient {
    /// Creates a client; each call takes at most `timeout`.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self { addr, http: HttpClient::pooled(timeout) }
    }

    /// Reads a row.
    pub fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let rows: Rows = self.read(&format!("/table?key={}", escape(key)))?;
        Ok(rows.rows.into_iter().next())
    }

    /// Reads rows whose keys start with `prefix` and come after `after`.
    pub fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Rows, PlatformError> {
        let (prefix, after) = (escape(prefix), escape(after));
        self.read(&format!("/table?prefix={prefix}&after={after}&limit={limit}"))
    }

    /// Reads all rows whose keys start with `prefix`, page by page.
    pub fn scan_all(&self, prefix: &str) -> Result<Vec<Row>, PlatformError> {
        const PAGE: usize = 500;
        let mut rows: Vec<Row> = Vec::new();
        loop {
            let after = rows.last().map(|r| r.key.clone()).unwrap_or_default();
            let page = self.scan(prefix, &after, PAGE)?.rows;
            let last = page.len() < PAGE;
            rows.extend(page);
            if last {
                return Ok(rows);
            }
        }
    }

    /// Runs a transaction.
    pub fn txn(&self, txn: &Txn) -> Result<TxnOutcome, PlatformError> {
        let (status, body) = self.send("POST", "/table/txn", &to_json(txn)?)?;
        match status {
            200 => Ok(TxnOutcome::Accepted(from_json(&body)?)),
            409 => Ok(TxnOutcome::Refused(from_json(&body)?)),
            other => Err(PlatformError::Status(other)),
        }
    }

    /// Writes an object.
    pub fn put_object(&self, name: &str, body: &[u8]) -> Result<(), PlatformError> {
        match self.send("PUT", &format!("/objects/{name}"), body)? {
            (200 | 201 | 204, _) => Ok(()),
            (status, _) => Err(PlatformError::Status(status)),
        }
    }

    /// Reads an object.
    pub fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        match self.send("GET", &format!("/objects/{name}"), b"")? {
            (200, body) => Ok(Some(body)),
            (404, _) => Ok(None),
            (status, _) => Err(PlatformError::Status(status)),
        }
    }

    /// Removes an object.
    pub fn delete_object(&self, name: &str) -> Result<(), PlatformError> {
        match self.send("DELETE", &format!("/objects/{name}"), b"")? {
            (200 | 204 | 404, _) => Ok(()),
            (status, _) => Err(PlatformError::Status(status)),
        }
    }

    /// Lists the names of the objects that start with `prefix`.
    pub fn list_objects(&self, prefix: &str) -> Result<Vec<String>, PlatformError> {
        self.read(&format!("/objects?prefix={}", escape(prefix)))
    }

    /// Reads the cloud's list of a data centre's hosts, unless it still has
    /// the revision `known`.
    pub fn hosts(&self, data_centre: &str, known: u64) -> Result<HostList, PlatformError> {
        let dc = escape(data_centre);
        self.read(&format!("/cloud/hosts?data_centre={dc}&known={known}"))
    }

    /// Starts a host; the same token starts one at most.
    pub fn start_host(&self, start: &HostStart) -> Result<HostEntry, PlatformError> {
        match self.send("POST", "/cloud/hosts", &to_json(start)?)? {
            (200 | 201, body) => from_json(&body),
            (status, _) => Err(PlatformError::Status(status)),
        }
    }

    /// Reads; once more if no answer came. Reading twice changes nothing, and an
    /// operator who gets "not run" for a slow read has to apply again.
    fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, PlatformError> {
        let first = self.send("GET", path, b"");
        if let Err(PlatformError::Unavailable(e)) = &first {
            log::warn!("the platform did not answer {path}, which is read once more: {e}");
        }
        let answer = first.or_else(|e| match e {
            PlatformError::Unavailable(_) => self.send("GET", path, b""),
            other => Err(other),
        });
        match answer? {
            (200, body) => from_json(&body),
            (status, _) => Err(PlatformError::Status(status)),
        }
    }

    fn send(&self, method: &str, path: &str, body: &[u8]) -> Result<(u16, Vec<u8>), PlatformError> {
        let url = format!("http://{}{path}", self.addr);
        let answer = self.http.call(method, &url, &[], body).map_err(PlatformError::Unavailable)?;
        Ok((answer.status, answer.body))
    }
}

fn to_json<T: Serialize>(value: &T) -> Result<Vec<u8>, PlatformError> {
    serde_json::to_vec(value).map_err(|e| PlatformError::Body(e.to_string()))
}

fn from_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|e| PlatformError::Body(e.to_string()))
}

/// Percent-encodes a query value.
pub fn escape(text: &str) -> String {
    text.bytes()
        .map(|b| match b {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' | b'/' => {
                char::from(b).to_string()
            }
            other => format!("%{other:02X}"),
        })
        .collect()
}
