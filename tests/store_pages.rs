//! Reads of the store's lists where its pages are malformed, repeat or do not end.

mod support;

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use serde_json::{Value, json};
use support::http::read_request;
use tackhollow::platform::{Change, PlatformError, Snapshot, StoreClient, Table};
use tokio::{runtime::Builder, task::LocalSet, time::timeout};

/// Time in which a read must have ended.
const READ_TIME: Duration = Duration::from_secs(10);
/// Calls that a read which cannot end well may take.
const MAX_CALLS: usize = 64;

/// Returns the body of the answer to the `n`th call.
type Script = fn(n: usize) -> String;

/// A store that answers each call by its number.
struct ScriptedStore {
    address: SocketAddr,
    calls: Arc<AtomicUsize>,
}

impl ScriptedStore {
    /// Starts a store that gives the same answer to each call.
    fn answering(body: String) -> Self {
        Self::start(move |_| body.clone())
    }

    fn start(script: impl Fn(usize) -> String + Send + Sync + 'static) -> Self {
        let script = Arc::new(script);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let calls = Arc::new(AtomicUsize::new(0));
        let counter = calls.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (counter, script) = (counter.clone(), script.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(&stream);
                    while read_request(&mut reader).is_some() {
                        let body = script(counter.fetch_add(1, Ordering::Relaxed));
                        let length = body.len();
                        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
                        if (&stream).write_all((head + &body).as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, calls }
    }

    fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }

    /// Reads the changes since the start.
    fn changes(&self) -> Result<Vec<Change>, PlatformError> {
        let client = StoreClient::new(self.address);
        let fed = run(client.feed(Table::Upstreams, 0, Duration::ZERO));
        fed.map(|feed| feed.changes)
    }

    /// Reads a list; `None` if that does not end.
    fn list(&self) -> Option<Result<Snapshot, PlatformError>> {
        let client = StoreClient::new(self.address);
        run(async { timeout(READ_TIME, client.snapshot(Table::Upstreams)).await.ok() })
    }
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test)
}

fn page(rows: &[Value], more: bool) -> String {
    json!({ "rows": rows, "morePages": more, "rowVersion": 9, "nowMs": 7 }).to_string()
}

fn row(key: &str) -> Value {
    json!({ "key": key, "value": "e30=", "rowVersion": 3 })
}

fn keys(list: &Snapshot) -> Vec<&str> {
    list.rows.iter().map(|row| row.key.as_str()).collect()
}

/// Guards against a read that goes on for as long as the store announces more.
#[test]
fn pages_that_do_not_go_forward_end_the_read_with_an_error() {
    struct Case {
        name: &'static str,
        script: Script,
        error: fn(&PlatformError) -> bool,
    }
    let repeats = |e: &PlatformError| matches!(e, PlatformError::PagesRepeat { .. });
    let cases = [
        Case {
            name: "one page again and again",
            script: |_| page(&[row("a"), row("b")], true),
            error: repeats,
        },
        Case {
            name: "two pages in turn",
            script: |n| if n % 2 == 0 { page(&[row("a")], true) } else { page(&[row("b")], true) },
            error: repeats,
        },
        Case { name: "more, and no rows", script: |_| page(&[], true), error: repeats },
        Case {
            name: "a page without rows in the middle",
            script: |n| if n == 0 { page(&[row("a")], true) } else { page(&[], true) },
            error: repeats,
        },
        Case {
            name: "always a further page of one row",
            script: |n| page(&[row(&format!("{n:09}"))], true),
            error: |e| matches!(e, PlatformError::TableTooLarge { .. }),
        },
        Case {
            name: "always a further large page",
            script: |n| {
                let value = "e30=".repeat(250_000);
                page(&[json!({ "key": format!("{n:09}"), "value": value, "rowVersion": 3 })], true)
            },
            error: |e| matches!(e, PlatformError::TableTooLarge { .. }),
        },
    ];
    for case in cases {
        let store = ScriptedStore::start(case.script);
        let read = store.list().unwrap_or_else(|| panic!("{}: no end", case.name));
        let calls = store.calls();
        assert!(read.as_ref().is_err_and(case.error), "{}: {read:?}", case.name);
        assert!(calls <= MAX_CALLS, "{}: {calls} calls", case.name);
    }
}

/// A store may begin a page earlier than it was asked to, and rows may be removed meanwhile.
#[test]
fn rows_that_two_pages_have_are_listed_once() {
    let store = ScriptedStore::start(|n| match n {
        0 => page(&[row("a"), row("b"), row("c")], true),
        1 => page(&[row("b"), row("c"), row("d")], true),
        _ => page(&[row("e")], false),
    });
    let read = store.list().expect("an end").expect("a list");
    assert_eq!(keys(&read), ["a", "b", "c", "d", "e"]);
}

/// Row between two sound ones, as the store writes it. `key` is its key if that can be read.
struct OddRow {
    name: &'static str,
    row: String,
    key: Option<&'static str>,
}

fn odd_rows() -> Vec<OddRow> {
    let odd = |name, row: &str, key| OddRow { name, row: row.to_owned(), key };
    let nested = format!(
        r#"{{"key":"odd","value":"e30=","rowVersion":3,"new":{}{}}}"#,
        "[".repeat(40_000),
        "]".repeat(40_000)
    );
    vec![
        odd("value as a number", r#"{"key":"odd","value":7,"rowVersion":3}"#, Some("odd")),
        odd("value as an object", r#"{"key":"odd","value":{"a":1},"rowVersion":3}"#, Some("odd")),
        odd("value null", r#"{"key":"odd","value":null,"rowVersion":3}"#, Some("odd")),
        odd(
            "value with a lone surrogate",
            r#"{"key":"odd","value":"\ud800","rowVersion":3}"#,
            Some("odd"),
        ),
        odd(
            "mark of a removed row null",
            r#"{"key":"odd","rowVersion":3,"tombstone":null}"#,
            Some("odd"),
        ),
        odd("deeply nested field", &nested, Some("odd")),
        odd("no key", r#"{"value":"e30=","rowVersion":3}"#, None),
        odd("key as a number", r#"{"key":7,"value":"e30=","rowVersion":3}"#, None),
        odd("lone surrogate in the key", r#"{"key":"\ud800","value":"e30=","rowVersion":3}"#, None),
        odd("no version", r#"{"key":"odd","value":"e30="}"#, None),
        odd("negative version", r#"{"key":"odd","value":"e30=","rowVersion":-3}"#, None),
        odd("version with a fraction", r#"{"key":"odd","value":"e30=","rowVersion":3.5}"#, None),
        odd(
            "largest version",
            r#"{"key":"odd","value":"e30=","rowVersion":18446744073709551615}"#,
            None,
        ),
        odd("version beyond all", r#"{"key":"odd","value":"e30=","rowVersion":1e999}"#, None),
        odd("null", "null", None),
        odd("a number", "7", None),
        odd("an array", "[]", None),
    ]
}

/// Guards against one row that keeps all others from being read.
#[test]
fn a_row_that_cannot_be_read_costs_itself_only() {
    for odd in odd_rows() {
        let [first, last] = [row("a"), row("z")];
        let rows = [first.to_string(), odd.row, last.to_string()].join(",");
        let body = format!(r#"{{"rows":[{rows}],"morePages":false,"rowVersion":9,"nowMs":7}}"#);
        let store = ScriptedStore::answering(body);
        let expected: Vec<&str> = ["a"].into_iter().chain(odd.key).chain(["z"]).collect();
        let read = store.list().expect("an end");
        let read = read.unwrap_or_else(|e| panic!("{}: {e}", odd.name));
        assert_eq!(keys(&read), expected, "{}", odd.name);
        let changes = store.changes().unwrap_or_else(|e| panic!("{}: {e}", odd.name));
        let changed = changes.iter().map(|change| match change {
            Change::Written(row) => row.key.as_str(),
            Change::Removed(key, _) => panic!("{}: {key} counts as removed", odd.name),
        });
        assert_eq!(changed.collect::<Vec<_>>(), expected, "{}", odd.name);
    }
}

/// Guards against a time of the store with which nothing can be reckoned.
#[test]
fn a_list_whose_time_no_clock_reaches_is_rejected() {
    struct Case {
        time: &'static str,
        is_read: bool,
    }
    let case = |time, is_read| Case { time, is_read };
    let cases = [
        case("0", true),
        case("9007199254740992", true),
        case("9007199254740993", false),
        case("18446744073709551615", false),
        case("18446744073709551616", false),
        case("1e999", false),
        case("-1", false),
        case("null", false),
    ];
    for case in cases {
        let body =
            format!(r#"{{"rows":[],"morePages":false,"rowVersion":9,"nowMs":{}}}"#, case.time);
        let store = ScriptedStore::answering(body);
        let read = store.list().expect("an end");
        assert_eq!(read.is_ok(), case.is_read, "{}: {read:?}", case.time);
        assert_eq!(store.changes().is_ok(), case.is_read, "{}", case.time);
    }
}
