//! Forwarding of a request: attempts at upstreams until one answers or none is left to try.

use std::{cell::Cell, rc::Rc, time::Instant};

use hyper::{Response, StatusCode, Version};

use super::{
    Admitted, Outcome, Refusal,
    arrival::refund_quota,
    attempt::{AttemptEnd, OutgoingRequest, UpstreamAnswer, attempt},
    choose::Criteria,
    crash::UpstreamLife,
    in_flight::InProgress,
    relay::relay,
    report::refuse,
    select::{Selected, select},
};
use crate::{
    clock,
    gateway::{
        context::Gateway,
        decide::{AttemptOutcome, RouteKey, VersionGroup},
        model::{PartKey, RequestDigest, RequestKind, UpstreamVersion, WatchedData},
        net::{
            AnswerBody, BodyEnd, BodyLease, ConnectError, Framing, Phase, Reader, buffered_body,
            frame_until_close,
        },
        telemetry::Event,
    },
    ids::UpstreamId,
    platform,
};

/// Maximum number of upstreams chosen for one request, including those that did not run it.
const MAX_SENDS: usize = 5;
/// Parts of a prompt that a line of the log names; more would let one request fill the log.
const MAX_LOGGED_PARTS: usize = 16;
/// Maximum size in bytes of an answer that is buffered before it is relayed.
const MAX_BUFFERED_BYTES: usize = 8 << 20;

/// Failure cause: the answer was broken off.
const ANSWER_INCOMPLETE: &str = "answer_incomplete";
/// Failure cause: the answer has no framing, and whether its upstream has ended could not be found
/// out. It says nothing about the upstream.
pub(super) const END_UNKNOWN: &str = "end_unknown";
/// Failure cause: the answer is larger than what is buffered.
const ANSWER_TOO_LARGE: &str = "answer_too_large";

/// State of an admitted request until its answer ends.
#[derive(Debug)]
pub struct Forwarding {
    /// State that all requests of the process share.
    pub gateway: Rc<Gateway>,
    /// The request as it is sent to upstreams.
    pub outgoing: OutgoingRequest,
    /// Digest by which copies of the request are recognised.
    pub digest: RequestDigest,
    /// Parts of the prompt that other requests may share.
    pub parts: Rc<[PartKey]>,
    /// Route, customer and service determined at admission.
    pub admitted: Admitted,
    /// When the answer must be complete.
    pub deadline: Instant,
    /// When the request arrived.
    pub(super) arrived: Instant,
    tried: Vec<UpstreamId>,
    /// When the latest attempt began.
    pub(super) attempted_at: Instant,
    pub(super) runs: u32,
    /// Whether the request was counted in the customer's usage.
    pub(super) counted: Cell<bool>,
    /// Side of a roll-out that the latest attempt went to; `None` without a roll-out.
    version_group: Option<VersionGroup>,
    /// Version at which the caller's stream began, and must go on; `None` before its first event.
    pub(super) stream_version: Option<UpstreamVersion>,
    /// Framing of the latest upstream's answer; `None` before one answered.
    pub(super) framing: Option<Framing>,
    /// Whether the latest upstream's stream ended inside an event.
    pub(super) inside_event: bool,
    _body: BodyLease,
    _in_progress: InProgress,
}

/// A request that was admitted and whose body was read.
#[derive(Debug)]
pub(super) struct Accepted {
    /// The request as it is sent to upstreams.
    pub(super) outgoing: OutgoingRequest,
    /// Memory of its body.
    pub(super) body: BodyLease,
    /// Parts of the prompt that other requests may share.
    pub(super) parts: Rc<[PartKey]>,
    /// Route, customer and service determined at admission.
    pub(super) admitted: Admitted,
    /// When the request arrived.
    pub(super) arrived: Instant,
    /// When the answer must be complete.
    pub(super) deadline: Instant,
}

/// Answer of the first upstream that gives one.
enum Reply {
    /// A stream, to be relayed as it arrives.
    Stream(Box<UpstreamAnswer>, Box<Selected>),
    /// An answer read into memory.
    Buffered(Response<AnswerBody>),
}

impl Forwarding {
    /// Creates the state of a request that has not been sent yet.
    pub(super) fn new(gateway: Rc<Gateway>, accepted: Accepted, in_progress: InProgress) -> Self {
        let Accepted { outgoing, body, parts, admitted, arrived, deadline } = accepted;
        Self {
            digest: outgoing.digest(admitted.customer.as_deref()),
            gateway,
            outgoing,
            parts,
            admitted,
            deadline,
            arrived,
            tried: Vec::new(),
            attempted_at: arrived,
            runs: 0,
            counted: Cell::new(false),
            version_group: None,
            stream_version: None,
            framing: None,
            inside_event: false,
            _body: body,
            _in_progress: in_progress,
        }
    }

    /// Returns who reads the answer, and until when.
    pub(super) fn reader(&self) -> Reader {
        let customer = self.admitted.customer.clone().unwrap_or_default();
        Reader { deadline: self.deadline, customer }
    }

    /// Sends the request to upstreams until one answers, and returns the answer.
    pub(super) async fn answer(mut self) -> Response<AnswerBody> {
        self.count_request();
        let tried = clock::timeout_at(self.deadline, self.first_answer()).await;
        match tried {
            Ok(Ok(Reply::Stream(answer, selected))) => relay(self, *answer, *selected),
            Ok(Ok(Reply::Buffered(response))) => {
                let outcome = match (response.status().is_success(), self.framing) {
                    (false, _) => Outcome::UpstreamFailure,
                    (true, Some(Framing::UntilClose)) => Outcome::EndUnknown,
                    (true, Some(Framing::Delimited) | None) => Outcome::Completed,
                };
                self.answered(response.status(), outcome, Some(clock::now()));
                response
            }
            Ok(Err(refusal)) => self.refused(refusal),
            Err(_) => {
                let not_run = self.runs == 0;
                if !not_run && !self.is_own_path_suspect() {
                    self.note_failure(self.version_group);
                }
                self.refused(if not_run { Refusal::TimeOverNotRun } else { Refusal::TimeOver })
            }
        }
    }

    async fn first_answer(&mut self) -> Result<Reply, Refusal> {
        self.pin_version().await?;
        loop {
            let isolated = self.await_send_permission().await?;
            // Sent now, it could be cut off by the end of the process; it may still go elsewhere.
            if self.runs == 0 && self.gateway.shutdown.phase() >= Phase::Closing {
                return Err(Refusal::Leaving);
            }
            let Some(selected) = self.select(isolated) else {
                return Err(self.give_up());
            };
            self.begin_run(&selected);
            let end = attempt(
                &self.gateway,
                &self.outgoing,
                &self.admitted,
                &selected,
                None,
                self.deadline,
            )
            .await;
            match end {
                AttemptEnd::Answer(answer) => {
                    if let Some(reply) = self.take_answer(answer, selected).await? {
                        return Ok(reply);
                    }
                }
                AttemptEnd::Unreachable(e) => {
                    self.note_not_run();
                    self.unreachable(&selected, &e);
                }
                AttemptEnd::Unsent(cause) => {
                    self.note_not_run();
                    self.log_unsent(&selected.id, cause);
                }
                AttemptEnd::NotExecuted(status) => {
                    self.note_not_run();
                    if status == StatusCode::MISDIRECTED_REQUEST {
                        self.verdict(&selected.id, selected.lifetime, AttemptOutcome::Unreachable);
                    }
                    if !self.may_send_again(&selected.id, "not_executed") {
                        return Err(self.give_up());
                    }
                }
                AttemptEnd::Broken(cause) => {
                    self.handle_interrupted(&selected, cause).await;
                    if !self.may_run_again(&selected.id, cause) {
                        return Err(Refusal::Broken);
                    }
                }
            }
        }
    }

    /// Handles the head of an answer, and buffers the body unless it is to be streamed. Returns
    /// `None` if another attempt should be made.
    async fn take_answer(
        &mut self,
        answer: Box<UpstreamAnswer>,
        selected: Selected,
    ) -> Result<Option<Reply>, Refusal> {
        let framing = answer.body.framing();
        self.framing = Some(framing);
        let streaming = self.admitted.route.kind == RequestKind::Streaming;
        if streaming && answer.head.status.is_success() {
            return Ok(Some(Reply::Stream(answer, Box::new(selected))));
        }
        let UpstreamAnswer { mut head, body, lease } = *answer;
        // A body without framing ends with its connection.
        let mut lease = Some(lease);
        let mut buffer = self.gateway.buffers.open();
        let read = tokio::select! {
            biased;
            (body, end) = body.collect(MAX_BUFFERED_BYTES, &mut buffer) => {
                if framing == Framing::UntilClose {
                    lease = None;
                }
                self.check_end(end, &selected).await.map(|()| body)
            }
            () = selected.in_flight.lifetime_end() => Err(ANSWER_INCOMPLETE),
        };
        let body = match read {
            Ok(body) => body,
            Err(cause) => {
                drop((buffer, lease));
                match cause {
                    END_UNKNOWN => self.count_usage(clock::now()),
                    _ => self.handle_interrupted(&selected, cause).await,
                }
                if self.may_run_again(&selected.id, cause) {
                    return Ok(None);
                }
                return Err(Refusal::Broken);
            }
        };
        let now = clock::now();
        if let Some(lease) = lease.filter(|_| !platform::closes(&head.headers)) {
            lease.give_back(platform::keep_alive(&head.headers));
        }
        self.count_usage(now);
        if head.status.is_server_error() {
            self.note_failure(selected.version_group);
            self.verdict(&selected.id, selected.lifetime, AttemptOutcome::Failed);
            if self.may_run_again(&selected.id, "upstream_failure") {
                return Ok(None);
            }
        } else {
            self.verdict(&selected.id, selected.lifetime, AttemptOutcome::Good);
            self.note_answer(&selected, now);
            self.note_first_token(&selected, now);
            self.note_slot_time(&selected, now);
            if head.status.is_success() {
                self.note_plain_cost(&selected, now);
            }
        }
        if head.status.is_success() {
            match framing {
                Framing::Delimited => self.note_completed(selected.lifetime, selected.at),
                Framing::UntilClose => self.note_ended_unframed(selected.lifetime, selected.at),
            }
        }
        platform::strip_hop_headers(&mut head.headers);
        head.version = Version::HTTP_11;
        let mut response = Response::from_parts(head, buffered_body(body, buffer));
        response.extensions_mut().insert(self.reader());
        Ok(Some(Reply::Buffered(match framing {
            Framing::Delimited => response,
            Framing::UntilClose => frame_until_close(response),
        })))
    }

    /// Checks whether a body may be taken for whole. One whose end is unknown may only if its
    /// upstream is known to live on.
    ///
    /// # Errors
    ///
    /// Fails with the cause for which the attempt counts as failed.
    async fn check_end(&self, end: BodyEnd, selected: &Selected) -> Result<(), &'static str> {
        match end {
            BodyEnd::Complete => Ok(()),
            BodyEnd::Unknown => match self.upstream_life(selected).await {
                UpstreamLife::Alive => Ok(()),
                UpstreamLife::Ended => Err(ANSWER_INCOMPLETE),
                UpstreamLife::Unknown => Err(END_UNKNOWN),
            },
            BodyEnd::Broken => Err(ANSWER_INCOMPLETE),
            BodyEnd::TooLarge => Err(ANSWER_TOO_LARGE),
        }
    }

    /// Chooses the upstream of the next attempt and logs the choice; `None` if none is left.
    ///
    /// `isolated` is set if upstream ends were attributed to the request, which must then run
    /// away from other suspects.
    pub fn select(&mut self, isolated: bool) -> Option<Selected> {
        if self.tried.len() >= MAX_SENDS {
            return None;
        }
        let now = clock::now();
        let version_group = match self.stream_version {
            Some(_) => None,
            None => self.choose_version_group(now),
        };
        let prompt = self.outgoing.head.prompt.as_ref();
        let criteria = Criteria {
            digest: self.digest,
            parts: &self.parts,
            prompt,
            tried: &self.tried,
            version: self.stream_version.as_ref(),
            recorded_versions: self.stream_version.is_none() && self.pins_versions(),
            version_group,
            isolated,
        };
        let selected = select(&self.gateway, &self.admitted, &criteria, now)?;
        self.tried.push(selected.id.clone());
        self.attempted_at = now;
        self.gateway.log(&Event::Attempt {
            request: &self.outgoing.head.id,
            digest: &self.digest.to_string(),
            parts: &self.logged_parts(),
            route: &self.admitted.route.name,
            upstream: &selected.id,
            attempt: self.tried.len() as u32,
            candidates: selected.candidates,
            holders: selected.holders,
            predicted_ms: selected.predicted.as_millis() as u64,
            running: selected.candidate.running,
            pending_tokens: selected.candidate.pending_tokens,
            prompt_tokens: prompt.map_or(0, |p| p.tokens),
            missing_tokens: selected.candidate.missing_tokens,
            speed_factor: selected.placed.map(|p| p.speed_factor),
            work_left_ms: selected.placed.map(|p| (p.work_left * 1e3) as u64),
            cost_ms: selected.placed.map(|p| (p.cost * 1e3) as u64),
            configuration: self.admitted.configuration.version,
            upstreams: selected.revision,
            upstreams_age_ms: self.gateway.knowledge_age_ms(WatchedData::Upstreams, now),
            leaving: selected.leaving,
            row_missing: selected.row_missing,
            version: &selected.version,
            resumes: self.outgoing.head.resumed.as_ref().map(|r| r.began_as.as_str()),
        });
        Some(selected)
    }

    /// Returns the shared parts of the prompt as the log names them.
    pub(super) fn logged_parts(&self) -> Vec<String> {
        self.parts.iter().take(MAX_LOGGED_PARTS).map(PartKey::to_string).collect()
    }

    /// Chooses the side of a roll-out for the next attempt; `None` without a roll-out.
    fn choose_version_group(&self, now: Instant) -> Option<VersionGroup> {
        let exposure = self.gateway.settings.borrow().bounds.exposure;
        let (service, route) = (&self.admitted.service, RouteKey::new(&self.admitted.route.name));
        let mut board = self.gateway.board.borrow_mut();
        match self.tried.is_empty() {
            true => board.choose_version_group(service, route, exposure, now),
            false => {
                board.rollouts.order(service)?;
                Some(board.version_group_for_retry(service, exposure, now))
            }
        }
    }

    /// Returns whether the latest attempt may have got no answer because this gateway lost its path
    /// to the upstream.
    fn is_own_path_suspect(&self) -> bool {
        let board = self.gateway.board.borrow();
        let latest = self.tried.last().and_then(|id| board.upstreams.get(id));
        latest.is_some_and(|v| board.paths.is_bypassed(v.lifetime, clock::now()))
    }

    /// Counts an attempt as a run until its outcome is known.
    pub(super) fn begin_run(&mut self, selected: &Selected) {
        self.runs += 1;
        self.version_group = selected.version_group;
    }

    /// Takes back the run of an attempt that turned out not to have run.
    pub(super) fn note_not_run(&mut self) {
        self.runs -= 1;
    }

    /// Returns whether an upstream may have run the request.
    pub(super) fn has_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns the refusal for a request for which no upstream is left to try.
    fn give_up(&self) -> Refusal {
        if self.runs > 0 {
            return Refusal::Broken;
        }
        let mut board = self.gateway.board.borrow_mut();
        if let Some(version) = &self.stream_version {
            let mut of_service = board.of_service(&self.admitted.service);
            if !of_service.any(|v| v.upstream.version == *version) {
                return Refusal::StreamVersionGone;
            }
        }
        let now = clock::now();
        board.note_held_off(&self.admitted.service, now);
        let wait = board.service_hold_off(&self.admitted.service, now);
        wait.map_or(Refusal::NoRoom, Refusal::HeldOff)
    }

    /// Notes that no connection to the upstream could be opened, which costs no retry budget.
    pub(super) fn unreachable(&self, selected: &Selected, error: &ConnectError) {
        self.verdict(&selected.id, selected.lifetime, AttemptOutcome::Unreachable);
        self.log_unreachable(&selected.id, error);
    }

    fn refused(&self, refusal: Refusal) -> Response<AnswerBody> {
        if self.runs == 0 {
            refund_quota(&self.gateway, &self.admitted);
        }
        let head = &self.outgoing.head;
        let times = (self.arrived, self.deadline);
        let refusal = self.gateway.with_backlog_delay(refusal, &self.admitted, times);
        refuse(&self.gateway, head, Some(&self.admitted), refusal, self.arrived)
    }
}
