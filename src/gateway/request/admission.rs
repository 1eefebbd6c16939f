//! Admission of requests to services that may be overloaded.

use std::time::{Duration, Instant};

use super::{
    Admitted, Refusal,
    prediction::predicted_service,
    report::{class, count_admission},
};
use crate::{
    clock,
    gateway::{
        context::Gateway,
        decide::{
            Admission, AdmissionRequest, Mechanism, PredictedService, RefusalReason, ServiceRanks,
            decide, stream_abandoned_after,
        },
        model::RequestKind,
        telemetry::Event,
    },
    platform::RequestHead,
};

impl RefusalReason {
    /// Returns the name used in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::TooLate => "too_late",
            Self::Overload => "overload",
        }
    }
}

impl Gateway {
    /// Decides whether a request is admitted to its service, where [`Mechanism::Admission`] is in
    /// use. Requests that take up a stream are admitted, since the start of their answer would be
    /// lost.
    ///
    /// # Errors
    ///
    /// Returns the refusal to answer the caller with. The request was not sent.
    pub(super) fn admit_to_service(
        &self,
        admitted: &Admitted,
        head: &RequestHead,
        arrived: Instant,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        if !self.uses(Mechanism::Admission) || head.resumed.is_some() {
            return Ok(());
        }
        let now = clock::now();
        let predicted = predicted_service(self, admitted, head, now);
        let ranks = service_ranks(admitted);
        let mut board = self.board.borrow_mut();
        let stated = head.patience;
        let used = stated.map(|t| board.admission.used_budget(&admitted.route.name, t));
        let backlog = board.admission.backlog(&admitted.service);
        if let Some(predicted) = predicted {
            backlog.note(predicted.median_wait, now);
        }
        let used = used.unwrap_or_default();
        let request =
            admission_request(admitted, &ranks, predicted, used, (now, arrived, deadline));
        let decision = decide(&request, backlog, fastrand::f64());
        let (share, slope) = (request.shed_share(backlog.standing_wait(now)), backlog.slope(now));
        drop(board);
        let Admission::Refuse { retry_after, reason } = decision else {
            count_admission(self, admitted, "admitted");
            return Ok(());
        };
        count_admission(self, admitted, reason.name());
        self.log(&Event::Admission {
            request: &head.id,
            route: &admitted.route.name,
            class: &class(admitted),
            decision: reason.name(),
            wait_ms: predicted.map_or(0, |p| p.wait.as_millis() as u64),
            median_wait_ms: predicted.map_or(0, |p| p.median_wait.as_millis() as u64),
            service_ms: predicted.map_or(0, |p| p.service.as_millis() as u64),
            age_ms: predicted.and_then(|p| p.age).map(|age| age.as_millis() as u64),
            slope,
            share,
            used_ms: used.as_millis() as u64,
            left_ms: request.time_left.as_millis() as u64,
            retry_after_ms: retry_after.as_millis() as u64,
        });
        Err(match reason {
            RefusalReason::TooLate => Refusal::TooLate(retry_after),
            RefusalReason::Overload => Refusal::Overloaded(retry_after),
        })
    }

    /// Returns a refusal for want of room with the delay that follows from the backlog, where
    /// [`Mechanism::Admission`] is in use; other refusals unchanged.
    pub(super) fn with_backlog_delay(
        &self,
        refusal: Refusal,
        admitted: &Admitted,
        (arrived, deadline): (Instant, Instant),
    ) -> Refusal {
        if refusal != Refusal::NoRoom || !self.uses(Mechanism::Admission) {
            return refusal;
        }
        let (now, ranks) = (clock::now(), service_ranks(admitted));
        let request =
            admission_request(admitted, &ranks, None, Duration::ZERO, (now, arrived, deadline));
        let mut board = self.board.borrow_mut();
        let backlog = board.admission.backlog(&admitted.service);
        Refusal::Overloaded(request.retry_after(backlog, fastrand::f64()))
    }
}

/// Returns the ranks of the routes that share the service of a request.
fn service_ranks(admitted: &Admitted) -> ServiceRanks {
    let routes = admitted.configuration.routes.iter();
    let of_service = routes.filter(|r| r.targets.iter().any(|(s, _)| *s == admitted.service));
    ServiceRanks::new(of_service.map(|r| (r.priority, r.objective)))
}

fn admission_request<'a>(
    admitted: &Admitted,
    ranks: &'a ServiceRanks,
    predicted: Option<PredictedService>,
    used: Duration,
    (now, arrived, deadline): (Instant, Instant, Instant),
) -> AdmissionRequest<'a> {
    let route = &admitted.route;
    let streaming = route.kind == RequestKind::Streaming;
    AdmissionRequest {
        now,
        arrived,
        predicted,
        time_left: deadline.saturating_duration_since(now),
        used,
        abandons_after: streaming.then(|| stream_abandoned_after(route.objective, route.max_pause)),
        objective: route.objective,
        rank: admitted.priority,
        ranks,
        may_wait: false,
    }
}
