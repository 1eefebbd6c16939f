//! One attempt at an upstream.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri, Version, body::Incoming,
    http::request::Parts,
};
use std::{rc::Rc, time::Instant};

use super::{Admitted, select::Selected, signals::note_signals};
use crate::{
    clock,
    gateway::{
        context::Gateway,
        model::RequestDigest,
        net::{Lease, PoolError, RequestBody},
    },
    platform::{self, Attempt, RequestHead},
};

/// What is sent to an upstream, each time anew.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// What the head says.
    pub head: RequestHead,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

impl Outgoing {
    /// Creates what is sent from the caller's request. Method, path, query and
    /// body stay as they are.
    pub fn new(parts: Parts, head: RequestHead, body: Bytes) -> Self {
        let mut headers = parts.headers;
        platform::strip_hop_headers(&mut headers);
        let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
        let uri = path.parse().unwrap_or(parts.uri.clone());
        Self { head, method: parts.method, uri, headers, body }
    }

    /// Returns the digest of what `customer` asks for.
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

/// Cause of an attempt's end: the upstream lost the request when it started again.
pub const STARTED_AGAIN: &str = "upstream_started_again";

/// Cause of an attempt's end: no connection could be opened.
pub const UNREACHABLE: &str = "unreachable";

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The upstream answers; the connection delivers the rest of the answer.
    Answer(Response<Incoming>, Lease),
    /// Nothing was sent.
    Unsent(&'static str),
    /// The upstream says that it did not run the request.
    NotExecuted(StatusCode),
    /// No answer came; it may have run.
    Broken(&'static str),
}

/// Sends a request to an upstream and waits for the head of its answer.
pub async fn attempt(
    gateway: &Rc<Gateway>,
    outgoing: &Outgoing,
    admitted: &Admitted,
    selected: &Selected,
    resume_after: Option<&str>,
    deadline: Instant,
) -> AttemptEnd {
    let (id, lifetime) = (&selected.id, selected.lifetime);
    let Some(room) = gateway.find_room(lifetime).await else {
        return AttemptEnd::Unsent("rate_limited");
    };
    let most = selected.most_connections;
    let acquired = gateway.pool.acquire(selected.lifetime, selected.address, most).await;
    let mut lease = match acquired {
        Ok(lease) => lease,
        Err(PoolError::Full) => return AttemptEnd::Unsent("no_connection_free"),
        Err(PoolError::Connect(_)) => return AttemptEnd::Unsent(UNREACHABLE),
    };
    if lease.connection().ready().await.is_err() {
        return AttemptEnd::Unsent("connection_ended");
    }
    // Here, where the bytes leave: opening the connection may have taken long.
    if !gateway.board.borrow().may_be_sent_to(id, lifetime, clock::now()) {
        return AttemptEnd::Unsent("upstream_left");
    }
    if !gateway.board.borrow().rests.remaining(lifetime, clock::now()).is_zero() {
        return AttemptEnd::Unsent("upstream_rests");
    }
    if !gateway.use_room(lifetime, room) {
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
        () = selected.in_flight.lifetime_end() => return AttemptEnd::Broken(STARTED_AGAIN),
    };
    let response = match sent {
        Ok(response) => response,
        Err(e) if e.unsent => return AttemptEnd::Unsent("connection_ended"),
        Err(_) => return AttemptEnd::Broken("no_answer"),
    };
    let (status, headers) = (response.status(), response.headers());
    note_signals(gateway, outgoing, selected, status, headers);
    if !platform::same_request(headers, &outgoing.head.id) {
        return AttemptEnd::Broken("answer_of_another_request");
    }
    if platform::is_not_executed(status, headers) {
        give_back_after(response, lease).await;
        return AttemptEnd::NotExecuted(status);
    }
    if platform::seal_missing(status, headers) {
        return AttemptEnd::Broken("answer_without_signature");
    }
    AttemptEnd::Answer(response, lease)
}

/// Reads the rest of an answer that nobody needs, so that its connection can
/// be used again.
async fn give_back_after(response: Response<Incoming>, lease: Lease) {
    let closes = platform::closes(response.headers());
    let keep_alive = platform::keep_alive(response.headers());
    let read = response.into_body().collect().await;
    if read.is_ok() && !closes {
        lease.give_back(keep_alive);
    }
}
