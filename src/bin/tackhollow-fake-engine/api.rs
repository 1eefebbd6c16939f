//! HTTP of the engine.

use std::{
    io::{self, Write},
    sync::{Arc, mpsc},
    thread,
    time::{Duration, Instant},
};

use serde::Deserialize;
use serde_json::{Value, json};
use tackhollow::{
    edge::{http_client::HttpClient, sse::SseWriter},
    prefix::{self, hash},
    record::{ChatWork, Message},
    routing::Class,
    time::unix_millis,
    upstream::UpstreamEvent,
};
use tiny_http::{Method, Request, Response};

use super::{
    faults::{Faults, strike},
    state::{Engine, Sequence, Token},
};

/// Between looks at what a follower of events has to be told.
const EVENTS_TICK: Duration = Duration::from_millis(100);
/// Requests that wait for the batch at most, as a multiple of its slots.
const QUEUE_FACTOR: usize = 4;

/// Body of a request.
#[derive(Debug, Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<Message>,
    max_tokens: u32,
    request_id: String,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    resume: Resume,
}

#[derive(Debug, Default, Deserialize)]
struct Resume {
    tokens: u32,
}

/// Serves one request.
pub fn handle(engine: &Arc<Engine>, mut request: Request) {
    let mut body = Vec::new();
    if request.as_reader().read_to_end(&mut body).is_err() {
        return;
    }
    let path = request.url().split('?').next().unwrap_or_default().to_owned();
    let served = match (request.method().clone(), path.as_str()) {
        (Method::Post, "/v1/chat/completions") => chat(engine, request, &body),
        (Method::Get, "/events") => events(engine, request),
        (Method::Get, "/journal") => respond(request, 200, &json!(engine.journal.entries())),
        (Method::Post, "/orders") => order(engine, request, &body),
        (Method::Get, "/orders") => orders(engine, request),
        (Method::Post, "/kv/export") => export(engine, request, &body),
        (Method::Post, "/kv/import") => import(engine, request, &body),
        (Method::Get, p) if p.starts_with("/kv/") => kv(engine, request, &p["/kv/".len()..]),
        (Method::Post, "/reclaim") => reclaim(engine, request, &body),
        (Method::Post, "/fault") => fault(engine, request, &body),
        _ => respond(request, 404, &json!({ "error": "not found" })),
    };
    if let Err(e) = served {
        eprintln!("a client is gone: {e}");
    }
}

fn respond(request: Request, status: u16, body: &Value) -> io::Result<()> {
    request.respond(Response::from_string(body.to_string()).with_status_code(status))
}

/// Breaks a connection off in a way that no client takes for an answer.
fn cut(mut writer: Box<dyn Write + Send>) -> io::Result<()> {
    writer.write_all(b"\x00cut\r\n\r\n")?;
    writer.flush()
}

fn chat(engine: &Arc<Engine>, request: Request, body: &[u8]) -> io::Result<()> {
    let Ok(body) = serde_json::from_slice::<ChatBody>(body) else {
        return respond(request, 400, &json!({ "error": "bad request" }));
    };
    if strike(&mut engine.faults().drop) {
        return cut(request.into_writer());
    }
    let full = {
        let batch = engine.batch();
        let known = batch.models.contains(&body.model);
        if !known {
            drop(batch);
            return respond(request, 404, &json!({ "error": "unknown model" }));
        }
        batch.waiting.len() >= engine.options.slots * QUEUE_FACTOR
    };
    if full || strike(&mut engine.faults().refuse) {
        return respond(request, 429, &json!({ "error": "queue full" }));
    }
    let (sequence, usage, tokens) = sequence(engine, &body);
    let run = json!({
        "event": "run",
        "request_id": body.request_id,
        "from": body.resume.tokens,
        "at_ms": unix_millis(),
        "usage": usage,
    });
    engine.journal.append(run);
    let prompt = sequence.prompt;
    engine.batch().waiting.push(sequence);
    let version = request.http_version().clone();
    let writer = SseWriter::begin(request.into_writer(), &version, &[])?;
    write_tokens(engine, writer, &body.request_id, prompt, usage, &tokens)
}

fn sequence(engine: &Engine, body: &ChatBody) -> (Sequence, Value, mpsc::Receiver<Token>) {
    let work = ChatWork {
        model: body.model.clone(),
        messages: body.messages.clone(),
        max_tokens: body.max_tokens,
        class: Class::Chat,
        repeatable: true,
    };
    let text = work.prompt();
    let prompt = hash(text.as_bytes());
    let prefixes = prefix::fingerprints(&text);
    let context = work.prompt_tokens() + body.resume.tokens;
    let cached = engine.batch().cache.cached_tokens(prompt, &prefixes).min(context);
    let (tx, rx) = mpsc::channel();
    let late = strike(&mut engine.faults().late);
    let wait = if late { engine.faults().late_ms } else { 0 };
    let sequence = Sequence {
        request_id: body.request_id.clone(),
        prompt,
        prefixes,
        priority: body.priority,
        to_prefill: (context - cached).max(1),
        next: body.resume.tokens,
        end: body.max_tokens,
        context_tokens: context,
        not_before: Instant::now() + Duration::from_millis(wait),
        tokens: tx,
    };
    (sequence, json!({ "prefill_tokens": context, "cached_tokens": cached }), rx)
}

fn write_tokens(
    engine: &Engine,
    mut writer: SseWriter,
    id: &str,
    prompt: u64,
    usage: Value,
    tokens: &mpsc::Receiver<Token>,
) -> io::Result<()> {
    let mut usage = Some(usage);
    let cut = strike(&mut engine.faults().cut);
    let cut_after = cut.then(|| engine.faults().cut_after);
    let mut sent = 0;
    while let Ok(token) = tokens.recv() {
        if cut_after == Some(sent) {
            return writer.cut();
        }
        if strike(&mut engine.faults().wrong_id) {
            let stray = Token { text: "STRAY ".to_owned(), ..token.clone() };
            writer.event(None, None, &chunk("another/1", &stray, None).to_string())?;
        }
        if strike(&mut engine.faults().doubled) {
            writer.event(None, None, &chunk(id, &token, None).to_string())?;
        }
        writer.event(None, None, &chunk(id, &token, usage.take()).to_string())?;
        sent += 1;
        if token.last {
            engine.journal.append(json!({ "event": "done", "request_id": id, "prompt": prompt }));
            let end = json!({
                "id": id,
                "offset": token.offset + 1,
                "choices": [{ "delta": {}, "finish_reason": "length" }],
            });
            writer.event(None, None, &end.to_string())?;
            writer.event(None, None, "[DONE]")?;
            return writer.end();
        }
    }
    Ok(())
}

fn chunk(id: &str, token: &Token, usage: Option<Value>) -> Value {
    json!({
        "id": id,
        "offset": token.offset,
        "choices": [{ "delta": { "content": token.text }, "finish_reason": null }],
        "usage": usage,
    })
}

fn events(engine: &Engine, request: Request) -> io::Result<()> {
    let every = report_every(request.url()).unwrap_or(engine.options.report_every);
    let version = request.http_version().clone();
    let mut writer = SseWriter::begin(request.into_writer(), &version, &[])?;
    let mut send = |event: &UpstreamEvent| {
        let data = serde_json::to_string(event).unwrap_or_default();
        writer.event(None, None, &data)
    };
    send(&UpstreamEvent::Hello { boot: engine.boot })?;
    send(&load(engine))?;
    let mut told_leaving = false;
    let mut reported = Instant::now();
    let mut sent_seq = 0;
    loop {
        if let Some(left) = engine.time_left().filter(|_| !told_leaving) {
            told_leaving = true;
            send(&UpstreamEvent::Leaving { in_ms: left.as_millis() as u64 })?;
        }
        for (seq, event) in due_events(engine, sent_seq) {
            sent_seq = seq;
            send(&event)?;
        }
        if reported.elapsed() >= every {
            reported = Instant::now();
            send(&load(engine))?;
        }
        thread::sleep(EVENTS_TICK);
    }
}

/// Returns the time between load reports that a follower asks for.
fn report_every(url: &str) -> Option<Duration> {
    let (_, ms) = url.split_once("every_ms=")?;
    ms.parse().ok().map(Duration::from_millis)
}

fn due_events(engine: &Engine, after: u64) -> Vec<(u64, UpstreamEvent)> {
    let now = Instant::now();
    let batch = engine.batch();
    let due = batch.events.iter().filter(|(at, _)| *at <= now);
    due.filter_map(|(_, event)| match event {
        UpstreamEvent::Cache { seq, .. } if *seq > after => Some((*seq, event.clone())),
        _ => None,
    })
    .collect()
}

fn load(engine: &Engine) -> UpstreamEvent {
    let batch = engine.batch();
    let queued = batch.waiting.iter().chain(&batch.running).map(|s| s.to_prefill).sum();
    UpstreamEvent::Load {
        running: batch.running.len() as u32,
        waiting: batch.waiting.len() as u32,
        queued_tokens: queued,
        prefill_rate: engine.options.prefill_rate * engine.options.speed,
        models: batch.models.clone(),
    }
}

#[derive(Debug, Deserialize)]
struct Order {
    fence: u64,
    action: String,
    name: String,
}

fn order(engine: &Engine, request: Request, body: &[u8]) -> io::Result<()> {
    let Ok(order) = serde_json::from_slice::<Order>(body) else {
        return respond(request, 400, &json!({ "error": "bad order" }));
    };
    let mut batch = engine.batch();
    if engine.options.checks_fencing && order.fence < batch.fence {
        let fence = batch.fence;
        drop(batch);
        return respond(request, 409, &json!({ "error": "old fencing number", "fence": fence }));
    }
    batch.fence = batch.fence.max(order.fence);
    batch.orders.push((order.fence, format!("{} {}", order.action, order.name)));
    match order.action.as_str() {
        "load_model" if !batch.models.contains(&order.name) => batch.models.push(order.name),
        "unload_model" => batch.models.retain(|m| *m != order.name),
        "load_adapter" if !batch.adapters.contains(&order.name) => batch.adapters.push(order.name),
        "unload_adapter" => batch.adapters.retain(|a| *a != order.name),
        "set_role" => batch.role = order.name,
        _ => {}
    }
    drop(batch);
    respond(request, 200, &json!({ "ok": true }))
}

fn orders(engine: &Engine, request: Request) -> io::Result<()> {
    let batch = engine.batch();
    let body = json!({
        "orders": batch.orders,
        "models": batch.models,
        "adapters": batch.adapters,
        "role": batch.role,
    });
    drop(batch);
    respond(request, 200, &body)
}

fn export(engine: &Engine, request: Request, body: &[u8]) -> io::Result<()> {
    let id = serde_json::from_slice::<Value>(body).unwrap_or_default();
    let id = id.get("request_id").and_then(Value::as_str).unwrap_or_default().to_owned();
    let mut batch = engine.batch();
    let found = batch.running.iter().find(|s| s.request_id == id);
    let Some(cache) = found.map(|s| (s.prompt, s.context_tokens)) else {
        drop(batch);
        return respond(request, 404, &json!({ "error": "not running" }));
    };
    let handle = format!("{:016x}", fastrand::u64(..));
    batch.exported.insert(handle.clone(), cache);
    drop(batch);
    respond(request, 200, &json!({ "handle": handle }))
}

fn kv(engine: &Engine, request: Request, handle: &str) -> io::Result<()> {
    let found = engine.batch().exported.get(handle).copied();
    match found {
        Some((prompt, tokens)) => {
            respond(request, 200, &json!({ "prompt": prompt, "tokens": tokens }))
        }
        None => respond(request, 404, &json!({ "error": "no such cache" })),
    }
}

fn import(engine: &Engine, request: Request, body: &[u8]) -> io::Result<()> {
    let from = serde_json::from_slice::<Value>(body).unwrap_or_default();
    let text = |key: &str| from.get(key).and_then(Value::as_str).unwrap_or_default().to_owned();
    let url = format!("http://{}/kv/{}", text("source"), text("handle"));
    let answer = HttpClient::fresh(Duration::from_secs(2)).call("GET", &url, &[], b"");
    let Some(cache) = answer.ok().filter(|a| a.status == 200) else {
        return respond(request, 404, &json!({ "error": "the source has no such cache" }));
    };
    let cache: Value = serde_json::from_slice(&cache.body).unwrap_or_default();
    let number = |key: &str| cache.get(key).and_then(Value::as_u64).unwrap_or_default();
    engine.batch().cache.import(number("prompt"), number("tokens") as u32);
    respond(request, 200, &json!({ "ok": true }))
}

fn reclaim(engine: &Engine, request: Request, body: &[u8]) -> io::Result<()> {
    let body = serde_json::from_slice::<Value>(body).unwrap_or_default();
    let in_ms = body.get("in_ms").and_then(Value::as_u64).unwrap_or_default();
    engine.reclaim(Duration::from_millis(in_ms));
    respond(request, 200, &json!({ "ok": true }))
}

fn fault(engine: &Engine, request: Request, body: &[u8]) -> io::Result<()> {
    let Ok(faults) = serde_json::from_slice::<Faults>(body) else {
        return respond(request, 400, &json!({ "error": "unknown fault" }));
    };
    let die = faults.die;
    *engine.faults() = faults;
    respond(request, 200, &json!({ "ok": true }))?;
    if die {
        engine.stop();
    }
    Ok(())
}
