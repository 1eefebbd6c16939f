//! A caller's request.

use std::io::{Read, Write};

use serde::de::DeserializeOwned;
use tiny_http::{HTTPVersion, Header, Method, Request, Response};

use super::{problem::Problem, reply::Reply};

/// A caller's request, until it is answered.
pub struct Incoming {
    request: Option<Request>,
    method: Method,
    version: HTTPVersion,
    url: String,
    headers: Vec<(String, String)>,
}

impl Incoming {
    /// Takes a request in.
    pub fn new(request: Request) -> Self {
        let headers = request
            .headers()
            .iter()
            .map(|h| (h.field.as_str().as_str().to_ascii_lowercase(), h.value.as_str().to_owned()));
        Self {
            method: request.method().clone(),
            version: request.http_version().clone(),
            url: request.url().to_owned(),
            headers: headers.collect(),
            request: Some(request),
        }
    }

    /// Returns the method.
    pub fn method(&self) -> Method {
        self.method.clone()
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.url.split('?').next().unwrap_or_default()
    }

    /// Returns the path with the query.
    pub fn url(&self) -> &str {
        &self.url
    }

    /// Returns a value of the query.
    pub fn query(&self, key: &str) -> Option<&str> {
        let (_, query) = self.url.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(k, _)| *k == key).map(|(_, v)| v)
    }

    /// Returns a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns the caller's key.
    pub fn api_key(&self) -> Result<String, Problem> {
        let bearer = self.header("authorization").and_then(|v| v.strip_prefix("Bearer "));
        bearer.map(|key| key.trim().to_owned()).ok_or(Problem::Unauthorized)
    }

    /// Reads the body, at most `limit` bytes.
    pub fn body(&mut self, limit: u32) -> Result<Vec<u8>, Problem> {
        let Some(request) = self.request.as_mut() else {
            return Ok(Vec::new());
        };
        let expected = request.body_length();
        if expected.is_some_and(|len| len > limit as usize) {
            return Err(Problem::TooLarge(limit));
        }
        let mut body = Vec::new();
        let mut reader = request.as_reader().take(u64::from(limit) + 1);
        reader.read_to_end(&mut body).or(Err(Problem::SlowBody))?;
        if body.len() > limit as usize {
            return Err(Problem::TooLarge(limit));
        }
        if expected.is_some_and(|len| body.len() < len) {
            return Err(Problem::SlowBody);
        }
        Ok(body)
    }

    /// Reads the body as JSON.
    pub fn json<T: DeserializeOwned>(&mut self, limit: u32) -> Result<T, Problem> {
        let body = self.body(limit)?;
        serde_json::from_slice(&body).map_err(|e| Problem::BadRequest(format!("the body: {e}")))
    }

    /// Answers whole; an answer to a request that was answered is dropped.
    pub fn respond(mut self, reply: Reply) {
        let (Some(request), Reply::Whole { status, headers, body }) = (self.request.take(), reply)
        else {
            return;
        };
        let mut response = Response::from_data(body).with_status_code(status);
        for (name, value) in headers {
            if let Ok(header) = Header::from_bytes(name.as_bytes(), value.as_bytes()) {
                response.add_header(header);
            }
        }
        if let Err(e) = request.respond(response) {
            log::debug!("the caller is gone: {e}");
        }
    }

    /// Takes the connection for an answer that is streamed.
    pub fn take_writer(&mut self) -> Option<(Box<dyn Write + Send>, HTTPVersion)> {
        let request = self.request.take()?;
        Some((request.into_writer(), self.version.clone()))
    }
}
