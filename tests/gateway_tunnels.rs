//! Promises to callers whose requests reach an upstream through a second gateway.

mod support;

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use support::{
    gateways::{Answer, Call, Site, configuration},
    wait_until,
};

/// Time that a plain request takes.
const WORK: Duration = Duration::from_millis(900);
/// Events of a stream that lasts 1.6 s.
const EVENTS: u64 = 80;
/// Time from the start of a request until it runs.
const STARTED: Duration = Duration::from_millis(500);

/// Starts three gateways, the first of which is cut off from the upstreams.
fn cut_off_site() -> Site {
    let mut site = Site::bare();
    site.configure(&configuration(7));
    (0..2).for_each(|_| drop(site.add_upstream("llm")));
    (0..2).for_each(|_| drop(site.add_upstream_of("app", "v1", WORK)));
    (0..3).for_each(|_| site.add_gateway());
    site.wait_ready();
    site.cut_off(&[0], "hang");
    site
}

/// Returns the gateway through which a request went.
fn tunnel_gateway(site: &Site, request: &str) -> usize {
    let served = |l: &Value| l["event"] == "tunnel_served" && l["request"] == request;
    let mut found = None;
    wait_until("the request goes through another gateway", || {
        found = site.gateways.iter().position(|g| g.log().iter().any(served));
        found.is_some()
    });
    found.unwrap_or_default()
}

/// Sends a call to the first gateway and calls `meanwhile` with the gateway through which it goes.
fn send_and(site: &mut Site, call: &Call, meanwhile: impl FnOnce(&mut Site, usize)) -> Answer {
    let to = site.gateways[0].callers;
    let call = call.clone();
    let request = call.headers.iter().find(|(name, _)| *name == "x-request-id");
    let request = request.map(|(_, id)| id.clone()).unwrap_or_default();
    let sending = thread::spawn(move || call.send(to));
    thread::sleep(STARTED);
    let through = tunnel_gateway(site, &request);
    meanwhile(site, through);
    sending.join().expect("the caller").expect("an answer")
}

#[test]
fn a_call_that_must_not_run_twice_is_not_repeated_when_its_tunnel_breaks() {
    let mut site = cut_off_site();
    let call = Call::new("POST", "/confirm/a", "once");
    let answer = send_and(&mut site, &call, |site, through| site.gateways[through].kill());
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "it may have run: {}", answer.body);
    thread::sleep(WORK);
    assert_eq!(site.runs("once").len(), 1);
}

#[test]
fn a_caller_that_leaves_ends_its_run_at_the_far_end_of_a_tunnel() {
    let site = cut_off_site();
    let call = Call::stream("/plan/a", "leaves", EVENTS * 4).leaving_after(STARTED);
    assert!(call.send(site.gateways[0].callers).is_none());
    let left = Instant::now();
    wait_until("the run has ended", || site.runs("leaves").iter().any(|r| r["end"] != "running"));
    assert_eq!(site.runs("leaves")[0]["end"], "aborted");
    assert!(left.elapsed() < STARTED, "ended after {:?}", left.elapsed());
}

#[test]
fn a_broken_tunnel_is_not_taken_for_the_end_of_a_stream() {
    let mut site = cut_off_site();
    let kill = |site: &mut Site, through: usize| site.gateways[through].kill();
    let answer = send_and(&mut site, &Call::stream("/plan/a", "plan", EVENTS), kill);
    assert!(!answer.complete, "{}", answer.body);
    assert_eq!(site.runs("plan").len(), 1);
    let answer = send_and(&mut site, &Call::stream("/digest/a", "digest", EVENTS), kill);
    assert!(!answer.complete || answer.event_ids() == (1..=EVENTS).collect::<Vec<_>>());
}

#[test]
fn a_stream_goes_on_when_the_gateway_that_it_goes_through_is_stopped() {
    let mut site = cut_off_site();
    let stop = |site: &mut Site, through: usize| site.gateways[through].signal(Signal::SIGTERM);
    let answer = send_and(&mut site, &Call::stream("/plan/a", "plan", EVENTS), stop);
    assert!(answer.complete, "{}", answer.body);
    assert_eq!(answer.event_ids(), (1..=EVENTS).collect::<Vec<_>>());
}

#[test]
fn requests_arrive_through_a_tunnel_as_they_were_sent() {
    let site = cut_off_site();
    let mut call = Call::new("POST", "/confirm/a?b=c", "unchanged");
    call.body = "x".repeat(3_000);
    let answer = call.send(site.gateways[0].callers).expect("an answer");
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
    assert!(answer.header("x-response-seal").ends_with(".unchanged"));
    let runs = site.runs("unchanged");
    assert_eq!(runs.len(), 1);
    let run = &runs[0];
    assert_eq!((&run["target"], &run["body"]), (&"POST /confirm/a?b=c".into(), &3_000.into()));
    assert_eq!((&run["customer"], &run["key_passed"]), (&"temple".into(), &false.into()));
    assert!(run["deadline_ms"].as_u64().is_some_and(|ms| ms < 1_500), "{run}");
}

#[test]
fn tunnels_lead_only_to_upstreams() {
    let site = Site::start(1, 1, 0);
    let ask = |address: String| {
        let call = Call::new("POST", &format!("/peer/tunnel/{address}"), "tunnel");
        let answer = call.send(site.gateways[0].peers).expect("an answer");
        (answer.status, answer.header("tunnel-refusal").to_owned())
    };
    let not_served = (StatusCode::BAD_GATEWAY, "not-served".to_owned());
    let others: [SocketAddr; 2] = [site.emulator_address("http"), site.gateways[0].readiness];
    others.iter().for_each(|address| assert_eq!(ask(address.to_string()), not_served));
    for wrong in ["", "nowhere", "127.0.0.1", "127.0.0.1:99999"] {
        assert_eq!(ask(wrong.to_owned()), not_served, "{wrong}");
    }
}

struct Cut {
    name: &'static str,
    cut: &'static str,
}

#[test]
fn a_cut_is_no_evidence_against_upstreams_or_requests() {
    let cuts =
        [Cut { name: "hang", cut: "hang" }, Cut { name: "open ones are reset", cut: "reset" }];
    for Cut { name, cut } in cuts {
        let mut site = Site::bare();
        site.configure(&configuration(7));
        (0..2).for_each(|_| drop(site.add_upstream("llm")));
        (0..3).for_each(|_| site.add_gateway());
        site.wait_ready();
        let to = site.gateways[0].callers;
        let callers: Vec<_> = (0..6)
            .map(|n| {
                let call = Call::stream("/plan/a", &format!("cut-{n}"), EVENTS * 2);
                thread::spawn(move || call.send(to))
            })
            .collect();
        thread::sleep(STARTED);
        site.cut_off(&[0], cut);
        callers.into_iter().for_each(|c| drop(c.join().expect("a caller")));
        for gateway in &site.gateways {
            let log = gateway.log();
            let wrong = log.iter().find(|l| {
                l["event"] == "upstream_ended" || l["event"] == "verdict" || l["state"] == "gone"
            });
            assert!(wrong.is_none(), "{name}: {wrong:?}");
        }
        let answer = Call::stream("/plan/a", "after", 4).send(to).expect("an answer");
        assert_eq!(answer.status, StatusCode::OK, "{name}: {}", answer.body);
    }
}

#[test]
fn callers_are_sent_to_a_gateway_again_once_its_paths_are_back() {
    let site = Site::start(3, 2, 2);
    let own = site.gateways[0].callers.to_string();
    let is_listed = || site.gateways.iter().any(|g| g.told().contains(&own));
    site.cut_off(&[0], "hang");
    Call::new("GET", "/check/a", "first").send(site.gateways[0].callers);
    wait_until("callers are sent elsewhere", || !is_listed());
    let log = site.gateways[0].log();
    assert!(log.iter().any(|l| l["event"] == "paths" && l["state"] == "cut_off"));
    site.end_cuts();
    wait_until("callers are sent there again", || {
        site.gateways.iter().all(|g| g.told().len() == 3)
    });
    assert!(site.gateways[0].metrics().contains("tackhollow_gateway_cut_off 0"));
}

#[test]
fn the_directory_is_never_empty_when_all_gateways_are_cut_off() {
    let site = Site::start(3, 2, 2);
    site.cut_off(&[0, 1, 2], "hang");
    let until = Instant::now() + Duration::from_secs(4);
    while Instant::now() < until {
        for gateway in &site.gateways {
            let call = Call::new("GET", "/check/a", "all").leaving_after(STARTED);
            call.send(gateway.callers);
            assert!(!gateway.told().is_empty());
        }
    }
    site.end_cuts();
    wait_until("all are listed", || site.gateways.iter().all(|g| g.told().len() == 3));
}

/// What all gateways see alike is no sign of a gateway's own paths.
#[test]
fn no_gateway_counts_as_cut_off_when_upstreams_or_the_store_are_away_for_all() {
    let site = Site::start(3, 0, 4);
    site.control("/down", &json!({ "ms": 2_000 }));
    for n in 1..=4 {
        site.control("/crash", &json!({ "id": format!("i-{n}") }));
    }
    site.send_calls("down", Duration::from_millis(1_500));
    site.store("silent");
    site.send_calls("store", Duration::from_millis(2_500));
    site.store("up");
    for gateway in &site.gateways {
        let cut_off = gateway.log().into_iter().find(|l| l["event"] == "paths");
        assert!(cut_off.is_none(), "{cut_off:?}");
    }
}
