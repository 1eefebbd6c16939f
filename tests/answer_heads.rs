//! Readers of answers other than the way of a request: they trust no answer whose head is broken.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use bytes::Bytes;
use hyper::{Method, Uri};
use tackhollow::{
    edge::http_client::HttpClient,
    gateway::net::{
        CallError, HeadFault, SendError, TunnelError, connect, json_request, open_tunnel,
    },
};
use tokio::{runtime::Builder, task::LocalSet};

/// Time limit of a call, generous enough that only a faulty reader reaches it.
const TIMEOUT: Duration = Duration::from_secs(5);

/// An answer with a broken head.
struct Case {
    method: Method,
    answer: &'static str,
    fault: HeadFault,
}

fn case(method: Method, answer: &'static str, fault: HeadFault) -> Case {
    Case { method, answer, fault }
}

fn cases() -> Vec<Case> {
    vec![
        case(
            Method::GET,
            "HTTP/1.1 600 OK\r\ncontent-length: 2\r\n\r\n{}",
            HeadFault::StatusOutOfRange,
        ),
        case(
            Method::GET,
            "HTTP/1.1 101 Switching Protocols\r\n\r\n",
            HeadFault::UnrequestedUpgrade,
        ),
        case(
            Method::GET,
            "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
            HeadFault::LengthBesideCoding,
        ),
        case(
            Method::GET,
            "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\n{}",
            HeadFault::UnknownCoding,
        ),
        case(
            Method::HEAD,
            "HTTP/1.1 200 OK\r\ncontent-length: two\r\n\r\n",
            HeadFault::MalformedLength,
        ),
        case(
            Method::HEAD,
            "HTTP/1.1 200 OK\r\ncontent-length: 2, 3\r\n\r\n",
            HeadFault::MalformedLength,
        ),
        case(
            Method::GET,
            "HTTP/1.1 204 No Content\r\ncontent-length:\r\n\r\n",
            HeadFault::MalformedLength,
        ),
        case(
            Method::GET,
            "HTTP/1.1 304 Not Modified\r\ncontent-length: 2\r\ncontent-length: +2\r\n\r\n",
            HeadFault::MalformedLength,
        ),
    ]
}

/// Starts a server that gives one answer to each connection and closes it.
fn serve(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let head = BufReader::new(&stream).lines().map_while(Result::ok);
            head.take_while(|line| !line.is_empty()).for_each(drop);
            // Fails if the reader is gone.
            drop((&stream).write_all(answer.as_bytes()));
        }
    });
    address
}

fn block_on<T>(work: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, work)
}

/// Guards against a broken answer that health checks, probes or calls of the store, the API and other
/// gateways take for one.
#[test]
fn calls_reject_answers_with_a_broken_head() {
    for Case { method, answer, fault } in cases() {
        let address = serve(answer);
        let called = block_on(async {
            let mut connection = connect(address, TIMEOUT).await.expect("a connection");
            connection
                .call(json_request(method, Uri::from_static("/rows-get"), "store", Bytes::new()))
                .await
        });
        let found = match &called {
            Err(CallError::Send(SendError::Head(fault))) => Some(*fault),
            _ => None,
        };
        assert_eq!(found, Some(fault), "{answer:?}: {called:?}");
    }
}

/// Guards against a broken answer that is taken for an open tunnel.
#[test]
fn tunnels_are_not_opened_by_answers_with_a_broken_head() {
    for Case { answer, fault, .. } in cases().into_iter().filter(|c| c.method == Method::GET) {
        let peer = serve(answer);
        let opened = block_on(open_tunnel(peer, peer, "request", TIMEOUT));
        let found = match &opened {
            Err(TunnelError::Head(fault)) => Some(*fault),
            _ => None,
        };
        assert_eq!(found, Some(fault), "{answer:?}: {opened:?}");
    }
}

/// Guards against a tunnel whose break looks like the end of an upstream's answer.
#[test]
fn a_tunnel_whose_bytes_end_with_its_connection_is_not_opened() {
    let peer = serve("HTTP/1.1 200 OK\r\n\r\n");
    let opened = block_on(open_tunnel(peer, peer, "request", TIMEOUT));
    assert!(matches!(opened, Err(TunnelError::Unframed)), "{opened:?}");
}

/// Guards against a broken answer that callers' and operators' tools take for one.
#[test]
fn the_blocking_client_rejects_answers_with_a_broken_head() {
    for Case { method, answer, .. } in cases() {
        let url = format!("http://{}/", serve(answer));
        let called = HttpClient::fresh(TIMEOUT).call(method.as_str(), &url, &[], b"");
        assert!(called.is_err(), "{answer:?}: {called:?}");
    }
}
