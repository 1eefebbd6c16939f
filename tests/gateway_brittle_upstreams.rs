//! Upstreams that fall over if they have to reject too many requests for want of room, and say so
//! in their responses.

mod support;

use std::{thread, time::Duration};

use hyper::StatusCode;
use serde_json::json;
use support::{
    gateways::{Site, configuration},
    signals::call_repeatedly,
};

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(100);
/// Time for which an upstream is down after it fell over.
const DOWN: Duration = Duration::from_secs(2);
/// Time from the first response that says it from which gateways must take care.
const GRACE: Duration = Duration::from_secs(3);
/// How long callers are then observed.
const OBSERVED: Duration = Duration::from_secs(8);
/// Upstreams of the service.
const UPSTREAMS: usize = 4;
/// Requests that each runs at once.
const SLOTS: u32 = 4;
/// Tolerated falls: a number, and a share of the upstreams.
const TOLERATED_FALLS: (usize, f64) = (2, 0.1);
/// Smallest share of the slots that must be in use while callers want more.
const MIN_UTILIZATION: f64 = 0.4;

struct Case {
    name: &'static str,
    gateways: usize,
    /// Callers of each gateway, who call again and again.
    callers: usize,
    /// Rejections in a second that an upstream bears.
    brittle: u32,
    /// Requests that it lets wait.
    waiting: u32,
    disabled: &'static [&'static str],
}

struct Outcome {
    falls: usize,
    utilization: f64,
}

fn run(case: &Case) -> Outcome {
    let mut site = Site::start(0, 0, 0);
    site.configure(&configuration(8));
    let upstreams: Vec<String> =
        (0..UPSTREAMS).map(|_| site.add_upstream_of("app", "v1", WORK)).collect();
    for id in &upstreams {
        site.control("/row", &json!({ "id": id, "slots": SLOTS }));
        site.limit_room(id, SLOTS, case.waiting, Some(case.brittle));
    }
    site.control("/down", &json!({ "ms": DOWN.as_millis() as u64 }));
    site.disabled_mechanisms = case.disabled.to_vec();
    (0..case.gateways).for_each(|_| site.add_gateway());
    site.wait_ready();
    // Few enough that nothing is rejected.
    call_repeatedly(&site, 1, false, || thread::sleep(GRACE));
    let from = site.emulator_now();
    let calls = call_repeatedly(&site, case.callers, false, || thread::sleep(OBSERVED));
    let falls = site.falls().iter().filter(|at| **at >= from).count();
    let others = calls
        .iter()
        .find(|c| !c.is_served() && !matches!(c.status, Some(StatusCode::SERVICE_UNAVAILABLE)));
    assert!(falls > 0 || others.is_none(), "{}: {others:?}", case.name);
    let served = calls.iter().filter(|c| c.is_served()).count() as f64;
    let slots = (UPSTREAMS as u32 * SLOTS) as f64;
    let utilization = served * WORK.as_secs_f64() / (slots * OBSERVED.as_secs_f64());
    println!("{}: {falls} falls, {utilization:.2} of the slots used", case.name);
    Outcome { falls, utilization }
}

fn tolerated() -> usize {
    TOLERATED_FALLS.0 + (UPSTREAMS as f64 * TOLERATED_FALLS.1) as usize
}

const CASE: Case = Case {
    name: "three gateways",
    gateways: 3,
    callers: 16,
    brittle: 4,
    waiting: 1,
    disabled: &[],
};

#[test]
fn brittle_upstreams_do_not_fall_over_under_too_many_callers() {
    let cases = [
        Case { name: "more gateways than slots", gateways: 7, callers: 8, ..CASE },
        Case { name: "none may wait", waiting: 0, brittle: 3, ..CASE },
        CASE,
    ];
    for case in &cases {
        let outcome = run(case);
        assert!(outcome.falls <= tolerated(), "{}: {} falls", case.name, outcome.falls);
        assert!(outcome.utilization >= MIN_UTILIZATION, "{}", case.name);
    }
}

/// Without the mechanism, the check must fail.
#[test]
fn brittle_upstreams_fall_over_without_care() {
    let outcome = run(&Case { disabled: &["brittleness"], ..CASE });
    assert!(outcome.falls > tolerated(), "{} falls", outcome.falls);
}
