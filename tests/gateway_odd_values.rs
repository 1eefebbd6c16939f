//! Entries in the store's list of upstreams whose values no upstream writes. Gateways neither end nor stop
//! following the list, and serve callers as without them.

mod support;

use std::time::{Duration, Instant};

use hyper::StatusCode;
use serde_json::json;
use support::{
    directory::{DirectoryHarness, row},
    gateways::{Call, GatewayProc, Site, configuration},
    wait_until, wait_until_for,
};
use tackhollow::{
    gateway::{decide::StoreMillis, model::UpstreamPhase},
    platform::{Change, Feed, Snapshot},
};

/// Time after a restart of all gateways within which callers must be served.
const RECOVERY: Duration = Duration::from_secs(12);
/// Name of the entry with the odd value.
const NAME: &str = "i-odd";
/// Largest time of the store that is believed.
const MAX_TIME: StoreMillis = 1 << 53;
/// Depth of nested values.
const DEPTH: usize = 40_000;
/// Length of long texts.
const LONG: usize = 60_000;

/// Returns an entry of a plain upstream where nobody listens, with some fields written as given.
fn entry(fields: &[(&str, &str)]) -> String {
    let sound = [
        ("service", "\"app\""),
        ("address", "\"127.0.0.1:9\""),
        ("zone", "\"bkk-nont\""),
        ("version", "\"v1\""),
        ("slots", "64"),
        ("state", "\"ready\""),
        ("coldRemainingMs", "0"),
        ("sequence", "1"),
    ];
    let is_replaced = |name: &str| fields.iter().any(|(n, _)| *n == name);
    let kept = sound.iter().filter(|(name, _)| !is_replaced(name));
    let written = kept.chain(fields).map(|(name, value)| format!("\"{name}\":{value}"));
    format!("{{{}}}", written.collect::<Vec<_>>().join(","))
}

struct Case {
    name: &'static str,
    entry: String,
}

fn cases() -> Vec<Case> {
    let nested = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    let nested_objects = "{\"a\":".repeat(DEPTH / 5) + "1" + &"}".repeat(DEPTH / 5);
    let long = format!("\"{}\"", "x".repeat(LONG));
    let of = |name, entry| Case { name, entry };
    let field = |name, field, value: &str| Case { name, entry: entry(&[(field, value)]) };
    vec![
        of("nothing but nesting", nested.clone()),
        of("nesting without an end", "[".repeat(DEPTH)),
        of("nothing but nested objects", nested_objects.clone()),
        field("nested field", "new", &nested),
        field("nested objects in a field", "new", &nested_objects),
        field("nested address", "address", &nested),
        field("nested start time", "born", &nested),
        field("port 0", "address", "\"127.0.0.1:0\""),
        field("port 65536", "address", "\"127.0.0.1:65536\""),
        field("port 99999", "address", "\"127.0.0.1:99999\""),
        field("negative port", "address", "\"127.0.0.1:-1\""),
        field("no port", "address", "\"127.0.0.1\""),
        field("any address", "address", "\"0.0.0.0:9\""),
        field("broadcast", "address", "\"255.255.255.255:9\""),
        field("multicast", "address", "\"224.0.0.1:9\""),
        field("any IPv6 address", "address", "\"[::]:9\""),
        field("IPv6 with a scope", "address", "\"[fe80::1%1]:9\""),
        field("largest slots", "slots", "4294967295"),
        field("slots too large", "slots", "4294967296"),
        field("slots beyond all", "slots", "1e999"),
        field("large leave time", "leaves_ms", "1e22"),
        field("largest leave time", "leaves_ms", "1e308"),
        field("leave time beyond all", "leaves_ms", "1e999"),
        field("negative leave time", "leaves_ms", "-1e308"),
        field("born in 2^63 ms", "born", "9223372036854775808"),
        field("born in 2^64 - 1 ms", "born", "18446744073709551615"),
        field("born in 2^64 ms", "born", "18446744073709551616"),
        field("largest sequence", "sequence", "18446744073709551615"),
        field("sequence too large", "sequence", "18446744073709551616"),
        field("cold beyond all", "coldRemainingMs", "1e999"),
        field("long data centre", "zone", &long),
        field("long version", "version", &long),
        field("long service", "service", &long),
        field("odd data centre", "zone", r#""a\n\u0000\"b c\u00e4""#),
        field("odd version", "version", r#""a\n\u0000\"b c\u00e4""#),
        field("odd service", "service", r#""a\n\u0000\"b c\u00e4""#),
        field("lone surrogate", "version", r#""\ud800""#),
        of(
            "leaving at once",
            entry(&[("leaves_ms", "0"), ("spot", "true"), ("state", "\"draining\"")]),
        ),
        of("a field twice", entry(&[("slots", "4"), ("slots", "4294967295")])),
    ]
}

/// Returns the calls at each gateway that were not served, one line each.
fn unserved(site: &Site, name: &str) -> Vec<String> {
    let mut unserved = Vec::new();
    for (n, gateway) in site.gateways.iter().enumerate() {
        for round in 0..2 {
            let id = |kind: &str| format!("{name}-{kind}-{n}-{round}");
            let calls = [
                Call::new("GET", "/check/x", &id("check")),
                Call::new("POST", "/confirm/x", &id("confirm")),
                Call::stream("/digest/x", &id("digest"), 2),
                Call::stream("/plan/x", &id("plan"), 2),
            ];
            for call in calls {
                let answer = call.send(gateway.callers);
                if !answer.as_ref().is_some_and(|a| a.status == StatusCode::OK && a.complete) {
                    unserved.push(format!("{}: {answer:?}", call.path));
                }
            }
        }
    }
    unserved
}

fn check(odd_service: &str) {
    let mut site = Site::bare();
    site.configure(&configuration(7));
    for service in ["app", "app", "llm", "llm"] {
        site.add_upstream(service);
    }
    (0..2).for_each(|_| site.add_gateway());
    site.wait_ready();
    for (n, case) in cases().into_iter().enumerate() {
        let name = case.name;
        let entry =
            case.entry.replace("\"service\":\"app\"", &format!("\"service\":\"{odd_service}\""));
        site.write_entry(NAME, &entry);
        // Shows that the odd entry has been read, and that the list is still followed.
        let joined = format!("i-joins-{n}");
        site.write_entry(&joined, &entry_of_nobody());
        wait_until(&format!("{name}: the gateways follow the list"), || {
            site.gateways.iter().all(|g| g.log().iter().any(|l| l["upstream"] == *joined))
        });
        site.control("/entry", &json!({ "id": joined, "text": null }));
        let failed = unserved(&site, &format!("before-{n}"));
        assert!(failed.is_empty(), "{name}:\n{}", failed.join("\n"));
        let ended = site.gateways.iter_mut().filter_map(|g| g.has_ended().then(|| g.said()));
        assert_eq!(ended.collect::<Vec<_>>(), [""; 0], "{name}: ended");
        site.gateways.iter_mut().for_each(GatewayProc::kill);
        site.gateways.iter_mut().for_each(GatewayProc::restart);
        wait_until_for(&format!("{name}: the gateways are ready"), RECOVERY, || {
            site.gateways.iter().all(GatewayProc::is_ready)
        });
        let failed = unserved(&site, &format!("after-{n}"));
        assert!(failed.is_empty(), "{name}, after a restart:\n{}", failed.join("\n"));
        let ended = site.gateways.iter_mut().filter_map(|g| g.has_ended().then(|| g.said()));
        assert_eq!(ended.collect::<Vec<_>>(), [""; 0], "{name}: ended after a restart");
        site.control("/entry", &json!({ "id": NAME, "text": null }));
    }
}

/// Returns an entry of a service that nobody asks for.
fn entry_of_nobody() -> String {
    entry(&[("service", "\"nobody's\"")])
}

#[test]
fn odd_values_among_plain_upstreams_end_no_gateway_and_cost_no_request() {
    check("app");
}

#[test]
fn odd_values_among_model_engines_end_no_gateway_and_cost_no_request() {
    check("llm");
}

/// The store's clock is a number of the store too. Guards against times whose sums overflow.
#[test]
fn the_largest_time_of_the_store_does_not_overflow() {
    let start = Instant::now();
    let mut directory = DirectoryHarness::new();
    let rows = || vec![row("i-1", UpstreamPhase::Ready, 1), row("i-2", UpstreamPhase::Ready, 2)];
    directory.snapshot(Snapshot { rows: rows(), revision: 2, as_of: 7 });
    directory.gateway.board.borrow_mut().store_clock.note(MAX_TIME, start);
    directory.snapshot(Snapshot { rows: rows(), revision: 3, as_of: MAX_TIME });
    for (revision, as_of) in [(4, 8), (5, MAX_TIME)] {
        let changes = vec![Change::Removed(format!("i-{}", revision - 3), revision)];
        directory.feed(Feed { changes, revision, as_of });
    }
    assert_eq!(directory.position(), 5);
    let gateways = &mut [directory];
    DirectoryHarness::pass_time(gateways, start + Duration::from_secs(100));
    assert_eq!(gateways[0].as_of(), MAX_TIME);
}
