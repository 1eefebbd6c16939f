//! Writing a record's answer to a caller, and joining one that runs or ran.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use super::{
    problem::Problem,
    relay::Relayed,
    reply::Reply,
    request::Incoming,
    start::{Started, relay_to_home},
};
use crate::{
    cloud::PlatformError,
    edge::sse::SseWriter,
    entry::{
        context::Context,
        event::Event,
        jobs::{self, JobResult},
    },
    ids::split_home,
    record::{Outcome, Record, Tail, Work},
    wire::Contact,
};

/// Between comments on a stream that has nothing to tell.
const COMMENT_EVERY: Duration = Duration::from_secs(2);
/// Path of requests that run or ran.
const REQUESTS: &str = "/v1/requests/";
/// Path of requests that nobody waits on.
const JOBS: &str = "/v1/jobs/";

/// Answers from what was started.
pub fn answer(
    cx: &Context,
    incoming: &mut Incoming,
    started: Started,
    stream: bool,
) -> Result<Reply, Problem> {
    match started {
        Started::Relayed(Relayed::Done) => Ok(Reply::Sent),
        Started::Relayed(Relayed::Reply(reply)) => Ok(reply),
        Started::Deferred(record) => Ok(deferred_reply(&record)),
        Started::Here(record) if stream => follow_stream(cx, incoming, &record),
        Started::Here(record) => follow_whole(&record),
    }
}

/// The request is recorded: the caller asks for it later.
fn deferred_reply(record: &Record) -> Reply {
    let batch = record.batch().unwrap_or_default();
    let path = format!("{JOBS}{}?batch={batch}", record.id);
    let mut reply = Reply::json(202, &json!({ "id": record.id, "url": path }));
    reply.set_header("Location", &path);
    reply.set_header("Preference-Applied", "respond-async");
    reply.set_header("X-Request-Id", &record.id);
    reply
}

/// Answers `GET /v1/jobs/ID`, at any entry host.
pub fn job(cx: &Arc<Context>, incoming: &mut Incoming) -> Result<Reply, Problem> {
    let id = incoming.path().strip_prefix(JOBS).unwrap_or_default().to_owned();
    let api_key = incoming.api_key()?;
    let policy = cx.board.ask(|reply| Event::Policy(api_key, reply))?;
    let customer = policy?.customer;
    if let Some(record) = cx.records.get(&id).filter(|r| r.customer == customer) {
        let pending = || Ok(pending_reply(&id));
        return record.outcome().map_or_else(pending, |o| whole_answer(&record, &o));
    }
    let batch = incoming.query("batch").unwrap_or_default();
    let away = |e: PlatformError| Problem::JobUnreachable(e.to_string());
    match jobs::result(&cx.platform, &id).map_err(away)? {
        Some(result) if result.customer == customer => job_answer(&id, &result),
        Some(_) => Err(Problem::UnknownRequest),
        None if jobs::pending(&cx.platform, batch, &id, &customer).map_err(away)? => {
            Ok(pending_reply(&id))
        }
        None => Err(Problem::UnknownRequest),
    }
}

fn pending_reply(id: &str) -> Reply {
    Reply::json(202, &json!({ "id": id, "outcome": "pending" }))
}

fn job_answer(id: &str, result: &JobResult) -> Result<Reply, Problem> {
    let Outcome::ChatCompleted { finish_reason } = &result.outcome else {
        return Err(problem_of(&result.outcome));
    };
    let message = json!({ "role": "assistant", "content": result.text });
    let body = json!({
        "id": id,
        "object": "chat.completion",
        "choices": [{ "index": 0, "message": message, "finish_reason": finish_reason }],
        "outcome": "completed",
    });
    let mut reply = Reply::json(200, &body);
    reply.set_header("X-Request-Id", id);
    reply.set_header("X-Outcome", "completed");
    Ok(reply)
}

/// Answers `GET /v1/requests/ID`: the answer after `Last-Event-ID`.
pub fn resume(cx: &Arc<Context>, incoming: &mut Incoming) -> Result<Reply, Problem> {
    let id = incoming.path().strip_prefix(REQUESTS).unwrap_or_default().to_owned();
    let api_key = incoming.api_key()?;
    let policy = cx.board.ask(|reply| Event::Policy(api_key, reply))?;
    let customer = policy?.customer;
    if let Some(record) = cx.records.get(&id) {
        if record.customer != customer {
            return Err(Problem::UnknownRequest);
        }
        let stream = matches!(record.work, Work::Chat(_));
        return answer(cx, incoming, Started::Here(record), stream);
    }
    let Some((home, _)) = split_home(&id) else {
        return Err(Problem::UnknownRequest);
    };
    if home == *cx.home() || cx.records.has_adopted(&home) {
        return Err(Problem::UnknownRequest);
    }
    if super::relay::is_from_peer(cx, incoming) {
        return Err(Problem::Misdirected);
    }
    let relayed = relay_to_home(cx, incoming, b"", &home)?;
    answer(cx, incoming, Started::Relayed(relayed), true)
}

/// Returns the offset that the caller has already: one past its last event.
fn offset_of(incoming: &Incoming) -> Result<usize, Problem> {
    match incoming.header("last-event-id") {
        None | Some("") => Ok(0),
        Some(text) => text
            .parse::<usize>()
            .map(|n| n + 1)
            .or(Err(Problem::BadRequest("Last-Event-ID: expected the id of an event".to_owned()))),
    }
}

/// Streams a model's answer. The head goes out with the first token, so that
/// a request that comes to nothing gets a status of its own.
fn follow_stream(cx: &Context, incoming: &mut Incoming, record: &Record) -> Result<Reply, Problem> {
    let offset = offset_of(incoming)?;
    let began = Instant::now();
    let first = wait_for_first(record, offset);
    if first.tokens.is_empty() {
        if let Some(contact) = &first.moved_to {
            return Ok(moved_reply(record, contact));
        }
        if let Some(outcome @ (Outcome::NotRun { .. } | Outcome::Unknown { .. })) = &first.outcome {
            return Err(problem_of(outcome));
        }
    }
    if offset == 0 {
        cx.metrics.first_token.observe(began.elapsed().as_secs_f64());
    }
    let Some((writer, version)) = incoming.take_writer() else {
        return Ok(Reply::Sent);
    };
    let headers = [("X-Request-Id", record.id.as_str())];
    let written = SseWriter::begin(writer, &version, &headers)
        .and_then(|writer| write_stream(writer, record, offset));
    if let Err(e) = written {
        log::debug!("request={} the caller is gone: {e}", record.id);
    }
    Ok(Reply::Sent)
}

fn wait_for_first(record: &Record, offset: usize) -> Tail {
    loop {
        let tail = record.wait_after(offset, COMMENT_EVERY);
        let ended = tail.outcome.is_some() || tail.moved_to.is_some();
        if ended || !tail.tokens.is_empty() {
            return tail;
        }
    }
}

fn write_stream(mut writer: SseWriter, record: &Record, mut offset: usize) -> io::Result<()> {
    loop {
        let tail = record.wait_after(offset, COMMENT_EVERY);
        for token in &tail.tokens {
            writer.event(Some(offset), None, &chunk(record, token).to_string())?;
            offset += 1;
        }
        if let Some(contact) = &tail.moved_to {
            writer.event(None, Some("moved"), &moved(record, contact).to_string())?;
            return writer.end();
        }
        if let Some(outcome) = &tail.outcome {
            return write_end(writer, record, outcome);
        }
        if tail.tokens.is_empty() {
            writer.comment()?;
        }
    }
}

fn write_end(mut writer: SseWriter, record: &Record, outcome: &Outcome) -> io::Result<()> {
    if let Outcome::ChatCompleted { finish_reason } = outcome {
        writer.event(None, None, &last_chunk(record, finish_reason).to_string())?;
        writer.event(None, None, "[DONE]")?;
    } else {
        writer.event(None, Some("error"), &problem_of(outcome).body().to_string())?;
    }
    writer.end()
}

/// Answers once the request has ended.
fn follow_whole(record: &Record) -> Result<Reply, Problem> {
    loop {
        let tail = record.wait_after(usize::MAX, COMMENT_EVERY);
        if let Some(contact) = &tail.moved_to {
            return Ok(moved_reply(record, contact));
        }
        if let Some(outcome) = &tail.outcome {
            return whole_answer(record, outcome);
        }
    }
}

fn whole_answer(record: &Record, outcome: &Outcome) -> Result<Reply, Problem> {
    let mut reply = match outcome {
        Outcome::ChatCompleted { finish_reason } => {
            Reply::json(200, &completion(record, finish_reason))
        }
        Outcome::CallCompleted(answer) => {
            Reply::new(answer.status, &answer.content_type, answer.body.clone())
        }
        Outcome::NotRun { .. } | Outcome::Unknown { .. } => return Err(problem_of(outcome)),
    };
    reply.set_header("X-Request-Id", &record.id);
    reply.set_header("X-Outcome", outcome.word());
    Ok(reply)
}

/// The request goes on at another entry host: the caller asks there.
fn moved_reply(record: &Record, contact: &Contact) -> Reply {
    let body = moved(record, contact);
    let mut reply = Reply::json(307, &body);
    let location = format!("http://{}{REQUESTS}{}", contact.home.http, record.id);
    reply.set_header("Location", &location);
    reply.set_header("X-Request-Id", &record.id);
    reply
}

fn moved(record: &Record, contact: &Contact) -> Value {
    json!({
        "request_id": record.id,
        "url": format!("http://{}{REQUESTS}{}", contact.home.http, record.id),
    })
}

fn chunk(record: &Record, token: &str) -> Value {
    json!({
        "id": record.id,
        "object": "chat.completion.chunk",
        "model": record.work.model(),
        "choices": [{ "index": 0, "delta": { "content": token }, "finish_reason": null }],
    })
}

fn last_chunk(record: &Record, finish_reason: &str) -> Value {
    json!({
        "id": record.id,
        "object": "chat.completion.chunk",
        "model": record.work.model(),
        "choices": [{ "index": 0, "delta": {}, "finish_reason": finish_reason }],
        "usage": { "completion_tokens": record.len() },
        "outcome": "completed",
    })
}

fn completion(record: &Record, finish_reason: &str) -> Value {
    let message = json!({ "role": "assistant", "content": record.text() });
    json!({
        "id": record.id,
        "object": "chat.completion",
        "model": record.work.model(),
        "choices": [{ "index": 0, "message": message, "finish_reason": finish_reason }],
        "usage": { "completion_tokens": record.len() },
        "outcome": "completed",
    })
}

fn problem_of(outcome: &Outcome) -> Problem {
    match outcome {
        Outcome::NotRun { retry_after, reason } => {
            Problem::NotRun { status: 503, retry_after: *retry_after, reason: reason.clone() }
        }
        Outcome::Unknown { reason } => Problem::Unknown { reason: reason.clone() },
        Outcome::ChatCompleted { .. } | Outcome::CallCompleted(_) => {
            Problem::Unknown { reason: "the answer is of another kind".to_owned() }
        }
    }
}
