//! Callers that send bytes without end, in a head or a body.

mod support;

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use support::{
    gateways::{HOST, KEY, Site},
    proc::peak_memory_kib,
};

/// Callers at the same time.
const CALLERS: usize = 100;
/// Memory of a gateway, half of what the smallest hosts have.
const MAX_MEMORY_KIB: u64 = 60 << 10;
/// Time after which the gateway has closed the connection.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Guards against callers that fill the memory of a gateway.
#[test]
fn requests_without_end_are_refused_and_take_little_memory() {
    struct Case {
        name: &'static str,
        /// Beginning of the request, after its first lines.
        start: &'static str,
        /// What follows again and again.
        repeated: String,
        /// What the answer begins with, if the caller sees one before its connection ends.
        status: &'static str,
    }
    let cases = [
        Case {
            name: "head",
            start: "",
            repeated: "x-line: value\r\n".repeat(100),
            status: "HTTP/1.1 431",
        },
        Case {
            name: "body in chunks",
            start: "transfer-encoding: chunked\r\n\r\n",
            repeated: format!("400\r\n{}\r\n", "x".repeat(0x400)),
            status: "HTTP/1.1 413",
        },
        Case {
            name: "body with a length",
            start: "content-length: 1000000000000\r\n\r\n",
            repeated: "some bytes of a body\r\n".repeat(100),
            status: "HTTP/1.1 413",
        },
    ];
    for case in cases {
        let site = Site::start(1, 0, 1);
        let to = site.gateways[0].callers;
        let began = Instant::now();
        let callers: Vec<_> = (0..CALLERS)
            .map(|n| {
                let head = format!(
                    "POST /confirm/a HTTP/1.1\r\nhost: {HOST}\r\nx-key: {KEY}\r\n\
                     x-request-id: endless-{n}\r\nx-deadline-ms: 10000\r\n{}",
                    case.start
                );
                let repeated = case.repeated.clone();
                thread::spawn(move || {
                    let mut stream = TcpStream::connect(to).expect("a connection");
                    stream.write_all(head.as_bytes()).expect("a head is taken");
                    while stream.write_all(repeated.as_bytes()).is_ok() {}
                    let mut answer = Vec::new();
                    let _ = stream.read_to_end(&mut answer);
                    (String::from_utf8_lossy(&answer).into_owned(), began.elapsed())
                })
            })
            .collect();
        let ends: Vec<_> = callers.into_iter().map(|c| c.join().expect("a caller")).collect();
        let memory = peak_memory_kib(site.gateways[0].id());
        let slowest = ends.iter().map(|(_, took)| *took).max();
        println!("{}: {memory} KiB, slowest {slowest:?}, {:?}", case.name, ends[0].0);
        assert!(memory < MAX_MEMORY_KIB, "{}: {memory} KiB", case.name);
        assert!(slowest.is_some_and(|t| t < MAX_WAIT), "{}: {slowest:?}", case.name);
        for (answer, _) in ends {
            assert!(
                answer.is_empty() || answer.starts_with(case.status),
                "{}: {answer}",
                case.name
            );
        }
        let ran = site.runs("endless-0");
        assert!(ran.is_empty(), "{}: {ran:?}", case.name);
    }
}
