//! A stand-in upstream whose answers never end.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use super::support::http::{ReceivedRequest, read_request};

/// What comes without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// One event of a stream, in chunks.
    Event,
    /// Lines of comments in a stream that ends with its connection, and never an empty line.
    Comments,
    /// A body in chunks.
    Body,
    /// A body of which each chunk has one byte.
    SmallChunks,
    /// A body that ends with its connection.
    UnframedBody,
    /// The body of an answer that says that the request did not run.
    RefusalBody,
    /// Interim answers before the answer.
    InterimAnswers,
    /// Bytes that are no answer from the first one on.
    NoAnswer,
    /// Empty lines in place of an answer.
    EmptyLines,
    /// The reason behind the status.
    Reason,
    /// Lines of a head.
    Head,
    /// A single line of a head.
    Line,
    /// Zeros before the size of a chunk.
    ChunkSize,
    /// The extension of a chunk.
    ChunkExtension,
    /// Trailers behind the body.
    Trailers,
    /// Bytes behind a complete answer.
    SecondAnswer,
    /// Nothing: a large answer that is whole.
    Nothing,
}

/// Size of the answer of [`Endless::Nothing`].
pub const LARGE_ANSWER_BYTES: usize = 5 << 20;

/// Upstream that answers each request without end, until its peer closes the connection.
#[derive(Debug)]
pub struct EndlessUpstream {
    pub address: SocketAddr,
    open: Arc<AtomicUsize>,
}

impl EndlessUpstream {
    pub fn start(kind: Endless) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let open = Arc::new(AtomicUsize::new(0));
        let of_server = open.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let open = of_server.clone();
                thread::spawn(move || {
                    open.fetch_add(1, Ordering::Relaxed);
                    serve(&stream, kind);
                    open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Self { address, open }
    }

    /// Returns the number of connections that are not closed.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

fn serve(stream: &TcpStream, kind: Endless) {
    let mut reader = BufReader::new(stream);
    while let Some(ReceivedRequest { id, .. }) = read_request(&mut reader) {
        let (start, repeated) = answer(kind, &id);
        let mut writer = stream;
        if writer.write_all(start.as_bytes()).is_err() {
            return;
        }
        while !repeated.is_empty() && writer.write_all(&repeated).is_ok() {
            if kind == Endless::SmallChunks {
                thread::sleep(Duration::from_micros(100));
            }
        }
    }
}

/// Returns the beginning of an answer, and the bytes that follow it again and again.
fn answer(kind: Endless, id: &str) -> (String, Vec<u8>) {
    let head = |status: &str, framing: &str| {
        format!("HTTP/1.1 {status}\r\nx-request-id: {id}\r\nx-response-seal: s\r\n{framing}\r\n")
    };
    let chunked = "transfer-encoding: chunked\r\n";
    let chunk = |bytes: &[u8]| {
        let mut out = format!("{:x}\r\n", bytes.len()).into_bytes();
        out.extend_from_slice(bytes);
        out.extend_from_slice(b"\r\n");
        out
    };
    let filler = vec![b'x'; 16 << 10];
    match kind {
        Endless::Event => (head("200 OK", chunked), chunk(&filler)),
        Endless::Comments => (head("200 OK", ""), b": comment\n".repeat(1_000)),
        Endless::Body => (head("200 OK", chunked), chunk(&filler)),
        Endless::SmallChunks => (head("200 OK", chunked), chunk(b"x").repeat(100)),
        Endless::UnframedBody => (head("200 OK", ""), filler),
        Endless::RefusalBody => {
            let framing = format!("x-not-executed: 1\r\n{chunked}");
            (head("503 Service Unavailable", &framing), chunk(&filler))
        }
        Endless::InterimAnswers => {
            (String::new(), b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n".repeat(100))
        }
        Endless::NoAnswer => (String::new(), filler),
        Endless::EmptyLines => (String::new(), b"\r\n".repeat(8 << 10)),
        Endless::Reason => ("HTTP/1.1 200 ".to_owned(), filler),
        Endless::Line => ("HTTP/1.1 200 OK\r\nx-line: ".to_owned(), filler),
        Endless::ChunkSize => (head("200 OK", chunked), b"0".repeat(16 << 10)),
        Endless::Head => ("HTTP/1.1 200 OK\r\n".to_owned(), b"x-line: value\r\n".repeat(1_000)),
        Endless::ChunkExtension => (head("200 OK", chunked) + "5;", filler),
        Endless::Trailers => {
            (head("200 OK", chunked) + "0\r\n", b"x-trailer: value\r\n".repeat(1_000))
        }
        Endless::SecondAnswer => (head("200 OK", "content-length: 5\r\n") + "whole", filler),
        Endless::Nothing => {
            let framing = format!("content-length: {LARGE_ANSWER_BYTES}\r\n");
            (head("200 OK", &framing) + &"x".repeat(LARGE_ANSWER_BYTES), Vec::new())
        }
    }
}
