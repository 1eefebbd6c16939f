//! A whole session against a golden file. `UPDATE_GOLDEN=1` writes it anew.

mod support;

use std::fs;

use serde_json::{Value, json};
use support::{
    cluster::{CUSTOMER_KEY, Cluster, OPERATOR_KEY, Plan},
    http::call_as,
};
use tackhollow::edge::http_client::HttpClient;

const GOLDEN: &str = "tests/data/session.golden";

/// One step of the session.
struct Step {
    name: &'static str,
    key: &'static str,
    method: &'static str,
    path: String,
    idempotency_key: Option<String>,
    body: Value,
}

fn step(
    name: &'static str,
    key: &'static str,
    method: &'static str,
    path: &str,
    body: Value,
) -> Step {
    let (path, idempotency_key) = (path.to_owned(), None);
    Step { name, key, method, path, idempotency_key, body }
}

fn chat(stream: bool) -> Value {
    json!({
        "model": "chat-8b", "stream": stream, "max_tokens": 4,
        "messages": [{ "role": "user", "content": "Who is on duty?" }],
    })
}

/// Returns the steps; `home` is the entry process's.
fn steps(home: &str) -> Vec<Step> {
    let seconds = tackhollow::time::unix_millis() / 1000;
    let key = format!("{home}.{seconds:x}.once");
    let confirm = |body: Value| Step {
        idempotency_key: Some(key.clone()),
        ..step("confirm", CUSTOMER_KEY, "POST", "/v1/services/confirm/shift/7", body)
    };
    let template = json!({ "key": { "kind": "template", "name": "t" },
        "to": { "template": { "name": "t", "models": ["chat-8b"] } }, "expect": 0 });
    vec![
        step("addresses", "", "GET", "/v1/entries", Value::Null),
        step("streamed", CUSTOMER_KEY, "POST", "/v1/chat/completions", chat(true)),
        step("unstreamed", CUSTOMER_KEY, "POST", "/v1/chat/completions", chat(false)),
        confirm(json!({ "shift": 7 })),
        Step { name: "confirm again", ..confirm(json!({ "shift": 7 })) },
        Step { name: "same key, another call", ..confirm(json!({ "shift": 8 })) },
        step(
            "joined after the second token",
            CUSTOMER_KEY,
            "GET",
            &format!("/v1/requests/{home}.1"),
            Value::Null,
        ),
        step("unknown key", "nobody", "POST", "/v1/chat/completions", chat(false)),
        step(
            "unknown model",
            CUSTOMER_KEY,
            "POST",
            "/v1/chat/completions",
            json!({
            "model": "none", "messages": [{ "role": "user", "content": "hello" }] }),
        ),
        step("a change", OPERATOR_KEY, "POST", "/v1/admin/changes", template.clone()),
        step("the same, seen too late", OPERATOR_KEY, "POST", "/v1/admin/changes", {
            let mut late = template;
            late["to"]["template"]["models"] = json!(["draft-70b"]);
            late
        }),
        step("history", OPERATOR_KEY, "GET", "/v1/admin/changes?after=3", Value::Null),
        step(
            "explain",
            OPERATOR_KEY,
            "GET",
            &format!("/v1/admin/explain?id={home}.1"),
            Value::Null,
        ),
    ]
}

fn run(cluster: &Cluster, step: &Step) -> String {
    let addr = cluster.entries[0].proc.http();
    let body = if step.body.is_null() { String::new() } else { step.body.to_string() };
    let authorization = format!("Bearer {}", step.key);
    let mut headers = vec![("authorization", authorization.as_str())];
    headers.extend(step.idempotency_key.as_deref().map(|k| ("idempotency-key", k)));
    if step.name.starts_with("joined") {
        headers.push(("last-event-id", "1"));
    }
    let answer = HttpClient::fresh(std::time::Duration::from_secs(20))
        .call(step.method, &format!("http://{addr}{}", step.path), &headers, body.as_bytes())
        .expect("an answer");
    let request = format!("> {} {}\n", step.method, step.path);
    let request_body = if body.is_empty() { body } else { format!("> {body}\n") };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    format!(
        "## {}\n{request}{request_body}{} {}\n{text}\n\n",
        step.name, answer.status, answer.content_type
    )
}

/// Replaces what differs from run to run.
fn settle(text: &str, home: &str, addr: &str) -> String {
    let text = text.replace(home, "HOME").replace(addr, "ADDRESS");
    let mut settled = String::new();
    for line in text.split_inclusive('\n') {
        settled.push_str(&settle_numbers(line));
    }
    settled
}

/// Replaces times, random ids and the seconds in keys.
fn settle_numbers(line: &str) -> String {
    let mut line = line.to_owned();
    for (before, until) in
        [("\"at_ms\":", ','), ("\"change_id\":\"", '"'), ("\"key_prefix\":\"HOME.", '"')]
    {
        let mut from = 0;
        while let Some(at) = line[from..].find(before).map(|i| i + from + before.len()) {
            let end = line[at..].find(until).map_or(line.len(), |i| i + at);
            line.replace_range(at..end, "#");
            from = at;
        }
    }
    line
}

#[test]
fn a_session_reads_as_recorded() {
    let cluster = Cluster::start(Plan { data_centres: 1, entries_each: 1, ..Plan::default() });
    let status = call_as(
        OPERATOR_KEY,
        "GET",
        cluster.entries[0].proc.http(),
        "/v1/admin/status",
        &Value::Null,
    );
    let status: Value = serde_json::from_slice(&status.body).expect("JSON");
    let home = status["home"].as_str().expect("a home");
    let addr = cluster.entries[0].proc.http().to_string();
    let session: String = steps(home).iter().map(|s| run(&cluster, s)).collect();
    let session = settle(&session, home, &addr);
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(GOLDEN, &session).expect("the golden file is written");
    }
    let golden = fs::read_to_string(GOLDEN).expect("the golden file");
    assert!(session == golden, "the session differs from {GOLDEN}:\n{session}");
}
