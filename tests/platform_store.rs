//! The store client on connections that go dead without being closed: a call on such a
//! connection gets no answer and fails only at its timeout. And the client before a store that
//! answers in another era than the one before.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use tackhollow::{
    gateway::model::Revision,
    platform::{PlatformError, RowWrite, StoreClient, Table, WriteOutcome},
};
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
    /// Number of calls answered so far.
    calls: Arc<AtomicU64>,
    /// Era and revision that answers name.
    state: Arc<Mutex<(String, u64)>>,
    /// Number of pages with further ones after them that come first, each in an era of its own.
    pages: Arc<AtomicU64>,
}

impl FakeStore {
    fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
        let address = listener.local_addr().expect("an address");
        let generation = Arc::new(AtomicU64::new(0));
        let opened = Arc::new(AtomicU64::new(0));
        let (current_generation, count) = (generation.clone(), opened.clone());
        let calls = Arc::new(AtomicU64::new(0));
        let state = Arc::new(Mutex::new(("1".to_owned(), 5)));
        let pages = Arc::new(AtomicU64::new(0));
        let (answered, answers, pages_left) = (calls.clone(), state.clone(), pages.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                count.fetch_add(1, Ordering::SeqCst);
                let current_generation = current_generation.clone();
                let (answered, answers) = (answered.clone(), answers.clone());
                let pages = pages_left.clone();
                thread::spawn(move || {
                    serve(stream, &current_generation, &answered, &answers, &pages);
                });
            }
        });
        Self { address, generation, opened, calls, state, pages }
    }

    /// Answers in this era from now on, at this revision.
    fn answer_in(&self, era: &str, revision: u64) {
        *self.state.lock().expect("no thread panicked") = (era.to_owned(), revision);
    }

    fn calls(&self) -> u64 {
        self.calls.load(Ordering::SeqCst)
    }

    fn silence_open_connections(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

fn serve(
    mut stream: TcpStream,
    current_generation: &AtomicU64,
    calls: &AtomicU64,
    state: &Mutex<(String, u64)>,
    pages: &AtomicU64,
) {
    let own_generation = current_generation.load(Ordering::SeqCst);
    let mut reader = BufReader::new(stream.try_clone().expect("the same socket"));
    let mut line = String::new();
    let mut body_bytes = 0;
    while reader.read_line(&mut line).is_ok_and(|read| read > 0) {
        if let Some(length) = line.to_lowercase().strip_prefix("content-length:") {
            body_bytes = length.trim().parse().expect("a length");
        }
        let head_ended = line == "\r\n";
        line.clear();
        if head_ended {
            let mut body = vec![0; std::mem::take(&mut body_bytes)];
            reader.read_exact(&mut body).expect("the whole body");
        }
        if head_ended && current_generation.load(Ordering::SeqCst) == own_generation {
            calls.fetch_add(1, Ordering::SeqCst);
            let (era, revision) = state.lock().expect("no thread panicked").clone();
            let page = pages.load(Ordering::SeqCst);
            let (rows, more) = match page {
                0 => ("", false),
                _ => (r#"{"key":"a","value":"","rowVersion":1}"#, true),
            };
            let body = format!(
                r#"{{"rows":[{rows}],"morePages":{more},"rowVersion":{revision},"nowMs":7}}"#
            );
            if page > 0 {
                pages.fetch_sub(1, Ordering::SeqCst);
                let era = (page + 1).to_string();
                *state.lock().expect("no thread panicked") = (era, revision);
            }
            let length = body.len();
            let head =
                format!("HTTP/1.1 200 OK\r\nstore-era: {era}\r\ncontent-length: {length}\r\n\r\n");
            stream.write_all((head + &body).as_bytes()).expect("the client is connected");
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

fn write_at(expected: Revision) -> [RowWrite; 1] {
    [RowWrite {
        table: Table::Duties,
        key: "lease".to_owned(),
        value: b"x".to_vec(),
        expected: Some(expected),
    }]
}

#[test]
fn a_revision_that_was_given_out_again_is_not_taken_for_the_earlier_one() {
    run(async {
        let store = FakeStore::start();
        let client = StoreClient::new(store.address);
        let first = client.snapshot(Table::Duties).await.expect("an answer").revision;
        let written = client.write(&write_at(first)).await.expect("an answer");
        assert_eq!(written, WriteOutcome::Done(first));
        store.answer_in("2", 5);
        // The client learns of the era by the answers to these calls.
        let fed = client.feed(Table::Duties, first, Duration::ZERO).await;
        assert!(matches!(fed, Err(PlatformError::EraChanged)), "{fed:?}");
        assert_eq!(client.era(), Some(2));
        let calls = store.calls();
        for _ in 0..2 {
            let written = client.write(&write_at(first)).await;
            assert!(matches!(written, Err(PlatformError::EraChanged)), "{written:?}");
        }
        assert_eq!(store.calls(), calls, "a write on an earlier era is not sent");
        let second = client.snapshot(Table::Duties).await.expect("an answer").revision;
        assert!(second > first, "the same number of a later era is a higher revision");
        let written = client.write(&write_at(second)).await.expect("an answer");
        assert_eq!(written, WriteOutcome::Done(second));
    });
}

#[test]
fn a_write_that_a_later_era_answers_is_not_confirmed() {
    run(async {
        let store = FakeStore::start();
        let client = StoreClient::new(store.address);
        let first = client.snapshot(Table::Duties).await.expect("an answer").revision;
        store.answer_in("2", 6);
        let written = client.write(&write_at(first)).await;
        assert!(matches!(written, Err(PlatformError::EraChanged)), "{written:?}");
        let created = client.write(&write_at(0)).await.expect("an answer");
        assert!(matches!(created, WriteOutcome::Done(revision) if revision > first));
    });
}

#[test]
fn eras_and_revisions_that_cannot_be_read_are_typed() {
    run(async {
        let store = FakeStore::start();
        let client = StoreClient::new(store.address);
        store.answer_in("none", 5);
        let unnamed = client.snapshot(Table::Duties).await.expect("an answer");
        assert_eq!((unnamed.revision, client.era()), (5, None));
        store.answer_in("3", u64::MAX);
        let read = client.snapshot(Table::Duties).await;
        assert!(matches!(read, Err(PlatformError::RevisionOutOfRange(3, u64::MAX))), "{read:?}");
    });
}

#[test]
fn a_list_whose_pages_belong_to_two_eras_is_read_again() {
    run(async {
        let store = FakeStore::start();
        let client = StoreClient::new(store.address);
        // The store returns from a copy between the first page and the second one.
        store.pages.store(1, Ordering::SeqCst);
        let read = client.snapshot(Table::Upstreams).await;
        assert!(matches!(read, Err(PlatformError::EraChanged)), "{read:?}");
        let again = client.snapshot(Table::Upstreams).await.expect("an answer");
        assert_eq!((again.rows.len(), client.era()), (0, Some(2)));
    });
}
