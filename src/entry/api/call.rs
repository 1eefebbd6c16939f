//! `/v1/services/NAME/...`.

use std::sync::Arc;

use super::{follow, problem::Problem, reply::Reply, request::Incoming, start::start};
use crate::{
    entry::context::Context,
    record::{CallWork, Work},
    routing::Class,
};

/// Path of plain services.
const SERVICES: &str = "/v1/services/";

/// Serves a call of a plain service.
pub fn create(cx: &Arc<Context>, incoming: &mut Incoming) -> Result<Reply, Problem> {
    incoming.api_key()?;
    let body = incoming.body(cx.settings.limits.body_bytes)?;
    let rest = incoming.url().strip_prefix(SERVICES).unwrap_or_default();
    let split = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(split);
    let (name, path) =
        (name.to_owned(), if path.starts_with('/') { path.to_owned() } else { format!("/{path}") });
    let method = incoming.method().as_str().to_owned();
    let content_type =
        incoming.header("content-type").unwrap_or("application/octet-stream").to_owned();
    let sent = body.clone();
    let model = format!("service:{name}");
    let started = start(cx, incoming, &body, model.clone(), Class::Call, move |policy| {
        let service = policy.service(&name).ok_or(Problem::UnknownModel(model))?;
        Ok(Work::Call(CallWork {
            service: name,
            method,
            path,
            content_type,
            body: sent,
            repeatable: service.repeatable,
            refuses_with: service.refuses_with.clone(),
            silence_ms: service.silence_ms,
        }))
    })?;
    follow::answer(cx, incoming, started, false)
}
