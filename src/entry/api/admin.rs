//! Operators' calls: changes of configuration, history, status, explain.

use std::{sync::Arc, thread, time::Duration};

use serde::Deserialize;
use serde_json::{Value, json};
use subtle::ConstantTimeEq;
use tiny_http::Method;

use super::{problem::Problem, reply::Reply, request::Incoming};
use crate::{
    cloud::{PlatformError, Put, Txn, TxnOutcome},
    config::{Change, Item, ItemKey, check_change, check_item, key_hash, log as config_log},
    entry::{
        context::Context,
        event::{Event, Located},
    },
    ids::{ConfigVersion, split_home},
    time::unix_millis,
};

/// Times that a change is tried again because another item changed meanwhile.
const MAX_TRIES: u32 = 20;
/// Pause before such a try.
const TRY_AGAIN: Duration = Duration::from_millis(10);

/// Body of a change.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeBody {
    /// Item to set, or to remove where `to` is null.
    key: ItemKey,
    /// Value to set.
    to: Option<Item>,
    /// Version of the item that the operator saw; zero for none.
    expect: Option<ConfigVersion>,
    /// Whether to check only.
    #[serde(default)]
    dry_run: bool,
}

/// Serves an operator's call.
pub fn route(cx: &Arc<Context>, incoming: &mut Incoming) -> Result<Reply, Problem> {
    let operator = operator(cx, incoming)?;
    let path = incoming.path().to_owned();
    match (&incoming.method(), path.as_str()) {
        (Method::Post, "/v1/admin/changes") => change(cx, incoming, &operator),
        (Method::Get, "/v1/admin/items") => items(cx),
        (Method::Get, "/v1/admin/changes") => history(cx, incoming),
        (Method::Get, "/v1/admin/refusals") => refusals(cx),
        (Method::Get, "/v1/admin/status") => Ok(Reply::json(200, &cx.board.ask(Event::Status)?)),
        (Method::Get, "/v1/admin/explain") => explain(cx, incoming),
        (_, "/v1/admin/changes" | "/v1/admin/items") => Err(Problem::MethodNotAllowed),
        _ => Err(Problem::NotFound(path)),
    }
}

/// Returns the name of the operator whose key was sent.
fn operator(cx: &Context, incoming: &Incoming) -> Result<String, Problem> {
    let hash = key_hash(&incoming.api_key()?);
    let same = |known: &str| bool::from(known.as_bytes().ct_eq(hash.as_bytes()));
    let found = cx.settings.operators.iter().find(|(_, known)| same(known));
    found.map(|(name, _)| name.clone()).ok_or(Problem::Unauthorized)
}

fn items(cx: &Context) -> Result<Reply, Problem> {
    let (version, items) = cx.board.ask(Event::Config)?;
    let items: Vec<Value> = items
        .iter()
        .filter_map(|(key, s)| {
            let item = s.item.as_ref()?;
            Some(json!({ "key": key, "version": s.version, "item": item }))
        })
        .collect();
    Ok(Reply::json(200, &json!({ "version": version, "items": items })))
}

fn history(cx: &Context, incoming: &Incoming) -> Result<Reply, Problem> {
    let after = incoming.query("after").unwrap_or("0").parse();
    let after = after.or(Err(Problem::BadRequest("after: expected a version".to_owned())))?;
    let changes = config_log::read_changes(&cx.platform, after).map_err(away)?;
    Ok(Reply::json(200, &json!({ "changes": changes })))
}

fn refusals(cx: &Context) -> Result<Reply, Problem> {
    let rows = cx.platform.scan_all("audit/refused/").map_err(away)?;
    let refusals: Vec<Value> = rows.into_iter().map(|row| row.value).collect();
    Ok(Reply::json(200, &json!({ "refusals": refusals })))
}

fn explain(cx: &Context, incoming: &Incoming) -> Result<Reply, Problem> {
    let id = incoming.query("id").unwrap_or_default();
    if let Some(record) = cx.records.get(id) {
        let outcome = record.outcome();
        let body = json!({
            "request_id": record.id,
            "customer": record.customer,
            "class": record.work.class(),
            "tokens": record.len(),
            "outcome": outcome.as_ref().map(|o| o.word()),
            "trail": record.trail(),
        });
        return Ok(Reply::json(200, &body));
    }
    let (home, _) = split_home(id).ok_or(Problem::UnknownRequest)?;
    if home == *cx.home() {
        return Err(Problem::UnknownRequest);
    }
    let located = cx.board.ask(|reply| Event::Locate(home.clone(), reply))?;
    let ask = match located {
        Located::Adopted(contact) => Some(contact.home.http),
        Located::Home => Some(home.http),
        Located::Gone => None,
    };
    Ok(Reply::json(200, &json!({ "request_id": id, "ask": ask })))
}

fn change(cx: &Context, incoming: &mut Incoming, operator: &str) -> Result<Reply, Problem> {
    let body: ChangeBody = incoming.json(cx.settings.limits.body_bytes)?;
    let outcome = check(cx, &body).and_then(|()| {
        if body.dry_run {
            return Ok(Reply::json(200, &json!({ "accepted": false, "dry_run": true })));
        }
        commit(cx, &body, operator).map(|accepted| accepted_reply(cx, accepted))
    });
    if let Err(problem) = &outcome
        && !body.dry_run
    {
        audit_refusal(cx, &body.key, operator, problem);
    }
    outcome
}

/// Refuses a change that is wrong in itself or would break a promise.
fn check(cx: &Context, body: &ChangeBody) -> Result<(), Problem> {
    if let Some(item) = &body.to {
        if item.key() != body.key {
            return Err(Problem::BadRequest("key: differs from the item's own".to_owned()));
        }
        let mistakes: Vec<String> = check_item(item).iter().map(ToString::to_string).collect();
        if !mistakes.is_empty() {
            return Err(Problem::Refused(mistakes.join("; ")));
        }
    }
    let (_, items) = cx.board.ask(Event::Config)?;
    check_change(&items, &body.key, body.to.as_ref()).map_err(|e| Problem::Refused(e.to_string()))
}

/// What became of a change.
enum Accepted {
    /// It has this version.
    Changed(Box<Change>),
    /// The item has this value already, set by this version.
    Unchanged(ConfigVersion),
}

fn accepted_reply(cx: &Context, accepted: Accepted) -> Reply {
    match accepted {
        Accepted::Changed(change) => {
            let body = json!({ "accepted": true, "version": change.version });
            cx.board.send(Event::Changes(vec![*change]));
            Reply::json(200, &body)
        }
        Accepted::Unchanged(version) => {
            Reply::json(200, &json!({ "accepted": true, "version": version, "unchanged": true }))
        }
    }
}

/// Writes the change, unless the item changed since the operator saw it.
fn commit(cx: &Context, body: &ChangeBody, operator: &str) -> Result<Accepted, Problem> {
    for _ in 0..MAX_TRIES {
        let head = config_log::read_head(&cx.platform).map_err(away)?;
        let (row_version, stored) = config_log::read_item(&cx.platform, &body.key).map_err(away)?;
        let current = stored.as_ref().map_or(0, |s| s.version);
        let from = stored.and_then(|s| s.item);
        if from == body.to {
            return Ok(Accepted::Unchanged(current));
        }
        if body.expect.is_some_and(|expected| expected != current) {
            return Err(conflict(body, current, from.as_ref()));
        }
        let change = Change {
            version: head.version + 1,
            change_id: format!("{:016x}", fastrand::u64(..)),
            key: body.key.clone(),
            from,
            to: body.to.clone(),
            by: operator.to_owned(),
            via: cx.settings.id.clone(),
            at_ms: unix_millis(),
        };
        let txn = config_log::accept_txn(&change, head, row_version);
        match cx.platform.txn(&txn) {
            Ok(TxnOutcome::Accepted(_)) => return Ok(Accepted::Changed(Box::new(change))),
            Ok(TxnOutcome::Refused(_)) => thread::sleep(TRY_AGAIN),
            Err(PlatformError::Unavailable(_)) if took_effect(cx, &change) => {
                return Ok(Accepted::Changed(Box::new(change)));
            }
            Err(PlatformError::Unavailable(e)) => {
                return Err(maybe_accepted(&change, &e.to_string()));
            }
            Err(e) => return Err(away(e)),
        }
    }
    Err(Problem::Conflict {
        message: "other changes keep coming in between; try again".to_owned(),
        current: Value::Null,
    })
}

/// Returns whether a write whose answer was lost took effect.
fn took_effect(cx: &Context, change: &Change) -> bool {
    let found = config_log::read_change(&cx.platform, change.version);
    matches!(found, Ok(Some(found)) if found.change_id == change.change_id)
}

fn maybe_accepted(change: &Change, why: &str) -> Problem {
    let reason = format!(
        "the platform did not answer ({why}); the change {} may yet be accepted as version {}: \
         look at the history, and apply again, which changes nothing twice",
        change.change_id, change.version
    );
    Problem::Unknown { reason }
}

fn conflict(body: &ChangeBody, current: ConfigVersion, item: Option<&Item>) -> Problem {
    let seen = body.expect.unwrap_or_default();
    Problem::Conflict {
        message: format!("{} is at version {current}, not at {seen} as you saw it", body.key),
        current: json!({ "version": current, "item": item }),
    }
}

/// Notes a refusal in the audit trail; lost if the platform is away, since
/// nothing was accepted then either.
fn audit_refusal(cx: &Context, key: &ItemKey, operator: &str, problem: &Problem) {
    let at_ms = unix_millis();
    let value = json!({
        "key": key,
        "by": operator,
        "via": cx.settings.id,
        "at_ms": at_ms,
        "accepted": false,
        "reason": problem.to_string(),
    });
    let key = format!("audit/refused/{at_ms:014}-{:08x}", fastrand::u32(..));
    let txn = Txn { checks: Vec::new(), puts: vec![Put { key, value }] };
    if let Err(e) = cx.platform.txn(&txn) {
        log::warn!("a refusal is missing from the audit trail: {e}");
    }
}

fn away(error: PlatformError) -> Problem {
    Problem::PlatformAway(error.to_string())
}
