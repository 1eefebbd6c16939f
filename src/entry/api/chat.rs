//! `POST /v1/chat/completions`.

use std::sync::Arc;

use serde::Deserialize;

use super::{follow, problem::Problem, reply::Reply, request::Incoming, start::start};
use crate::{
    entry::context::Context,
    record::{ChatWork, Message, Work},
    routing::Class,
};

/// Tokens generated at most where the caller does not say.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Tokens generated at most.
const MAX_TOKENS: u32 = 32_768;

/// Body of a request. Unknown fields are passed over, as clients send many.
#[derive(Debug, Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    class: Option<Class>,
    #[serde(default = "yes")]
    repeatable: bool,
}

fn yes() -> bool {
    true
}

/// Serves a request to a model.
pub fn create(cx: &Arc<Context>, incoming: &mut Incoming) -> Result<Reply, Problem> {
    incoming.api_key()?;
    let body = incoming.body(cx.settings.limits.body_bytes)?;
    let parsed: ChatBody =
        serde_json::from_slice(&body).map_err(|e| Problem::BadRequest(format!("the body: {e}")))?;
    let work = check(parsed)?;
    let (model, class, stream) = (work.0.model.clone(), work.0.class, work.1);
    let started = start(cx, incoming, &body, model, class, |_| Ok(Work::Chat(work.0)))?;
    follow::answer(cx, incoming, started, stream)
}

fn check(body: ChatBody) -> Result<(ChatWork, bool), Problem> {
    if body.messages.is_empty() {
        return Err(Problem::BadRequest("messages: expected at least one".to_owned()));
    }
    let max_tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 || max_tokens > MAX_TOKENS {
        let message = format!("max_tokens: expected a number from 1 to {MAX_TOKENS}");
        return Err(Problem::BadRequest(message));
    }
    if body.class == Some(Class::Call) {
        return Err(Problem::BadRequest("class: expected chat or draft".to_owned()));
    }
    let work = ChatWork {
        model: body.model,
        messages: body.messages,
        max_tokens,
        class: body.class.unwrap_or_else(|| Class::of_max_tokens(max_tokens)),
        repeatable: body.repeatable,
    };
    Ok((work, body.stream))
}
