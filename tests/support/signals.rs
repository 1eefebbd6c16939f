//! What upstreams ask for in their answers, and whether they got it.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use serde_json::{Value, json};

use super::gateways::{Call, Site};

/// Between two calls of a caller.
const PAUSE: Duration = Duration::from_millis(40);

/// Span over which an upstream counts requests against its limit.
const SPAN: Duration = Duration::from_secs(4);
/// Share of the limit that is borne, and requests beyond it.
const BORNE: (f64, f64) = (1.5, 5.0);
/// Time from the first answer that names a limit until it holds.
pub const HOLDS_AFTER: Duration = Duration::from_secs(3);

/// Time from an answer that asks for rest until it holds.
pub const REST_HOLDS_AFTER: Duration = Duration::from_millis(500);
/// Requests that are borne during a rest: some are on their way when it is asked for.
pub const BORNE_DURING_REST: usize = 2;
/// Time from an answer that says so until an upstream that leaves gets no requests.
pub const DRAINED_AFTER: Duration = Duration::from_secs(2);

/// A request that reached an upstream.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub request: String,
    pub at: Duration,
    pub status: u16,
}

/// An answer as a caller got it: from which gateway, how it ended, in which time, and when to
/// come back.
#[derive(Clone, Debug)]
pub struct Got {
    pub gateway: usize,
    pub status: Option<StatusCode>,
    pub took: Duration,
    pub retry_after: Option<f64>,
}

impl Got {
    pub fn is_served(&self) -> bool {
        self.status == Some(StatusCode::OK)
    }
}

/// Returns a call to an engine or a plain upstream.
pub fn call(stream: bool, n: usize) -> Call {
    let id = format!("call-{n}");
    if stream { Call::stream("/plan/a", &id, 2) } else { Call::new("GET", "/check/a", &id) }
}

/// Calls all gateways, so many callers each, while `until` runs; returns what they got.
pub fn keep_calling(site: &Site, callers: usize, stream: bool, until: impl FnOnce()) -> Vec<Got> {
    let (stop, sent, got) = (AtomicBool::new(false), AtomicUsize::new(0), Mutex::new(Vec::new()));
    thread::scope(|s| {
        for n in 0..site.gateways.len() * callers {
            let gateway = n % site.gateways.len();
            let (stop, sent, got) = (&stop, &sent, &got);
            s.spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let n = sent.fetch_add(1, Ordering::Relaxed);
                    let answer = ask(site, gateway, &call(stream, n));
                    got.lock().expect("no caller panics").push(answer);
                    thread::sleep(PAUSE);
                }
            });
        }
        until();
        stop.store(true, Ordering::Relaxed);
    });
    got.into_inner().expect("no caller panics")
}

fn ask(site: &Site, gateway: usize, call: &Call) -> Got {
    let began = Instant::now();
    let answer = call.send(site.gateways[gateway].callers);
    let retry_after = answer.as_ref().and_then(|a| a.header("retry-after").parse().ok());
    Got { gateway, status: answer.map(|a| a.status), took: began.elapsed(), retry_after }
}

impl Site {
    /// Lets an upstream add headers to all its answers.
    pub fn signal(&self, id: &str, headers: &[(&str, &str)]) {
        let headers: serde_json::Map<String, Value> =
            headers.iter().map(|(name, value)| ((*name).to_owned(), json!(value))).collect();
        self.control("/signals", &json!({ "id": id, "headers": headers }));
    }

    /// Returns the emulator's clock.
    pub fn emulator_now(&self) -> Duration {
        Duration::from_millis(self.seen()["now_ms"].as_u64().unwrap_or_default())
    }
}

/// Returns what has reached an upstream, the earliest first.
pub fn arrivals(seen: &Value, upstream: &str) -> Vec<Arrival> {
    let all = seen["arrivals"].as_array().cloned().unwrap_or_default();
    let of_upstream = all.iter().filter(|a| a["upstream"] == upstream);
    let mut found: Vec<Arrival> = of_upstream
        .map(|a| Arrival {
            request: a["request"].as_str().unwrap_or_default().to_owned(),
            at: Duration::from_millis(a["at_ms"].as_u64().unwrap_or_default()),
            status: a["status"].as_u64().unwrap_or_default() as u16,
        })
        .collect();
    found.sort_by_key(|a| a.at);
    found
}

/// Returns the most requests of any span in which a limit is counted, between two moments.
pub fn most_in_a_span(arrivals: &[Arrival], from: Duration, until: Duration) -> usize {
    let counted: Vec<Duration> =
        arrivals.iter().map(|a| a.at).filter(|at| (from..until).contains(at)).collect();
    let in_span =
        |end: &Duration| counted.iter().filter(|at| **at <= *end && *end - **at < SPAN).count();
    counted.iter().map(in_span).max().unwrap_or_default()
}

/// Returns how many requests an upstream that takes `rate` a second bears in a span.
pub fn borne(rate: f64) -> usize {
    (BORNE.0 * rate * SPAN.as_secs_f64() + BORNE.1) as usize
}

/// Returns the most requests that reached an upstream during one of the rests that it asked
/// for by turning requests away.
pub fn most_during_a_rest(arrivals: &[Arrival], rest: Duration) -> usize {
    let during = |asked: &Arrival| {
        let span = asked.at + REST_HOLDS_AFTER..asked.at + rest;
        arrivals.iter().filter(|a| span.contains(&a.at)).count()
    };
    let asked = arrivals.iter().filter(|a| a.status == 503);
    asked.map(during).max().unwrap_or_default()
}
