//! What operators ask a gateway, on the address for other gateways' questions.

use hyper::{Method, Response, StatusCode};
use serde::Serialize;

use super::doors::{with_status, with_type};
use crate::{
    gateway::{context::Gateway, decide::VerdictReport, net::AnswerBody},
    time::UnixMillis,
};

/// Path under which operators see and release requests that crash upstreams.
pub(super) const QUARANTINE: &str = "/quarantine";

/// Answers operators' questions about requests that are held for crashes of upstreams:
/// `GET` lists them, `DELETE` with a digest releases one in the whole fleet. `rest` is what
/// follows [`QUARANTINE`] in the path.
pub(super) fn quarantine(gateway: &Gateway, method: &Method, rest: &str) -> Response<AnswerBody> {
    match (method, rest.strip_prefix('/')) {
        (&Method::GET, None) if rest.is_empty() => list_quarantine(gateway),
        (&Method::DELETE, Some(digest)) => match digest.parse() {
            Ok(digest) if gateway.release(digest) => with_status(StatusCode::OK, "released\n"),
            Ok(_) => with_status(StatusCode::NOT_FOUND, "it is not quarantined\n"),
            Err(e) => with_status(StatusCode::BAD_REQUEST, format!("{e}\n")),
        },
        _ => with_status(StatusCode::NOT_FOUND, "no such question\n"),
    }
}

/// A request that is held, as operators see it.
#[derive(Serialize)]
struct HeldRequest {
    digest: String,
    customer: String,
    /// When it was quarantined, or tried since, in milliseconds of Unix time.
    at_ms: UnixMillis,
    /// How often it was tried since it was quarantined.
    trials: u32,
    /// Ends of upstreams under it that this process knows of.
    ends: usize,
}

fn list_quarantine(gateway: &Gateway) -> Response<AnswerBody> {
    let board = gateway.board.borrow();
    let verdicts = board.crashes.verdicts();
    let held = verdicts.into_iter().filter(|VerdictReport(_, v)| v.is_quarantined());
    let list: Vec<HeldRequest> = held
        .map(|VerdictReport(digest, verdict)| HeldRequest {
            digest: digest.to_string(),
            customer: verdict.customer,
            at_ms: verdict.at_ms,
            trials: verdict.trials,
            ends: board.crashes.crashes_under(digest).len(),
        })
        .collect();
    match serde_json::to_vec(&list) {
        Ok(json) => with_type(json, "application/json"),
        Err(e) => {
            log::error!("the quarantined requests cannot be listed: {e}");
            with_status(StatusCode::INTERNAL_SERVER_ERROR, "unwritable\n")
        }
    }
}
