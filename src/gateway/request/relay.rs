//! Relays a stream to the caller as it arrives, and resumes it at another upstream where the route
//! allows that.

use std::time::Instant;

use bytes::Bytes;
use hyper::{Response, Version, header::CONTENT_LENGTH};
use tokio::{
    sync::mpsc::{Sender, channel},
    task::spawn_local,
};

use super::{
    EventSplitter, Outcome,
    attempt::{AttemptEnd, UpstreamAnswer, attempt},
    cost::event_tokens,
    crash::UpstreamLife,
    forward::{END_UNKNOWN, Forwarding},
    select::Selected,
};
use crate::{
    clock,
    gateway::{
        decide::AttemptOutcome,
        net::{
            AnswerBody, BodyEnd, BodyError, BodyPart, Framing, PooledConnection, UpstreamBody,
            channel_body, frame_until_close,
        },
    },
    platform,
};

/// Frames buffered for a slow caller. A full queue applies back-pressure to the upstream, so that
/// memory use stays bounded.
const QUEUE_FRAMES: usize = 16;
/// Maximum size of such a frame.
const MAX_FRAME_BYTES: usize = 4 << 10;

/// Starts a task that relays an answer, and returns the response for the caller.
pub fn relay(
    forwarding: Forwarding,
    answer: UpstreamAnswer,
    selected: Selected,
) -> Response<AnswerBody> {
    let mut head = answer.head.clone();
    let framing = answer.body.framing();
    let run = Run::new(answer, selected);
    platform::strip_hop_headers(&mut head.headers);
    head.version = Version::HTTP_11;
    if forwarding.admitted.route.resumable {
        // The rest from another upstream may have another length.
        head.headers.remove(CONTENT_LENGTH);
    }
    let status = head.status;
    let reader = forwarding.reader();
    let (tx, rx) = channel(QUEUE_FRAMES);
    spawn_local(async move {
        let mut relay = Relay {
            forwarding,
            framing,
            tx,
            events: EventSplitter::default(),
            first_data: None,
            began: false,
            resumed: false,
        };
        let outcome = relay.relay_runs(run).await;
        relay.forwarding.answered(status, outcome, relay.first_data);
    });
    let mut response = Response::from_parts(head, channel_body(rx));
    response.extensions_mut().insert(reader);
    match framing {
        Framing::Delimited => response,
        Framing::UntilClose => frame_until_close(response),
    }
}

/// A run at an upstream whose answer is being read.
struct Run {
    body: UpstreamBody,
    /// The connection; `None` once it has ended.
    lease: Option<PooledConnection>,
    selected: Selected,
    keep_alive: Option<std::time::Duration>,
    closes: bool,
}

impl Run {
    fn new(answer: UpstreamAnswer, selected: Selected) -> Self {
        let UpstreamAnswer { head, body, lease } = answer;
        let keep_alive = platform::keep_alive(&head.headers);
        let closes = platform::closes(&head.headers) || body.framing() == Framing::UntilClose;
        Self { body, lease: Some(lease), selected, keep_alive, closes }
    }

    /// Returns when the upstream began to write, as far as is known.
    fn began(&self) -> Instant {
        self.selected.in_flight.began().unwrap_or(self.selected.at)
    }

    /// Returns the connection to the pool, unless its upstream closes it.
    fn give_back(self) {
        if let Some(lease) = self.lease.filter(|_| !self.closes) {
            lease.give_back(self.keep_alive);
        }
    }
}

/// Why reading the answer of a run stopped.
enum RunEnd {
    Complete,
    /// The connection ended between events, and its upstream lives on.
    Unknown,
    /// The connection ended between events, and it could not be found out whether its upstream
    /// lives on.
    Unproven,
    /// The answer was broken off, for this cause.
    Broken(&'static str),
    TimeOver,
    CallerLeft,
}

/// Why an answer was broken off: its connection ended, or its upstream.
const BROKEN_OFF: &str = "broken_off";
/// Why an answer was broken off: one of its events has no end, or is too large.
const EVENT_TOO_LARGE: &str = "event_too_large";

struct Relay {
    forwarding: Forwarding,
    /// Framing of the caller's answer, which is that of the first run.
    framing: Framing,
    tx: Sender<Result<Bytes, BodyError>>,
    events: EventSplitter,
    first_data: Option<Instant>,
    /// Whether events were passed on.
    began: bool,
    /// Whether an earlier run had sent a part of the stream.
    resumed: bool,
}

impl Relay {
    async fn relay_runs(&mut self, mut run: Run) -> Outcome {
        loop {
            let end = self.read(&mut run).await;
            let id = run.selected.id.clone();
            let cause = match end {
                RunEnd::Complete => {
                    self.note_good(&run);
                    self.note_cost(&run);
                    self.forwarding.note_completed(run.selected.lifetime, run.began());
                    run.give_back();
                    return Outcome::Completed;
                }
                RunEnd::Unknown => {
                    self.note_good(&run);
                    self.forwarding.note_ended_unframed(run.selected.lifetime, run.began());
                    drop(run);
                    if self.framing == Framing::UntilClose {
                        return Outcome::EndUnknown;
                    }
                    // Resumed, since a last chunk would tell the caller that the answer is complete.
                    BROKEN_OFF
                }
                RunEnd::Unproven => {
                    drop(run);
                    END_UNKNOWN
                }
                RunEnd::CallerLeft => return Outcome::CallerLeft,
                RunEnd::TimeOver => {
                    self.fail(BodyError::TimeOver).await;
                    return Outcome::TimeOver;
                }
                RunEnd::Broken(cause) => {
                    let Run { selected, body, lease, .. } = run;
                    // Ends the run before the stream is resumed elsewhere.
                    drop((body, lease));
                    self.forwarding.handle_interrupted(&selected, cause).await;
                    cause
                }
            };
            let Some(next) = self.resume(&id, cause).await else {
                self.fail(BodyError::BrokenOff).await;
                return Outcome::BrokenOff;
            };
            self.resumed = true;
            run = next;
        }
    }

    fn note_good(&self, run: &Run) {
        let Selected { id, lifetime, .. } = &run.selected;
        self.forwarding.verdict(id, *lifetime, AttemptOutcome::Good);
        self.forwarding.note_slot_time(&run.selected, clock::now());
    }

    /// Notes that events arrived, each of which holds some output tokens.
    fn note_output(&self, run: &Run, events: u32) {
        if events > 0 {
            let tokens = f64::from(events) * event_tokens(&self.forwarding.admitted);
            run.selected.in_flight.note_output(tokens);
        }
    }

    /// Learns what the stream cost, unless an earlier run had sent a part of it.
    fn note_cost(&self, run: &Run) {
        if !self.resumed {
            let events = self.events.completed();
            self.forwarding.note_stream_cost(&run.selected, events, clock::now());
        }
    }

    async fn read(&mut self, run: &mut Run) -> RunEnd {
        let deadline = clock::sleep_until(self.forwarding.deadline);
        let lifetime_end = run.selected.in_flight.lifetime_end();
        tokio::pin!(deadline, lifetime_end);
        loop {
            let part = tokio::select! {
                biased;
                part = run.body.next() => part,
                () = lifetime_end.as_mut() => return RunEnd::Broken(BROKEN_OFF),
                () = self.tx.closed() => return RunEnd::CallerLeft,
                () = deadline.as_mut() => return RunEnd::TimeOver,
            };
            let data = match part {
                BodyPart::Data(data) => data,
                BodyPart::End(end) => return self.run_end(end, run).await,
            };
            if self.first_data.is_none() && !data.is_empty() {
                self.note_first_data(run);
            }
            run.selected.in_flight.note_data();
            let before = self.events.completed();
            let whole = self.events.push(&data);
            if self.events.is_oversized() {
                return RunEnd::Broken(EVENT_TOO_LARGE);
            }
            self.note_output(run, self.events.completed().saturating_sub(before));
            let data = if self.forwarding.admitted.route.resumable { whole } else { data };
            if !self.began && !data.is_empty() {
                self.began = true;
                self.forwarding.note_stream_began(&run.selected);
            }
            let sent = tokio::select! {
                sent = self.send(data) => sent,
                () = deadline.as_mut() => return RunEnd::TimeOver,
            };
            if !sent {
                return RunEnd::CallerLeft;
            }
        }
    }

    /// Passes data on to the caller; returns whether the caller is still there.
    async fn send(&self, mut data: Bytes) -> bool {
        while !data.is_empty() {
            let frame = data.split_to(data.len().min(MAX_FRAME_BYTES));
            if self.tx.send(Ok(frame)).await.is_err() {
                return false;
            }
        }
        !self.tx.is_closed()
    }

    fn note_first_data(&mut self, run: &Run) {
        let now = clock::now();
        self.first_data = Some(now);
        self.forwarding.count_usage(now);
        self.forwarding.note_answer(&run.selected, now);
        self.forwarding.note_first_token(&run.selected, now);
    }

    /// Judges the end of a run's body. A stream that is complete ends with a complete event.
    async fn run_end(&mut self, end: BodyEnd, run: &mut Run) -> RunEnd {
        self.forwarding.inside_event = self.events.is_inside_event();
        match end {
            BodyEnd::Complete | BodyEnd::Unknown if self.forwarding.inside_event => {
                RunEnd::Broken(BROKEN_OFF)
            }
            BodyEnd::Complete => RunEnd::Complete,
            // A stream has at least one event. Data of an earlier run may have been part of one.
            BodyEnd::Unknown if !self.began => RunEnd::Broken(BROKEN_OFF),
            BodyEnd::Unknown => {
                run.lease = None;
                match self.forwarding.upstream_life(&run.selected).await {
                    UpstreamLife::Alive => RunEnd::Unknown,
                    UpstreamLife::Ended => RunEnd::Broken(BROKEN_OFF),
                    UpstreamLife::Unknown => RunEnd::Unproven,
                }
            }
            BodyEnd::Broken | BodyEnd::TooLarge => RunEnd::Broken(BROKEN_OFF),
        }
    }

    /// Resumes the stream at another upstream after the last complete event; `None` if that is not
    /// allowed or fails.
    async fn resume(&mut self, broken: &str, cause: &'static str) -> Option<Run> {
        let may_resume = self.forwarding.admitted.route.resumable && self.events.is_resumable();
        self.events.restart();
        if !may_resume {
            self.forwarding.log_failed(broken, cause, true, false);
            return None;
        }
        if !self.forwarding.may_run_again(broken, cause) {
            return None;
        }
        let after = self.events.last_id().map(str::to_owned);
        loop {
            let isolated = self.forwarding.await_send_permission().await.ok()?;
            let selected = self.forwarding.select(isolated)?;
            self.forwarding.begin_run(&selected);
            let Forwarding { gateway, outgoing, admitted, deadline, .. } = &self.forwarding;
            let attempting =
                attempt(gateway, outgoing, admitted, &selected, after.as_deref(), *deadline);
            let end = tokio::select! {
                end = attempting => end,
                () = self.tx.closed() => return None,
                () = clock::sleep_until(self.forwarding.deadline) => return None,
            };
            match end {
                AttemptEnd::Answer(answer) if answer.head.status.is_success() => {
                    self.forwarding.framing = Some(answer.body.framing());
                    return Some(Run::new(*answer, selected));
                }
                AttemptEnd::Answer(_) => return None,
                AttemptEnd::Broken(cause) => {
                    self.forwarding.handle_interrupted(&selected, cause).await;
                    if !self.forwarding.may_run_again(&selected.id, cause) {
                        return None;
                    }
                }
                AttemptEnd::Unreachable(e) => {
                    self.forwarding.note_not_run();
                    self.forwarding.unreachable(&selected, &e);
                }
                AttemptEnd::Unsent(cause) => {
                    self.forwarding.note_not_run();
                    self.forwarding.log_unsent(&selected.id, cause);
                }
                AttemptEnd::NotExecuted(_) => {
                    self.forwarding.note_not_run();
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
