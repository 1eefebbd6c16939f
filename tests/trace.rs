//! Runs the diagnosis described in docs/OPERATIONS.md: each test injects a fault, and
//! `tackhollow-trace` must name it as the cause.

mod support;

use std::{fs, process::Command, thread, time::Duration};

use hyper::StatusCode;
use serde_json::json;
use support::{
    gateways::{Call, Site},
    wait_until,
};

/// Returns what `tackhollow-trace` prints for a request, given the logs of all gateways.
fn trace(site: &Site, request: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_tackhollow-trace"))
        .arg(request)
        .args(site.logs())
        .output()
        .expect("the tool runs");
    String::from_utf8(output.stdout).expect("text")
}

#[test]
fn trace_names_the_cause_of_a_failed_request() {
    struct Case {
        name: &'static str,
        behaviour: &'static str,
        call: Call,
        cause: &'static str,
    }
    let cases = [
        Case {
            name: "refused by every upstream",
            behaviour: "full",
            call: Call::new("POST", "/confirm/x", "refused"),
            cause: "cause: no upstream took it: not_executed; it has not run",
        },
        Case {
            name: "connection closed during the answer",
            behaviour: "break_midway",
            call: Call::stream("/plan/x", "broken", 12),
            cause: "cause: upstream i-1 broke off; the platform's store said",
        },
        Case {
            name: "request timed out",
            behaviour: "silent",
            call: Call::new("POST", "/confirm/x", "late"),
            cause: "cause: upstream i-2 did not end within the time",
        },
        Case {
            name: "unknown key",
            behaviour: "serve",
            call: Call::new("POST", "/confirm/x", "stranger").header("x-key", "stolen"),
            cause: "cause: unknown_key in configuration 7",
        },
    ];
    let site = Site::start(2, 1, 1);
    for case in cases {
        site.behave(None, case.behaviour);
        let id =
            case.call.headers.iter().find(|(n, _)| *n == "x-request-id").expect("an id").1.clone();
        case.call.send(site.gateways[1].callers).expect(case.name);
        wait_until(case.name, || trace(&site, &id).contains(case.cause));
    }
}

/// Reads log lines in the form that gateways write, with lines of another request among them.
#[test]
fn quota_rejection_names_the_customer_and_the_gateways_heard() {
    let line = |request: &str, event: &str| {
        format!(r#"{{"time_ms":1000,"process":"g-1.a","event":{event},"request":"{request}"}}"#)
    };
    let used_up = |customer: &str| {
        format!(
            r#""quota_used_up","customer":"{customer}","tokens":4000,"rate":500000.0,"level":-120.0,"in_window":4400000.0,"assumed":0.0,"heard":7,"members":7,"wait_ms":210"#
        )
    };
    let answered = r#""answered","route":"","customer":"","status":429,"outcome":"quota_used_up","took_ms":0,"first_ms":0,"configuration":7"#;
    let lines = [
        line("another", &used_up("kitchens")),
        line("refused", &used_up("temple-fairs")),
        line("refused", answered),
    ];
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("gateway.log");
    fs::write(&file, lines.join("\n")).expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_tackhollow-trace"))
        .arg("refused")
        .arg(&file)
        .output()
        .expect("the tool runs");
    let output_text = String::from_utf8(output.stdout).expect("text");
    assert!(
        output_text.contains(
            "cause: customer temple-fairs has used up its quota of 500000 tokens/s, as 7 of 7 \
             gateways are heard; it has not run"
        ),
        "{output_text}"
    );
    assert!(
        !output_text.contains("kitchens"),
        "the output contains a line of another request: {output_text}"
    );
}

#[test]
fn stale_configuration_is_named_as_the_cause() {
    let site = Site::start(2, 1, 1);
    site.store("silent");
    let call = |id: &str| Call::new("POST", "/confirm/x", id).header("x-key", "added");
    let mut n = 0;
    let mut refused = String::new();
    wait_until("the gateway treats its configuration as possibly stale", || {
        n += 1;
        refused = format!("refused-{n}");
        let answer = call(&refused).send(site.gateways[0].callers).expect("an answer");
        answer.status == StatusCode::SERVICE_UNAVAILABLE
    });
    let cause = "cause: configuration 7 does not allow it, and was last known to be the newest";
    wait_until("the logs name the cause", || trace(&site, &refused).contains(cause));
}

#[test]
fn upstreams_that_asked_for_a_pause_are_named() {
    let site = Site::start(1, 0, 1);
    site.signal("i-1", &[("retry-after", "30")]);
    site.behave(Some("i-1"), "full");
    let call = |id: &str| Call::new("POST", "/confirm/x", id).send(site.gateways[0].callers);
    call("first").expect("an answer");
    call("held").expect("an answer");
    let cause = "cause: every upstream of the service holds off (i-1 asked for rest of 30000 ms); \
                 it has not run";
    wait_until("the logs name the cause", || trace(&site, "held").contains(cause));
}

#[test]
fn cause_includes_the_upstream_state_from_the_store() {
    let site = Site::start(1, 1, 0);
    site.behave(None, "break_midway");
    let to = site.gateways[0].callers;
    let caller = thread::spawn(move || Call::stream("/plan/x", "gone", 60).send(to));
    wait_until("the request is running", || !site.runs("gone").is_empty());
    site.control("/remove", &json!({ "id": "i-1" }));
    assert!(!caller.join().expect("the caller").expect("an answer").complete);
    wait_until("the logs name the cause", || {
        trace(&site, "gone").contains("i-1 broke off; the platform's store said gone")
    });
}

#[test]
fn unknown_request_id_is_an_error() {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("empty.log");
    fs::write(&file, "not a log line\n{\"neither\": 1}\n").expect("a file");
    let tool = || Command::new(env!("CARGO_BIN_EXE_tackhollow-trace"));
    let unknown = tool().arg("r-1").arg(&file).output().expect("the tool runs");
    assert!(!unknown.status.success());
    let error = String::from_utf8(unknown.stderr).expect("text");
    assert_eq!(error, "tackhollow-trace: r-1: no line of 0 tells of it\n");
    let no_request_id = tool().output().expect("the tool runs");
    assert!(!no_request_id.status.success());
}

/// Guards against a log that grows without bound when many requests are rejected at once. Lines
/// above the limit are left out, and the log says how many.
#[test]
fn log_stays_bounded_under_many_rejections() {
    let site = Site::start(1, 0, 1);
    let to = site.gateways[0].callers;
    let threads: Vec<_> = (0..8)
        .map(|n| {
            thread::spawn(move || {
                for i in 0..150 {
                    let call = Call::new("GET", "/check/x", &format!("f-{n}-{i}"));
                    call.header("x-key", "stolen").send(to);
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|t| t.join().expect("a caller thread"));
    thread::sleep(Duration::from_millis(1_100));
    Call::new("GET", "/check/x", "last").send(to);
    let lines = site.gateways[0].log();
    let refused = lines.iter().filter(|l| l["outcome"] == "unknown_key").count();
    let left_out: u64 =
        lines.iter().filter(|l| l["event"] == "left_out").filter_map(|l| l["lines"].as_u64()).sum();
    assert_eq!(
        refused as u64 + left_out,
        1_200,
        "every line is either written or counted as left out"
    );
}
