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

/// How the store answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreMode {
    /// As it should.
    #[default]
    Up,
    /// Refuses every call.
    Refusing,
    /// Does what is asked and does not answer.
    Losing,
    /// Does nothing and answers nobody, nor calls that are on their way.
    Silent,
}

/// How an upstream answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Behaviour {
    /// As it should.
    #[default]
    Serve,
    /// Refuses without running the request.
    Full,
    /// Runs the request and fails.
    Fail,
    /// Runs the request and fails every second one.
    FailSome,
    /// Takes several times as long.
    Slow,
    /// Runs the request and breaks off before its answer's body.
    Lose,
    /// Breaks off in the middle of an event.
    BreakMidway,
    /// Answers with another request's id.
    Crossed,
    /// Runs the request and never answers.
    Silent,
}

/// A row of the store.
#[derive(Clone, Debug)]
pub struct Row {
    /// Value in base64.
    pub value: String,
    /// Version.
    pub version: u64,
}

/// A change in the store's history; `None` for a removal.
#[derive(Clone, Debug)]
pub struct Written {
    /// Version.
    pub version: u64,
    /// Table and key.
    pub at: (String, String),
    /// Value in base64.
    pub value: Option<String>,
}

/// A request that an upstream ran.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    /// Identifier of the request.
    pub request: String,
    /// The upstream.
    pub upstream: String,
    /// Method and path.
    pub target: String,
    /// Customer that it was told.
    pub customer: String,
    /// Whether it was sent the caller's key.
    pub key_passed: bool,
    /// Milliseconds that it was given.
    pub deadline_ms: u64,
    /// Last event that the caller has.
    pub resume_after: u64,
    /// Bytes of the body.
    pub body: usize,
    /// When it began, by the store's clock, in milliseconds.
    pub began_ms: u64,
    /// Version of the upstream.
    pub version: String,
    /// When it ended; 0 until then.
    pub ended_ms: u64,
    /// How it ended; `running` until then.
    pub end: &'static str,
}

impl Run {
    fn end(&mut self, end: &'static str, now_ms: u64) {
        self.end = end;
        self.ended_ms = now_ms;
    }
}

/// A request that reached an upstream, whether it ran or not.
#[derive(Clone, Debug, Serialize)]
pub struct Arrival {
    /// Identifier of the request.
    pub request: String,
    /// The upstream.
    pub upstream: String,
    /// When, by the store's clock, in milliseconds.
    pub at_ms: u64,
    /// Status with which the upstream answered; 0 until then, and if the answer was lost.
    pub status: u16,
}

/// An upstream.
#[derive(Debug)]
pub struct Engine {
    /// How it answers.
    pub behaviour: Behaviour,
    /// What a request takes beside the reading of its prompt.
    pub work: Duration,
    /// What the paths of requests begin with that it answers so; the others it serves.
    pub only_path: String,
    /// Headers that it adds to all its answers.
    pub signals: HeaderMap,
    /// Its row, without the sequence.
    pub row: serde_json::Value,
    /// Until when it reads prompts that were sent earlier.
    pub reading_until: Instant,
    /// Prompt parts that it holds.
    pub cache: HashSet<String>,
    /// How often it has started. What an earlier start ran is lost in silence.
    pub starts: u32,
    /// Its own address; its row may name another.
    pub address: SocketAddr,
    /// Its process; `None` while it is down.
    pub process: Option<AbortHandle>,
}

/// For how long an upstream that has crashed is down, unless told otherwise.
const DOWN: Duration = Duration::from_millis(500);

/// State of the emulated platform.
#[derive(Debug)]
pub struct State {
    /// How the store answers.
    pub store_mode: StoreMode,
    /// How often the store has fallen silent. Calls from before are never answered.
    pub silences: u64,
    /// Version of the store.
    pub version: u64,
    /// Rows by table and key.
    pub rows: BTreeMap<(String, String), Row>,
    /// History for feeds.
    pub history: Vec<Written>,
    /// Versions up to which the history is forgotten.
    pub forgotten: u64,
    /// Upstreams by id.
    pub engines: BTreeMap<String, Engine>,
    /// For how long an upstream that has crashed is down.
    pub down: Duration,
    /// Requests that reached upstreams.
    pub arrivals: Vec<Arrival>,
    /// Requests that upstreams ran.
    pub runs: Vec<Run>,
    /// Calls to the API: path, holder, fencing number, body.
    pub duties: Vec<serde_json::Value>,
    /// Calls to the store.
    pub store_calls: u64,
}

/// The emulated platform.
#[derive(Debug)]
pub struct World {
    /// Its state.
    pub state: RefCell<State>,
    /// Tells of changes in the store.
    pub changed: Notify,
    /// Takes the ids of upstreams that are about to crash.
    pub crashing: UnboundedSender<String>,
    started: Instant,
}

impl World {
    /// Creates an empty platform.
    pub fn new(crashing: UnboundedSender<String>) -> Rc<Self> {
        let state = State {
            store_mode: StoreMode::default(),
            silences: 0,
            version: 0,
            rows: BTreeMap::new(),
            history: Vec::new(),
            forgotten: 0,
            engines: BTreeMap::new(),
            down: DOWN,
            arrivals: Vec::new(),
            runs: Vec::new(),
            duties: Vec::new(),
            store_calls: 0,
        };
        let (state, changed, started) = (RefCell::new(state), Notify::new(), Instant::now());
        Rc::new(Self { state, changed, crashing, started })
    }

    /// Returns the store's steady clock in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns the version of an upstream's software.
    pub fn version(&self, upstream: &str) -> String {
        let state = self.state.borrow();
        let row = state.engines.get(upstream).map(|e| &e.row["version"]);
        row.and_then(|v| v.as_str()).unwrap_or_default().to_owned()
    }

    /// Writes or removes a row.
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
        state.history.push(Written { version, at, value });
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns how often an upstream has started.
    pub fn starts(&self, upstream: &str) -> u32 {
        self.state.borrow().engines.get(upstream).map_or(0, |e| e.starts)
    }

    /// Ends the process of an upstream, with its connections and all that it runs;
    /// returns its address if it ran.
    pub fn end_process(&self, upstream: &str) -> Option<SocketAddr> {
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        let engine = state.engines.get_mut(upstream)?;
        let address = engine.address;
        engine.process.take()?.abort();
        let of_upstream = |r: &&mut Run| r.upstream == upstream && r.end == "running";
        state.runs.iter_mut().filter(of_upstream).for_each(|r| r.end("crashed", now_ms));
        Some(address)
    }

    /// Notes that a request has reached an upstream; returns its place among the arrivals.
    pub fn arrived(&self, upstream: &str, request: String) -> usize {
        let arrival =
            Arrival { request, upstream: upstream.to_owned(), at_ms: self.now_ms(), status: 0 };
        let mut state = self.state.borrow_mut();
        state.arrivals.push(arrival);
        state.arrivals.len() - 1
    }

    /// Adds what an upstream says of itself to the answer to an arrival.
    pub fn answered(&self, arrival: usize, upstream: &str, response: &mut Response<AnswerBody>) {
        let mut state = self.state.borrow_mut();
        if let Some(arrival) = state.arrivals.get_mut(arrival) {
            arrival.status = response.status().as_u16();
        }
        if let Some(engine) = state.engines.get(upstream) {
            let signals = engine.signals.iter().map(|(name, value)| (name.clone(), value.clone()));
            response.headers_mut().extend(signals);
        }
    }

    /// Notes how a run ended.
    pub fn end_run(&self, index: usize, end: &'static str) {
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        if let Some(run) = state.runs.get_mut(index).filter(|r| r.end == "running") {
            run.end(end, now_ms);
        }
    }
}

/// Returns a row by which an upstream describes itself.
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
