//! Upstreams that have ended while their host still accepts connections.

mod ended;
mod support;

use std::{thread, time::Duration};

use ended::{AfterEnd, EndedUpstream};
use hyper::StatusCode;
use support::{
    gateways::{Call, Site},
    wait_until,
};

/// What a caller sees of an answer that ended without a length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    /// An end with an error.
    Broken,
    /// The usual end of a connection.
    UsualEnd,
}

struct Case {
    after: AfterEnd,
    /// What the callers see, in the order in which their streams end.
    seen: &'static [Seen],
    /// Whether the gateway says that the upstream has ended.
    said_ended: bool,
}

/// Guards against a connection that is accepted for an ended process being taken for a sign of life, so
/// that a cut answer is passed on as whole.
#[test]
fn streams_of_an_ended_upstream_that_still_accepts_connections_are_broken_off() {
    let case = |after, seen, said_ended| Case { after, seen, said_ended };
    let cases = [
        case(AfterEnd::Silence, &[Seen::Broken][..], false),
        case(AfterEnd::Reset, &[Seen::Broken], false),
        case(AfterEnd::Close, &[Seen::Broken], false),
        case(AfterEnd::Other, &[Seen::Broken], true),
        case(AfterEnd::Answer, &[Seen::UsualEnd], false),
        // The first one ended before the upstream did; the second one's end must not rest on the
        // answer to a question that was asked before it.
        case(AfterEnd::SlowAnswerThenReset, &[Seen::UsualEnd, Seen::Broken], false),
    ];
    for case in cases {
        let name = format!("{:?}", case.after);
        let mut site = Site::start(1, 0, 0);
        let upstream = EndedUpstream::start(case.after);
        let (id, _) = site.add_upstream_behind("llm", upstream.address);
        upstream.set_id(&id);
        site.wait_known(&id);
        let to = site.gateways[0].callers;
        let answers: Vec<_> = thread::scope(|s| {
            let callers: Vec<_> = (0..case.seen.len())
                .map(|n| {
                    thread::sleep(Duration::from_millis(10));
                    s.spawn(move || Call::stream("/plan/a", &format!("cut-{n}"), 5).send(to))
                })
                .collect();
            callers.into_iter().map(|c| c.join().expect("a caller")).collect()
        });
        for (n, answer) in answers.into_iter().enumerate() {
            let answer = answer.expect("an answer");
            assert_eq!(answer.status, StatusCode::OK, "{name} {n}: {}", answer.body);
            let seen = if answer.complete { Seen::UsualEnd } else { Seen::Broken };
            assert_eq!(seen, case.seen[n], "{name} {n}: {answer:?}");
        }
        assert!(!site.gateways[0].has_ended(), "{name}");
        let gateway = &site.gateways[0];
        let said = || gateway.log().iter().any(|l| l["event"] == "upstream_ended");
        match case.said_ended {
            true => wait_until("the end is in the log", said),
            false => assert!(!said(), "{name}"),
        }
    }
}
