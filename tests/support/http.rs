//! Blocking HTTP for tests: calls, each on a new connection, and requests that stand-ins receive.

use std::{io::BufRead, net::SocketAddr, time::Duration};

use serde_json::Value;
use tackhollow::edge::http_client::{HttpAnswer, HttpClient};

const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

pub fn call(method: &str, addr: SocketAddr, path: &str, body: &Value) -> HttpAnswer {
    call_as("", method, addr, path, body)
}

pub fn call_as(key: &str, method: &str, addr: SocketAddr, path: &str, body: &Value) -> HttpAnswer {
    let authorization = format!("Bearer {key}");
    let headers = [("authorization", authorization.as_str()), ("content-type", "application/json")];
    let body = if body.is_null() { String::new() } else { body.to_string() };
    HttpClient::fresh(IDLE_TIMEOUT)
        .call(method, &format!("http://{addr}{path}"), &headers, body.as_bytes())
        .expect("the server responds")
}

pub fn get_json(addr: SocketAddr, path: &str) -> Value {
    serde_json::from_slice(&call("GET", addr, path, &Value::Null).body).unwrap_or_default()
}

/// A request that a stand-in received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub first_line: String,
    /// Its `X-Request-Id`; empty if it has none.
    pub id: String,
    /// Length of its body, in bytes.
    pub length: usize,
}

/// Reads a request, whose body is dropped; `None` once the connection has ended.
pub fn read_request<R: BufRead>(reader: &mut R) -> Option<ReceivedRequest> {
    let request = read_request_head(reader)?;
    reader.read_exact(&mut vec![0; request.length]).ok()?;
    Some(request)
}

/// Reads the head of a request; `None` once the connection has ended.
pub fn read_request_head<R: BufRead>(reader: &mut R) -> Option<ReceivedRequest> {
    let mut request = ReceivedRequest { first_line: String::new(), id: String::new(), length: 0 };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        match line.split_once(": ") {
            _ if line.is_empty() => return Some(request),
            _ if request.first_line.is_empty() => line.clone_into(&mut request.first_line),
            Some((n, v)) if n.eq_ignore_ascii_case("x-request-id") => v.clone_into(&mut request.id),
            Some((n, v)) if n.eq_ignore_ascii_case("content-length") => {
                request.length = v.parse().ok()?;
            }
            _ => {}
        }
    }
}
