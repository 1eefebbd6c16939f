//! Blocking HTTP calls for tests, each on a new connection.

use std::{net::SocketAddr, time::Duration};

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
