//! The gateway before the emulated platform: what callers and upstreams see.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    thread,
    time::Duration,
};

use hyper::StatusCode;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use support::{
    gateways::{Call, KEY, Site, configuration},
    wait_until,
};

#[test]
fn a_request_reaches_an_upstream_as_the_caller_sent_it() {
    let site = Site::start(1, 1, 1);
    let mut call =
        Call::new("POST", "/confirm/a/../b?x=1&y=%2f", "r-1").header("x-tenant", "forged");
    call.body = "shift 7".to_owned();
    let answer = call.send(site.gateways[0].callers).expect("an answer");
    assert_eq!((answer.status, answer.complete), (StatusCode::OK, true));
    assert_eq!(answer.header("x-response-seal"), "i-2.r-1");
    assert_eq!(answer.body, "ran at i-2");
    let runs = site.runs("r-1");
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0]["target"], "POST /confirm/a/../b?x=1&y=%2f");
    assert_eq!(runs[0]["customer"], "temple");
    assert_eq!(runs[0]["key_passed"], false);
    assert_eq!(runs[0]["body"], 7);
    let deadline = runs[0]["deadline_ms"].as_u64().expect("a deadline");
    assert!(deadline <= 1_500, "the route's timeout bounds it: {deadline}");
}

#[test]
fn what_is_not_allowed_is_refused_and_does_not_run() {
    struct Case {
        name: &'static str,
        call: Call,
        status: u16,
    }
    let site = Site::start(1, 1, 1);
    let mut large = Call::new("POST", "/confirm/x", "large");
    large.body = "x".repeat(5_000);
    let cases = [
        Case { name: "no route", call: Call::new("GET", "/nothing/", "no-route"), status: 404 },
        Case {
            name: "another host",
            call: Call::new("GET", "/check/x", "no-host").header("host", "other.example"),
            status: 404,
        },
        Case {
            name: "unknown key",
            call: Call::new("GET", "/check/x", "no-key").header("x-key", "stolen"),
            status: 401,
        },
        Case { name: "body too large", call: large, status: 413 },
    ];
    for case in cases {
        let answer = case.call.send(site.gateways[0].callers).expect(case.name);
        assert_eq!(answer.status.as_u16(), case.status, "{}", case.name);
        assert_eq!(answer.header("x-response-seal"), "", "{}", case.name);
    }
    assert_eq!(site.seen()["runs"], json!([]));
}

#[test]
fn a_gateway_without_a_configuration_asks_to_come_back() {
    let mut site = Site::bare();
    site.add_gateway();
    let gateway = &site.gateways[0];
    let call = Call::new("GET", "/check/x", "early");
    let mut answer = None;
    wait_until("the gateway answers", || {
        answer = call.send(gateway.callers);
        answer.is_some()
    });
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.header("retry-after").parse::<f64>().expect("seconds") > 0.0);
    assert!(!gateway.is_ready());
    site.configure(&configuration(7));
    site.add_upstream("app");
    wait_until("the request is served", || {
        call.send(gateway.callers).is_some_and(|a| a.status == StatusCode::OK)
    });
    assert!(gateway.is_ready());
}

#[test]
fn failures_of_upstreams_are_handled_by_the_kind_of_route() {
    struct Case {
        name: &'static str,
        method: &'static str,
        path: &'static str,
        behaviour: &'static str,
        status: u16,
        runs: usize,
    }
    let case = |name, method, path, behaviour, status, runs| Case {
        name,
        method,
        path,
        behaviour,
        status,
        runs,
    };
    let cases = [
        case("all full: true that it did not run", "POST", "/confirm/x", "full", 503, 0),
        case("may have run: no promise", "POST", "/confirm/x", "lose", 502, 1),
        case("another's answer is dropped", "POST", "/confirm/x", "crossed", 502, 1),
        case("the upstream's failure is passed on", "POST", "/confirm/x", "fail", 500, 1),
        case("a safe call runs again", "GET", "/check/x", "lose", 502, 2),
        case("a safe call's failure is tried again", "GET", "/check/x", "fail", 500, 2),
        case("silence ends at the route's timeout", "POST", "/confirm/x", "silent", 504, 1),
    ];
    let site = Site::start(1, 0, 3);
    for case in cases {
        site.behave(None, case.behaviour);
        let id = case.name.replace([' ', ':'], "-");
        let call = Call::new(case.method, case.path, &id);
        let answer = call.send(site.gateways[0].callers).expect(case.name);
        assert_eq!(answer.status.as_u16(), case.status, "{}: {answer:?}", case.name);
        assert_eq!(site.runs(&id).len(), case.runs, "{}", case.name);
    }
}

#[test]
fn one_upstream_that_is_full_or_gone_costs_no_request() {
    let site = Site::start(1, 0, 2);
    site.behave(Some("i-1"), "full");
    for i in 0..10 {
        let id = format!("r-{i}");
        let answer = Call::new("POST", "/confirm/x", &id).send(site.gateways[0].callers);
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
        assert_eq!(site.runs(&id).len(), 1);
    }
}

#[test]
fn a_stream_that_breaks_goes_on_only_where_it_may() {
    struct Case {
        path: &'static str,
        complete: bool,
        runs: usize,
    }
    let cases = [
        Case { path: "/digest/x", complete: true, runs: 2 },
        Case { path: "/plan/x", complete: false, runs: 1 },
    ];
    let site = Site::start(1, 2, 0);
    for case in cases {
        site.behave(None, "serve");
        let first = Call::stream(case.path, "warm", 1).send(site.gateways[0].callers);
        assert!(first.expect("an answer").complete);
        // The next one goes where the prefix is held.
        let holder = site.runs("warm").last().expect("a run")["upstream"].clone();
        site.behave(holder.as_str(), "break_midway");
        let id = case.path.replace('/', "");
        let answer = Call::stream(case.path, &id, 12).send(site.gateways[0].callers);
        let answer = answer.expect("an answer");
        assert_eq!(answer.complete, case.complete, "{}", case.path);
        let runs = site.runs(&id);
        assert_eq!(runs.len(), case.runs, "{}: {runs:?}", case.path);
        if case.complete {
            assert_eq!(answer.event_ids(), (1..=12).collect::<Vec<u64>>(), "none lost, none twice");
            assert!(answer.body.ends_with("\n\n") && !answer.body.contains("\nda\n"));
            assert!(runs[1]["resume_after"].as_u64() > Some(0));
            let seal = answer.header("x-response-seal").to_owned();
            assert!(seal.starts_with(holder.as_str().expect("an id")), "{seal}");
        }
    }
}

#[test]
fn a_caller_that_leaves_ends_its_run() {
    let site = Site::start(1, 1, 1);
    let left = Call::stream("/plan/x", "left", 500).leaving_after(Duration::from_millis(400));
    assert!(left.send(site.gateways[0].callers).is_none());
    site.behave(Some("i-2"), "silent");
    let early = Call::new("POST", "/confirm/x", "early").leaving_after(Duration::from_millis(300));
    assert!(early.send(site.gateways[0].callers).is_none());
    for id in ["left", "early"] {
        wait_until("the run is aborted", || site.runs(id).iter().any(|r| r["end"] == "aborted"));
        assert_eq!(site.runs(id).len(), 1);
    }
}

#[test]
fn an_upstream_that_leaves_gets_no_new_work() {
    let site = Site::start(2, 2, 0);
    site.control("/state", &json!({ "id": "i-1", "state": "draining" }));
    site.control("/remove", &json!({ "id": "i-2" }));
    let id = site.add_upstream("llm");
    let knows = |g: &support::gateways::GatewayProc| {
        let lines = g.log();
        let about = |id: &str, state: &str| {
            lines.iter().any(|l| l["upstream"] == id && l["state"] == state)
        };
        about("i-1", "draining") && about("i-2", "gone") && about(&id, "ready")
    };
    wait_until("all know the upstreams", || site.gateways.iter().all(knows));
    for (i, gateway) in site.gateways.iter().cycle().take(6).enumerate() {
        let request = format!("r-{i}");
        let answer = Call::stream("/plan/x", &request, 2).send(gateway.callers);
        assert!(answer.expect("an answer").complete);
        assert_eq!(site.runs(&request)[0]["upstream"], id.as_str());
    }
}

#[test]
fn a_quota_holds_over_all_gateways_and_says_when_to_come_back() {
    let site = Site::start(2, 0, 1);
    // The buckets start empty; twenty tokens are two calls.
    wait_until("the bucket has filled", || {
        let call = Call::new("GET", "/check/x", "fill").header("x-key", "small-key");
        call.send(site.gateways[0].callers).is_some_and(|a| a.status == StatusCode::OK)
    });
    let mut served = 0;
    let mut refused = None;
    for i in 0..12 {
        let call = Call::new("GET", "/check/x", &format!("q-{i}")).header("x-key", "small-key");
        let answer = call.send(site.gateways[i % 2].callers).expect("an answer");
        match answer.status {
            StatusCode::OK => served += 1,
            _ => refused = Some(answer),
        }
    }
    let refused = refused.expect("the quota is used up");
    assert_eq!(refused.status, StatusCode::TOO_MANY_REQUESTS);
    assert!(refused.header("retry-after").parse::<f64>().expect("seconds") > 0.0);
    let ran = (0..12).filter(|i| !site.runs(&format!("q-{i}")).is_empty()).count();
    assert_eq!(ran, served, "what was refused did not run");
}

#[test]
fn a_new_configuration_is_in_force_everywhere_and_stays() {
    let site = Site::start(5, 0, 1);
    let mut newer = configuration(9);
    newer["routes"].as_array_mut().expect("routes").retain(|r| r["prefix"] != "/check/");
    newer["tenants"][0]["apiKeys"] = json!(["rotated"]);
    site.configure(&newer);
    let status = |g: &support::gateways::GatewayProc, path: &str, key: &str| {
        let call = Call::new("GET", path, "c").header("x-key", key);
        call.send(g.callers).map_or(0, |a| a.status.as_u16())
    };
    wait_until("all have it", || {
        site.gateways.iter().all(|g| status(g, "/check/x", "rotated") == 404)
    });
    // An older document, as a stale read might bring it, changes nothing.
    site.configure(&configuration(8));
    site.configure(&newer);
    for gateway in &site.gateways {
        assert_eq!(status(gateway, "/confirm/x", "rotated"), 200);
        assert_eq!(status(gateway, "/confirm/x", KEY), 401);
        let mut versions = gateway.log();
        versions.retain(|l| l["event"] == "configuration");
        let versions: Vec<u64> = versions.iter().filter_map(|l| l["version"].as_u64()).collect();
        assert!(versions.is_sorted() && versions.last() == Some(&9), "{versions:?}");
    }
}

#[test]
fn requests_run_and_gateways_start_while_the_store_is_away() {
    let mut site = Site::start(2, 1, 1);
    site.store("refusing");
    let answer = Call::stream("/plan/x", "away", 3).send(site.gateways[0].callers);
    assert!(answer.expect("an answer").complete);
    assert_eq!(site.gateways[0].told().len(), 2);
    site.store("up");
    site.add_gateway();
    site.wait_ready();
    site.control("/forget", &Value::Null);
    let id = site.add_upstream("llm");
    let knows = |g: &support::gateways::GatewayProc| {
        g.log().iter().any(|l| l["upstream"] == id.as_str() && l["state"] == "ready")
    };
    wait_until("all know an upstream that came after the history was lost", || {
        site.gateways.iter().all(knows)
    });
}

#[test]
fn a_row_that_lapsed_while_the_store_was_away_is_not_gone_at_once() {
    let site = Site::start(1, 1, 1);
    let gateway = &site.gateways[0];
    site.store("refusing");
    let lost = |g: &support::gateways::GatewayProc| {
        g.log().iter().any(|l| l["event"] == "dependency_lost")
    };
    wait_until("the gateway misses the store", || lost(gateway));
    site.control("/remove", &json!({ "id": "i-1" }));
    site.store("up");
    let missing =
        || gateway.log().iter().any(|l| l["upstream"] == "i-1" && l["state"] == "missing");
    wait_until("the row is missed", missing);
    site.control("/remove", &json!({ "id": "i-1", "back": true }));
    let answer = Call::stream("/plan/x", "back", 2).send(gateway.callers).expect("an answer");
    assert_eq!((answer.status, answer.complete), (StatusCode::OK, true));
    // A removal long after the store's return is no lapse.
    thread::sleep(Duration::from_millis(1_000));
    site.control("/remove", &json!({ "id": "i-2" }));
    let gone = || gateway.log().iter().any(|l| l["upstream"] == "i-2" && l["state"] == "gone");
    wait_until("the other is gone", gone);
    let lines = gateway.log();
    assert!(!lines.iter().any(|l| l["upstream"] == "i-2" && l["state"] == "missing"));
}

#[test]
fn a_gateway_that_is_stopped_cuts_off_nobody() {
    let mut site = Site::start(3, 1, 0);
    let leaving = &site.gateways[0];
    let (callers, address) = (leaving.callers, leaving.callers.to_string());
    let stream = thread::spawn(move || Call::stream("/plan/x", "long", 100).send(callers));
    wait_until("the stream runs", || !site.runs("long").is_empty());
    leaving.signal(Signal::SIGHUP);
    leaving.signal(Signal::SIGTERM);
    wait_until("it is no longer ready", || !leaving.is_ready());
    wait_until("the others name it no more", || {
        site.gateways[1..].iter().all(|g| !g.told().contains(&address))
    });
    let late = Call::stream("/plan/x", "late", 2).send(callers).expect("it still answers");
    assert!(late.complete || late.status == StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(late.header("connection"), "close");
    let answer = stream.join().expect("the caller").expect("an answer");
    assert_eq!((answer.complete, answer.event_ids().len()), (true, 100));
    assert!(site.gateways[0].wait(), "it ends with success");
}

#[test]
fn one_process_reports_usage_and_another_goes_on() {
    let mut site = Site::start(3, 0, 1);
    for i in 0..9 {
        let call = Call::new("GET", "/check/x", &format!("u-{i}"));
        assert_eq!(
            call.send(site.gateways[i % 3].callers).expect("an answer").status,
            StatusCode::OK
        );
    }
    // A successor repeats reports that it does not know to have arrived; the
    // platform takes each window once. That repeats are exact is checked below.
    let counted = |site: &Site| -> u64 {
        let reports = site.duties("/usage");
        let of_window = |r: &Value| {
            let window = r["body"]["windowNumber"].as_u64();
            (window, r["body"]["counts"]["temple"].as_u64().unwrap_or_default())
        };
        reports.iter().map(of_window).collect::<BTreeMap<_, _>>().values().sum()
    };
    wait_until("all requests are reported", || counted(&site) >= 9);
    let first = site.duties("/usage");
    let holder = first[0]["holder"].as_str().expect("a holder").to_owned();
    let n: usize = holder.rsplit('-').next().and_then(|n| n.parse().ok()).expect("its number");
    site.gateways[n - 1].kill();
    wait_until("another reports", || {
        site.duties("/usage").iter().any(|r| r["holder"] != holder.as_str())
    });
    let all = site.duties("/usage");
    let fences: Vec<u64> = all.iter().filter_map(|r| r["fence"].as_u64()).collect();
    assert!(fences.is_sorted(), "a fencing number never falls: {fences:?}");
    for report in &all {
        let same = |r: &&Value| r["body"]["windowNumber"] == report["body"]["windowNumber"];
        let mut of_window = all.iter().filter(same);
        assert!(of_window.all(|r| r["body"] == report["body"]), "{all:?}");
    }
    assert_eq!(counted(&site), 9, "each request is counted once: {all:?}");
}

/// Restarted processes read what the holder kept and hear the same counts from
/// processes that live on; each request still counts once.
#[test]
fn usage_is_counted_once_through_restarts() {
    let mut site = Site::start(3, 0, 1);
    let mut sent = 0;
    for round in 0..3 {
        for i in 0..6 {
            let call = Call::new("GET", "/check/x", &format!("u-{round}-{i}"));
            let answer = call.send(site.gateways[i % site.gateways.len()].callers);
            sent += u64::from(answer.expect("an answer").status == StatusCode::OK);
        }
        let holder = || {
            let reports = site.duties("/usage");
            let holder = reports.last()?["holder"].as_str()?.to_owned();
            holder.rsplit('-').next()?.parse::<usize>().ok()
        };
        wait_until("somebody reports", || holder().is_some());
        // A process that starts now reads what the holder has kept.
        thread::sleep(Duration::from_millis(1_200));
        site.add_gateway();
        site.wait_ready();
    }
    let counted = |site: &Site| -> u64 {
        let reports = site.duties("/usage");
        let mut windows = std::collections::BTreeMap::new();
        for report in &reports {
            let count = report["body"]["counts"]["temple"].as_u64().unwrap_or_default();
            windows.insert(report["body"]["windowNumber"].as_u64(), count);
        }
        windows.values().sum()
    };
    // Only those that read what was kept are left to report the rest.
    for old in &site.gateways[..3] {
        old.signal(Signal::SIGTERM);
    }
    let young = |r: &Value| {
        let holder = r["holder"].as_str().unwrap_or_default();
        !["gateway-1", "gateway-2", "gateway-3"].contains(&holder)
    };
    wait_until("a young one reports", || site.duties("/usage").iter().any(young));
    wait_until("all are reported", || counted(&site) >= sent);
    let last = site.duties("/usage").last().map(|r| r["body"]["windowNumber"].clone());
    wait_until("later windows are reported, too", || {
        site.duties("/usage").last().map(|r| r["body"]["windowNumber"].clone()) != last
    });
    assert_eq!(counted(&site), sent);
}

#[test]
fn the_log_tells_why_a_request_failed() {
    let site = Site::start(1, 0, 1);
    site.behave(None, "lose");
    Call::new("POST", "/confirm/x", "lost").send(site.gateways[0].callers).expect("an answer");
    wait_until("the story is written", || site.gateways[0].story("lost").len() == 3);
    let story = site.gateways[0].story("lost");
    let events: Vec<&str> = story.iter().filter_map(|l| l["event"].as_str()).collect();
    assert_eq!(events, ["attempt", "attempt_failed", "answered"]);
    assert_eq!(story[1]["may_have_run"], true);
    assert_eq!(story[2]["outcome"], "broken");
    assert_eq!(story[2]["configuration"], 7);
    let metrics = site.gateways[0].metrics();
    assert!(metrics.contains("outcome=\"broken\""), "{metrics}");
}

/// Upstreams that do equally well are not all connected to: 20 calls one after the
/// other opened connections to all four before, and open one now.
#[test]
fn calls_one_after_the_other_use_one_connection() {
    let site = Site::start(1, 0, 4);
    for i in 0..20 {
        let answer = Call::new("GET", "/check/x", &format!("r-{i}")).send(site.gateways[0].callers);
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
    let ran: BTreeSet<String> = (0..20)
        .flat_map(|i| site.runs(&format!("r-{i}")))
        .map(|run| run["upstream"].to_string())
        .collect();
    assert!(ran.len() <= 2, "one, or a second one where the first was not free yet: {ran:?}");
}
