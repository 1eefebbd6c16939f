//! Streams that callers take up at a gateway which stood still or was cut off while a new software version
//! joined. Such a gateway has only heard of the earlier version, and must not go on with it.

mod support;

use std::{
    collections::BTreeSet,
    thread,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use nix::sys::signal::Signal;
use serde_json::json;
use support::{
    directory::{DirectoryHarness, row_of},
    gateways::{Answer, Call, Site, configuration},
    wait_until,
};
use tackhollow::{
    gateway::{
        decide::SyncPoint,
        model::{RequestDigest, UpstreamPhase},
        peering::{KnownVersion, RecentChanges, UpstreamChange},
    },
    platform::{Change, Feed},
};

/// Events of a stream that lasts 1.2 s.
const EVENTS: u64 = 60;
/// Time after which a caller loses its connection.
const MIDWAY: Duration = Duration::from_millis(300);
/// Streams that are taken up in a case.
const STREAMS: usize = 12;
/// Time for which a gateway stands still: longer than others wait for its heartbeats.
const STANDSTILL: Duration = Duration::from_secs(4);
/// Time in which the requests to a gateway that stands still have arrived there.
const ARRIVAL: Duration = Duration::from_millis(300);

fn stream(id: &str) -> Call {
    Call::stream("/digest/a", id, EVENTS).header("x-prompt-prefix", &format!("{id}:500,aa01:100"))
}

fn take_up(began_as: &str, id: &str) -> Call {
    stream(id).header("last-event-id", "3").header("resumes", began_as)
}

/// Starts gateways before two engines, and waits until they know that only one version has served for as
/// long as a stream lasts.
fn settled_site(gateways: usize) -> Site {
    let mut site = Site::bare();
    site.configure(&configuration(7));
    (0..2).for_each(|_| drop(site.add_upstream_of("llm", "v1", Duration::ZERO)));
    (0..gateways).for_each(|_| site.add_gateway());
    site.wait_ready();
    for (n, gateway) in site.gateways.iter().enumerate() {
        wait_until("one version has served for long enough", || {
            let answer = take_up("nobody's", &format!("settled-{n}")).send(gateway.callers);
            answer.is_some_and(|a| a.status == StatusCode::OK)
        });
    }
    site
}

/// Returns the versions at which requests ran.
fn versions(site: &Site, requests: &[&str]) -> BTreeSet<String> {
    let runs = requests.iter().flat_map(|request| site.runs(request));
    runs.filter_map(|r| r["version"].as_str().map(str::to_owned)).collect()
}

/// Takes streams of a new version up at a gateway that stood still while the version joined. `gone` says
/// that its engines are gone again before the gateway goes on.
fn check_standstill(name: &str, gone: bool) {
    let site = settled_site(3);
    let stopped = &site.gateways[0];
    stopped.signal(Signal::SIGSTOP);
    // The others tell it nothing of streams that begin from now on.
    thread::sleep(STANDSTILL);
    let new = site.add_upstream_of("llm", "v2", Duration::ZERO);
    let knows = |l: &serde_json::Value| l["upstream"] == *new && l["state"] == "ready";
    wait_until("the others know the new version", || {
        site.gateways[1..].iter().all(|g| g.log().iter().any(knows))
    });
    ["i-1", "i-2"].iter().for_each(|id| site.behave(Some(id), "full"));
    let began: Vec<String> = (0..STREAMS).map(|n| format!("{name}-{n}")).collect();
    thread::scope(|s| {
        for (n, id) in began.iter().enumerate() {
            let (call, to) = (stream(id).leaving_after(MIDWAY), site.gateways[1 + n % 2].callers);
            s.spawn(move || call.send(to));
        }
    });
    for id in &began {
        assert_eq!(versions(&site, &[id]), BTreeSet::from(["v2".to_owned()]), "{id}");
    }
    ["i-1", "i-2"].iter().for_each(|id| site.behave(Some(id), "serve"));
    if gone {
        site.control("/remove", &json!({ "id": new }));
        let is_gone = |l: &serde_json::Value| l["upstream"] == *new && l["state"] == "gone";
        wait_until("the others know that it is gone", || {
            site.gateways[1..].iter().all(|g| g.log().iter().any(is_gone))
        });
    }
    let next = |id: &String| format!("{id}-next");
    let answers: Vec<Answer> = thread::scope(|s| {
        let calls = began.iter().map(|id| take_up(id, &next(id)));
        let to = stopped.callers;
        let calls: Vec<_> =
            calls.map(|call| s.spawn(move || call.send(to).expect("an answer"))).collect();
        thread::sleep(ARRIVAL);
        stopped.signal(Signal::SIGCONT);
        calls.into_iter().map(|call| call.join().expect("a caller")).collect()
    });
    let joined: Vec<&String> =
        began.iter().filter(|id| versions(&site, &[id, &next(id)]).len() > 1).collect();
    let statuses: Vec<u16> = answers.iter().map(|a| a.status.as_u16()).collect();
    assert!(joined.is_empty(), "{name}: {joined:?} went on at v1, {statuses:?}");
}

#[test]
fn streams_of_a_version_that_joined_during_a_standstill_are_not_joined_to_the_earlier_one() {
    check_standstill("there", false);
}

#[test]
fn streams_of_a_version_that_came_and_went_during_a_standstill_are_not_joined_to_the_earlier_one() {
    check_standstill("gone", true);
}

/// A gateway that is cut off has heard of one version only, however many have joined since.
#[test]
fn a_gateway_whose_list_may_lack_versions_does_not_name_a_sole_one() {
    struct Case {
        name: &'static str,
        /// Time after which the list was last read.
        read_s: u64,
        /// Identifier of an upstream that another gateway reports as gone.
        gone: Option<&'static str>,
        names: bool,
    }
    let case = |name, read_s, gone, names| Case { name, read_s, gone, names };
    let cases = [
        case("read lately", 39, None, true),
        case("not read for two seconds", 38, None, false),
        case("a known one is gone", 39, Some("i-2"), true),
        case("an unknown one is gone", 39, Some("i-9"), false),
    ];
    for case in cases {
        let start = Instant::now();
        let after = |s: u64| start + Duration::from_secs(s);
        let mut gateway = [DirectoryHarness::new()];
        let written =
            |id, revision| Change::Written(row_of("llm", id, UpstreamPhase::Ready, revision));
        gateway[0].gateway.board.borrow_mut().store_clock.note(0, start);
        gateway[0].feed(Feed {
            changes: vec![written("i-1", 1), written("i-2", 2)],
            revision: 2,
            as_of: 0,
        });
        DirectoryHarness::pass_time(&mut gateway, after(case.read_s));
        let knowledge = SyncPoint { position: 3, as_of: case.read_s * 1_000 };
        let mut recent = RecentChanges::default();
        recent.reset(SyncPoint { position: 2, as_of: 0 });
        if let Some(id) = case.gone {
            recent.push(3, UpstreamChange::Gone(id.to_owned()), after(case.read_s));
        }
        recent.advance(knowledge);
        gateway[0].hear(recent);
        let stream = RequestDigest::of(&[b"nobody's"]);
        let board = gateway[0].gateway.board.borrow();
        let known = board.known_version(stream, &"llm".to_owned(), after(40));
        assert_eq!(matches!(known, KnownVersion::Sole(_)), case.names, "{}: {known:?}", case.name);
    }
}
