//! The store client on connections that go dead without being closed: a call on such a
//! connection gets no answer and fails only at its timeout.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use tackhollow::platform::{StoreClient, Table};
use tokio::{runtime::Builder, task::LocalSet, time::sleep};

/// Idle time after which the client must not reuse a connection.
const STALE_AFTER: Duration = Duration::from_millis(1_200);
/// Upper bound on the time of a call on a working connection.
const MAX_CALL_TIME: Duration = Duration::from_millis(1_000);

/// A fake store with one empty table that can stop answering on its open connections.
struct FakeStore {
    address: SocketAddr,
    /// Connections that were opened in an earlier generation get no answers.
    generation: Arc<AtomicU64>,
    /// Number of connections accepted so far.
    opened: Arc<AtomicU64>,
}

impl FakeStore {
    fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
        let address = listener.local_addr().expect("an address");
        let generation = Arc::new(AtomicU64::new(0));
        let opened = Arc::new(AtomicU64::new(0));
        let (current_generation, count) = (generation.clone(), opened.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                count.fetch_add(1, Ordering::SeqCst);
                let current_generation = current_generation.clone();
                thread::spawn(move || serve(stream, &current_generation));
            }
        });
        Self { address, generation, opened }
    }

    fn silence_open_connections(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

fn serve(mut stream: TcpStream, current_generation: &AtomicU64) {
    let own_generation = current_generation.load(Ordering::SeqCst);
    let mut reader = BufReader::new(stream.try_clone().expect("the same socket"));
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|read| read > 0) {
        let head_ended = line == "\r\n";
        line.clear();
        if head_ended && current_generation.load(Ordering::SeqCst) == own_generation {
            let body = r#"{"rows":[],"morePages":false,"rowVersion":5,"nowMs":7}"#;
            let length = body.len();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
            stream.write_all((head + body).as_bytes()).expect("the client is connected");
        }
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn stale_idle_connection_is_not_reused() {
    run(async {
        let store = FakeStore::start();
        let client = StoreClient::new(store.address);
        client.snapshot(Table::Duties).await.expect("an answer");
        store.silence_open_connections();
        sleep(STALE_AFTER).await;
        let began = Instant::now();
        client.snapshot(Table::Duties).await.expect("an answer on a new connection");
        assert!(began.elapsed() < MAX_CALL_TIME, "answered after {:?}", began.elapsed());
    });
}

#[test]
fn fresh_idle_connection_is_reused() {
    run(async {
        let store = FakeStore::start();
        let client = StoreClient::new(store.address);
        for _ in 0..5 {
            client.snapshot(Table::Duties).await.expect("an answer");
        }
        assert_eq!(store.opened.load(Ordering::SeqCst), 1);
    });
}
