//! An upstream: reads prompts one after another, then streams events.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri, body::Incoming, header::HeaderValue,
};
use tackhollow::gateway::net::{AnswerBody, BodyError, Service, channel_body, full_body};
use tokio::{
    sync::mpsc::{Sender, channel},
    task::spawn_local,
    time::sleep,
};

use crate::{
    answer::empty,
    world::{Behaviour, Run, World},
};

/// Prompt tokens read in a millisecond.
const PREFILL_PER_MS: u64 = 50;
/// How many times as long a request takes at an upstream that is slow.
const SLOW_TIMES: u32 = 6;
/// Time from one event to the next.
const EVENT_GAP: Duration = Duration::from_millis(20);
/// Events of a stream whose request names no number of output tokens.
const DEFAULT_EVENTS: u64 = 10;
/// Body of a request that crashes each upstream that begins to run it.
const CRASHING: &[u8] = b"crash";
/// Tokens in an event.
const TOKENS_PER_EVENT: u64 = 3;

/// An upstream's door.
pub struct EngineDoor {
    /// The platform.
    pub world: Rc<World>,
    /// Its id.
    pub id: String,
}

fn header(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
}

impl Service for EngineDoor {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let (parts, body) = request.into_parts();
        let headers = parts.headers;
        if header(&headers, "x-expect-instance") != self.id {
            return empty(StatusCode::MISDIRECTED_REQUEST);
        }
        let behaviour = self.world.state.borrow().engines.get(&self.id).map(|e| {
            match parts.uri.path().starts_with(&e.only_path) {
                true => e.behaviour,
                false => Behaviour::Serve,
            }
        });
        let Some(behaviour) = behaviour else {
            return empty(StatusCode::MISDIRECTED_REQUEST);
        };
        let arrival = self.world.arrived(&self.id, header(&headers, "x-request-id"));
        let mut response = self.take(behaviour, &parts.method, &parts.uri, &headers, body).await;
        // An answer that is lost breaks off before its head: it tells nobody anything.
        if behaviour != Behaviour::Lose {
            self.world.answered(arrival, &self.id, &mut response);
        }
        response
    }
}

impl EngineDoor {
    async fn take(
        &self,
        behaviour: Behaviour,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
        body: Incoming,
    ) -> Response<AnswerBody> {
        if behaviour == Behaviour::Full {
            let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
            response.headers_mut().insert("x-not-executed", HeaderValue::from_static("1"));
            return response;
        }
        let body = body.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
        let target = format!("{method} {uri}");
        let run = self.begin(headers, target, body.len());
        let crashes = body.starts_with(CRASHING);
        self.respond(behaviour, headers, run, crashes).await
    }
}

/// A run that counts as aborted unless it says otherwise.
struct Running {
    world: Rc<World>,
    index: usize,
    upstream: String,
    /// Start of the upstream that runs it.
    start: u32,
    end: &'static str,
}

impl Running {
    /// Never returns if the upstream has started again since: it knows nothing of
    /// this run, and its connection stays open.
    async fn survive(&mut self) {
        if self.world.starts(&self.upstream) != self.start {
            self.end = "lost";
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.world.end_run(self.index, self.end);
    }
}

impl EngineDoor {
    fn begin(&self, headers: &HeaderMap, target: String, body: usize) -> Running {
        let number = |name: &str| header(headers, name).parse().unwrap_or_default();
        let run = Run {
            request: header(headers, "x-request-id"),
            upstream: self.id.clone(),
            target,
            customer: header(headers, "x-tenant"),
            key_passed: headers.contains_key("x-key"),
            deadline_ms: number("x-deadline-ms"),
            resume_after: number("last-event-id"),
            body,
            began_ms: self.world.now_ms(),
            version: self.world.version(&self.id),
            ended_ms: 0,
            end: "running",
        };
        let start = self.world.starts(&self.id);
        let mut state = self.world.state.borrow_mut();
        state.runs.push(run);
        let index = state.runs.len() - 1;
        let upstream = self.id.clone();
        Running { world: self.world.clone(), index, upstream, start, end: "aborted" }
    }

    /// Returns how long the prompt takes to be read, behind earlier ones.
    fn read_prompt(&self, headers: &HeaderMap) -> Duration {
        let now = Instant::now();
        let mut state = self.world.state.borrow_mut();
        let Some(engine) = state.engines.get_mut(&self.id) else {
            return Duration::ZERO;
        };
        let mut missing = 0;
        for part in header(headers, "x-prompt-prefix").split(',') {
            let (id, tokens) = part.split_once(':').unwrap_or((part, "0"));
            if engine.cache.insert(id.to_owned()) {
                missing += tokens.parse::<u64>().unwrap_or_default();
            }
        }
        let begin = engine.reading_until.max(now);
        engine.reading_until = begin + Duration::from_millis(missing / PREFILL_PER_MS);
        engine.reading_until.saturating_duration_since(now)
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
        sleep(self.read_prompt(headers)).await;
        let work =
            self.world.state.borrow().engines.get(&self.id).map_or(Duration::ZERO, |e| e.work);
        sleep(if behaviour == Behaviour::Slow { work * SLOW_TIMES } else { work }).await;
        run.survive().await;
        if crashes {
            drop(self.world.crashing.send(self.id.clone()));
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
        spawn_local(stream_events(tx, run, behaviour, first, events));
        Response::new(channel_body(rx))
    }
}

async fn stream_events(
    tx: Sender<Result<Bytes, BodyError>>,
    mut run: Running,
    behaviour: Behaviour,
    first: u64,
    events: u64,
) {
    let middle = first + (events.saturating_sub(first)) / 2;
    for i in first..=events {
        if behaviour == Behaviour::BreakMidway && i == middle {
            run.end = "broken";
            drop(tx.send(Ok(Bytes::from(format!("id: {i}\nda")))).await);
            drop(tx.send(Err(BodyError::BrokenOff)).await);
            return;
        }
        tokio::select! {
            () = run.survive() => {}
            () = tx.closed() => return,
        }
        let event = Bytes::from(format!("id: {i}\ndata: token {i}\n\n"));
        if tx.send(Ok(event)).await.is_err() {
            return;
        }
        tokio::select! {
            () = sleep(EVENT_GAP) => {}
            () = tx.closed() => return,
        }
    }
    run.end = "complete";
}
