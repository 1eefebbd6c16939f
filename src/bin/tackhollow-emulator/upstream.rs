//! Emulated upstream: processes prompts one after another, then streams events.

use std::{
    ops::RangeInclusive,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    body::Incoming,
    header::{CONTENT_LENGTH, HeaderValue},
};
use tackhollow::gateway::net::{
    AnswerBody, BodyError, IntakeConnection, Service, channel_body, frame_until_close, full_body,
};
use tokio::{
    sync::mpsc::{Sender, channel},
    task::spawn_local,
    time::sleep,
};

use crate::{
    answer::empty,
    platform::{Behaviour, Platform, ResponseFraming, Run},
    room::{Place, Rejection, Room},
};

/// Prompt tokens processed per millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 50;
/// Factor by which a slow upstream takes longer for a request.
const SLOW_FACTOR: u32 = 6;
/// Interval between events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Number of events in a stream whose request gives no number of output tokens.
const DEFAULT_EVENTS: u64 = 10;
/// Start of a request body that crashes every upstream that starts to run it.
const CRASH_BODY: &[u8] = b"crash";
/// Path of the health check.
const HEALTH_PATH: &str = "/healthz";
/// Tokens per event.
const TOKENS_PER_EVENT: u64 = 3;

/// Service that answers the requests to one upstream.
pub struct UpstreamService {
    /// The emulated platform.
    pub platform: Rc<Platform>,
    /// Id of the upstream.
    pub id: String,
}

fn header(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).map(|v| String::from_utf8_lossy(v.as_bytes()));
    value.unwrap_or_default().into_owned()
}

/// Returns the parts of a prompt without the last one, which is the request's own.
fn shared_parts(headers: &HeaderMap) -> String {
    let parts = header(headers, "x-prompt-prefix");
    parts.rsplit_once(',').map_or_else(String::new, |(shared, _)| shared.to_owned())
}

impl Service for UpstreamService {
    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
        _: Rc<IntakeConnection>,
    ) -> Response<AnswerBody> {
        let (parts, body) = request.into_parts();
        let headers = parts.headers;
        if parts.uri.path() == HEALTH_PATH {
            return self.health();
        }
        // Without this header, a request runs wherever it arrives.
        let expected = headers.get("x-expect-instance");
        if expected.is_some_and(|id| id.as_bytes() != self.id.as_bytes()) {
            return empty(StatusCode::MISDIRECTED_REQUEST);
        }
        // Read together: an early end set for answers without framing must not meet framing that is
        // set later.
        let conduct = self.platform.state.borrow().upstreams.get(&self.id).map(|e| {
            let behaviour = match parts.uri.path().starts_with(&e.only_path) {
                true => e.behaviour,
                false => Behaviour::Serve,
            };
            (behaviour, e.framing)
        });
        let Some((behaviour, framing)) = conduct else {
            return empty(StatusCode::MISDIRECTED_REQUEST);
        };
        let arrival = self.platform.record_arrival(&self.id, header(&headers, "x-request-id"));
        let mut response = self.handle(behaviour, &parts.method, &parts.uri, &headers, body).await;
        // A lost response is cut off before its headers, so it carries no status and no signals.
        if behaviour != Behaviour::Lose {
            self.platform.record_response(arrival, &self.id, &mut response);
        }
        match framing {
            ResponseFraming::UntilClose => frame_until_close(response),
            ResponseFraming::Usual | ResponseFraming::Length => response,
        }
    }
}

impl UpstreamService {
    fn framing(&self) -> ResponseFraming {
        let state = self.platform.state.borrow();
        state.upstreams.get(&self.id).map_or_else(Default::default, |u| u.framing)
    }

    /// Answers a health check, which counts neither as an arrival nor as a run.
    fn health(&self) -> Response<AnswerBody> {
        let state = self.platform.state.borrow();
        let leaves = state.upstreams.get(&self.id).is_some_and(|u| u.row["state"] == "draining");
        let status = if leaves { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK };
        let mut response = empty(status);
        if let Ok(id) = HeaderValue::from_str(&self.id) {
            response.headers_mut().insert("x-instance-id", id);
        }
        response
    }

    async fn handle(
        &self,
        behaviour: Behaviour,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
        body: Incoming,
    ) -> Response<AnswerBody> {
        if behaviour == Behaviour::Full {
            return not_executed();
        }
        let Ok(place) = self.admit() else {
            return not_executed();
        };
        // Held until the head of the response is ready: only plain requests need room.
        let slot = match &place {
            Some(place) => place.slot().await,
            None => None,
        };
        let body = body.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
        let target = format!("{method} {uri}");
        let run = self.begin(headers, target, body.len());
        let crashes = body.starts_with(CRASH_BODY) || self.has_crashing_part(headers);
        let response = self.respond(behaviour, headers, run, crashes).await;
        drop((slot, place));
        response
    }

    /// Returns whether the prompt has a part, other than the last, that crashes upstreams.
    fn has_crashing_part(&self, headers: &HeaderMap) -> bool {
        let parts = shared_parts(headers);
        let mut ids = parts.split(',').map(|p| p.split_once(':').map_or(p, |(id, _)| id).trim());
        let state = self.platform.state.borrow();
        ids.any(|id| state.crashing_parts.contains(id))
    }

    /// Takes a place for a request; `None` if the room is unlimited.
    fn admit(&self) -> Result<Option<Place>, Rejection> {
        let mut state = self.platform.state.borrow_mut();
        let room = state.upstreams.get_mut(&self.id).and_then(|u| u.room.as_mut());
        let admitted = room.map(Room::admit).transpose();
        if admitted.as_ref().is_err_and(|rejection| rejection.falls) {
            let at = self.platform.now_ms();
            state.falls.push((self.id.clone(), at));
            drop(state);
            drop(self.platform.crashing.send(self.id.clone()));
        }
        admitted
    }
}

fn not_executed() -> Response<AnswerBody> {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert("x-not-executed", HeaderValue::from_static("1"));
    response
}

/// A running request. It is recorded as aborted when dropped, unless `end` was set.
struct Running {
    platform: Rc<Platform>,
    index: usize,
    upstream: String,
    /// Number of starts of the upstream when the request began.
    start: u32,
    end: &'static str,
}

impl Running {
    /// Never returns if the upstream has restarted since the request began: the restarted
    /// upstream does not know the request, and its connection stays open.
    async fn hang_if_restarted(&mut self) {
        if self.platform.starts(&self.upstream) != self.start {
            self.end = "lost";
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.platform.end_run(self.index, self.end);
    }
}

impl UpstreamService {
    fn begin(&self, headers: &HeaderMap, target: String, body: usize) -> Running {
        let number = |name: &str| header(headers, name).parse().unwrap_or_default();
        let run = Run {
            request: header(headers, "x-request-id"),
            upstream: self.id.clone(),
            target,
            parts: shared_parts(headers),
            customer: header(headers, "x-tenant"),
            key_passed: headers.contains_key("x-key"),
            deadline_ms: number("x-deadline-ms"),
            resume_after: number("last-event-id"),
            body,
            began_ms: self.platform.now_ms(),
            version: self.platform.version(&self.id),
            ended_ms: 0,
            end: "running",
        };
        let start = self.platform.starts(&self.id);
        let mut state = self.platform.state.borrow_mut();
        state.runs.push(run);
        let index = state.runs.len() - 1;
        let upstream = self.id.clone();
        Running { platform: self.platform.clone(), index, upstream, start, end: "aborted" }
    }

    /// Queues the prompt behind earlier ones and returns the time until it is processed.
    /// Only the parts that are not in the cache take time.
    fn enqueue_prompt(&self, headers: &HeaderMap) -> Duration {
        let now = Instant::now();
        let mut state = self.platform.state.borrow_mut();
        let Some(upstream) = state.upstreams.get_mut(&self.id) else {
            return Duration::ZERO;
        };
        let mut missing = 0;
        for part in header(headers, "x-prompt-prefix").split(',') {
            let (id, tokens) = part.split_once(':').unwrap_or((part, "0"));
            if upstream.cache.insert(id.to_owned()) {
                missing += tokens.parse::<u64>().unwrap_or_default();
            }
        }
        let begin = upstream.reading_until.max(now);
        upstream.reading_until = begin + Duration::from_millis(missing / PREFILL_TOKENS_PER_MS);
        upstream.reading_until.saturating_duration_since(now)
    }

    async fn respond(
        &self,
        behaviour: Behaviour,
        headers: &HeaderMap,
        mut run: Running,
        crashes: bool,
    ) -> Response<AnswerBody> {
        if behaviour == Behaviour::Silent {
            std::future::pending::<()>().await;
        }
        let streams = headers.contains_key("x-token-usage");
        sleep(self.enqueue_prompt(headers)).await;
        let work =
            self.platform.state.borrow().upstreams.get(&self.id).map_or(Duration::ZERO, |e| e.work);
        sleep(if behaviour == Behaviour::Slow { work * SLOW_FACTOR } else { work }).await;
        run.hang_if_restarted().await;
        if crashes {
            drop(self.platform.crashing.send(self.id.clone()));
            if !streams {
                std::future::pending::<()>().await;
            }
        }
        let mut response = match behaviour {
            Behaviour::FailSome if run.index.is_multiple_of(2) => {
                run.end = "failed";
                empty(StatusCode::INTERNAL_SERVER_ERROR)
            }
            Behaviour::Fail => {
                run.end = "failed";
                empty(StatusCode::INTERNAL_SERVER_ERROR)
            }
            Behaviour::Lose => {
                run.end = "lost";
                let (tx, rx) = channel(1);
                drop(tx.try_send(Err(BodyError::BrokenOff)));
                Response::new(channel_body(rx))
            }
            _ if streams => self.stream(behaviour, headers, run),
            Behaviour::EndMidway => {
                run.end = "broken";
                Response::new(full_body("ran at"))
            }
            _ => {
                run.end = "complete";
                Response::new(full_body(format!("ran at {}", self.id)))
            }
        };
        let id = match behaviour {
            Behaviour::Crossed => "another-request".to_owned(),
            _ => header(headers, "x-request-id"),
        };
        let seal = format!("{}.{id}", self.id);
        for (name, value) in [("x-request-id", id), ("x-response-seal", seal)] {
            if let Ok(value) = HeaderValue::from_str(&value) {
                response.headers_mut().insert(name, value);
            }
        }
        response
    }

    fn stream(
        &self,
        behaviour: Behaviour,
        headers: &HeaderMap,
        run: Running,
    ) -> Response<AnswerBody> {
        let usage = header(headers, "x-token-usage");
        let output = usage.split_once(',').and_then(|(_, n)| n.trim().parse::<u64>().ok());
        let events = output.map_or(DEFAULT_EVENTS, |n| n.div_ceil(TOKENS_PER_EVENT));
        let first = header(headers, "last-event-id").parse::<u64>().unwrap_or_default() + 1;
        let (tx, rx) = channel(1);
        let version = self.platform.version(&self.id);
        spawn_local(stream_events(tx, run, behaviour, version.clone(), first..=events));
        let mut response = Response::new(channel_body(rx));
        if self.framing() == ResponseFraming::Length {
            let bytes: usize = (first..=events).map(|i| event(i, &version).len()).sum();
            response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(bytes));
        }
        response
    }
}

/// Returns an event of a stream, which names the version of its upstream.
fn event(number: u64, version: &str) -> Bytes {
    Bytes::from(format!("id: {number}\ndata: token {number} of {version}\n\n"))
}

/// Behaviours that end a stream half-way through.
const ENDS_MIDWAY: [Behaviour; 3] =
    [Behaviour::BreakMidway, Behaviour::EndMidway, Behaviour::EndAfterEvent];

async fn stream_events(
    tx: Sender<Result<Bytes, BodyError>>,
    mut run: Running,
    behaviour: Behaviour,
    version: String,
    events: RangeInclusive<u64>,
) {
    let middle = events.start() + events.end().saturating_sub(*events.start()) / 2;
    for i in events {
        if i == middle && ENDS_MIDWAY.contains(&behaviour) {
            run.end = "broken";
            if behaviour != Behaviour::EndAfterEvent {
                drop(tx.send(Ok(Bytes::from(format!("id: {i}\nda")))).await);
            }
            if behaviour == Behaviour::BreakMidway {
                drop(tx.send(Err(BodyError::BrokenOff)).await);
            }
            return;
        }
        tokio::select! {
            () = run.hang_if_restarted() => {}
            () = tx.closed() => return,
        }
        if tx.send(Ok(event(i, &version))).await.is_err() {
            return;
        }
        tokio::select! {
            () = sleep(EVENT_INTERVAL) => {}
            () = tx.closed() => return,
        }
    }
    run.end = "complete";
}
