//! Stand-ins of engines. They keep to the users' pages: the address may be asked for another engine,
//! slots are limited, and prompts are read one after another.

use std::{
    collections::HashSet,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    http::{self, Request},
    json::quote,
    platform::Store,
};

/// Requests that a model engine processes at once, as on the users' sheets.
const MODEL_SLOTS: usize = 64;
/// Requests that a plain service processes at once, as on the users' sheets.
const PLAIN_SLOTS: usize = 6;
/// Requests that wait beyond the slots.
const QUEUE: usize = 24;
/// Prompt tokens that are read in a millisecond, as on the users' sheets.
const TOKENS_PER_MS: f64 = 50.7;
/// Parts that are kept at most, which bounds the memory of this process.
const MAX_KEPT_PARTS: usize = 100_000;
/// Time of an event of a stream: three tokens, a step of 5.95 ms each.
const EVENT_TIME: Duration = Duration::from_micros(17_850);
/// Tokens of an event.
const EVENT_TOKENS: u64 = 3;
/// Time that a plain service works on a request.
const PLAIN_WORK: Duration = Duration::from_millis(20);
/// Body of a plain answer.
const PLAIN_BODY: [u8; 800] = [b'r'; 800];
/// Timeout of idle channels that engines state, in seconds.
pub const IDLE_TIMEOUT: &str = "15";

/// A run of a request at an engine.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    /// Path and query with which it arrived.
    pub target: String,
    pub engine: String,
    /// How it ended; empty while it is at work.
    pub end: &'static str,
}

/// What all engines share.
#[derive(Debug, Default)]
pub struct Engines {
    pub runs: Mutex<Vec<Run>>,
    /// What the engines of plain services state as the timeout of idle channels.
    idle_timeout: Mutex<String>,
}

#[derive(Debug)]
struct Engine {
    id: String,
    version: String,
    is_model: bool,
    all: Arc<Engines>,
    /// Requests that are processed or wait.
    taken: Mutex<usize>,
    /// The parts that are kept; held while a prompt is read.
    kept: Mutex<HashSet<String>>,
}

/// Gives a place back when dropped.
struct Place<'a>(&'a Engine);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        *self.0.taken.lock().expect("the places") -= 1;
    }
}

impl Engines {
    /// Creates what engines share.
    pub fn new() -> Arc<Self> {
        let engines = Self::default();
        engines.state_idle_timeout(IDLE_TIMEOUT);
        Arc::new(engines)
    }

    /// Has plain engines state this timeout of idle channels from now on.
    pub fn state_idle_timeout(&self, seconds: &str) {
        seconds.clone_into(&mut self.idle_timeout.lock().expect("the timeout"));
    }

    /// Starts an engine of a service on a free port of `ip`, and registers it with its version.
    pub fn start(
        self: &Arc<Self>,
        store: &Store,
        ip: &str,
        (service, version): (&str, &str),
        zone: &str,
        number: usize,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let is_model = service == "llm";
        let id = format!("i-{service}-{number}");
        let slots = if is_model { MODEL_SLOTS } else { PLAIN_SLOTS };
        store.put(
            "servers",
            &id,
            &format!(
                "{{\"service\":{},\"address\":\"{address}\",\"zone\":{},\"version\":\"{version}\",\
                 \"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":0}}",
                quote(service),
                quote(zone)
            ),
        );
        let engine = Engine {
            id,
            version: version.to_owned(),
            is_model,
            all: self.clone(),
            taken: Mutex::default(),
            kept: Mutex::default(),
        };
        http::serve(listener, move |request, stream| engine.answer(&request, stream));
        Ok(address)
    }

    /// Returns the run of a request; `None` if there is none.
    pub fn run(&self, request: &str) -> Option<Run> {
        let runs = self.runs.lock().expect("the runs");
        runs.iter().find(|r| r.request == request).cloned()
    }

    fn begin(&self, request: &Request, engine: &str) -> usize {
        let mut runs = self.runs.lock().expect("the runs");
        runs.push(Run {
            request: request.header("x-request-id").to_owned(),
            target: request.target.clone(),
            engine: engine.to_owned(),
            end: "",
        });
        runs.len() - 1
    }

    fn end(&self, run: usize, end: &'static str) {
        self.runs.lock().expect("the runs")[run].end = end;
    }
}

/// Returns whether a caller has closed its channel.
fn has_left(stream: &TcpStream) -> io::Result<bool> {
    stream.set_read_timeout(Some(Duration::from_millis(1)))?;
    let peeked = stream.peek(&mut [0]);
    stream.set_read_timeout(None)?;
    Ok(match peeked {
        Ok(bytes) => bytes == 0,
        Err(e) => !matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut),
    })
}

impl Engine {
    fn answer(&self, request: &Request, stream: &TcpStream) -> io::Result<bool> {
        if request.path == "/healthz" {
            http::answer(stream, 200, &[("x-instance-id", &self.id)], b"")?;
            return Ok(true);
        }
        let id = request.header("x-request-id");
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            let headers = [("x-request-id", id), ("x-not-executed", "1")];
            http::answer(stream, 421, &headers, b"")?;
            return Ok(true);
        }
        let Some(_place) = self.take_place() else {
            let headers = [("x-request-id", id), ("x-not-executed", "1")];
            http::answer(stream, 503, &headers, b"")?;
            return Ok(true);
        };
        match request.header("x-token-usage").is_empty() {
            true => self.run_plain(request, stream),
            false => self.stream(request, stream),
        }
    }

    fn take_place(&self) -> Option<Place<'_>> {
        let slots = if self.is_model { MODEL_SLOTS } else { PLAIN_SLOTS };
        let mut taken = self.taken.lock().expect("the places");
        (*taken < slots + QUEUE).then(|| {
            *taken += 1;
            Place(self)
        })
    }

    fn run_plain(&self, request: &Request, stream: &TcpStream) -> io::Result<bool> {
        let id = request.header("x-request-id");
        let run = self.all.begin(request, &self.id);
        thread::sleep(PLAIN_WORK);
        let idle = self.all.idle_timeout.lock().expect("the timeout").clone();
        let keep_alive = format!("timeout={idle}");
        let headers =
            [("x-request-id", id), ("x-response-seal", id), ("keep-alive", keep_alive.as_str())];
        let sent = http::answer(stream, 200, &headers, &PLAIN_BODY);
        self.all.end(run, if sent.is_ok() { "whole answer sent" } else { "cut" });
        sent.map(|()| true)
    }

    /// Reads the prompt of a request, after those before it. Parts that are kept take no time. Returns
    /// whether the caller is still there.
    fn read_prompt(&self, request: &Request, stream: &TcpStream) -> io::Result<bool> {
        let mut kept = self.kept.lock().expect("the kept parts");
        if has_left(stream)? {
            return Ok(false);
        }
        let mut tokens = 0;
        for part in request.header("x-prompt-prefix").split(',') {
            let (id, size) = part.split_once(':').unwrap_or((part, "0"));
            if kept.insert(id.to_owned()) {
                tokens += size.parse::<u64>().unwrap_or_default();
            }
        }
        thread::sleep(Duration::from_secs_f64(tokens as f64 / TOKENS_PER_MS / 1e3));
        if kept.len() > MAX_KEPT_PARTS {
            kept.clear();
        }
        Ok(true)
    }

    fn stream(&self, request: &Request, mut stream: &TcpStream) -> io::Result<bool> {
        let id = request.header("x-request-id");
        let begun: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let usage = request.header("x-token-usage").split_once(',');
        let output = usage.and_then(|(_, n)| n.trim().parse().ok()).unwrap_or(EVENT_TOKENS);
        if !self.read_prompt(request, stream)? {
            return Ok(false);
        }
        // A request starts to run with its first token.
        let run = self.all.begin(request, &self.id);
        let written = (|| {
            stream.write_all(
                format!(
                    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: {id}\r\n\
                     x-response-seal: {id}\r\nkeep-alive: timeout={IDLE_TIMEOUT}\r\n\
                     transfer-encoding: chunked\r\n\r\n"
                )
                .as_bytes(),
            )?;
            for number in begun + 1..=output.div_ceil(EVENT_TOKENS) {
                let event = format!("id: {number}\ndata: event {number} of {}\n\n", self.version);
                stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
                thread::sleep(EVENT_TIME);
            }
            stream.write_all(b"0\r\n\r\n")
        })();
        self.all.end(run, if written.is_ok() { "whole answer sent" } else { "cut" });
        written.map(|()| true)
    }
}
