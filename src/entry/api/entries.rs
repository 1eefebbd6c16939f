//! Which addresses a caller uses.

use std::sync::Arc;

use serde_json::{Value, json};

use super::{keys, problem::Problem, reply::Reply};
use crate::{
    entry::{
        context::Context,
        event::{EntryChoice, Event, Rejection},
    },
    time::unix_millis,
};

/// Entry hosts in one answer at most.
const MAX_ENTRIES: usize = 6;

/// Answers `GET /v1/entries`.
pub fn list(cx: &Arc<Context>) -> Result<Reply, Problem> {
    let choices = cx.board.ask(Event::Entries)?;
    let entries: Vec<Value> = choices.iter().take(MAX_ENTRIES).map(entry).collect();
    let keep_for = cx.settings.limits.entries_ttl;
    let body = json!({
        "entries": entries,
        "keep_for_ms": keep_for.as_millis() as u64,
    });
    Ok(Reply::json(200, &body))
}

fn entry(choice: &EntryChoice) -> Value {
    let home = &choice.contact.home;
    json!({
        "id": choice.contact.id,
        "url": format!("http://{}", home.http),
        "data_centre": choice.data_centre,
        "key_prefix": keys::prefix(home, unix_millis()),
    })
}

/// Answers `GET /readyz`.
pub fn ready(cx: &Arc<Context>) -> Result<Reply, Problem> {
    let status = cx.board.ask(Event::Status)?;
    match status.phase {
        "serving" => Ok(Reply::text(200, "ready\n")),
        "starting" => Err(Rejection::NotReady.into()),
        _ => Err(Rejection::Leaving.into()),
    }
}
