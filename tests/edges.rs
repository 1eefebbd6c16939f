//! Bad senders: malformed requests, slow and half-closed connections. Each
//! gets a typed answer or a closed connection, and the others lose nothing.

mod support;

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::Arc,
    time::Duration,
};

use serde_json::Value;
use support::{
    cluster::{CUSTOMER_KEY, Cluster, Plan},
    drafts::{all_whole, start_drafts},
    http,
};

/// Longest silence of a sender in this test's settings.
const READ_TIMEOUT_MS: u64 = 1_000;
/// Bound within which a bad sender must have been answered or closed.
const BOUND: Duration = Duration::from_secs(20);

/// What a bad sender does.
struct Case {
    name: &'static str,
    sends: &'static [u8],
    half_closes: bool,
    /// Beginning of the answer; empty where the connection is just closed.
    answer: &'static str,
}

const CASES: [Case; 11] = [
    Case { name: "not HTTP", sends: b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", half_closes: false, answer: "HTTP/1.1 400" },
    Case { name: "no version", sends: b"GET /healthz\r\n\r\n", half_closes: false, answer: "HTTP/1.1 400" },
    Case { name: "broken header", sends: b"GET /healthz HTTP/1.1\r\nno colon\r\n\r\n", half_closes: false, answer: "HTTP/1.1 400" },
    Case { name: "head never ends", sends: b"GET /healthz HTTP/1.1\r\nHost: a\r\n", half_closes: false, answer: "" },
    Case { name: "head half closed", sends: b"GET /healthz HTTP/1.1\r\nHost: a\r\n", half_closes: true, answer: "" },
    Case {
        name: "body never ends",
        sends: b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer temple-fairs-key\r\nContent-Length: 5000\r\n\r\n{\"model\"",
        half_closes: false,
        answer: "HTTP/1.1 408",
    },
    Case {
        name: "body half closed",
        sends: b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer temple-fairs-key\r\nContent-Length: 5000\r\n\r\n{\"model\"",
        half_closes: true,
        answer: "HTTP/1.1 408",
    },
    // tiny_http reads short bodies itself, and closes where one does not come.
    Case {
        name: "short body never ends",
        sends: b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer temple-fairs-key\r\nContent-Length: 500\r\n\r\n{\"model\"",
        half_closes: false,
        answer: "",
    },
    Case {
        name: "short body half closed",
        sends: b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer temple-fairs-key\r\nContent-Length: 500\r\n\r\n{\"model\"",
        half_closes: true,
        answer: "",
    },
    Case {
        name: "body is not JSON",
        sends: b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer temple-fairs-key\r\nContent-Length: 8\r\n\r\n{\"model\"",
        half_closes: false,
        answer: "HTTP/1.1 400",
    },
    Case {
        name: "length over the limit",
        sends: b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer temple-fairs-key\r\nContent-Length: 99999999\r\n\r\n{",
        half_closes: false,
        answer: "HTTP/1.1 413",
    },
];

fn send(addr: SocketAddr, case: &Case) -> String {
    let mut stream = TcpStream::connect(addr).expect("a connection");
    stream.set_read_timeout(Some(BOUND)).expect("a timeout");
    stream.write_all(case.sends).expect("the bytes go out");
    if case.half_closes {
        stream.shutdown(Shutdown::Write).expect("a half-closed connection");
    }
    let mut answer = [0; 4096];
    let len = stream.read(&mut answer).unwrap_or_else(|e| panic!("{}: {e}", case.name));
    String::from_utf8_lossy(&answer[..len]).into_owned()
}

#[test]
fn bad_senders_harm_nobody() {
    let limits = format!("entries_ttl_ms = 500\nread_timeout_ms = {READ_TIMEOUT_MS}\n");
    let cluster = Cluster::start(Plan { data_centres: 1, limits, ..Plan::default() });
    let addr = cluster.entries[0].proc.http();
    let caller = Arc::new(cluster.caller());
    let drafts = start_drafts(&caller, "beside bad senders", 6, 200);
    std::thread::scope(|scope| {
        for case in &CASES {
            scope.spawn(move || {
                let answer = send(addr, case);
                assert!(answer.starts_with(case.answer), "{}: {answer}", case.name);
                assert!(!case.answer.is_empty() || answer.is_empty(), "{}: {answer}", case.name);
            });
        }
    });
    all_whole("beside bad senders", drafts);
    // The process is still there, and takes the next request.
    assert_eq!(http::call("GET", addr, "/healthz", &Value::Null).status, 200);
}

#[test]
fn a_process_that_was_frozen_takes_requests_again() {
    let limits = format!("entries_ttl_ms = 500\nread_timeout_ms = {READ_TIMEOUT_MS}\n");
    let cluster =
        Cluster::start(Plan { data_centres: 1, entries_each: 1, limits, ..Plan::default() });
    let entry = &cluster.entries[0].proc;
    for _ in 0..3 {
        entry.pause();
        std::thread::sleep(Duration::from_millis(READ_TIMEOUT_MS * 2));
        entry.resume();
        let answer = http::call_as(CUSTOMER_KEY, "GET", entry.http(), "/v1/entries", &Value::Null);
        assert_eq!(answer.status, 200);
    }
}

#[test]
fn a_caller_without_the_shared_secret_is_no_peer() {
    let cluster = Cluster::start(Plan { data_centres: 1, entries_each: 1, ..Plan::default() });
    let entry = &cluster.entries[0].proc;
    let mut stream = TcpStream::connect(entry.address("peer")).expect("a connection");
    let request = b"GET /peer HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\
        Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\
        x-tackhollow-secret: guess\r\n\r\n";
    stream.write_all(request).expect("the bytes go out");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    let metrics = http::call("GET", entry.http(), "/metrics", &Value::Null).body;
    let metrics = String::from_utf8_lossy(&metrics).into_owned();
    assert!(metrics.contains("tackhollow_peer_refused_messages_total 1"), "{metrics}");
}
