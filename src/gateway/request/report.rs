//! Records the course of a request in logs, metrics, health statistics and usage counts.

use std::time::Instant;

use hyper::{Response, StatusCode};

use super::{Admitted, Outcome, Refusal, forward::Forwarding, select::Selected};
use crate::{
    clock,
    gateway::{
        context::Gateway,
        decide::{
            AttemptOutcome, FirstTokenSample, Mechanism, RouteKey, SpeedSample, VersionGroup,
        },
        model::{Lifetime, RequestKind, WatchedData},
        net::{AnswerBody, ConnectError, Framing},
        telemetry::{Event, RequestLabels},
    },
    ids::UpstreamId,
    platform::RequestHead,
    telemetry::{Labels, count},
};

/// Minimum expected time to the first token, in seconds; clocks do not resolve shorter times.
const MIN_EXPECTED_SECONDS: f64 = 0.005;

/// Logs and counts a refusal, and returns its response.
pub(super) fn refuse(
    gateway: &Gateway,
    head: &RequestHead,
    admitted: Option<&Admitted>,
    refusal: Refusal,
    arrived: Instant,
) -> Response<AnswerBody> {
    let took_ms = clock::now().saturating_duration_since(arrived).as_millis() as u64;
    gateway.log(&Event::Answered {
        request: &head.id,
        route: admitted.map_or("", |a| &a.route.name),
        customer: admitted.and_then(|a| a.customer.as_deref()).unwrap_or_default(),
        status: refusal.status().as_u16(),
        outcome: refusal.cause(),
        took_ms,
        first_ms: took_ms,
        configuration: gateway.board.borrow().configuration_version(),
        configuration_age_ms: gateway.knowledge_age_ms(WatchedData::Configuration, clock::now()),
        framing: "",
        inside_event: false,
    });
    let class = admitted.map_or_else(|| "unknown".to_owned(), class);
    let labels = RequestLabels { class, outcome: refusal.cause().to_owned() };
    gateway.metrics.requests.get_or_create(&labels).inc();
    refusal.response()
}

/// Returns the class label of a request for metrics, from the kind and priority of its route.
pub(super) fn class(admitted: &Admitted) -> String {
    let kind = match admitted.route.kind {
        RequestKind::Safe => "safe",
        RequestKind::Unsafe => "unsafe",
        RequestKind::Streaming => "streaming",
    };
    format!("{kind}_{}", admitted.route.priority)
}

/// Counts a decision on the admission of a request.
pub(super) fn count_admission(gateway: &Gateway, admitted: &Admitted, decision: &'static str) {
    let labels = RequestLabels { class: class(admitted), outcome: decision.to_owned() };
    gateway.metrics.admission.get_or_create(&labels).inc();
}

impl Forwarding {
    /// Logs and counts a failed attempt; `retrying` is set if another one follows.
    pub(super) fn log_failed(
        &self,
        upstream: &str,
        cause: &'static str,
        may_have_run: bool,
        retrying: bool,
    ) {
        let next = if retrying { "again" } else { "give_up" };
        self.log_attempt_failed(upstream, cause, "", may_have_run, next);
    }

    /// Logs and counts an attempt for which nothing was sent. Another one follows, since it costs
    /// no retry budget.
    pub(super) fn log_unsent(&self, upstream: &str, cause: &'static str) {
        self.log_attempt_failed(upstream, cause, "", false, "again");
    }

    /// Logs and counts an attempt for which no connection could be opened.
    pub(super) fn log_unreachable(&self, upstream: &str, error: &ConnectError) {
        self.log_attempt_failed(upstream, "unreachable", error.name(), false, "again");
    }

    fn log_attempt_failed(
        &self,
        upstream: &str,
        cause: &'static str,
        connect_error: &'static str,
        may_have_run: bool,
        next: &'static str,
    ) {
        count(&self.gateway.metrics.failed_attempts, cause);
        self.gateway.log(&Event::AttemptFailed {
            request: &self.outgoing.head.id,
            digest: &self.digest.to_string(),
            upstream,
            after_ms: clock::now().saturating_duration_since(self.attempted_at).as_millis() as u64,
            cause,
            connect_error,
            may_have_run,
            next,
        });
    }

    /// Records the result of an attempt for one lifetime of an upstream; ignored if the upstream
    /// has restarted since.
    pub fn verdict(&self, upstream: &UpstreamId, lifetime: Lifetime, verdict: AttemptOutcome) {
        let mut board = self.gateway.board.borrow_mut();
        if let Some(view) = board.in_lifetime(upstream, lifetime) {
            let now = clock::now();
            view.breaker.record(verdict, now);
            if verdict != AttemptOutcome::Unreachable {
                view.outcomes.note(verdict == AttemptOutcome::Failed, now);
            }
        }
    }

    /// Records how long an answer took, for comparing the versions of a roll-out. The time is
    /// relative to the predicted one if the request has a prompt, else in seconds.
    pub(super) fn note_answer(&self, selected: &Selected, now: Instant) {
        let took = now.saturating_duration_since(selected.at).as_secs_f64();
        let expected = match self.outgoing.head.prompt {
            Some(_) => selected.predicted.as_secs_f64().max(MIN_EXPECTED_SECONDS),
            None => 1.0,
        };
        self.note_outcome(selected.version_group, Some(took / expected));
    }

    /// Records a failed request, for comparing the versions of a roll-out.
    pub(super) fn note_failure(&self, version_group: Option<VersionGroup>) {
        self.note_outcome(version_group, None);
    }

    fn note_outcome(&self, version_group: Option<VersionGroup>, took: Option<f64>) {
        let route = RouteKey::new(&self.admitted.route.name);
        let mut board = self.gateway.board.borrow_mut();
        let time = board.store_time(clock::now());
        board.rollouts.note_answer(&self.admitted.service, route, version_group, took, time);
    }

    /// Updates the speed model of the service with a measured time to the first token.
    pub fn note_first_token(&self, selected: &Selected, now: Instant) {
        if self.is_canary(selected) {
            return;
        }
        self.note_upstream_speed(selected, now);
        let took = now.saturating_duration_since(selected.at);
        let c = selected.candidate;
        let mut board = self.gateway.board.borrow_mut();
        if c.running < f64::from(c.slots) {
            let tokens = c.pending_tokens + c.missing_tokens;
            let seen = FirstTokenSample { tokens, running: c.running, took };
            board.speed_model(&self.admitted.service).note_first_token(seen);
        }
    }

    /// Notes the time to the first event for the speed of the upstream. An answer that resumes a
    /// stream began elsewhere, and one that waited for a slot says nothing about the upstream.
    fn note_upstream_speed(&self, selected: &Selected, now: Instant) {
        if !self.gateway.uses(Mechanism::UpstreamSpeeds) {
            return;
        }
        let c = selected.candidate;
        let found_slot = c.running < f64::from(c.slots);
        let cause = match (self.outgoing.head.resumed.is_some(), found_slot) {
            (true, _) => "resumed",
            (false, false) => "queued",
            (false, true) => {
                let sample = SpeedSample {
                    upstream: selected.lifetime,
                    service: &self.admitted.service,
                    sent: selected.at,
                    took: now.saturating_duration_since(selected.at),
                    predicted: selected.average_wait.as_secs_f64(),
                };
                self.gateway.board.borrow_mut().upstream_speeds.note(&sample, now).name()
            }
        };
        count(&self.gateway.metrics.speed_samples, cause);
    }

    /// Returns whether an upstream runs a canary version, whose speed is not representative of the
    /// service.
    pub(super) fn is_canary(&self, selected: &Selected) -> bool {
        let exposure = self.gateway.settings.borrow().bounds.exposure;
        let board = self.gateway.board.borrow();
        let (service, now) = (&self.admitted.service, clock::now());
        selected.version_group == Some(VersionGroup::New)
            && board.version_group_for_retry(service, exposure, now) == VersionGroup::Earlier
    }

    /// Records for how long a request occupied its slot at the upstream.
    pub fn note_slot_time(&self, selected: &Selected, now: Instant) {
        let held = now.saturating_duration_since(selected.at);
        let mut board = self.gateway.board.borrow_mut();
        board.load_meter(&self.admitted.service, now).ended(held.as_secs_f64(), now);
    }

    /// Counts a request in the customer's usage, at most once however many runs it has.
    pub fn count_usage(&self, now: Instant) {
        let Some(customer) = self.admitted.customer.as_ref().filter(|_| !self.counted.get()) else {
            return;
        };
        self.counted.set(true);
        let length = self.gateway.settings.borrow().bounds.usage_window.as_millis().max(1) as u64;
        let mut board = self.gateway.board.borrow_mut();
        let window = board.clock.unix_millis(now) / length;
        board.usage.count(&self.gateway.process, window, customer);
    }

    /// Logs and counts an answer that was relayed; `first` is when its first data arrived.
    pub fn answered(&self, status: StatusCode, outcome: Outcome, first: Option<Instant>) {
        let took_ms = clock::now().saturating_duration_since(self.arrived).as_millis() as u64;
        let to_first = first.map(|t| t.saturating_duration_since(self.arrived));
        self.gateway.log(&Event::Answered {
            request: &self.outgoing.head.id,
            route: &self.admitted.route.name,
            customer: self.admitted.customer.as_deref().unwrap_or_default(),
            status: status.as_u16(),
            outcome: outcome.name(),
            took_ms,
            first_ms: to_first.map_or(took_ms, |t| t.as_millis() as u64),
            configuration: self.admitted.configuration.version,
            configuration_age_ms: self
                .gateway
                .knowledge_age_ms(WatchedData::Configuration, clock::now()),
            framing: self.framing.map_or("", Framing::name),
            inside_event: self.inside_event,
        });
        let class = class(&self.admitted);
        if let Some(time) = to_first {
            let labels = Labels { cause: class.clone() };
            let histogram = self.gateway.metrics.first_byte.get_or_create(&labels);
            histogram.observe(time.as_secs_f64());
        }
        let labels = RequestLabels { class, outcome: outcome.name().to_owned() };
        self.gateway.metrics.requests.get_or_create(&labels).inc();
    }
}
