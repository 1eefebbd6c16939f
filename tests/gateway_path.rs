//! Request path of the gateway, tested end to end against the emulated platform.

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
fn request_reaches_upstream_unchanged() {
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
    assert!(deadline <= 1_500, "deadline exceeds the route's timeout: {deadline}");
}

#[test]
fn disallowed_requests_are_refused_and_do_not_run() {
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
fn gateway_without_configuration_refuses_with_retry_after() {
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
fn upstream_failures_are_handled_by_kind_of_route() {
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
        case("all full: refused without a run", "POST", "/confirm/x", "full", 503, 0),
        case("answer lost: may have run", "POST", "/confirm/x", "lose", 502, 1),
        case("answer of another request is discarded", "POST", "/confirm/x", "crossed", 502, 1),
        case("upstream failure is relayed", "POST", "/confirm/x", "fail", 500, 1),
        case("safe request is retried after a lost answer", "GET", "/check/x", "lose", 502, 2),
        case("safe request is retried after a failure", "GET", "/check/x", "fail", 500, 2),
        case("no answer: ends at the timeout of the route", "POST", "/confirm/x", "silent", 504, 1),
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
fn full_upstream_fails_no_request() {
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
fn interrupted_stream_resumes_only_on_resumable_routes() {
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
        // The next request is sent to the upstream that has the prefix cached.
        let holder = site.runs("warm").last().expect("a run")["upstream"].clone();
        site.behave(holder.as_str(), "break_midway");
        let id = case.path.replace('/', "");
        let answer = Call::stream(case.path, &id, 12).send(site.gateways[0].callers);
        let answer = answer.expect("an answer");
        assert_eq!(answer.complete, case.complete, "{}", case.path);
        let runs = site.runs(&id);
        assert_eq!(runs.len(), case.runs, "{}: {runs:?}", case.path);
        if case.complete {
            assert_eq!(
                answer.event_ids(),
                (1..=12).collect::<Vec<u64>>(),
                "events lost or repeated"
            );
            assert!(answer.body.ends_with("\n\n") && !answer.body.contains("\nda\n"));
            assert!(runs[1]["resume_after"].as_u64() > Some(0));
            let seal = answer.header("x-response-seal").to_owned();
            assert!(seal.starts_with(holder.as_str().expect("an id")), "{seal}");
        }
    }
}

#[test]
fn a_stream_runs_at_no_more_upstreams_than_its_route_allows() {
    let site = Site::start(1, 4, 0);
    site.behave(None, "break_midway");
    let answer = Call::stream("/digest/x", "often", 40).send(site.gateways[0].callers);
    assert!(!answer.expect("an answer").complete);
    assert_eq!(site.runs("often").len(), 2);
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
fn draining_and_removed_upstreams_get_no_requests() {
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
    wait_until("all gateways know the upstreams", || site.gateways.iter().all(knows));
    for (i, gateway) in site.gateways.iter().cycle().take(6).enumerate() {
        let request = format!("r-{i}");
        let answer = Call::stream("/plan/x", &request, 2).send(gateway.callers);
        assert!(answer.expect("an answer").complete);
        assert_eq!(site.runs(&request)[0]["upstream"], id.as_str());
    }
}

#[test]
fn quota_applies_across_gateways_and_refusals_have_retry_after() {
    let site = Site::start(2, 0, 1);
    // The token buckets start empty; 20 tokens suffice for two requests.
    wait_until("the bucket is filled", || {
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
    assert_eq!(ran, served, "refused requests must not run");
}

#[test]
fn new_configuration_takes_effect_on_all_gateways_and_is_not_reverted() {
    let site = Site::start(5, 0, 1);
    let mut newer = configuration(9);
    newer["routes"].as_array_mut().expect("routes").retain(|r| r["prefix"] != "/check/");
    newer["tenants"][0]["apiKeys"] = json!(["rotated"]);
    site.configure(&newer);
    let status = |g: &support::gateways::GatewayProc, path: &str, key: &str| {
        let call = Call::new("GET", path, "c").header("x-key", key);
        call.send(g.callers).map_or(0, |a| a.status.as_u16())
    };
    wait_until("all gateways use the new configuration", || {
        site.gateways.iter().all(|g| status(g, "/check/x", "rotated") == 404)
    });
    // An older document, as a stale read may return it, must be ignored.
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
fn requests_are_served_during_store_outage_and_lost_history_is_recovered() {
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
    wait_until("all gateways know an upstream added after the history was lost", || {
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
    wait_until("the gateway notices the store outage", || lost(gateway));
    site.control("/remove", &json!({ "id": "i-1" }));
    site.store("up");
    let missing =
        || gateway.log().iter().any(|l| l["upstream"] == "i-1" && l["state"] == "missing");
    wait_until("the row is logged as missing", missing);
    site.control("/remove", &json!({ "id": "i-1", "back": true }));
    let answer = Call::stream("/plan/x", "back", 2).send(gateway.callers).expect("an answer");
    assert_eq!((answer.status, answer.complete), (StatusCode::OK, true));
    // A removal long after the store has recovered is not a lapse.
    thread::sleep(Duration::from_millis(1_000));
    site.control("/remove", &json!({ "id": "i-2" }));
    let gone = || gateway.log().iter().any(|l| l["upstream"] == "i-2" && l["state"] == "gone");
    wait_until("the other upstream is gone", gone);
    let lines = gateway.log();
    assert!(!lines.iter().any(|l| l["upstream"] == "i-2" && l["state"] == "missing"));
}

#[test]
fn a_gateway_that_is_stopped_cuts_off_nobody() {
    let mut site = Site::start(3, 1, 0);
    let stopped = &site.gateways[0];
    let (callers, address) = (stopped.callers, stopped.callers.to_string());
    let stream = thread::spawn(move || Call::stream("/plan/x", "long", 100).send(callers));
    wait_until("the stream has started", || !site.runs("long").is_empty());
    stopped.signal(Signal::SIGHUP);
    stopped.signal(Signal::SIGTERM);
    wait_until("the gateway is no longer ready", || !stopped.is_ready());
    wait_until("the other gateways no longer list it", || {
        site.gateways[1..].iter().all(|g| !g.told().contains(&address))
    });
    let late =
        Call::stream("/plan/x", "late", 2).send(callers).expect("an answer during the drain");
    assert!(late.complete || late.status == StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(late.header("connection"), "close");
    let answer = stream.join().expect("the caller").expect("an answer");
    assert_eq!((answer.complete, answer.event_ids().len()), (true, 100));
    assert!(site.gateways[0].wait(), "the process must exit with success");
}

#[test]
fn usage_reporting_fails_over_without_double_counting() {
    let mut site = Site::start(3, 0, 1);
    for i in 0..9 {
        let call = Call::new("GET", "/check/x", &format!("u-{i}"));
        assert_eq!(
            call.send(site.gateways[i % 3].callers).expect("an answer").status,
            StatusCode::OK
        );
    }
    // A successor repeats reports of which it does not know whether they arrived. The platform
    // counts each window once; the check below ensures that repeated reports are identical.
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
    wait_until("another process reports usage", || {
        site.duties("/usage").iter().any(|r| r["holder"] != holder.as_str())
    });
    let all = site.duties("/usage");
    let fences: Vec<u64> = all.iter().filter_map(|r| r["fence"].as_u64()).collect();
    assert!(fences.is_sorted(), "fencing tokens must not decrease: {fences:?}");
    for report in &all {
        let same = |r: &&Value| r["body"]["windowNumber"] == report["body"]["windowNumber"];
        let mut of_window = all.iter().filter(same);
        assert!(of_window.all(|r| r["body"] == report["body"]), "{all:?}");
    }
    assert_eq!(counted(&site), 9, "each request must be counted once: {all:?}");
}

/// Guards against double counting: a restarted process reads the counts that the lease holder
/// stored and receives the same counts from processes that kept running.
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
        wait_until("a process reports usage", || holder().is_some());
        // Leaves time for the holder to store its counts, which the next process reads at its
        // start.
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
    // Only processes that have read stored counts are left to report the rest.
    for old in &site.gateways[..3] {
        old.signal(Signal::SIGTERM);
    }
    let by_new_process = |r: &Value| {
        let holder = r["holder"].as_str().unwrap_or_default();
        !["gateway-1", "gateway-2", "gateway-3"].contains(&holder)
    };
    wait_until("a new process reports usage", || site.duties("/usage").iter().any(by_new_process));
    wait_until("all requests are reported", || counted(&site) >= sent);
    let last = site.duties("/usage").last().map(|r| r["body"]["windowNumber"].clone());
    wait_until("a later window is reported", || {
        site.duties("/usage").last().map(|r| r["body"]["windowNumber"].clone()) != last
    });
    assert_eq!(counted(&site), sent);
}

#[test]
fn log_shows_why_a_request_failed() {
    let site = Site::start(1, 0, 1);
    site.behave(None, "lose");
    Call::new("POST", "/confirm/x", "lost").send(site.gateways[0].callers).expect("an answer");
    wait_until("the log lines are written", || site.gateways[0].story("lost").len() == 4);
    let lines = site.gateways[0].story("lost");
    let events: Vec<&str> = lines.iter().filter_map(|l| l["event"].as_str()).collect();
    assert_eq!(events, ["attempt", "upstream_probed", "attempt_failed", "answered"]);
    assert_eq!(lines[1]["result"], "alive");
    assert_eq!(lines[2]["may_have_run"], true);
    assert_eq!(lines[3]["outcome"], "broken");
    assert_eq!(lines[3]["configuration"], 7);
    let metrics = site.gateways[0].metrics();
    assert!(metrics.contains("outcome=\"broken\""), "{metrics}");
}

/// Guards against opening a connection to every equally good upstream: 20 sequential requests once
/// opened connections to all four.
#[test]
fn sequential_requests_reuse_one_connection() {
    let site = Site::start(1, 0, 4);
    for i in 0..20 {
        let answer = Call::new("GET", "/check/x", &format!("r-{i}")).send(site.gateways[0].callers);
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
    let ran: BTreeSet<String> = (0..20)
        .flat_map(|i| site.runs(&format!("r-{i}")))
        .map(|run| run["upstream"].to_string())
        .collect();
    assert!(ran.len() <= 2, "at most two upstreams, the second while the first was busy: {ran:?}");
}
