//! Callers that hold on to a gateway's memory and descriptors.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use super::support::gateways::{HOST, KEY};

/// Largest body that the configuration of these tests allows, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// Size of one write to a connection.
const WRITE_BYTES: usize = 64 << 10;
/// Time after which a client whose bytes are not taken sends no more, and waits.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Requests that a pipelining client sends at once.
const PIPELINED_REQUESTS: usize = 10_000;

/// What each client of a crowd sends before it waits with its connection open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crowd {
    /// A body in chunks of some bytes that lacks its last chunk.
    Chunks(usize),
    /// A body that lacks its last byte.
    Length,
    /// A whole body.
    Whole,
    /// A head of some bytes that is not ended.
    Head(usize),
    /// A body and trailers of some bytes that are not ended.
    Trailers(usize),
    /// Nothing.
    Silent,
    /// Many requests without a route, whose answers it does not read.
    Pipelined,
    /// Empty lines, which may come before a request.
    EmptyLines,
    /// A whole request without a route, and a reset at once.
    Reset,
}

/// Clients of a crowd, whose connections stay open until this is dropped.
pub struct Clients {
    _connections: Vec<TcpStream>,
}

impl Crowd {
    /// Starts `count` clients, and waits until all of them have sent what they send.
    pub fn start(self, to: SocketAddr, count: usize) -> Clients {
        /// Clients that send at the same time.
        const SENDERS: usize = 60;
        let senders: Vec<_> = (0..SENDERS.min(count))
            .map(|n| {
                let share = count / SENDERS.min(count) + usize::from(n < count % SENDERS);
                thread::spawn(move || (0..share).filter_map(|_| self.send(to)).collect::<Vec<_>>())
            })
            .collect();
        let connections = senders.into_iter().flat_map(|s| s.join().expect("a sender")).collect();
        Clients { _connections: connections }
    }

    /// Sends a client's bytes as far as they are taken; `None` if it gets no connection.
    fn send(self, to: SocketAddr) -> Option<TcpStream> {
        let mut stream = TcpStream::connect_timeout(&to, WRITE_TIMEOUT).ok()?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT)).expect("a time-out");
        for piece in self.bytes().chunks(WRITE_BYTES) {
            if stream.write_all(piece).is_err() {
                break;
            }
        }
        if self == Self::Reset {
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option");
            return None;
        }
        Some(stream)
    }

    fn bytes(self) -> Vec<u8> {
        let post = head("POST", "/plan/a");
        match self {
            Self::Chunks(size) => chunked(&post, MAX_BODY_BYTES - 1, size),
            Self::Length => with_length(&post, MAX_BODY_BYTES - 1),
            Self::Whole => with_length(&post, MAX_BODY_BYTES),
            Self::Head(size) => format!("{post}x-long: {}", "y".repeat(size)).into_bytes(),
            Self::Trailers(size) => {
                let start = format!("{post}transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n");
                format!("{start}x-long: {}", "y".repeat(size)).into_bytes()
            }
            Self::Silent => Vec::new(),
            Self::Pipelined => {
                format!("{}\r\n", head("GET", "/none/a")).repeat(PIPELINED_REQUESTS).into_bytes()
            }
            Self::EmptyLines => "\r\n".repeat(WRITE_BYTES * 8).into_bytes(),
            Self::Reset => format!("{}\r\n", head("GET", "/none/a")).into_bytes(),
        }
    }
}

/// Sends a whole body in chunks of one byte, as a caller inside the limits may. Returns the answer as
/// it came.
pub fn send_body_in_single_bytes(to: SocketAddr, bytes: usize) -> String {
    let mut request = chunked(&head("POST", "/confirm/a"), bytes, 1);
    request.extend_from_slice(b"0\r\n\r\n");
    let mut stream = TcpStream::connect(to).expect("a connection");
    stream.write_all(&request).expect("the request is taken");
    let mut answer = [0; 1 << 10];
    let len = stream.read(&mut answer).expect("an answer");
    String::from_utf8_lossy(&answer[..len]).into_owned()
}

fn head(method: &str, path: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-key: {KEY}\r\nx-request-id: crowd\r\n\
         x-deadline-ms: 60000\r\n"
    )
}

/// Returns a request with a body of the largest size, as far as its first `sent` bytes.
fn with_length(head: &str, sent: usize) -> Vec<u8> {
    let mut request = format!("{head}content-length: {MAX_BODY_BYTES}\r\n\r\n").into_bytes();
    request.resize(request.len() + sent, b'x');
    request
}

fn chunked(head: &str, bytes: usize, size: usize) -> Vec<u8> {
    let mut request = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
    let mut left = bytes;
    while left > 0 {
        let chunk = left.min(size);
        request.extend_from_slice(format!("{chunk:x}\r\n").as_bytes());
        request.resize(request.len() + chunk, b'x');
        request.extend_from_slice(b"\r\n");
        left -= chunk;
    }
    request
}
