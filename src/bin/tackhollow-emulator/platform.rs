//! State of the emulated platform.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use hyper::{HeaderMap, Response};
use serde::{Deserialize, Serialize};
use tackhollow::{gateway::net::AnswerBody, time::unix_millis};
use tokio::{
    sync::{Notify, mpsc::UnboundedSender},
    task::AbortHandle,
};

use crate::{network::Network, room::Room};

/// Behaviour of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreMode {
    /// Answers normally.
    #[default]
    Up,
    /// Refuses every call without executing it.
    Refusing,
    /// Answers reads, and refuses writes without executing them.
    ReadOnly,
    /// Executes calls but never answers them.
    Losing,
    /// Neither executes nor answers calls, and does not answer those in flight.
    Silent,
}

/// Behaviour of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Behaviour {
    /// Answers normally.
    #[default]
    Serve,
    /// Refuses without running the request.
    Full,
    /// Runs every request and answers with an error.
    Fail,
    /// Runs every request and answers every second one with an error.
    FailSome,
    /// Takes several times as long for each request.
    Slow,
    /// Runs the request and breaks the connection off before the response body.
    Lose,
    /// Breaks a stream off in the middle of an event, half-way through.
    BreakMidway,
    /// Ends an answer as if it were complete: a stream in the middle of an event, half-way through,
    /// and a plain answer in the middle of its body.
    EndMidway,
    /// Ends a stream as if it were complete after an event, half-way through.
    EndAfterEvent,
    /// Answers with the id of another request.
    Crossed,
    /// Runs the request and never answers.
    Silent,
}

/// How the responses of an upstream show where they end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseFraming {
    /// Streams by chunks, others by a length.
    #[default]
    Usual,
    /// All by a length.
    Length,
    /// By the end of their connections.
    UntilClose,
}

/// A row of the store.
#[derive(Clone, Debug)]
pub struct Row {
    /// Value in base64.
    pub value: String,
    /// Version of the store at the last write of the row.
    pub version: u64,
}

/// A change in the history of the store.
#[derive(Clone, Debug)]
pub struct Change {
    /// Version of the store after the change.
    pub version: u64,
    /// Table and key.
    pub at: (String, String),
    /// Value in base64; `None` if the row was removed.
    pub value: Option<String>,
}

/// Rows of the store by table and key.
pub type Rows = BTreeMap<(String, String), Row>;

/// Copy of the store from which it can return.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy {
    /// Rows at the time of the copy.
    pub rows: Rows,
    /// Version at the time of the copy.
    pub version: u64,
}

/// Record of a request that an upstream ran.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    /// Identifier of the request.
    pub request: String,
    /// The upstream.
    pub upstream: String,
    /// Method and path.
    pub target: String,
    /// Parts of its prompt, as in the request headers, but for the last one.
    pub parts: String,
    /// Customer named in the request headers.
    pub customer: String,
    /// Whether the request carried the caller's key.
    pub key_passed: bool,
    /// Time limit given with the request, in milliseconds; 0 if there was none.
    pub deadline_ms: u64,
    /// Id of the last event that the caller has received; 0 if there is none.
    pub resume_after: u64,
    /// Size of the body in bytes.
    pub body: usize,
    /// Start time by the store's clock, in milliseconds.
    pub began_ms: u64,
    /// Software version of the upstream.
    pub version: String,
    /// End time by the store's clock, in milliseconds; 0 while the request runs.
    pub ended_ms: u64,
    /// Outcome; `running` while the request runs.
    pub end: &'static str,
}

impl Run {
    fn finish(&mut self, end: &'static str, now_ms: u64) {
        self.end = end;
        self.ended_ms = now_ms;
    }
}

/// Record of a request that reached an upstream, whether it was run or not.
#[derive(Clone, Debug, Serialize)]
pub struct Arrival {
    /// Identifier of the request.
    pub request: String,
    /// The upstream.
    pub upstream: String,
    /// Arrival time by the store's clock, in milliseconds.
    pub at_ms: u64,
    /// HTTP status of the response; 0 before the response and if it was lost.
    pub status: u16,
}

/// A period in which an upstream was down, in Unix milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Downtime {
    /// The upstream.
    pub upstream: String,
    /// When its process ended.
    pub from_ms: u64,
    /// When it had restarted; 0 while it is down.
    pub until_ms: u64,
}

/// An emulated upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Behaviour for the requests selected by `only_path`.
    pub behaviour: Behaviour,
    /// Time that a request takes in addition to the processing of its prompt.
    pub work: Duration,
    /// Prefix of the request paths to which `behaviour` applies; others are served normally.
    pub only_path: String,
    /// How its responses show where they end.
    pub framing: ResponseFraming,
    /// Headers added to every response.
    pub signals: HeaderMap,
    /// Room for requests; `None` if it is unlimited.
    pub room: Option<Room>,
    /// Row by which it describes itself, without the current sequence number.
    pub row: serde_json::Value,
    /// Time at which all prompts received so far are processed.
    pub reading_until: Instant,
    /// Ids of the prompt parts in its cache.
    pub cache: HashSet<String>,
    /// Number of starts. Requests that began under an earlier start never get a response.
    pub starts: u32,
    /// Address on which it listens; its row may name another.
    pub address: SocketAddr,
    /// Handle that aborts its process; `None` while it is down.
    pub process: Option<AbortHandle>,
}

/// Default time for which an upstream stays down after a crash.
const DEFAULT_DOWN_TIME: Duration = Duration::from_millis(500);

/// Default number of rows on a page of the store.
const DEFAULT_PAGE_ROWS: usize = 500;
/// Era in which the store starts.
const FIRST_ERA: u64 = 1;

/// State of the emulated platform.
#[derive(Debug)]
pub struct State {
    /// Behaviour of the store.
    pub store_mode: StoreMode,
    /// Number of times the store was made silent. Calls in flight at that time are never
    /// answered.
    pub silences: u64,
    /// Version of the store, incremented by every write and removal. It falls when the store
    /// returns from a copy.
    pub version: u64,
    /// Number of the store's era, incremented when it returns from a copy.
    pub era: u64,
    /// Rows by table and key.
    pub rows: Rows,
    /// Last copy of the store.
    pub copy: StoreCopy,
    /// Largest number of rows on a page.
    pub page_rows: usize,
    /// Changes for feeds, oldest first.
    pub history: Vec<Change>,
    /// Last version whose changes are no longer in the history.
    pub discarded_up_to: u64,
    /// Upstreams by id.
    pub upstreams: BTreeMap<String, Upstream>,
    /// Time for which an upstream stays down after a crash.
    pub down_time: Duration,
    /// Ids of the parts of prompts that crash upstreams.
    pub crashing_parts: HashSet<String>,
    /// Requests that reached upstreams.
    pub arrivals: Vec<Arrival>,
    /// Upstreams that fell over for want of room, with the times by the store's clock.
    pub falls: Vec<(String, u64)>,
    /// Periods in which upstreams were down.
    pub downtimes: Vec<Downtime>,
    /// Requests that upstreams ran.
    pub runs: Vec<Run>,
    /// Calls to the API, each with path, lease holder, fencing token and body.
    pub api_calls: Vec<serde_json::Value>,
    /// Number of calls to the store.
    pub store_calls: u64,
}

/// The emulated platform.
#[derive(Debug)]
pub struct Platform {
    pub state: RefCell<State>,
    /// Notified of every change in the store.
    pub changed: Notify,
    /// Network between callers and upstreams.
    pub network: Rc<Network>,
    /// Receives the ids of upstreams that are to crash.
    pub crashing: UnboundedSender<String>,
    started: Instant,
}

impl Platform {
    /// Creates a platform with an empty store and no upstreams.
    pub fn new(crashing: UnboundedSender<String>) -> Rc<Self> {
        let state = State {
            store_mode: StoreMode::default(),
            silences: 0,
            version: 0,
            era: FIRST_ERA,
            rows: Rows::new(),
            copy: StoreCopy::default(),
            page_rows: DEFAULT_PAGE_ROWS,
            history: Vec::new(),
            discarded_up_to: 0,
            upstreams: BTreeMap::new(),
            down_time: DEFAULT_DOWN_TIME,
            crashing_parts: HashSet::new(),
            arrivals: Vec::new(),
            falls: Vec::new(),
            downtimes: Vec::new(),
            runs: Vec::new(),
            api_calls: Vec::new(),
            store_calls: 0,
        };
        let (state, changed, started) = (RefCell::new(state), Notify::new(), Instant::now());
        Rc::new(Self { state, changed, network: Rc::default(), crashing, started })
    }

    /// Returns the store's monotonic clock in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns the software version of an upstream, empty if the upstream is unknown.
    pub fn version(&self, upstream: &str) -> String {
        let state = self.state.borrow();
        let row = state.upstreams.get(upstream).map(|e| &e.row["version"]);
        row.and_then(|v| v.as_str()).unwrap_or_default().to_owned()
    }

    /// Writes a row, or removes it if `value` is `None`, and notifies feeds.
    pub fn put(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.state.borrow_mut();
        state.version += 1;
        let (version, at) = (state.version, (table.to_owned(), key.to_owned()));
        match &value {
            Some(value) => {
                drop(state.rows.insert(at.clone(), Row { value: value.clone(), version }))
            }
            None => drop(state.rows.remove(&at)),
        }
        state.history.push(Change { version, at, value });
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the number of starts of an upstream, 0 if the upstream is unknown.
    pub fn starts(&self, upstream: &str) -> u32 {
        self.state.borrow().upstreams.get(upstream).map_or(0, |e| e.starts)
    }

    /// Stops the process of an upstream with its connections and running requests. Returns
    /// its listen address, or `None` if it was not running.
    pub fn end_process(&self, id: &str) -> Option<SocketAddr> {
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        let upstream = state.upstreams.get_mut(id)?;
        let address = upstream.address;
        let process = upstream.process.take()?;
        self.network.close_quietly(address);
        process.abort();
        let of_upstream = |r: &&mut Run| r.upstream == id && r.end == "running";
        state.runs.iter_mut().filter(of_upstream).for_each(|r| r.finish("crashed", now_ms));
        let down = Downtime { upstream: id.to_owned(), from_ms: unix_millis(), until_ms: 0 };
        state.downtimes.push(down);
        Some(address)
    }

    /// Records that a request has reached an upstream and returns the index of the record.
    pub fn record_arrival(&self, upstream: &str, request: String) -> usize {
        let arrival =
            Arrival { request, upstream: upstream.to_owned(), at_ms: self.now_ms(), status: 0 };
        let mut state = self.state.borrow_mut();
        state.arrivals.push(arrival);
        state.arrivals.len() - 1
    }

    /// Records the status of a response and adds the upstream's own headers to it.
    pub fn record_response(
        &self,
        arrival: usize,
        upstream: &str,
        response: &mut Response<AnswerBody>,
    ) {
        let mut state = self.state.borrow_mut();
        if let Some(arrival) = state.arrivals.get_mut(arrival) {
            arrival.status = response.status().as_u16();
        }
        if let Some(upstream) = state.upstreams.get(upstream) {
            let signals =
                upstream.signals.iter().map(|(name, value)| (name.clone(), value.clone()));
            response.headers_mut().extend(signals);
        }
    }

    /// Records the outcome of a request, unless it has already ended.
    pub fn end_run(&self, index: usize, end: &'static str) {
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        if let Some(run) = state.runs.get_mut(index).filter(|r| r.end == "running") {
            run.finish(end, now_ms);
        }
    }
}

/// Returns the row by which an upstream describes itself.
pub fn upstream_row(
    service: &str,
    version: &str,
    zone: &str,
    spot: bool,
    address: SocketAddr,
) -> serde_json::Value {
    serde_json::json!({
        "service": service, "address": address, "zone": zone, "version": version, "slots": 64,
        "state": "ready", "coldRemainingMs": 0, "spot": spot, "sequence": 1,
        "born": unix_millis(),
    })
}
