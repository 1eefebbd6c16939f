//! A request on its way: attempts until one brings an answer.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
};

use super::{
    Admitted, Outcome, Refusal, admit,
    attempt::{AttemptEnd, Outgoing, UNREACHABLE, attempt},
    in_flight::InProgress,
    relay::relay,
    report::refuse,
    select::{Selected, Wanted, select},
};
use crate::{
    clock,
    gateway::{
        context::Gateway,
        decide::{AttemptOutcome, RetryPolicy, RouteKey, VersionGroup},
        model::{Followed, RequestDigest, RequestKind},
        net::{AnswerBody, Lease, Phase, full_body},
        telemetry::Event,
    },
    ids::UpstreamId,
    platform,
};

/// Patience of a caller that names none.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);
/// Upstreams that one request is sent to at most, those included that did not
/// run it.
const MAX_SENDS: usize = 5;
/// Time taken off the caller's patience for the way back.
const WAY_BACK: Duration = Duration::from_millis(10);
/// Largest answer that is read whole before it is passed on, in bytes.
const MAX_WHOLE_ANSWER: usize = 8 << 20;

/// A request on its way.
#[derive(Debug)]
pub struct Forwarding {
    /// Context.
    pub gateway: Rc<Gateway>,
    /// What is sent.
    pub outgoing: Outgoing,
    /// Digest of what is asked for.
    pub digest: RequestDigest,
    /// Terms on which it was admitted.
    pub admitted: Admitted,
    /// When the answer must have ended.
    pub deadline: Instant,
    /// When the request came.
    pub(super) arrived: Instant,
    tried: Vec<UpstreamId>,
    /// When the newest attempt began.
    pub(super) tried_at: Instant,
    runs: u32,
    /// Whether it is counted in the customer's usage.
    pub(super) counted: Cell<bool>,
    /// Versions that the newest attempt went to.
    version_group: Option<VersionGroup>,
    _in_progress: InProgress,
}

/// Answers a caller's request.
pub async fn forward(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = clock::now();
    let leaving = gateway.shutdown.phase() > Phase::Serving;
    let in_progress = InProgress::begin(&gateway);
    let mut response = answer(&gateway, request, arrived, in_progress).await;
    if leaving || gateway.shutdown.phase() > Phase::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn answer(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    arrived: Instant,
    in_progress: InProgress,
) -> Response<AnswerBody> {
    let (parts, body) = request.into_parts();
    let head = platform::decode_head(&parts);
    if gateway.shutdown.phase() > Phase::Leaving {
        return refuse(gateway, &head, None, Refusal::Leaving, arrived);
    }
    let admitted = match admit(gateway, &head, arrived) {
        Ok(admitted) => admitted,
        Err(refusal) => return refuse(gateway, &head, None, refusal, arrived),
    };
    let patience = head.patience.unwrap_or(DEFAULT_PATIENCE);
    let patience = patience.saturating_sub(WAY_BACK).min(admitted.route.timeout);
    let deadline = arrived + patience;
    let limit = admitted.configuration.limits.body_bytes;
    let read = clock::timeout_at(deadline, read_body(body, limit)).await;
    let body = match read.unwrap_or(Err(Refusal::TimeOverNotRun)) {
        Ok(body) => body,
        Err(refusal) => {
            give_back(gateway, &admitted);
            return refuse(gateway, &head, Some(&admitted), refusal, arrived);
        }
    };
    let outgoing = Outgoing::new(parts, head, body);
    let digest = outgoing.digest(admitted.customer.as_deref());
    let mut forwarding = Forwarding {
        gateway: gateway.clone(),
        outgoing,
        digest,
        admitted,
        deadline,
        arrived,
        tried: Vec::new(),
        tried_at: arrived,
        runs: 0,
        counted: Cell::new(false),
        version_group: None,
        _in_progress: in_progress,
    };
    forwarding.count_request();
    let tried = clock::timeout_at(deadline, forwarding.first_answer()).await;
    match tried {
        Ok(Ok(Reply::Stream(response, lease, selected))) => {
            relay(forwarding, response, lease, *selected)
        }
        Ok(Ok(Reply::Whole(response))) => {
            let outcome = match response.status().is_success() {
                true => Outcome::Completed,
                false => Outcome::UpstreamFailure,
            };
            forwarding.answered(response.status(), outcome, Some(clock::now()));
            response
        }
        Ok(Err(refusal)) => forwarding.refused(refusal),
        Err(_) => {
            let not_run = forwarding.runs == 0;
            if !not_run {
                forwarding.note_failure(forwarding.version_group);
            }
            forwarding.refused(if not_run { Refusal::TimeOverNotRun } else { Refusal::TimeOver })
        }
    }
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Err(_) => Err(Refusal::BodyIncomplete),
    }
}

fn give_back(gateway: &Gateway, admitted: &Admitted) {
    if let Some(customer) = &admitted.customer {
        gateway.board.borrow_mut().quotas.give_back(customer, admitted.tokens, clock::now());
    }
}

/// What the first upstream that answers gives.
enum Reply {
    /// A stream, to be passed on as it comes.
    Stream(Response<Incoming>, Lease, Box<Selected>),
    /// An answer that was read whole.
    Whole(Response<AnswerBody>),
}

impl Forwarding {
    async fn first_answer(&mut self) -> Result<Reply, Refusal> {
        loop {
            let apart = self.may_send().await?;
            let Some(selected) = self.select(apart) else {
                return Err(self.give_up());
            };
            // Until the outcome is known it may have run.
            self.runs += 1;
            self.version_group = selected.version_group;
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
                AttemptEnd::Answer(response, lease) => {
                    if let Some(reply) = self.take_answer(response, lease, selected).await? {
                        return Ok(reply);
                    }
                }
                AttemptEnd::Unsent(cause) => {
                    self.runs -= 1;
                    self.unsent(&selected, cause);
                }
                AttemptEnd::NotExecuted(status) => {
                    self.runs -= 1;
                    if status == StatusCode::MISDIRECTED_REQUEST {
                        self.verdict(&selected.id, selected.lifetime, AttemptOutcome::Unreachable);
                    }
                    if !self.may_send_again(&selected.id, "not_executed") {
                        return Err(self.give_up());
                    }
                }
                AttemptEnd::Broken(cause) => {
                    self.broke_off(&selected, cause).await;
                    if !self.may_run_again(&selected.id, cause) {
                        return Err(Refusal::Broken);
                    }
                }
            }
        }
    }

    /// Takes an answer; `None` if another attempt should be made.
    async fn take_answer(
        &mut self,
        response: Response<Incoming>,
        lease: Lease,
        selected: Selected,
    ) -> Result<Option<Reply>, Refusal> {
        let streaming = self.admitted.route.kind == RequestKind::Streaming;
        if streaming && response.status().is_success() {
            return Ok(Some(Reply::Stream(response, lease, Box::new(selected))));
        }
        let (mut parts, body) = response.into_parts();
        let read = tokio::select! {
            biased;
            read = Limited::new(body, MAX_WHOLE_ANSWER).collect() => read.ok(),
            () = selected.in_flight.lifetime_end() => None,
        };
        let Some(body) = read else {
            self.broke_off(&selected, "answer_incomplete").await;
            if self.may_run_again(&selected.id, "answer_incomplete") {
                return Ok(None);
            }
            return Err(Refusal::Broken);
        };
        let now = clock::now();
        if !platform::closes(&parts.headers) {
            lease.give_back(platform::keep_alive(&parts.headers));
        }
        self.count_usage(now);
        if parts.status.is_server_error() {
            self.note_failure(selected.version_group);
            self.verdict(&selected.id, selected.lifetime, AttemptOutcome::Failed);
            if self.may_run_again(&selected.id, "upstream_failure") {
                return Ok(None);
            }
        } else {
            self.verdict(&selected.id, selected.lifetime, AttemptOutcome::Good);
            self.note_answer(&selected, now);
            self.note_first_token(&selected, now);
            self.note_held(&selected, now);
        }
        if parts.status.is_success() {
            self.ran_to_good_end(selected.lifetime);
        }
        platform::strip_hop_headers(&mut parts.headers);
        Ok(Some(Reply::Whole(Response::from_parts(parts, full_body(body.to_bytes())))))
    }

    /// Chooses the next upstream and logs the choice.
    ///
    /// `apart` says whether upstreams ended under the request.
    pub fn select(&mut self, apart: bool) -> Option<Selected> {
        if self.tried.len() >= MAX_SENDS {
            return None;
        }
        let now = clock::now();
        let version_group = self.choose_version_group(now);
        let prompt = self.outgoing.head.prompt.as_ref();
        let wanted =
            Wanted { digest: self.digest, prompt, tried: &self.tried, version_group, apart };
        let selected = select(&self.gateway, &self.admitted, &wanted, now)?;
        self.tried.push(selected.id.clone());
        self.tried_at = now;
        self.gateway.log(&Event::Attempt {
            request: &self.outgoing.head.id,
            digest: &self.digest.to_string(),
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
            configuration: self.admitted.configuration.version,
            upstreams: selected.revision,
            upstreams_age_ms: self.gateway.knowledge_age_ms(Followed::Upstreams, now),
            leaving: selected.leaving,
            row_missing: selected.row_missing,
        });
        Some(selected)
    }

    /// Chooses the versions that the next attempt goes to, while another one is rolled out.
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

    /// Returns whether an upstream may have run it.
    pub(super) fn has_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns the refusal for a request that nobody took.
    fn give_up(&self) -> Refusal {
        if self.runs > 0 {
            return Refusal::Broken;
        }
        let board = self.gateway.board.borrow();
        let wait = board.service_hold_off(&self.admitted.service, clock::now());
        wait.map_or(Refusal::NoRoom, Refusal::HeldOff)
    }

    /// Returns whether a request that may have run may run again, and takes it
    /// from the budget of second attempts.
    pub fn may_run_again(&mut self, upstream: &str, cause: &'static str) -> bool {
        let route = &self.admitted.route;
        let allowed = route.repeatable() && self.runs < route.max_attempts && self.take_retry();
        self.log_failed(upstream, cause, true, allowed);
        allowed
    }

    /// Returns whether a request that did not run may be sent once more, and
    /// takes it from the budget of second attempts.
    pub fn may_send_again(&mut self, upstream: &str, cause: &'static str) -> bool {
        let allowed = self.take_retry();
        self.log_failed(upstream, cause, false, allowed);
        allowed
    }

    /// Notes that nothing reached the upstream.
    pub(super) fn unsent(&mut self, selected: &Selected, cause: &'static str) {
        if cause == UNREACHABLE {
            self.verdict(&selected.id, selected.lifetime, AttemptOutcome::Unreachable);
        }
        self.log_failed(&selected.id, cause, false, true);
    }

    fn take_retry(&self) -> bool {
        let terms = self.retry_terms();
        let mut board = self.gateway.board.borrow_mut();
        let processes = 1 + board.peers.len();
        board.retries.take(&self.admitted.service, terms, processes, clock::now())
    }

    fn retry_terms(&self) -> RetryPolicy {
        let bounds = self.gateway.settings.borrow().bounds;
        RetryPolicy {
            ratio: bounds.retry_ratio,
            surplus: bounds.retry_surplus,
            window: bounds.retry_window,
        }
    }

    fn count_request(&self) {
        let terms = self.retry_terms();
        let mut board = self.gateway.board.borrow_mut();
        board.retries.request(&self.admitted.service, terms, clock::now());
    }

    fn refused(&self, refusal: Refusal) -> Response<AnswerBody> {
        if self.runs == 0 {
            give_back(&self.gateway, &self.admitted);
        }
        let head = &self.outgoing.head;
        refuse(&self.gateway, head, Some(&self.admitted), refusal, self.arrived)
    }
}
