//! Signals that upstreams give in their responses, and checks that gateways follow them.

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

/// Pause between two calls of a caller.
const CALL_PAUSE: Duration = Duration::from_millis(40);

/// Window over which an upstream counts requests against its limit.
const WINDOW: Duration = Duration::from_secs(4);
/// Tolerated requests in a window: a multiple of the limit, and requests on top of it.
const TOLERATED: (f64, f64) = (1.5, 5.0);
/// Time from the first response that announces a limit until gateways must keep it.
pub const LIMIT_HOLDS_AFTER: Duration = Duration::from_secs(3);

/// Time from a response that asks for a cooldown until gateways must keep it.
pub const COOLDOWN_HOLDS_AFTER: Duration = Duration::from_millis(500);
/// Tolerated requests during a cooldown: some are in flight when it is asked for.
pub const TOLERATED_DURING_COOLDOWN: usize = 2;
/// Time from a response that announces that the upstream is leaving until it must get no requests.
pub const LEAVING_HOLDS_AFTER: Duration = Duration::from_secs(2);

/// A request that reached an upstream.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub request: String,
    /// Time by the emulator's clock.
    pub at: Duration,
    /// Status of the response; 0 if there was none.
    pub status: u16,
}

/// Result of a call.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// Index of the gateway that was called.
    pub gateway: usize,
    /// Status of the response; `None` if the call failed without one.
    pub status: Option<StatusCode>,
    pub took: Duration,
    /// Value of `retry-after`, in seconds.
    pub retry_after: Option<f64>,
}

impl CallResult {
    pub fn is_served(&self) -> bool {
        self.status == Some(StatusCode::OK)
    }
}

/// Returns call number `n`: a stream to an engine, or a request to a plain upstream.
pub fn call(stream: bool, n: usize) -> Call {
    let id = format!("call-{n}");
    if stream { Call::stream("/plan/a", &id, 2) } else { Call::new("GET", "/check/a", &id) }
}

/// Calls every gateway from `callers` concurrent callers while `until` runs; returns the results.
pub fn call_repeatedly(
    site: &Site,
    callers: usize,
    stream: bool,
    until: impl FnOnce(),
) -> Vec<CallResult> {
    let (stop, sent, got) = (AtomicBool::new(false), AtomicUsize::new(0), Mutex::new(Vec::new()));
    thread::scope(|s| {
        for n in 0..site.gateways.len() * callers {
            let gateway = n % site.gateways.len();
            let (stop, sent, got) = (&stop, &sent, &got);
            s.spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let n = sent.fetch_add(1, Ordering::Relaxed);
                    let answer = send_call(site, gateway, &call(stream, n));
                    got.lock().expect("callers do not panic").push(answer);
                    thread::sleep(CALL_PAUSE);
                }
            });
        }
        until();
        stop.store(true, Ordering::Relaxed);
    });
    got.into_inner().expect("callers do not panic")
}

fn send_call(site: &Site, gateway: usize, call: &Call) -> CallResult {
    let began = Instant::now();
    let answer = call.send(site.gateways[gateway].callers);
    let retry_after = answer.as_ref().and_then(|a| a.header("retry-after").parse().ok());
    CallResult { gateway, status: answer.map(|a| a.status), took: began.elapsed(), retry_after }
}

impl Site {
    /// Makes an upstream add headers to all its responses.
    pub fn signal(&self, id: &str, headers: &[(&str, &str)]) {
        let headers: serde_json::Map<String, Value> =
            headers.iter().map(|(name, value)| ((*name).to_owned(), json!(value))).collect();
        self.control("/signals", &json!({ "id": id, "headers": headers }));
    }

    /// Limits the room of an upstream. If it is `brittle`, it says so in all its responses and falls
    /// over when it rejects more requests in a second.
    pub fn limit_room(&self, id: &str, slots: u32, waiting: u32, brittle: Option<u32>) {
        let room = json!({ "id": id, "slots": slots, "waiting": waiting, "brittle": brittle });
        self.control("/room", &room);
        match brittle {
            Some(n) => self.signal(id, &[("server-brittle", &n.to_string())]),
            None => self.signal(id, &[]),
        }
    }

    /// Returns the times by the emulator's clock at which upstreams fell over for want of room.
    pub fn falls(&self) -> Vec<Duration> {
        let seen = self.seen();
        let falls = seen["falls"].as_array().cloned().unwrap_or_default();
        falls.iter().filter_map(|f| f[1].as_u64()).map(Duration::from_millis).collect()
    }

    /// Returns the time by the emulator's clock.
    pub fn emulator_now(&self) -> Duration {
        Duration::from_millis(self.seen()["now_ms"].as_u64().unwrap_or_default())
    }
}

/// Returns the requests that reached an upstream, the earliest first.
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

/// Returns the most requests in any window over which a limit is counted, between two times.
pub fn max_in_window(arrivals: &[Arrival], from: Duration, until: Duration) -> usize {
    let counted: Vec<Duration> =
        arrivals.iter().map(|a| a.at).filter(|at| (from..until).contains(at)).collect();
    let in_window =
        |end: &Duration| counted.iter().filter(|at| **at <= *end && *end - **at < WINDOW).count();
    counted.iter().map(in_window).max().unwrap_or_default()
}

/// Returns the number of requests in a window that are tolerated with a limit of `rate` requests a
/// second.
pub fn tolerated_in_window(rate: f64) -> usize {
    (TOLERATED.0 * rate * WINDOW.as_secs_f64() + TOLERATED.1) as usize
}

/// Returns the most requests that reached an upstream during one of the cooldowns that it asked for
/// by rejecting requests.
pub fn max_during_cooldown(arrivals: &[Arrival], rest: Duration) -> usize {
    let during = |asked: &Arrival| {
        let span = asked.at + COOLDOWN_HOLDS_AFTER..asked.at + rest;
        arrivals.iter().filter(|a| span.contains(&a.at)).count()
    };
    let asked = arrivals.iter().filter(|a| a.status == 503);
    asked.map(during).max().unwrap_or_default()
}
