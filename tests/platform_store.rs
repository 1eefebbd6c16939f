//! The client of the platform's store on connections that fall silent: they stay open, and
//! whoever waits on them learns nothing.

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

/// Time without a call, after which a connection may be dead.
const NOT_USED: Duration = Duration::from_millis(1_200);
/// Longest time in which a call on a connection that works is answered.
const QUICK: Duration = Duration::from_millis(1_000);

/// A store with one empty table, whose open connections can be silenced.
struct Store {
    address: SocketAddr,
    /// Connections of earlier generations are not answered.
    generation: Arc<AtomicU64>,
    /// Connections so far.
    opened: Arc<AtomicU64>,
}

impl Store {
    fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
        let address = listener.local_addr().expect("an address");
        let generation = Arc::new(AtomicU64::new(0));
        let opened = Arc::new(AtomicU64::new(0));
        let (newest, count) = (generation.clone(), opened.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                count.fetch_add(1, Ordering::SeqCst);
                let newest = newest.clone();
                thread::spawn(move || serve(stream, &newest));
            }
        });
        Self { address, generation, opened }
    }

    fn silence_open_connections(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

fn serve(mut stream: TcpStream, newest: &AtomicU64) {
    let own = newest.load(Ordering::SeqCst);
    let mut reader = BufReader::new(stream.try_clone().expect("the same socket"));
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|read| read > 0) {
        let ends = line == "\r\n";
        line.clear();
        if ends && newest.load(Ordering::SeqCst) == own {
            let body = r#"{"rows":[],"morePages":false,"rowVersion":5,"nowMs":7}"#;
            let length = body.len();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
            stream.write_all((head + body).as_bytes()).expect("the caller reads");
        }
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn a_connection_that_was_not_answered_on_of_late_is_not_used() {
    run(async {
        let store = Store::start();
        let client = StoreClient::new(store.address);
        client.snapshot(Table::Duties).await.expect("an answer");
        store.silence_open_connections();
        sleep(NOT_USED).await;
        let began = Instant::now();
        client.snapshot(Table::Duties).await.expect("an answer on another connection");
        assert!(began.elapsed() < QUICK, "answered after {:?}", began.elapsed());
    });
}

#[test]
fn a_connection_that_was_answered_on_of_late_is_used_again() {
    run(async {
        let store = Store::start();
        let client = StoreClient::new(store.address);
        for _ in 0..5 {
            client.snapshot(Table::Duties).await.expect("an answer");
        }
        assert_eq!(store.opened.load(Ordering::SeqCst), 1);
    });
}
