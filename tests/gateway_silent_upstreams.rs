//! Upstreams that fall silent for a second and go on. They are sound.

mod support;

use std::{thread, time::Duration};

use hyper::StatusCode;
use serde_json::Value;
use support::gateways::{Call, Site, configuration};

/// How long the upstreams are silent.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Time that a plain request takes; it runs when the silence begins.
const WORK: Duration = Duration::from_millis(700);
/// Events of a stream that lasts 2 s.
const EVENTS: u64 = 100;

/// Returns a configuration whose routes have longer timeouts than the silence.
fn patient_configuration() -> Value {
    let mut configuration = configuration(8);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = 15_000.into();
    }
    configuration
}

#[test]
fn requests_at_an_upstream_that_is_silent_for_a_second_run_once_and_to_their_end() {
    let mut site = Site::bare();
    site.configure(&patient_configuration());
    site.add_upstream("llm");
    site.add_upstream_of("app", "v1", WORK);
    (0..2).for_each(|_| site.add_gateway());
    site.wait_ready();
    let calls = [
        Call::stream("/plan/a", "plan", EVENTS),
        Call::stream("/digest/a", "digest", EVENTS),
        Call::new("POST", "/confirm/a", "confirm"),
        Call::new("GET", "/check/a", "check"),
    ];
    let senders: Vec<_> = calls
        .iter()
        .map(|call| {
            let (call, to) = (call.clone(), site.gateways[0].callers);
            thread::spawn(move || call.send(to).expect("an answer"))
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    site.cut_off(&[0, 1], "hang");
    thread::sleep(SILENCE);
    site.end_cuts();
    let answers: Vec<_> = senders.into_iter().map(|s| s.join().expect("a caller")).collect();
    for (name, answer) in ["plan", "digest", "confirm", "check"].iter().zip(&answers) {
        assert_eq!(answer.status, StatusCode::OK, "{name}: {}", answer.body);
        assert!(answer.complete, "{name}: {}", answer.body);
        assert_eq!(site.runs(name).len(), 1, "{name} ran once");
    }
    let events: Vec<u64> = (1..=EVENTS).collect();
    assert!(answers[..2].iter().all(|a| a.event_ids() == events));
    for gateway in &site.gateways {
        let log = gateway.log();
        let wrong = log.iter().find(|l| {
            ["upstream_ended", "verdict", "attempt_failed"].iter().any(|e| l["event"] == *e)
        });
        assert!(wrong.is_none(), "{wrong:?}");
    }
}

/// The request's packets are lost at first, so that the gateway's kernel has to send them again.
#[test]
fn a_request_sent_to_an_upstream_that_is_silent_for_a_second_runs_once_and_to_its_end() {
    let mut site = Site::bare();
    site.configure(&patient_configuration());
    site.add_upstream("app");
    site.add_gateway();
    site.wait_ready();
    site.signal("i-1", &[("keep-alive", "timeout=9")]);
    let call = |id: &str| Call::new("POST", "/confirm/a", id).send(site.gateways[0].callers);
    let first = call("first").expect("an answer");
    assert_eq!(first.status, StatusCode::OK, "{}", first.body);
    site.cut_off(&[0], "hang");
    thread::scope(|s| {
        let sending = s.spawn(|| call("silent").expect("an answer"));
        thread::sleep(SILENCE);
        site.end_cuts();
        let answer = sending.join().expect("a caller");
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
    });
    assert_eq!(site.runs("silent").len(), 1);
}

/// The packets of the request are lost until after its deadline.
#[test]
fn a_request_that_was_given_up_does_not_reach_its_upstream_later() {
    let mut site = Site::bare();
    site.configure(&patient_configuration());
    site.add_upstream("app");
    site.add_gateway();
    site.wait_ready();
    site.signal("i-1", &[("keep-alive", "timeout=9")]);
    let to = site.gateways[0].callers;
    let first = Call::new("POST", "/confirm/a", "first").send(to).expect("an answer");
    assert_eq!(first.status, StatusCode::OK, "{}", first.body);
    site.cut_off(&[0], "hang");
    let given_up = Call::new("POST", "/confirm/a", "given-up").header("x-deadline-ms", "500");
    let answer = given_up.send(to).expect("an answer");
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT, "{}", answer.body);
    site.end_cuts();
    // Longer than the kernel waits before it sends the packets again.
    thread::sleep(Duration::from_secs(3));
    assert!(site.runs("given-up").is_empty());
}
