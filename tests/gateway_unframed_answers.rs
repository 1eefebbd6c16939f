//! Answers that have neither a length nor chunks and end with their connection. Their upstream may
//! have broken them off.

mod support;

use std::{
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use hyper::StatusCode;
use serde_json::json;
use support::{
    gateways::{Answer, Call, HOST, KEY, Site, configuration},
    wait_until,
};
use tackhollow::gateway::net::Framing;

/// Events of a stream that lasts 0.8 s.
const EVENTS: u64 = 40;
/// Time after which such a stream is half-way through.
const MIDWAY: Duration = Duration::from_millis(400);

/// Returns a request of each kind, named by its route.
fn call(route: &str, id: &str) -> Call {
    let path = format!("/{route}/a");
    match route {
        "plan" | "digest" => Call::stream(&path, id, EVENTS),
        "confirm" => Call::new("POST", &path, id),
        _ => Call::new("GET", &path, id),
    }
}

fn send(site: &Site, route: &str, id: &str) -> Answer {
    call(route, id).send(site.gateways[0].callers).expect("an answer")
}

fn is_whole(route: &str, answer: &Answer) -> bool {
    match route {
        "plan" | "digest" => answer.event_ids().iter().copied().eq(1..=EVENTS),
        _ => answer.body.starts_with("ran at i-"),
    }
}

/// What a caller may see of an answer that its upstream broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    /// An end with an error.
    Broken,
    /// All of it, with the rest from another upstream.
    Whole,
    /// An end without an error that does not say whether the answer is complete.
    Unknown,
}

fn seen(route: &str, answer: &Answer) -> Option<Seen> {
    match (answer.complete, is_whole(route, answer)) {
        (false, _) => Some(Seen::Broken),
        (true, true) => Some(Seen::Whole),
        (true, false) => (!answer.is_framed_as_complete()).then_some(Seen::Unknown),
    }
}

/// An answer that ends as its upstream behaves, and what its caller may see of it.
struct Case {
    route: &'static str,
    behaviour: &'static str,
    seen: Seen,
}

fn case(route: &'static str, behaviour: &'static str, seen: Seen) -> Case {
    Case { route, behaviour, seen }
}

/// Starts a gateway before one upstream of each service, whose answers end with their connections.
fn unframed_site() -> Site {
    let site = Site::start(1, 1, 1);
    site.frame("until_close");
    site
}

#[test]
fn broken_answers_without_framing_do_not_reach_callers_as_complete() {
    let cases = [
        case("plan", "end_midway", Seen::Broken),
        case("plan", "break_midway", Seen::Broken),
        case("plan", "end_after_event", Seen::Unknown),
        case("digest", "end_after_event", Seen::Unknown),
        case("confirm", "end_midway", Seen::Unknown),
        case("check", "end_midway", Seen::Unknown),
    ];
    let site = unframed_site();
    for case in cases {
        site.behave(None, case.behaviour);
        let name = format!("{}-{}", case.route, case.behaviour);
        let answer = send(&site, case.route, &name);
        assert_eq!(answer.status, StatusCode::OK, "{name}: {}", answer.body);
        assert_eq!(seen(case.route, &answer), Some(case.seen), "{name}: {answer:?}");
        assert_eq!(site.runs(&name).len(), 1, "{name}");
    }
}

#[test]
fn a_stream_that_ends_inside_an_event_is_resumed_or_broken_off() {
    struct Case {
        route: &'static str,
        behaviour: &'static str,
        unframed: bool,
        seen: Seen,
        runs: usize,
    }
    let case =
        |route, behaviour, unframed, seen, runs| Case { route, behaviour, unframed, seen, runs };
    let cases = [
        case("digest", "end_midway", true, Seen::Whole, 2),
        case("digest", "break_midway", true, Seen::Whole, 2),
        case("digest", "end_midway", false, Seen::Whole, 2),
        case("plan", "end_midway", false, Seen::Broken, 1),
    ];
    for case in cases {
        let site = Site::start(1, 1, 0);
        site.frame(if case.unframed { "until_close" } else { "usual" });
        site.behave(None, case.behaviour);
        let name = format!("{}-{}", case.route, case.behaviour);
        let answer = thread::scope(|s| {
            let sending = s.spawn(|| send(&site, case.route, &name));
            wait_until("the stream runs", || !site.runs(&name).is_empty());
            site.add_known_upstream("llm");
            sending.join().expect("a caller")
        });
        assert_eq!(seen(case.route, &answer), Some(case.seen), "{name}: {answer:?}");
        assert_eq!(site.runs(&name).len(), case.runs, "{name}");
    }
}

#[test]
fn streams_without_framing_are_broken_off_when_their_upstream_ends_between_events() {
    for (route, expected) in [("plan", Seen::Broken), ("digest", Seen::Whole)] {
        let site = Site::start(1, 1, 0);
        site.frame("until_close");
        let answer = thread::scope(|s| {
            let sending = s.spawn(|| send(&site, route, route));
            wait_until("the stream runs", || !site.runs(route).is_empty());
            site.add_known_upstream("llm");
            site.control("/crash", &json!({ "id": "i-1" }));
            sending.join().expect("a caller")
        });
        assert_eq!(seen(route, &answer), Some(expected), "{answer:?}");
    }
}

/// Guards against an answer that a crash cut being passed on as whole because no connection was free
/// to find out about the crash.
#[test]
fn answers_cut_by_a_crash_are_broken_off_where_all_connections_to_the_upstream_are_taken() {
    /// Connections that a service takes; a single gateway uses four fifths of them.
    const CONNECTIONS: usize = 10;
    struct Case {
        route: &'static str,
        /// Requests at the same time, as many as there are connections, or one fewer.
        requests: usize,
    }
    let cases = [
        Case { route: "plan", requests: 8 },
        Case { route: "plan", requests: 7 },
        Case { route: "plan", requests: 1 },
    ];
    for case in cases {
        let mut site = Site::bare();
        let mut configuration = configuration(8);
        for service in configuration["services"].as_array_mut().expect("services") {
            service["maxConnections"] = CONNECTIONS.into();
        }
        site.configure(&configuration);
        site.add_upstream("llm");
        site.add_gateway();
        site.wait_ready();
        site.frame("until_close");
        let ids: Vec<_> = (0..case.requests).map(|n| format!("{}-{n}", case.route)).collect();
        let answers: Vec<_> = thread::scope(|s| {
            let sending: Vec<_> =
                ids.iter().map(|id| s.spawn(|| send(&site, case.route, id))).collect();
            wait_until("all streams run", || ids.iter().all(|id| !site.runs(id).is_empty()));
            thread::sleep(MIDWAY);
            site.control("/crash", &json!({ "id": "i-1" }));
            sending.into_iter().map(|s| s.join().expect("a caller")).collect()
        });
        for answer in answers {
            let name = format!("{} of {}", case.route, case.requests);
            assert_eq!(seen(case.route, &answer), Some(Seen::Broken), "{name}: {answer:?}");
        }
    }
}

#[test]
fn a_stream_without_framing_that_ends_before_its_first_event_is_broken_off() {
    let site = unframed_site();
    site.behave(None, "end_after_event");
    let call = Call::stream("/plan/a", "empty", 1);
    let answer = call.send(site.gateways[0].callers).expect("an answer");
    assert_eq!((answer.body.as_str(), answer.complete), ("", false));
}

#[test]
fn a_resumed_stream_without_framing_that_ends_before_its_first_event_is_broken_off() {
    let site = Site::start(1, 2, 0);
    site.frame("until_close");
    site.behave(Some("i-1"), "end_midway");
    site.behave(Some("i-2"), "end_after_event");
    for n in 0..12 {
        let id = format!("empty-{n}");
        let call = Call::stream("/digest/a", &id, 1);
        let answer = call.send(site.gateways[0].callers).expect("an answer");
        assert_eq!((answer.body.as_str(), answer.complete), ("", false), "{id}");
    }
}

#[test]
fn a_stream_with_a_length_is_resumed_to_its_end() {
    let site = Site::start(1, 1, 0);
    site.frame("length");
    site.behave(None, "break_midway");
    let answer = thread::scope(|s| {
        let sending = s.spawn(|| send(&site, "digest", "digest"));
        wait_until("the stream runs", || !site.runs("digest").is_empty());
        site.add_known_upstream("llm");
        sending.join().expect("a caller")
    });
    assert_eq!(seen("digest", &answer), Some(Seen::Whole), "{answer:?}");
    assert_eq!(answer.header("content-length"), "", "the rest may have another length");
}

#[test]
fn the_rest_of_a_stream_in_chunks_is_not_framed_as_complete_if_its_end_is_unknown() {
    let site = Site::start(1, 1, 0);
    site.behave(None, "break_midway");
    let answer = thread::scope(|s| {
        let sending = s.spawn(|| send(&site, "digest", "digest"));
        wait_until("the stream runs", || !site.runs("digest").is_empty());
        let other = site.add_known_upstream("llm");
        site.control("/framing", &json!({ "id": other, "framing": "until_close" }));
        sending.join().expect("a caller")
    });
    assert!(answer.event_ids().iter().copied().eq(1..=EVENTS), "{answer:?}");
    assert_eq!((answer.framing, answer.complete), (Framing::Delimited, false), "{answer:?}");
    assert_eq!(site.runs("digest").len(), 2);
}

#[test]
fn whole_answers_without_framing_reach_callers_whole_and_run_once() {
    let site = unframed_site();
    for route in ["plan", "digest", "confirm", "check"] {
        for n in 0..3 {
            let id = format!("{route}-{n}");
            let answer = send(&site, route, &id);
            assert_eq!(answer.status, StatusCode::OK, "{id}: {}", answer.body);
            assert_eq!(seen(route, &answer), Some(Seen::Whole), "{id}: {answer:?}");
            assert_eq!(site.runs(&id).len(), 1, "{id}");
        }
    }
}

#[test]
fn failures_without_framing_are_passed_on_without_framing() {
    let site = unframed_site();
    site.behave(None, "fail");
    let answer = send(&site, "confirm", "fails");
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!((answer.complete, answer.framing), (true, Framing::UntilClose));
}

#[test]
fn answers_without_framing_that_come_through_tunnels_are_judged_like_others() {
    let cases = [
        case("plan", "serve", Seen::Whole),
        case("check", "serve", Seen::Whole),
        case("plan", "end_midway", Seen::Broken),
        case("plan", "break_midway", Seen::Broken),
        case("digest", "end_after_event", Seen::Unknown),
    ];
    let site = Site::start(2, 1, 1);
    site.frame("until_close");
    let source = site.gateways[0].callers.ip().to_string();
    site.control("/cut", &json!({ "sources": [source], "cut": "reset" }));
    wait_until("requests go through the other gateway", || {
        let answer = call("check", "probe").send(site.gateways[0].callers);
        answer.is_some_and(|a| a.status == StatusCode::OK)
    });
    for case in cases {
        site.behave(None, case.behaviour);
        let name = format!("{}-{}-tunnel", case.route, case.behaviour);
        let answer = send(&site, case.route, &name);
        assert_eq!(answer.status, StatusCode::OK, "{name}: {}", answer.body);
        assert_eq!(seen(case.route, &answer), Some(case.seen), "{name}: {answer:?}");
        assert_eq!(site.runs(&name).len(), 1, "{name}");
    }
}

/// An end that may have come too early is no evidence of a crash while its upstream lives.
#[test]
fn ends_without_framing_speak_against_no_request() {
    let site = unframed_site();
    site.behave(None, "end_after_event");
    for n in 0..4 {
        let answer = send(&site, "digest", &format!("unknown-{n}"));
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
    }
    let log = site.gateways[0].log();
    let spoken = log.iter().find(|l| l["event"] == "upstream_ended" || l["event"] == "verdict");
    assert!(spoken.is_none(), "{spoken:?}");
}

/// Sends a request by hand and reads until the connection ends. Returns the error that it ended
/// with, if any, and calls `meanwhile` once the answer has begun.
fn read_to_end(
    to: SocketAddr,
    version: &str,
    headers: &str,
    meanwhile: impl FnOnce(),
) -> Result<String, ErrorKind> {
    let mut stream = TcpStream::connect(to).expect("a connection");
    let head = format!(
        "POST /plan/a {version}\r\nhost: {HOST}\r\nx-key: {KEY}\r\nx-request-id: raw\r\n\
         x-token-usage: 600,{}\r\nx-prompt-prefix: aa01:100\r\ncontent-length: 0\r\n{headers}\r\n",
        EVENTS * 3
    );
    stream.write_all(head.as_bytes()).expect("the request is sent");
    let mut text = vec![0; 64 << 10];
    let mut len = stream.read(&mut text).expect("the answer begins");
    meanwhile();
    loop {
        match stream.read(&mut text[len..]) {
            Ok(0) => return Ok(String::from_utf8_lossy(&text[..len]).into_owned()),
            Ok(more) => len += more,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e.kind()),
        }
    }
}

#[test]
fn an_answer_without_framing_that_the_gateway_breaks_off_ends_with_a_reset() {
    struct Case {
        name: &'static str,
        version: &'static str,
        headers: &'static str,
        unframed: bool,
        behaviour: &'static str,
        /// Whether the gateway's process is killed half-way through.
        killed: bool,
    }
    let timeout = "x-deadline-ms: 500\r\n";
    let case = |name, version, headers, unframed, behaviour, killed| Case {
        name,
        version,
        headers,
        unframed,
        behaviour,
        killed,
    };
    let cases = [
        case("ended inside an event", "HTTP/1.1", "", true, "end_midway", false),
        case("broken off by the upstream", "HTTP/1.1", "", true, "break_midway", false),
        case("broken off, HTTP/1.0 caller", "HTTP/1.0", "", false, "break_midway", false),
        case("deadline passed", "HTTP/1.1", timeout, true, "serve", false),
        case("deadline passed, HTTP/1.0 caller", "HTTP/1.0", timeout, false, "serve", false),
        case("gateway killed", "HTTP/1.1", "", true, "serve", true),
        case("gateway killed, HTTP/1.0 caller", "HTTP/1.0", "", false, "serve", true),
    ];
    let mut site = Site::start(1, 1, 0);
    for case in cases {
        site.frame(if case.unframed { "until_close" } else { "usual" });
        site.behave(None, case.behaviour);
        let to = site.gateways[0].callers;
        let ended = read_to_end(to, case.version, case.headers, || {
            if case.killed {
                thread::sleep(MIDWAY);
                site.gateways[0].kill();
            }
        });
        assert_eq!(ended, Err(ErrorKind::ConnectionReset), "{}", case.name);
        if case.killed {
            site.gateways[0].restart();
            site.wait_ready();
        }
    }
}

#[test]
fn whole_streams_of_unknown_length_end_without_a_reset() {
    let site = Site::start(1, 1, 0);
    for (version, unframed) in [("HTTP/1.1", true), ("HTTP/1.0", false), ("HTTP/1.0", true)] {
        site.frame(if unframed { "until_close" } else { "usual" });
        let text = read_to_end(site.gateways[0].callers, version, "", || {});
        let text = text.unwrap_or_else(|e| panic!("{version}, unframed {unframed}: {e}"));
        let last = format!("id: {EVENTS}\ndata: token {EVENTS} of v1\n\n");
        assert!(text.ends_with(&last), "{version}, unframed {unframed}: {text}");
    }
}
