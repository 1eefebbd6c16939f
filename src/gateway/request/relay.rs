//! Passes a stream on as it comes, and lets it go on at another upstream where
//! the route allows.

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
        net::{AnswerBody, BodyError, Lease, channel_body},
    },
    platform,
};

/// Frames that wait for a slow caller: a stall of the caller then holds up the
/// upstream and not this process's memory.
const QUEUE: usize = 16;

/// Starts to pass on an answer; returns what the caller gets.
pub fn relay(
    forwarding: Forwarding,
    response: Response<Incoming>,
    lease: Lease,
    selected: Selected,
) -> Response<AnswerBody> {
    let (mut parts, body) = response.into_parts();
    let run = Run::new(&parts.headers, body, lease, selected);
    platform::strip_hop_headers(&mut parts.headers);
    let (tx, rx) = channel(QUEUE);
    spawn_local(async move {
        let mut relay = Relay { forwarding, tx, events: EventSplitter::default(), first: None };
        let outcome = relay.pass_on(run).await;
        relay.forwarding.answered(parts.status, outcome, relay.first);
    });
    Response::from_parts(parts, channel_body(rx))
}

/// A run at an upstream whose answer is being read.
struct Run {
    body: Incoming,
    lease: Lease,
    selected: Selected,
    keep_alive: Option<std::time::Duration>,
    closes: bool,
}

impl Run {
    fn new(headers: &hyper::HeaderMap, body: Incoming, lease: Lease, selected: Selected) -> Self {
        let (keep_alive, closes) = (platform::keep_alive(headers), platform::closes(headers));
        Self { body, lease, selected, keep_alive, closes }
    }
}

/// How reading a run ended.
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
    first: Option<Instant>,
}

impl Relay {
    async fn pass_on(&mut self, mut run: Run) -> Outcome {
        loop {
            let end = self.read(&mut run).await;
            let (id, lifetime) = (run.selected.id.clone(), run.selected.lifetime);
            match end {
                RunEnd::Complete => {
                    self.forwarding.verdict(&id, lifetime, AttemptOutcome::Good);
                    self.forwarding.ran_to_good_end(lifetime);
                    self.forwarding.note_held(&run.selected, clock::now());
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
            // The run must be over before it goes on elsewhere.
            let Run { selected, body, lease, .. } = run;
            drop((body, lease));
            self.forwarding.broke_off(&selected, "broken_off").await;
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
            if self.first.is_none() && !data.is_empty() {
                self.begun(run);
            }
            run.selected.in_flight.prompt_read();
            let data = if self.forwarding.admitted.route.resumable {
                self.events.push(&data)
            } else {
                data
            };
            let sent = tokio::select! {
                sent = self.tx.send(Ok(data)) => sent.is_ok(),
                () = deadline.as_mut() => return RunEnd::TimeOver,
            };
            if !sent {
                return RunEnd::CallerLeft;
            }
        }
    }

    fn begun(&mut self, run: &Run) {
        let now = clock::now();
        self.first = Some(now);
        self.forwarding.count_usage(now);
        self.forwarding.note_answer(&run.selected, now);
        self.forwarding.note_first_token(&run.selected, now);
    }

    /// Passes on what follows the last whole event.
    async fn finish(&mut self) -> RunEnd {
        let rest = self.events.rest();
        if rest.is_empty() || self.tx.send(Ok(rest)).await.is_ok() {
            return RunEnd::Complete;
        }
        RunEnd::CallerLeft
    }

    /// Lets the stream go on at another upstream after the last whole event.
    async fn resume(&mut self, broken: &str) -> Option<Run> {
        let may_resume = self.forwarding.admitted.route.resumable;
        self.events.restart();
        if !may_resume || !self.forwarding.may_run_again(broken, "broken_off") {
            return None;
        }
        let after = self.events.last_id().map(str::to_owned);
        loop {
            let apart = self.forwarding.may_send().await.ok()?;
            let selected = self.forwarding.select(apart)?;
            let Forwarding { gateway, outgoing, admitted, deadline, .. } = &self.forwarding;
            let trying =
                attempt(gateway, outgoing, admitted, &selected, after.as_deref(), *deadline);
            let end = tokio::select! {
                end = trying => end,
                () = self.tx.closed() => return None,
                () = clock::sleep_until(self.forwarding.deadline) => return None,
            };
            match end {
                AttemptEnd::Answer(response, lease) if response.status().is_success() => {
                    let (parts, body) = response.into_parts();
                    return Some(Run::new(&parts.headers, body, lease, selected));
                }
                AttemptEnd::Answer(..) => return None,
                AttemptEnd::Broken(cause) => {
                    self.forwarding.broke_off(&selected, cause).await;
                    if !self.forwarding.may_run_again(&selected.id, cause) {
                        return None;
                    }
                }
                AttemptEnd::Unsent(cause) => {
                    self.forwarding.unsent(&selected, cause);
                }
                AttemptEnd::NotExecuted(_) => {
                    if !self.forwarding.may_send_again(&selected.id, "not_executed") {
                        return None;
                    }
                }
            }
        }
    }

    /// Ends the caller's connection: the answer must not look complete.
    async fn fail(&self, error: BodyError) {
        // A caller that is gone needs no error.
        drop(self.tx.send(Err(error)).await);
    }
}
