//! Operators' quarantine pages, served on the peer address.

use hyper::{Method, Response, StatusCode};
use serde::Serialize;

use super::endpoints::{with_status, with_type};
use crate::{
    gateway::{context::Gateway, decide::VerdictReport, net::AnswerBody},
    time::UnixMillis,
};

/// Path of the page that lists and releases quarantined requests.
pub(super) const QUARANTINE_PATH: &str = "/quarantine";
/// Path below it that lists and releases quarantined parts of prompts.
const PARTS_PATH: &str = "/parts";

/// Serves the requests that are quarantined for crashing upstreams: `GET` lists them, `DELETE` with
/// a digest releases one on all gateways. `rest` is the path after [`QUARANTINE_PATH`]. Below
/// [`PARTS_PATH`] it does the same for parts of prompts, by their keys.
pub(super) fn quarantine(gateway: &Gateway, method: &Method, rest: &str) -> Response<AnswerBody> {
    if let Some(rest) = rest.strip_prefix(PARTS_PATH) {
        return quarantined_parts(gateway, method, rest);
    }
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

fn quarantined_parts(gateway: &Gateway, method: &Method, rest: &str) -> Response<AnswerBody> {
    match (method, rest.strip_prefix('/')) {
        (&Method::GET, None) if rest.is_empty() => list_parts(gateway),
        (&Method::DELETE, Some(part)) => match part.parse() {
            Ok(part) if gateway.release_part(part) => with_status(StatusCode::OK, "released\n"),
            Ok(_) => with_status(StatusCode::NOT_FOUND, "it is not quarantined\n"),
            Err(e) => with_status(StatusCode::BAD_REQUEST, format!("{e}\n")),
        },
        _ => with_status(StatusCode::NOT_FOUND, "no such question\n"),
    }
}

/// A quarantined request.
#[derive(Serialize)]
struct QuarantinedRequest {
    digest: String,
    customer: String,
    /// When it was quarantined or last tried since, in Unix milliseconds.
    at_ms: UnixMillis,
    /// Number of trials since it was quarantined.
    trials: u32,
    /// Number of upstream ends attributed to it that this process knows of.
    ends: usize,
}

fn list_quarantine(gateway: &Gateway) -> Response<AnswerBody> {
    let board = gateway.board.borrow();
    let verdicts = board.crashes.verdicts();
    let held = verdicts.into_iter().filter(|VerdictReport(_, v)| v.is_quarantined());
    let list: Vec<QuarantinedRequest> = held
        .map(|VerdictReport(digest, verdict)| QuarantinedRequest {
            digest: digest.to_string(),
            customer: verdict.customer,
            at_ms: verdict.at_ms,
            trials: verdict.trials,
            ends: board.crashes.crashes_under(digest).len(),
        })
        .collect();
    json_list(&list)
}

/// A quarantined part of prompts.
#[derive(Serialize)]
struct QuarantinedPart {
    part: String,
    /// Customer that first sent it; empty on an open route.
    customer: String,
    /// When it was quarantined or last tried since, in Unix milliseconds.
    at_ms: UnixMillis,
    /// Number of trials since it was quarantined.
    trials: u32,
    /// Number of upstream ends attributed to it that this process knows of.
    ends: usize,
}

fn list_parts(gateway: &Gateway) -> Response<AnswerBody> {
    let board = gateway.board.borrow();
    let parts = board.crashes.parts();
    let held = parts.verdicts().into_iter().filter(|VerdictReport(_, v)| v.is_quarantined());
    let list: Vec<QuarantinedPart> = held
        .map(|VerdictReport(part, verdict)| QuarantinedPart {
            part: part.to_string(),
            customer: verdict.customer,
            at_ms: verdict.at_ms,
            trials: verdict.trials,
            ends: parts.crashes_under(part),
        })
        .collect();
    json_list(&list)
}

fn json_list<T: Serialize>(list: &[T]) -> Response<AnswerBody> {
    match serde_json::to_vec(list) {
        Ok(json) => with_type(json, "application/json"),
        Err(e) => {
            log::error!("failed to encode the list of quarantined requests: {e}");
            with_status(StatusCode::INTERNAL_SERVER_ERROR, "unwritable\n")
        }
    }
}
