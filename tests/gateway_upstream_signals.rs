//! Upstreams that announce in their responses that they are leaving, or ask for a cooldown.
//!
//! Guards against gateways that ignore these signals: requests reached an upstream seconds after
//! its responses had announced that it was leaving, and up to five reached one during the three
//! seconds in which it had asked for none.

mod support;

use std::{thread, time::Duration};

use hyper::StatusCode;
use serde_json::json;
use support::{
    gateways::{Call, Site},
    signals::{
        LEAVING_HOLDS_AFTER, TOLERATED_DURING_COOLDOWN, arrivals, call, call_repeatedly,
        max_during_cooldown,
    },
    wait_until,
};

/// Callers of each gateway.
const CALLERS: usize = 4;

struct LeavingCase {
    name: &'static str,
    gateways: usize,
    upstreams: usize,
    /// Upstreams that announce that they are leaving.
    leaving: usize,
    stream: bool,
    /// Whether their rows are removed for a while and come back unchanged.
    rows_lapse: bool,
}

fn check_leaving(case: &LeavingCase) {
    let (engines, plain) = if case.stream { (case.upstreams, 0) } else { (0, case.upstreams) };
    let site = Site::start(case.gateways, engines, plain);
    let leaving: Vec<String> = (1..=case.leaving).map(|n| format!("i-{n}")).collect();
    leaving.iter().for_each(|id| site.signal(id, &[("server-leaving", "1")]));
    let from = site.emulator_now();
    let got = call_repeatedly(&site, CALLERS, case.stream, || {
        thread::sleep(Duration::from_secs(3));
        if case.rows_lapse {
            leaving.iter().for_each(|id| drop(site.control("/remove", &json!({ "id": id }))));
            thread::sleep(Duration::from_millis(600));
            for id in &leaving {
                site.control("/remove", &json!({ "id": id, "back": true }));
            }
        }
        thread::sleep(Duration::from_secs(3));
    });
    let seen = site.seen();
    for id in &leaving {
        let late = arrivals(&seen, id).iter().filter(|a| a.at > from + LEAVING_HOLDS_AFTER).count();
        assert_eq!(late, 0, "{}: requests that reached {id} after its announcement", case.name);
    }
    let failed = got.iter().filter(|g| !g.is_served());
    let (refused, others): (Vec<_>, Vec<_>) =
        failed.partition(|g| g.status == Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(others.is_empty(), "{}: {others:?}", case.name);
    assert!(case.leaving == case.upstreams || refused.is_empty(), "{}: {refused:?}", case.name);
    let late = refused.iter().find(|g| g.took > Duration::from_millis(500));
    assert!(late.is_none(), "{}: slow refusal, {late:?}", case.name);
}

#[test]
fn an_upstream_that_announced_that_it_is_leaving_gets_no_requests() {
    let case = LeavingCase {
        name: "one of two",
        gateways: 3,
        upstreams: 2,
        leaving: 1,
        stream: false,
        rows_lapse: false,
    };
    let cases = [
        LeavingCase { name: "its row comes back", rows_lapse: true, ..case },
        LeavingCase { name: "engines", stream: true, ..case },
        LeavingCase { name: "all of them", leaving: 2, ..case },
        case,
    ];
    cases.iter().for_each(check_leaving);
}

struct CooldownCase {
    name: &'static str,
    upstreams: usize,
    /// Value of the `retry-after` header, and the duration that it stands for.
    retry_after: &'static str,
    cooldown: Duration,
    stream: bool,
}

fn check_cooldown(case: &CooldownCase) {
    let (engines, plain) = if case.stream { (case.upstreams, 0) } else { (0, case.upstreams) };
    let site = Site::start(1, engines, plain);
    site.signal("i-1", &[("retry-after", case.retry_after)]);
    site.behave(Some("i-1"), "full");
    let got =
        call_repeatedly(&site, CALLERS, case.stream, || thread::sleep(Duration::from_secs(7)));
    let arrivals = arrivals(&site.seen(), "i-1");
    assert!(!arrivals.is_empty(), "{}: no request reached it", case.name);
    let most = max_during_cooldown(&arrivals, case.cooldown);
    assert!(most <= TOLERATED_DURING_COOLDOWN, "{}: {most} requests during a cooldown", case.name);
    let refused: Vec<_> = got.iter().filter(|g| !g.is_served()).collect();
    assert!(case.upstreams == 1 || refused.is_empty(), "{}: {refused:?}", case.name);
    for refused in refused {
        assert_eq!(refused.status, Some(StatusCode::SERVICE_UNAVAILABLE), "{}", case.name);
        let retry_after = refused.retry_after.expect("a refusal has retry-after");
        assert!(retry_after <= case.cooldown.as_secs_f64() + 0.1, "{}: {refused:?}", case.name);
        assert!(refused.took < Duration::from_millis(500), "{}: {refused:?}", case.name);
    }
    site.behave(Some("i-1"), "serve");
    wait_until("the upstream is used again", || {
        let served = |g: &support::gateways::GatewayProc| {
            let answer = call(case.stream, 1_000_000).send(g.callers);
            answer.is_some_and(|a| a.status == StatusCode::OK)
        };
        site.gateways.iter().all(served)
    });
}

#[test]
fn an_upstream_gets_no_requests_during_its_cooldown() {
    let case = CooldownCase {
        name: "one of two",
        upstreams: 2,
        retry_after: "3",
        cooldown: Duration::from_secs(3),
        stream: false,
    };
    let fraction = Duration::from_millis(1_500);
    let cases = [
        CooldownCase { name: "the only one", upstreams: 1, ..case },
        CooldownCase {
            name: "a fraction of a second",
            retry_after: "1.5",
            cooldown: fraction,
            ..case
        },
        CooldownCase { name: "an engine", stream: true, ..case },
        case,
    ];
    cases.iter().for_each(check_cooldown);
}

/// Only one gateway gets calls, so the other can learn of the signals only from it.
#[test]
fn gateways_report_signals_to_each_other() {
    let site = Site::start(2, 0, 2);
    site.signal("i-1", &[("server-leaving", "1"), ("server-limit", "5")]);
    let signals = |gateway: usize| {
        let status = Call::new("GET", "/status", "status").send(site.gateways[gateway].peers);
        let status: serde_json::Value =
            serde_json::from_str(&status.expect("a status response").body).expect("JSON");
        status["signals"].clone()
    };
    let expected = json!([{ "upstream": "i-1", "limit": 5.0, "rest_ms": 0, "leaving": true }]);
    wait_until("the first gateway has a response with the signals", || {
        thread::scope(|s| {
            for n in 0..CALLERS {
                let site = &site;
                s.spawn(move || call(false, n).send(site.gateways[0].callers));
            }
        });
        signals(0) == expected
    });
    let before = site.seen();
    wait_until("the other gateway knows the signals", || signals(1) == expected);
    thread::sleep(LEAVING_HOLDS_AFTER);
    for n in 0..20 {
        let answer = call(false, n).send(site.gateways[1].callers);
        assert!(answer.is_some_and(|a| a.status == StatusCode::OK));
    }
    let new = arrivals(&site.seen(), "i-1").len() - arrivals(&before, "i-1").len();
    assert_eq!(new, 0, "requests from the other gateway that reached it");
}
