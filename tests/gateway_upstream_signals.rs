//! Upstreams that say in their answers that they leave, or ask for rest.
//!
//! What users saw: requests reached an upstream seconds after its answers had said that it
//! leaves, and up to five reached one that had asked for three seconds of rest.

mod support;

use std::{thread, time::Duration};

use hyper::StatusCode;
use serde_json::json;
use support::{
    gateways::{Call, Site},
    signals::{BORNE_DURING_REST, DRAINED_AFTER, arrivals, call, keep_calling, most_during_a_rest},
    wait_until,
};

/// Callers of each gateway.
const CALLERS: usize = 4;
struct Leaving {
    name: &'static str,
    gateways: usize,
    upstreams: usize,
    /// Upstreams that say that they leave.
    leaving: usize,
    stream: bool,
    /// Whether their rows are missing for a while, and come back as they were.
    lapses: bool,
}

fn play_leaving(case: &Leaving) {
    let (engines, plain) = if case.stream { (case.upstreams, 0) } else { (0, case.upstreams) };
    let site = Site::start(case.gateways, engines, plain);
    let leaving: Vec<String> = (1..=case.leaving).map(|n| format!("i-{n}")).collect();
    leaving.iter().for_each(|id| site.signal(id, &[("server-leaving", "1")]));
    let from = site.emulator_now();
    let got = keep_calling(&site, CALLERS, case.stream, || {
        thread::sleep(Duration::from_secs(3));
        if case.lapses {
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
        let late = arrivals(&seen, id).iter().filter(|a| a.at > from + DRAINED_AFTER).count();
        assert_eq!(late, 0, "{}: requests that reached {id} after it had said so", case.name);
    }
    let failed = got.iter().filter(|g| !g.is_served());
    let (refused, others): (Vec<_>, Vec<_>) =
        failed.partition(|g| g.status == Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(others.is_empty(), "{}: {others:?}", case.name);
    assert!(case.leaving == case.upstreams || refused.is_empty(), "{}: {refused:?}", case.name);
    let late = refused.iter().find(|g| g.took > Duration::from_millis(500));
    assert!(late.is_none(), "{}: refused late, {late:?}", case.name);
}

#[test]
fn an_upstream_that_said_in_an_answer_that_it_leaves_gets_no_requests() {
    let case = Leaving {
        name: "one of two",
        gateways: 3,
        upstreams: 2,
        leaving: 1,
        stream: false,
        lapses: false,
    };
    let cases = [
        Leaving { name: "its row comes back", lapses: true, ..case },
        Leaving { name: "engines", stream: true, ..case },
        Leaving { name: "all of them", leaving: 2, ..case },
        case,
    ];
    cases.iter().for_each(play_leaving);
}

struct Rest {
    name: &'static str,
    upstreams: usize,
    /// What it says, and for how long that is.
    retry_after: &'static str,
    rest: Duration,
    stream: bool,
}

fn play_rest(case: &Rest) {
    let (engines, plain) = if case.stream { (case.upstreams, 0) } else { (0, case.upstreams) };
    let site = Site::start(1, engines, plain);
    site.signal("i-1", &[("retry-after", case.retry_after)]);
    site.behave(Some("i-1"), "full");
    let got = keep_calling(&site, CALLERS, case.stream, || thread::sleep(Duration::from_secs(7)));
    let arrivals = arrivals(&site.seen(), "i-1");
    assert!(!arrivals.is_empty(), "{}: it was never tried", case.name);
    let most = most_during_a_rest(&arrivals, case.rest);
    assert!(most <= BORNE_DURING_REST, "{}: {most} requests during a rest", case.name);
    let refused: Vec<_> = got.iter().filter(|g| !g.is_served()).collect();
    assert!(case.upstreams == 1 || refused.is_empty(), "{}: {refused:?}", case.name);
    for refused in refused {
        assert_eq!(refused.status, Some(StatusCode::SERVICE_UNAVAILABLE), "{}", case.name);
        let back = refused.retry_after.expect("a refusal says when to come back");
        assert!(back <= case.rest.as_secs_f64() + 0.1, "{}: {refused:?}", case.name);
        assert!(refused.took < Duration::from_millis(500), "{}: {refused:?}", case.name);
    }
    site.behave(Some("i-1"), "serve");
    wait_until("it is tried again", || {
        let served = |g: &support::gateways::GatewayProc| {
            let answer = call(case.stream, 1_000_000).send(g.callers);
            answer.is_some_and(|a| a.status == StatusCode::OK)
        };
        site.gateways.iter().all(served)
    });
}

#[test]
fn an_upstream_that_asked_for_rest_gets_no_requests_until_it_is_over() {
    let case = Rest {
        name: "one of two",
        upstreams: 2,
        retry_after: "3",
        rest: Duration::from_secs(3),
        stream: false,
    };
    let fraction = Duration::from_millis(1_500);
    let cases = [
        Rest { name: "the only one", upstreams: 1, ..case },
        Rest { name: "a fraction", retry_after: "1.5", rest: fraction, ..case },
        Rest { name: "an engine", stream: true, ..case },
        case,
    ];
    cases.iter().for_each(play_rest);
}

/// Calls come to one gateway alone; the other has no answer that says anything.
#[test]
fn gateways_hear_from_each_other_what_upstreams_ask_for() {
    let site = Site::start(2, 0, 2);
    site.signal("i-1", &[("server-leaving", "1"), ("server-limit", "5")]);
    let signals = |gateway: usize| {
        let status = Call::new("GET", "/status", "status").send(site.gateways[gateway].peers);
        let status: serde_json::Value =
            serde_json::from_str(&status.expect("a status").body).expect("JSON");
        status["signals"].clone()
    };
    let asked = json!([{ "upstream": "i-1", "limit": 5.0, "rest_ms": 0, "leaving": true }]);
    wait_until("the first gateway has an answer that says so", || {
        thread::scope(|s| {
            for n in 0..CALLERS {
                let site = &site;
                s.spawn(move || call(false, n).send(site.gateways[0].callers));
            }
        });
        signals(0) == asked
    });
    let before = site.seen();
    wait_until("the other has heard it", || signals(1) == asked);
    thread::sleep(DRAINED_AFTER);
    for n in 0..20 {
        let answer = call(false, n).send(site.gateways[1].callers);
        assert!(answer.is_some_and(|a| a.status == StatusCode::OK));
    }
    let new = arrivals(&site.seen(), "i-1").len() - arrivals(&before, "i-1").len();
    assert_eq!(new, 0, "requests that reached it from the other");
}
