//! Relays a stream to the caller as it arrives, and resumes it at another upstream where the route
//! allows that.

use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Response, body::Incoming};
use tokio::{
    sync::mpsc::{Sender, channel},
    task::spawn_local,
};

use super::{
    EventSplitter, Outcome,
    attempt::{AttemptEnd, attempt},
    forward::Forwarding,
    select::Selected,
};
use crate::{
    clock,
    gateway::{
        decide::AttemptOutcome,
        net::{AnswerBody, BodyError, Framing, PooledConnection, channel_body},
    },
    platform,
};

/// Frames buffered for a slow caller. A full queue applies back-pressure to the upstream, so that
/// memory use stays bounded.
const QUEUE_FRAMES: usize = 16;

/// Starts a task that relays an answer, and returns the response for the caller.
pub fn relay(
    forwarding: Forwarding,
    response: Response<Incoming>,
    lease: PooledConnection,
    selected: Selected,
) -> Response<AnswerBody> {
    let (mut parts, body) = response.into_parts();
    let run = Run::new(&parts.headers, body, lease, selected);
    platform::strip_hop_headers(&mut parts.headers);
    let (tx, rx) = channel(QUEUE_FRAMES);
    spawn_local(async move {
        let mut relay =
            Relay { forwarding, tx, events: EventSplitter::default(), first_data: None };
        let outcome = relay.relay_runs(run).await;
        relay.forwarding.answered(parts.status, outcome, relay.first_data);
    });
    Response::from_parts(parts, channel_body(rx))
}

/// A run at an upstream whose answer is being read.
struct Run {
    body: Incoming,
    lease: PooledConnection,
    selected: Selected,
    keep_alive: Option<std::time::Duration>,
    closes: bool,
}

impl Run {
    fn new(
        headers: &hyper::HeaderMap,
        body: Incoming,
        lease: PooledConnection,
        selected: Selected,
    ) -> Self {
        let (keep_alive, closes) = (platform::keep_alive(headers), platform::closes(headers));
        Self { body, lease, selected, keep_alive, closes }
    }
}

/// Why reading the answer of a run stopped.
enum RunEnd {
    Complete,
    Broken,
    TimeOver,
    CallerLeft,
}

struct Relay {
    forwarding: Forwarding,
    tx: Sender<Result<Bytes, BodyError>>,
    events: EventSplitter,
    first_data: Option<Instant>,
}

impl Relay {
    async fn relay_runs(&mut self, mut run: Run) -> Outcome {
        loop {
            let end = self.read(&mut run).await;
            let (id, lifetime) = (run.selected.id.clone(), run.selected.lifetime);
            match end {
                RunEnd::Complete => {
                    self.forwarding.verdict(&id, lifetime, AttemptOutcome::Good);
                    self.forwarding.note_completed(lifetime);
                    self.forwarding.note_slot_time(&run.selected, clock::now());
                    if !run.closes {
                        run.lease.give_back(run.keep_alive);
                    }
                    return Outcome::Completed;
                }
                RunEnd::CallerLeft => return Outcome::CallerLeft,
                RunEnd::TimeOver => {
                    self.fail(BodyError::TimeOver).await;
                    return Outcome::TimeOver;
                }
                RunEnd::Broken => {}
            }
            // Ends the run before the stream is resumed elsewhere.
            let Run { selected, body, lease, .. } = run;
            drop((body, lease));
            self.forwarding.handle_interrupted(&selected, "broken_off").await;
            drop(selected);
            let Some(next) = self.resume(&id).await else {
                self.fail(BodyError::BrokenOff).await;
                return Outcome::BrokenOff;
            };
            run = next;
        }
    }

    async fn read(&mut self, run: &mut Run) -> RunEnd {
        let deadline = clock::sleep_until(self.forwarding.deadline);
        let lifetime_end = run.selected.in_flight.lifetime_end();
        tokio::pin!(deadline, lifetime_end);
        loop {
            let frame = tokio::select! {
                biased;
                frame = run.body.frame() => frame,
                () = lifetime_end.as_mut() => return RunEnd::Broken,
                () = self.tx.closed() => return RunEnd::CallerLeft,
                () = deadline.as_mut() => return RunEnd::TimeOver,
            };
            let data = match frame {
                None => return self.finish().await,
                Some(Err(_)) => return RunEnd::Broken,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            if self.first_data.is_none() && !data.is_empty() {
                self.note_first_data(run);
            }
            run.selected.in_flight.prompt_read();
            let whole = self.events.push(&data);
            let data = if self.forwarding.admitted.route.resumable { whole } else { data };
            let sent = tokio::select! {
                sent = self.tx.send(Ok(data)) => sent.is_ok(),
                () = deadline.as_mut() => return RunEnd::TimeOver,
            };
            if !sent {
                return RunEnd::CallerLeft;
            }
        }
    }

    fn note_first_data(&mut self, run: &Run) {
        let now = clock::now();
        self.first_data = Some(now);
        self.forwarding.count_usage(now);
        self.forwarding.note_answer(&run.selected, now);
        self.forwarding.note_first_token(&run.selected, now);
    }

    /// Relays the bytes after the last complete event.
    async fn finish(&mut self) -> RunEnd {
        self.forwarding.inside_event = self.events.is_inside_event();
        let rest = match self.forwarding.admitted.route.resumable {
            true => self.events.rest(),
            false => Bytes::new(),
        };
        if rest.is_empty() || self.tx.send(Ok(rest)).await.is_ok() {
            return RunEnd::Complete;
        }
        RunEnd::CallerLeft
    }

    /// Resumes the stream at another upstream after the last complete event; `None` if that is not
    /// allowed or fails.
    async fn resume(&mut self, broken: &str) -> Option<Run> {
        let may_resume = self.forwarding.admitted.route.resumable;
        self.events.restart();
        if !may_resume || !self.forwarding.may_run_again(broken, "broken_off") {
            return None;
        }
        let after = self.events.last_id().map(str::to_owned);
        loop {
            let isolated = self.forwarding.await_send_permission().await.ok()?;
            let selected = self.forwarding.select(isolated)?;
            let Forwarding { gateway, outgoing, admitted, deadline, .. } = &self.forwarding;
            let attempting =
                attempt(gateway, outgoing, admitted, &selected, after.as_deref(), *deadline);
            let end = tokio::select! {
                end = attempting => end,
                () = self.tx.closed() => return None,
                () = clock::sleep_until(self.forwarding.deadline) => return None,
            };
            match end {
                AttemptEnd::Answer(response, lease) if response.status().is_success() => {
                    self.forwarding.framing = Some(Framing::of(&response));
                    let (parts, body) = response.into_parts();
                    return Some(Run::new(&parts.headers, body, lease, selected));
                }
                AttemptEnd::Answer(..) => return None,
                AttemptEnd::Broken(cause) => {
                    self.forwarding.handle_interrupted(&selected, cause).await;
                    if !self.forwarding.may_run_again(&selected.id, cause) {
                        return None;
                    }
                }
                AttemptEnd::Unreachable(e) => self.forwarding.unreachable(&selected, &e),
                AttemptEnd::Unsent(cause) => self.forwarding.log_unsent(&selected.id, cause),
                AttemptEnd::NotExecuted(_) => {
                    if !self.forwarding.may_send_again(&selected.id, "not_executed") {
                        return None;
                    }
                }
            }
        }
    }

    /// Ends the caller's connection with an error, so that the answer does not look complete.
    async fn fail(&self, error: BodyError) {
        // The send fails only if the caller has disconnected.
        drop(self.tx.send(Err(error)).await);
    }
}
