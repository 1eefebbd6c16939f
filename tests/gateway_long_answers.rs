//! Answers without a deadline, such as tunnels, whose reader is always behind.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    thread,
    time::{Duration, Instant},
};

use hyper::{Request, Response, body::Incoming};
use socket2::{Domain, Socket, Type};
use tackhollow::gateway::net::{
    AnswerBody, IntakeConnection, ServerState, Service, channel_body, serve,
};
use tokio::{
    net::TcpListener,
    runtime::Builder,
    sync::mpsc::channel,
    task::{LocalSet, spawn_local},
    time::sleep,
};

/// How long the answer lasts; longer than a reader may make no progress.
const LENGTH: Duration = Duration::from_secs(20);
/// Bytes that the server writes ten times a second.
const WRITTEN: usize = 1_000;

/// Server whose answers never pause and have no deadline.
struct Endless;

impl Service for Endless {
    async fn answer(
        self: Rc<Self>,
        _: Request<Incoming>,
        _: Rc<IntakeConnection>,
    ) -> Response<AnswerBody> {
        let (tx, rx) = channel(4);
        spawn_local(async move {
            while tx.send(Ok(vec![b'x'; WRITTEN].into())).await.is_ok() {
                sleep(Duration::from_millis(100)).await;
            }
        });
        Response::new(channel_body(rx))
    }
}

fn start() -> SocketAddr {
    let (tx, rx) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            tx.send(listener.local_addr().expect("an address")).expect("the test waits");
            serve(listener, Rc::new(Endless), ServerState::default()).await;
        });
    });
    rx.recv().expect("an address")
}

/// Guards against long answers of sound connections being cut off, since some bytes are always on
/// their way.
#[test]
fn an_answer_without_a_deadline_goes_on_while_its_reader_makes_progress() {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(3_000).expect("a buffer size");
    socket.connect(&start().into()).expect("a connection");
    let mut stream = TcpStream::from(socket);
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").expect("sent");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a timeout");
    let (began, mut buf) = (Instant::now(), [0; 400]);
    while began.elapsed() < LENGTH {
        let read = stream.read(&mut buf).expect("the answer goes on");
        assert!(read > 0, "the answer ended after {:?}", began.elapsed());
        thread::sleep(Duration::from_millis(100));
    }
}
