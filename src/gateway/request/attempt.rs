//! A single attempt to send a request to an upstream.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri, Version,
    http::{request::Parts, response},
};
use tokio::time::timeout;

use super::{Admitted, DialTarget, room::RoomAnswer, select::Selected, signals::note_signals};
use crate::{
    clock,
    gateway::{
        context::Gateway,
        model::RequestDigest,
        net::{
            BodyEnd, ConnectError, Path, PoolError, PooledConnection, ReceivedBody, RequestBody,
            SendError, UpstreamBody,
        },
    },
    platform::{self, Attempt, RequestHead},
};

/// The request as it is sent to upstreams; every attempt builds its own copy.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Decoded head of the caller's request.
    pub head: RequestHead,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

impl OutgoingRequest {
    /// Creates the outgoing request from the caller's. Method, path, query and body stay
    /// unchanged; hop-by-hop headers are removed.
    pub fn new(parts: Parts, head: RequestHead, body: Bytes) -> Self {
        let mut headers = parts.headers;
        platform::strip_hop_headers(&mut headers);
        let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
        let uri = path.parse().unwrap_or(parts.uri.clone());
        Self { head, method: parts.method, uri, headers, body }
    }

    /// Returns the digest of customer, method, host, target and body, which is equal for copies of
    /// a request.
    pub fn digest(&self, customer: Option<&str>) -> RequestDigest {
        let target = self.uri.path_and_query().map_or("/", |p| p.as_str());
        let customer = customer.unwrap_or_default();
        let texts = [customer, self.method.as_str(), &self.head.host, target].map(str::as_bytes);
        let [customer, method, host, target] = texts;
        RequestDigest::of(&[customer, method, host, target, &self.body])
    }

    fn request(&self, attempt: &Attempt<'_>) -> Request<RequestBody> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = self.headers.clone();
        platform::stamp_attempt(request.headers_mut(), attempt);
        request
    }
}

/// Maximum size of a body that is read only to use its connection again. Reading a larger one costs
/// more than a new connection.
const MAX_DISCARDED_BYTES: usize = 16 << 10;
/// Time for reading such a body. A longer one delays the next attempt.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

/// Failure cause: the upstream restarted and lost the request.
pub const UPSTREAM_RESTARTED: &str = "upstream_started_again";

/// An answer whose head has arrived.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// Status and headers.
    pub head: response::Parts,
    /// The body, which follows on the connection.
    pub body: UpstreamBody,
    /// The connection.
    pub lease: PooledConnection,
}

impl UpstreamAnswer {
    fn new(response: Response<ReceivedBody>, lease: PooledConnection) -> Self {
        let (head, body) = UpstreamBody::split(response);
        Self { head, body, lease }
    }
}

/// Result of an attempt.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The head of the answer arrived.
    Answer(Box<UpstreamAnswer>),
    /// No connection could be opened.
    Unreachable(ConnectError),
    /// Nothing was sent, for this cause.
    Unsent(&'static str),
    /// The upstream states that it did not run the request.
    NotExecuted(StatusCode),
    /// No valid answer arrived, for this cause; the request may have run.
    Broken(&'static str),
}

/// Sends a request to an upstream and waits for the head of the answer.
pub async fn attempt(
    gateway: &Rc<Gateway>,
    outgoing: &OutgoingRequest,
    admitted: &Admitted,
    selected: &Selected,
    resume_after: Option<&str>,
    deadline: Instant,
) -> AttemptEnd {
    let (id, lifetime) = (&selected.id, selected.lifetime);
    let Some(permit) = gateway.find_permit(lifetime).await else {
        return AttemptEnd::Unsent("rate_limited");
    };
    match gateway.find_room(lifetime).await {
        RoomAnswer::NotNeeded => {}
        RoomAnswer::Granted(lease) => selected.in_flight.hold_room(lease),
        RoomAnswer::Denied => return AttemptEnd::Unsent("no_room"),
    }
    let target = DialTarget { lifetime, address: selected.address, request: &outgoing.head.id };
    let dialling = gateway.dial(target);
    let acquired = gateway.pool.acquire(lifetime, selected.max_connections, dialling).await;
    let mut lease = match acquired {
        Ok(lease) => lease,
        Err(PoolError::Full) => return AttemptEnd::Unsent("no_connection_free"),
        Err(PoolError::Connect(e)) if e.is_own_shortage() => {
            return AttemptEnd::Unsent("no_descriptor");
        }
        Err(PoolError::Connect(e)) => return AttemptEnd::Unreachable(e),
    };
    if lease.connection().ready().await.is_err() {
        return AttemptEnd::Unsent("connection_ended");
    }
    // Checked just before sending, since opening the connection may have taken long.
    if !gateway.board.borrow().may_be_sent_to(id, lifetime, clock::now()) {
        return AttemptEnd::Unsent("upstream_left");
    }
    if !gateway.board.borrow().rests.remaining(lifetime, clock::now()).is_zero() {
        return AttemptEnd::Unsent("upstream_rests");
    }
    if selected.in_flight.is_quarantined() {
        return AttemptEnd::Unsent("crashes_upstreams");
    }
    if !gateway.take_permit(lifetime, permit) {
        return AttemptEnd::Unsent("rate_limited");
    }
    let request = outgoing.request(&Attempt {
        time_left: deadline.saturating_duration_since(clock::now()),
        upstream: &selected.id,
        customer: admitted.customer.as_deref(),
        priority: outgoing.head.prompt.is_some().then_some(admitted.priority),
        resume_after,
    });
    let sent = tokio::select! {
        sent = lease.connection().send(request) => sent,
        () = selected.in_flight.lifetime_end() => return AttemptEnd::Broken(UPSTREAM_RESTARTED),
    };
    let response = match sent {
        Ok(response) => response,
        Err(SendError::Unsent(_)) => return AttemptEnd::Unsent("connection_ended"),
        Err(SendError::Http(_)) => return AttemptEnd::Broken("no_answer"),
        Err(SendError::InterimAnswers) => return AttemptEnd::Broken("interim_answers"),
        Err(SendError::Head(fault)) => return AttemptEnd::Broken(fault.name()),
    };
    if lease.path() == Path::Direct {
        gateway.note_reached(lifetime);
    }
    let (status, headers) = (response.status(), response.headers());
    note_signals(gateway, outgoing, selected, status, headers);
    if !platform::same_request(headers, &outgoing.head.id) {
        return AttemptEnd::Broken("answer_of_another_request");
    }
    if platform::is_not_executed(status, headers) {
        if status != StatusCode::MISDIRECTED_REQUEST {
            selected.in_flight.note_rejected();
        }
        drain_and_release(response, lease).await;
        return AttemptEnd::NotExecuted(status);
    }
    if platform::is_unsigned_success(status, headers) {
        return AttemptEnd::Broken("answer_without_signature");
    }
    AttemptEnd::Answer(Box::new(UpstreamAnswer::new(response, lease)))
}

/// Reads and discards the rest of an answer, so that its connection can be reused. The connection of
/// a body that is large or slow is closed.
async fn drain_and_release(response: Response<ReceivedBody>, lease: PooledConnection) {
    let (head, body) = UpstreamBody::split(response);
    let read = timeout(DISCARD_TIMEOUT, body.discard(MAX_DISCARDED_BYTES)).await;
    let is_whole = read == Ok(BodyEnd::Complete);
    if is_whole && !platform::closes(&head.headers) {
        lease.give_back(platform::keep_alive(&head.headers));
    }
}
