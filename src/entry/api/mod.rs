//! HTTP towards callers and operators.

mod admin;
mod call;
mod chat;

mod entries;
mod follow;
mod keys;
mod plain_keys;
mod problem;
mod relay;
mod reply;
mod request;
mod start;

use std::sync::Arc;

use tiny_http::{Method, Request};

use self::{problem::Problem, reply::Reply, request::Incoming};
use super::context::Context;

/// Serves one request.
pub fn handle(cx: &Arc<Context>, request: Request) {
    let mut incoming = Incoming::new(request);
    let outcome = route(cx, &mut incoming);
    match outcome {
        Ok(Reply::Sent) => {}
        Ok(reply) => incoming.respond(reply),
        Err(problem) => incoming.respond(problem.into_reply()),
    }
}

fn route(cx: &Arc<Context>, incoming: &mut Incoming) -> Result<Reply, Problem> {
    let path = incoming.path().to_owned();
    let method = incoming.method();
    match (&method, path.as_str()) {
        (Method::Get, "/v1/entries") => entries::list(cx),
        (Method::Post, "/v1/chat/completions") => chat::create(cx, incoming),
        (Method::Get, "/healthz") => Ok(Reply::text(200, "ok\n")),
        (Method::Get, "/readyz") => entries::ready(cx),
        (Method::Get, "/metrics") => Ok(Reply::metrics(cx.metrics.text())),
        (_, path) if path.starts_with("/v1/services/") => call::create(cx, incoming),
        (Method::Get, path) if path.starts_with("/v1/jobs/") => follow::job(cx, incoming),
        (Method::Get, path) if path.starts_with("/v1/requests/") => follow::resume(cx, incoming),
        (_, path) if path.starts_with("/v1/admin/") => admin::route(cx, incoming),
        _ => Err(Problem::NotFound(path)),
    }
}
