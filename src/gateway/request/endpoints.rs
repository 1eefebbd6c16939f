//! Request handlers of the addresses that the process listens on.

use std::{net::SocketAddr, rc::Rc, time::Instant};

use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};

use super::{arrival::forward, quarantine, status, tunnel::tunnel};
use crate::{
    clock,
    gateway::{
        context::Gateway,
        controllers::VerdictKind,
        decide::choose_listed_gateways,
        model::EndpointKind,
        net::{AnswerBody, IntakeConnection, Phase, Service, TUNNEL_PATH, full_body},
    },
    platform::{decode_lookup, encode_addresses, is_ready_probe},
};

/// Time to live of directory answers, in seconds. A shorter one would only cause more look-ups,
/// since callers drop addresses that fail.
const DIRECTORY_TTL_SECONDS: u64 = 2;
/// Maximum number of addresses in a directory answer; callers use no more.
const MAX_ADDRESSES: usize = 64;

/// Path from which other gateways read the upstreams. With `/REVISION` appended, only changes after
/// that revision are returned.
const UPSTREAMS_PATH: &str = "/peer/upstreams";

/// Answers requests that arrive at one listening address.
#[derive(Debug)]
pub struct Endpoint {
    /// Determines which handler answers.
    pub kind: EndpointKind,
    /// State that all handlers share.
    pub gateway: Rc<Gateway>,
}

impl Service for Endpoint {
    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<IntakeConnection>,
    ) -> Response<AnswerBody> {
        match self.kind {
            EndpointKind::Callers => forward(self.gateway.clone(), request, connection).await,
            EndpointKind::Directory => directory(&self.gateway, &request),
            EndpointKind::Readiness => readiness(&self.gateway, &request),
            EndpointKind::Peers => peers(&self.gateway, request).await,
        }
    }
}

pub(super) fn with_status(
    status: StatusCode,
    body: impl Into<bytes::Bytes>,
) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response
}

pub(super) fn with_type(body: impl Into<bytes::Bytes>, kind: &'static str) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(body));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

fn directory(gateway: &Gateway, request: &Request<Incoming>) -> Response<AnswerBody> {
    if decode_lookup(request.method(), request.uri()).is_none() {
        return with_status(StatusCode::NOT_FOUND, "no such question\n");
    }
    let addresses = addresses(gateway, clock::now());
    if addresses.is_empty() {
        return with_status(StatusCode::SERVICE_UNAVAILABLE, "nobody serves\n");
    }
    let longest = gateway.settings.borrow().bounds.directory_ttl.as_secs();
    with_type(encode_addresses(&addresses, DIRECTORY_TTL_SECONDS.min(longest)), "application/json")
}

/// Returns the addresses of gateways that callers may use, shuffled to spread load. This process is
/// included while it serves and has a configuration.
fn addresses(gateway: &Gateway, now: Instant) -> Vec<SocketAddr> {
    let board = gateway.board.borrow();
    let mut serving: Vec<(SocketAddr, bool)> =
        board.serving_peers(now).map(|p| (p.last.callers, p.last.cut_off)).collect();
    if gateway.shutdown.phase() == Phase::Serving && board.configuration.is_some() {
        serving.push((gateway.settings.borrow().listen.callers, board.paths.is_cut_off()));
    }
    let mut addresses = choose_listed_gateways(&serving);
    fastrand::shuffle(&mut addresses);
    addresses.truncate(MAX_ADDRESSES);
    addresses
}

fn readiness(gateway: &Gateway, request: &Request<Incoming>) -> Response<AnswerBody> {
    if !is_ready_probe(request.method(), request.uri()) {
        return with_status(StatusCode::NOT_FOUND, "no such question\n");
    }
    match gateway.is_ready() {
        true => with_status(StatusCode::OK, "ready\n"),
        false => with_status(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

async fn peers(gateway: &Rc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    let path = request.uri().path().to_owned();
    if let Some(upstream) = path.strip_prefix(TUNNEL_PATH) {
        return tunnel(gateway, request, upstream).await;
    }
    if let Some(rest) = path.strip_prefix(quarantine::QUARANTINE_PATH) {
        return quarantine::quarantine(gateway, request.method(), rest);
    }
    if let Some(after) = path.strip_prefix(UPSTREAMS_PATH) {
        return upstreams(gateway, after);
    }
    if let Some(kind) = VerdictKind::of_path(&path) {
        return quarantine_verdicts(gateway, kind);
    }
    match path.as_str() {
        "/peer/configuration" => {
            let document = gateway.board.borrow().document.clone();
            match document.is_empty() {
                true => with_status(StatusCode::NOT_FOUND, "no configuration yet\n"),
                false => with_type(document, "application/json"),
            }
        }
        status::STATUS_PATH => status::status(gateway),
        "/metrics" => match gateway.metrics.text() {
            Ok(text) => {
                with_type(text, "application/openmetrics-text; version=1.0.0; charset=utf-8")
            }
            Err(e) => {
                log::error!("failed to encode metrics: {e}");
                with_status(StatusCode::INTERNAL_SERVER_ERROR, "unwritable\n")
            }
        },
        _ => with_status(StatusCode::NOT_FOUND, "no such question\n"),
    }
}

fn quarantine_verdicts(gateway: &Gateway, kind: VerdictKind) -> Response<AnswerBody> {
    match kind.encode(&gateway.board.borrow().crashes) {
        Ok(bytes) => with_type(bytes, "application/octet-stream"),
        Err(e) => {
            log::error!("failed to encode quarantine verdicts: {e}");
            with_status(StatusCode::INTERNAL_SERVER_ERROR, "unwritable\n")
        }
    }
}

/// Answers with all upstreams, or with those changed after the requested revision.
fn upstreams(gateway: &Gateway, after: &str) -> Response<AnswerBody> {
    let after = match after.strip_prefix('/').map_or(Ok(0), str::parse) {
        Ok(after) => after,
        Err(e) => return with_status(StatusCode::BAD_REQUEST, format!("no revision: {e}\n")),
    };
    match gateway.board.borrow().upstream_snapshot(after).encode() {
        Ok(bytes) => with_type(bytes, "application/octet-stream"),
        Err(e) => {
            log::error!("failed to encode upstream snapshot: {e}");
            with_status(StatusCode::INTERNAL_SERVER_ERROR, "unwritable\n")
        }
    }
}
