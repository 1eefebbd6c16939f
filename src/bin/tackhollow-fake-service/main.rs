//! Stand-in for a plain service whose calls may not be repeated. Every call
//! that runs is appended to its journal.

use std::{
    env,
    fs::OpenOptions,
    io::{self, Write},
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context, Result};
use serde::Deserialize;
use serde_json::{Value, json};
use tackhollow::{
    cli::Options,
    edge::{http_server, sse::SseWriter},
    upstream::UpstreamEvent,
};
use tiny_http::{Request, Response};

const HELP: &str = "\
Stand-in for a plain service.

Usage: tackhollow-fake-service [--NAME VALUE]...

  --listen ADDR   address (127.0.0.1:0)
  --name NAME     name of the service (confirm)
  --journal FILE  file to which every call that runs is appended
  --delay-ms MS   time that a call takes (5)
";
/// Longest silence of a client while it sends a request.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Between events.
const REPORT_EVERY: Duration = Duration::from_millis(1_000);
/// Between looks at what a follower of events has to be told.
const TICK: Duration = Duration::from_millis(100);

/// Faults; the counters count down as they strike.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Calls to refuse with 429 before running them.
    refuse: u32,
    /// Calls to cut off before running them.
    drop_before: u32,
    /// Calls to cut off after running them.
    drop_after: u32,
    /// Calls to answer late.
    late: u32,
    /// How late, in milliseconds.
    late_ms: u64,
    /// Ends the process at the next call, before running it.
    die_before: bool,
    /// Ends the process at the next call, after running it.
    die_after: bool,
}

/// The service.
struct Service {
    name: String,
    delay: Duration,
    journal: Option<PathBuf>,
    runs: Mutex<Vec<Value>>,
    faults: Mutex<Faults>,
    leaves_at: Mutex<Option<Instant>>,
    boot: u64,
}

fn main() -> Result<()> {
    if env::args().any(|a| a == "--help") {
        print!("{HELP}");
        return Ok(());
    }
    if env::args().any(|a| a == "--version") {
        println!("tackhollow-fake-service {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let o = Options::parse(env::args_os(), &["listen", "name", "journal", "delay-ms"])?;
    let default_listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = o.get("listen")?.unwrap_or(default_listen);
    let service = Arc::new(Service {
        name: o.get("name")?.unwrap_or_else(|| "confirm".to_owned()),
        delay: Duration::from_millis(o.get("delay-ms")?.unwrap_or(5)),
        journal: o.get("journal")?,
        runs: Mutex::default(),
        faults: Mutex::default(),
        leaves_at: Mutex::default(),
        boot: fastrand::u64(..),
    });
    let listener = http_server::bind(listen, READ_TIMEOUT).context("--listen")?;
    let addr = listener.local_addr()?;
    let served = service.clone();
    let handler = Arc::new(move |request| served.handle(request));
    http_server::serve(listener, READ_TIMEOUT, handler)?;
    println!("{}", json!({ "http": addr }));
    io::stdout().flush()?;
    while service.time_left() != Some(Duration::ZERO) {
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

impl Service {
    fn handle(&self, mut request: Request) {
        let mut body = Vec::new();
        if request.as_reader().read_to_end(&mut body).is_err() {
            return;
        }
        let served = match request.url() {
            url if url.starts_with("/events") => self.events(request),
            "/journal" => respond(request, 200, &json!(*lock(&self.runs))),
            "/fault" => self.set_faults(request, &body),
            "/reclaim" => self.reclaim(request, &body),
            _ => self.call(request, &body),
        };
        if let Err(e) = served {
            eprintln!("a client is gone: {e}");
        }
    }

    fn call(&self, request: Request, body: &[u8]) -> io::Result<()> {
        if strike(&mut lock(&self.faults).refuse) {
            return respond(request, 429, &json!({ "error": "busy" }));
        }
        if lock(&self.faults).die_before {
            std::process::exit(1);
        }
        if strike(&mut lock(&self.faults).drop_before) {
            return cut(request);
        }
        self.run(&request, body)?;
        if lock(&self.faults).die_after {
            std::process::exit(1);
        }
        if strike(&mut lock(&self.faults).drop_after) {
            return cut(request);
        }
        let late = strike(&mut lock(&self.faults).late);
        let late = if late { lock(&self.faults).late_ms } else { 0 };
        thread::sleep(self.delay + Duration::from_millis(late));
        let text = String::from_utf8_lossy(body);
        respond(request, 200, &json!({ "service": self.name, "done": text }))
    }

    fn run(&self, request: &Request, body: &[u8]) -> io::Result<()> {
        let header = |name: &'static str| {
            let found = request.headers().iter().find(|h| h.field.equiv(name));
            found.map(|h| h.value.as_str().to_owned())
        };
        let entry = json!({
            "event": "run",
            "service": self.name,
            "request_id": header("x-request-id"),
            "path": request.url(),
            "body": String::from_utf8_lossy(body),
        });
        if let Some(path) = &self.journal {
            let mut file = OpenOptions::new().create(true).append(true).open(path)?;
            file.write_all(format!("{entry}\n").as_bytes())?;
        }
        lock(&self.runs).push(entry);
        Ok(())
    }

    fn events(&self, request: Request) -> io::Result<()> {
        let version = request.http_version().clone();
        let mut writer = SseWriter::begin(request.into_writer(), &version, &[])?;
        let mut send = |event: &UpstreamEvent| {
            let data = serde_json::to_string(event).unwrap_or_default();
            writer.event(None, None, &data)
        };
        send(&UpstreamEvent::Hello { boot: self.boot })?;
        send(&self.load())?;
        let mut told = false;
        let mut reported = Instant::now();
        loop {
            if let Some(left) = self.time_left().filter(|_| !told) {
                told = true;
                send(&UpstreamEvent::Leaving { in_ms: left.as_millis() as u64 })?;
            }
            if reported.elapsed() >= REPORT_EVERY {
                reported = Instant::now();
                send(&self.load())?;
            }
            thread::sleep(TICK);
        }
    }

    fn load(&self) -> UpstreamEvent {
        UpstreamEvent::Load {
            running: 0,
            waiting: 0,
            queued_tokens: 0,
            prefill_rate: 1.0,
            models: vec![format!("service:{}", self.name)],
        }
    }

    fn set_faults(&self, request: Request, body: &[u8]) -> io::Result<()> {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                *lock(&self.faults) = faults;
                respond(request, 200, &json!({ "ok": true }))
            }
            Err(e) => respond(request, 400, &json!({ "error": e.to_string() })),
        }
    }

    fn reclaim(&self, request: Request, body: &[u8]) -> io::Result<()> {
        let body = serde_json::from_slice::<Value>(body).unwrap_or_default();
        let in_ms = body.get("in_ms").and_then(Value::as_u64).unwrap_or_default();
        *lock(&self.leaves_at) = Some(Instant::now() + Duration::from_millis(in_ms));
        respond(request, 200, &json!({ "ok": true }))
    }

    fn time_left(&self) -> Option<Duration> {
        lock(&self.leaves_at).map(|at| at.saturating_duration_since(Instant::now()))
    }
}

fn respond(request: Request, status: u16, body: &Value) -> io::Result<()> {
    request.respond(Response::from_string(body.to_string()).with_status_code(status))
}

/// Breaks a connection off in a way that no client takes for an answer.
fn cut(request: Request) -> io::Result<()> {
    let mut writer = request.into_writer();
    writer.write_all(b"\x00cut\r\n\r\n")?;
    writer.flush()
}

fn strike(counter: &mut u32) -> bool {
    let strikes = *counter > 0;
    *counter = counter.saturating_sub(1);
    strikes
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
