//! The whole path: a request passes every process and comes back whole.

mod support;

use std::time::Duration;

use serde_json::{Value, json};
use support::{
    cluster::{CUSTOMER_KEY, Cluster, OTHER_KEY, Plan, journal},
    http,
};
use tackhollow::{
    caller::{ChatAsk, Verdict},
    routing::Class,
};

fn ask(prompt: &str, max_tokens: u32) -> ChatAsk {
    ChatAsk {
        model: "chat-8b".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens,
        class: Class::Chat,
        repeatable: true,
    }
}

#[test]
fn a_chat_a_draft_and_a_confirm_come_back_whole() {
    let cluster = Cluster::start(Plan::default());
    let caller = cluster.caller();
    let entries = caller.entries();
    assert!(entries.len() >= 3, "{entries:?}");
    let mut dcs: Vec<&str> = entries.iter().map(|e| e.data_centre.as_str()).collect();
    dcs.sort_unstable();
    dcs.dedup();
    assert_eq!(dcs.len(), 2);

    let key = caller.new_key().expect("a key");
    let chat = caller.chat(&ask("Who is on duty?", 20), &key).expect("a verdict");
    assert_eq!((chat.verdict, chat.tokens), (Verdict::Completed, 20));
    // The same key gives the same answer, without running again.
    let again = caller.chat(&ask("Who is on duty?", 20), &key).expect("a verdict");
    assert_eq!(again.text, chat.text);
    assert_eq!(again.request_id, chat.request_id);
    // The same prompt gives the same text: the stand-in is deterministic.
    let other = caller.new_key().expect("a key");
    let other = caller.chat(&ask("Who is on duty?", 20), &other).expect("a verdict");
    assert_eq!(other.text, chat.text);
    assert_ne!(other.request_id, chat.request_id);

    let draft = ChatAsk { class: Class::Draft, ..ask(&"plan ".repeat(400), 200) };
    let draft = caller.chat(&draft, &caller.new_key().expect("a key")).expect("a verdict");
    assert_eq!((draft.verdict, draft.tokens), (Verdict::Completed, 200));

    let key = caller.new_key().expect("a key");
    for _ in 0..3 {
        let confirm = caller.call("confirm", "/shift/7", "{\"shift\":7}", &key).expect("a verdict");
        assert_eq!(confirm.verdict, Verdict::Completed);
        assert!(confirm.text.contains("shift"), "{}", confirm.text);
    }
    let runs: usize = cluster.services.iter().map(|s| journal(&s.journal).len()).sum();
    assert_eq!(runs, 1);
}

struct BadCase {
    name: &'static str,
    key: &'static str,
    method: &'static str,
    path: &'static str,
    body: Value,
    status: u16,
}

#[test]
fn bad_input_gets_a_typed_error() {
    let cluster = Cluster::start(Plan { data_centres: 1, entries_each: 1, ..Plan::default() });
    let addr = cluster.entries[0].proc.http();
    let chat = "/v1/chat/completions";
    let hello = json!([{ "role": "user", "content": "hello" }]);
    let cases = [
        BadCase {
            name: "no key",
            key: "",
            method: "POST",
            path: chat,
            body: json!({}),
            status: 401,
        },
        BadCase {
            name: "unknown key",
            key: "nobody",
            method: "POST",
            path: chat,
            body: json!({ "model": "chat-8b", "messages": hello }),
            status: 401,
        },
        BadCase {
            name: "no messages",
            key: CUSTOMER_KEY,
            method: "POST",
            path: chat,
            body: json!({ "model": "chat-8b", "messages": [] }),
            status: 400,
        },
        BadCase {
            name: "not an object",
            key: CUSTOMER_KEY,
            method: "POST",
            path: chat,
            body: json!(7),
            status: 400,
        },
        BadCase {
            name: "too many tokens",
            key: CUSTOMER_KEY,
            method: "POST",
            path: chat,
            body: json!({ "model": "chat-8b", "messages": hello, "max_tokens": 1_000_000 }),
            status: 400,
        },
        BadCase {
            name: "unknown model",
            key: CUSTOMER_KEY,
            method: "POST",
            path: chat,
            body: json!({ "model": "none", "messages": hello }),
            status: 404,
        },
        BadCase {
            name: "unknown service",
            key: CUSTOMER_KEY,
            method: "POST",
            path: "/v1/services/none/x",
            body: json!({}),
            status: 404,
        },
        BadCase {
            name: "body over the limit",
            key: CUSTOMER_KEY,
            method: "POST",
            path: chat,
            body: json!("x".repeat(2 << 20)),
            status: 413,
        },
        BadCase {
            name: "unknown path",
            key: "",
            method: "GET",
            path: "/v2",
            body: Value::Null,
            status: 404,
        },
        BadCase {
            name: "unknown request",
            key: CUSTOMER_KEY,
            method: "GET",
            path: "/v1/requests/7",
            body: Value::Null,
            status: 404,
        },
        BadCase {
            name: "operators' path",
            key: CUSTOMER_KEY,
            method: "GET",
            path: "/v1/admin/status",
            body: Value::Null,
            status: 401,
        },
    ];
    for case in cases {
        let answer = http::call_as(case.key, case.method, addr, case.path, &case.body);
        assert_eq!(answer.status, case.status, "{}", case.name);
        assert_eq!(answer.content_type, "application/problem+json", "{}", case.name);
    }
    // Another customer does not see the answer.
    let caller = cluster.caller().with_patience(Duration::from_secs(30));
    let key = caller.new_key().expect("a key");
    let chat = caller.chat(&ask("secret", 5), &key).expect("a verdict");
    let path = format!("/v1/requests/{}", chat.request_id);
    let stolen = http::call_as(OTHER_KEY, "GET", addr, &path, &Value::Null);
    assert_eq!(stolen.status, 404);
}

#[test]
fn a_new_owner_is_asked_before_it_has_told_of_its_upstreams() {
    let mut cluster = Cluster::start(Plan { data_centres: 1, ..Plan::default() });
    let caller = cluster.caller().with_patience(Duration::from_secs(30));
    for round in 0..6 {
        // Each new entry process takes over some upstreams; calls go on beside it.
        cluster.add_entry(0);
        for i in 0..10 {
            let key = caller.new_key().expect("a key");
            let body = format!("{round} {i}");
            let confirm = caller.call("confirm", "/shift", &body, &key).expect("a verdict");
            assert_eq!(confirm.verdict, Verdict::Completed, "{body}: {}", confirm.text);
            std::thread::sleep(Duration::from_millis(60));
        }
    }
}
