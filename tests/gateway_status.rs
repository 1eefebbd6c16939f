//! `tackhollow gateways`: what an operator sees first, with each trouble played.

mod support;

use std::{net::SocketAddr, process::Command};

use hyper::StatusCode;
use support::{
    gateways::{Call, Site},
    wait_until,
};

/// Exit status where nobody could be reached.
const UNREACHABLE: i32 = 3;

/// Runs the command at these addresses; returns its exit status and what it prints.
fn gateways(addresses: &[SocketAddr], options: &[&str]) -> (Option<i32>, String) {
    let list: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    let output = Command::new(env!("CARGO_BIN_EXE_tackhollow"))
        .args(["gateways", &list.join(",")])
        .args(options)
        .output()
        .expect("the command runs");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).expect("text"))
}

/// Returns whether the plain upstream answers a call.
fn is_served(site: &Site) -> bool {
    let answer = Call::new("GET", "/check/a", "status").send(site.gateways[0].callers);
    answer.is_some_and(|a| a.status == StatusCode::OK)
}

#[test]
fn an_operator_sees_first_what_is_not_well() {
    struct Case {
        name: &'static str,
        play: fn(&mut Site),
        mend: fn(&mut Site),
        /// What is said, whichever gateway is asked of the first two.
        said: &'static str,
    }
    let cases = [
        Case {
            name: "nobody can read the store",
            play: |s| s.store("silent"),
            mend: |s| s.store("up"),
            said: "its configuration may be old",
        },
        Case {
            name: "the store refuses",
            play: |s| s.store("refusing"),
            mend: |s| s.store("up"),
            said: "the store does not answer it",
        },
        Case {
            name: "a gateway is gone",
            play: |s| s.gateways[2].kill(),
            mend: |s| s.gateways[2].restart(),
            said: "is not heard",
        },
        Case {
            name: "an upstream names a limit",
            play: |s| {
                s.signal("i-2", &[("server-limit", "2")]);
                wait_until("it has named it", || is_served(s));
            },
            mend: |s| {
                s.signal("i-2", &[]);
                wait_until("it has named none", || is_served(s));
            },
            said: "i-2 takes 2 requests a second from all",
        },
    ];
    let mut site = Site::start(3, 1, 1);
    let asked: Vec<SocketAddr> = site.gateways[..2].iter().map(|g| g.peers).collect();
    let says = |text: &str| gateways(&asked, &[]).1.contains(text);
    wait_until("all is well", || says("all well"));
    for case in cases {
        (case.play)(&mut site);
        wait_until(case.name, || says("NOT WELL") && says(case.said));
        (case.mend)(&mut site);
        wait_until("all is well again", || says("all well"));
    }
    let (status, text) = gateways(&asked, &["--output", "json"]);
    let json: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!((status, json.as_array().map(Vec::len)), (Some(0), Some(2)), "{text}");
}

#[test]
fn a_gateway_that_cannot_be_reached_is_said_so() {
    let site = Site::start(1, 1, 1);
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    let (status, text) = gateways(&[site.gateways[0].peers, nobody], &[]);
    assert_eq!(status, Some(0));
    assert!(text.contains(&format!("the gateway at {nobody} does not answer")), "{text}");
    assert_eq!(gateways(&[nobody], &[]).0, Some(UNREACHABLE));
}
