//! Choice of entry host, and calls of plain services.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use serde::Deserialize;
use serde_json::Value;

use super::{Answer, CallerError, Verdict};
use crate::edge::http_client::{HttpClient, HttpError, HttpStream};

/// Silence after which a caller gives a connection up.
const SILENCE: Duration = Duration::from_secs(8);
/// Pause before the entry hosts are tried again.
pub(super) const PAUSE: Duration = Duration::from_millis(100);

/// An entry host as `/v1/entries` lists it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct EntryAddress {
    /// Address, as a URL.
    pub url: String,
    /// Data centre.
    pub data_centre: String,
    /// Prefix for idempotency keys.
    pub key_prefix: String,
}

#[derive(Debug, Deserialize)]
struct Entries {
    entries: Vec<EntryAddress>,
    keep_for_ms: u64,
}

/// A caller of the system.
#[derive(Debug)]
pub struct Caller {
    seeds: Vec<SocketAddr>,
    pub(super) api_key: String,
    pub(super) http: HttpClient,
    pub(super) patience: Duration,
    entries: Mutex<(Option<Instant>, Vec<EntryAddress>)>,
}

impl Caller {
    /// Creates a caller that knows some entry hosts.
    pub fn new(seeds: Vec<SocketAddr>, api_key: &str) -> Self {
        Self {
            seeds,
            api_key: api_key.to_owned(),
            http: HttpClient::fresh(SILENCE),
            patience: Duration::from_secs(60),
            entries: Mutex::default(),
        }
    }

    /// Returns the caller with another bound on the time until a verdict.
    pub fn with_patience(mut self, patience: Duration) -> Self {
        self.patience = patience;
        self
    }

    /// Returns the entry hosts in order of trial, asking for them where the
    /// last answer is too old.
    pub fn entries(&self) -> Vec<EntryAddress> {
        let mut kept = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = kept.0.is_some_and(|until| Instant::now() < until);
        if !fresh && let Some(entries) = self.ask_for_entries(&kept.1) {
            let until = Instant::now() + Duration::from_millis(entries.keep_for_ms);
            *kept = (Some(until), entries.entries);
        }
        kept.1.clone()
    }

    /// Returns the entry hosts with the key's home first, where it is listed:
    /// elsewhere the request would be relayed there.
    pub(super) fn entries_for(&self, key: &str) -> Vec<EntryAddress> {
        let mut entries = self.entries();
        entries.sort_by_key(|e| !is_home_of(e, key));
        entries
    }

    /// Forgets the kept answer, so that the next use asks again.
    pub fn forget_entries(&self) {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).0 = None;
    }

    fn ask_for_entries(&self, old: &[EntryAddress]) -> Option<Entries> {
        let seeds = self.seeds.iter().map(|s| format!("http://{s}"));
        let mut urls: Vec<String> = old.iter().map(|e| e.url.clone()).chain(seeds).collect();
        fastrand::shuffle(&mut urls);
        urls.iter().find_map(|url| {
            let answer = self.http.call("GET", &format!("{url}/v1/entries"), &[], b"").ok()?;
            serde_json::from_slice::<Entries>(&answer.body).ok().filter(|e| !e.entries.is_empty())
        })
    }

    /// Returns a new key that names the first entry host of the list.
    pub fn new_key(&self) -> Option<String> {
        let entries = self.entries();
        let first = entries.first()?;
        Some(format!("{}{:016x}", first.key_prefix, fastrand::u64(..)))
    }

    /// Calls a plain service. The call is sent again, under the same key, until
    /// there is a verdict.
    pub fn call(
        &self,
        service: &str,
        path: &str,
        body: &str,
        key: &str,
    ) -> Result<Answer, CallerError> {
        let until = Instant::now() + self.patience;
        let mut connections = 0;
        loop {
            for entry in self.entries_for(key) {
                let url = format!("{}/v1/services/{service}{path}", entry.url);
                connections += 1;
                let Ok(stream) = self.post(&url, key, body) else {
                    continue;
                };
                if let Some(mut answer) = verdict_of_call(stream)? {
                    answer.connections = connections;
                    return Ok(answer);
                }
            }
            if Instant::now() >= until {
                return Err(CallerError::NoEntry);
            }
            self.forget_entries();
            thread::sleep(PAUSE);
        }
    }

    pub(super) fn post(&self, url: &str, key: &str, body: &str) -> Result<HttpStream, HttpError> {
        let authorization = format!("Bearer {}", self.api_key);
        let headers = [
            ("authorization", authorization.as_str()),
            ("content-type", "application/json"),
            ("idempotency-key", key),
        ];
        self.http.stream("POST", url, &headers, body.as_bytes())
    }
}

/// Returns whether a key was made from the entry host's prefix, of now or earlier.
fn is_home_of(entry: &EntryAddress, key: &str) -> bool {
    let home = entry.key_prefix.trim_end_matches('.').rsplit_once('.');
    home.is_some_and(|(home, _)| key.starts_with(home))
}

/// Reads a call's answer; `None` where there is no verdict yet.
fn verdict_of_call(mut stream: HttpStream) -> Result<Option<Answer>, CallerError> {
    let mut body = Vec::new();
    if std::io::Read::read_to_end(&mut stream.reader, &mut body).is_err() {
        return Ok(None);
    }
    let text = String::from_utf8_lossy(&body).into_owned();
    if stream.header("x-outcome") == Some("completed") {
        let mut answer = Answer::new(Verdict::Completed);
        answer.request_id = stream.header("x-request-id").unwrap_or_default().to_owned();
        answer.text = text;
        return Ok(Some(answer));
    }
    problem(stream.status, &text)
}

/// Reads a problem's verdict; `None` where the caller has to ask again.
pub(super) fn problem(status: u16, text: &str) -> Result<Option<Answer>, CallerError> {
    let body: Value = serde_json::from_str(text).unwrap_or_default();
    let mut answer = match body.get("outcome").and_then(Value::as_str) {
        Some("not_run") => Answer::new(Verdict::NotRun),
        Some("unknown") => Answer::new(Verdict::Unknown),
        Some(_) => return Ok(None),
        None if status == 307 || status >= 500 || status == 408 => return Ok(None),
        None => return Err(CallerError::Refused { status, detail: text.to_owned() }),
    };
    let wait = body.get("retry_after_ms").and_then(Value::as_u64);
    answer.retry_after = wait.map(Duration::from_millis);
    text.clone_into(&mut answer.text);
    Ok(Some(answer))
}
