//! Arrival of a request: admission, reading of its body, and forwarding until it is answered.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use hyper::{
    Request, Response,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
};

use super::{
    Admitted, Refusal, admit,
    attempt::OutgoingRequest,
    cost::check_memory,
    forward::{Accepted, Forwarding},
    in_flight::InProgress,
    report::refuse,
};
use crate::{
    clock,
    gateway::{
        context::Gateway,
        decide::Mechanism,
        model::PartKey,
        net::{AnswerBody, IntakeConnection, Phase, read_body},
    },
    platform::{self, RequestHead},
};

/// Timeout of a request whose caller sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time subtracted from the caller's timeout for sending the answer back.
const RETURN_MARGIN: Duration = Duration::from_millis(10);

/// Forwards a caller's request and returns the answer. During shutdown, the answer asks the caller
/// to close the connection.
pub async fn forward(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    connection: Rc<IntakeConnection>,
) -> Response<AnswerBody> {
    let arrived = clock::now();
    let leaving = gateway.shutdown.phase() > Phase::Serving;
    let in_progress = InProgress::begin(&gateway);
    let mut response = answer(&gateway, request, &connection, arrived, in_progress).await;
    if leaving || gateway.shutdown.phase() > Phase::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn answer(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    connection: &Rc<IntakeConnection>,
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
    if let Err(refusal) = check_memory(gateway, &head, &admitted, arrived) {
        return refuse_admitted(gateway, &head, &admitted, refusal, arrived);
    }
    let timeout = head.patience.unwrap_or(DEFAULT_TIMEOUT);
    let timeout = timeout.saturating_sub(RETURN_MARGIN).min(admitted.route.timeout);
    let deadline = arrived + timeout;
    if let Err(refusal) = gateway.admit_to_service(&admitted, &head, arrived, deadline) {
        return refuse_admitted(gateway, &head, &admitted, refusal, arrived);
    }
    let limit = admitted.configuration.limits.body_bytes;
    let read = clock::timeout_at(deadline, read_body(connection, body, limit)).await;
    let read = read.map_or(Err(Refusal::TimeOverNotRun), |read| read.map_err(Refusal::from));
    let (body, lease) = match read {
        Ok(read) => read,
        Err(refusal) => return refuse_admitted(gateway, &head, &admitted, refusal, arrived),
    };
    // The body may have taken until late in the shutdown, whose end would cut the answer off.
    if gateway.shutdown.phase() > Phase::Leaving {
        return refuse_admitted(gateway, &head, &admitted, Refusal::Leaving, arrived);
    }
    let outgoing = OutgoingRequest::new(parts, head, body);
    let parts = part_keys(gateway, &outgoing.head, &admitted.service);
    let accepted = Accepted { outgoing, body: lease, parts, admitted, arrived, deadline };
    Forwarding::new(gateway.clone(), accepted, in_progress).answer().await
}

/// Refuses a request that has not run, and gives back what it was charged.
fn refuse_admitted(
    gateway: &Gateway,
    head: &RequestHead,
    admitted: &Admitted,
    refusal: Refusal,
    arrived: Instant,
) -> Response<AnswerBody> {
    refund_quota(gateway, admitted);
    refuse(gateway, head, Some(admitted), refusal, arrived)
}

/// Returns the keys of the parts of a prompt that other requests may share.
fn part_keys(gateway: &Gateway, head: &RequestHead, service: &str) -> Rc<[PartKey]> {
    match gateway.settings.borrow().off.is_enabled(Mechanism::PartQuarantine) {
        true => head.shared_parts.iter().map(|part| PartKey::new(service, *part)).collect(),
        false => Rc::default(),
    }
}

/// Gives back the tokens that a request was charged to its customer's quota.
pub(super) fn refund_quota(gateway: &Gateway, admitted: &Admitted) {
    if let Some(customer) = &admitted.customer {
        gateway.board.borrow_mut().quotas.give_back(customer, admitted.tokens, clock::now());
    }
}
