//! Command `tackhollow gateways`: reports each kind of fault that a test can inject.

mod support;

use std::{net::SocketAddr, process::Command};

use hyper::StatusCode;
use support::{
    gateways::{Call, Site},
    wait_until,
};

/// Exit status if no gateway could be reached.
const UNREACHABLE: i32 = 3;

/// Runs the command for these addresses; returns its exit status and its output on both streams.
fn gateways(addresses: &[SocketAddr], options: &[&str]) -> (Option<i32>, String) {
    let list: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    let run = Command::new(env!("CARGO_BIN_EXE_tackhollow"))
        .args(["gateways", &list.join(",")])
        .args(options)
        .output()
        .expect("the command runs");
    let text = [run.stdout, run.stderr].concat();
    (run.status.code(), String::from_utf8(text).expect("text"))
}

/// Returns whether a request to the plain upstream succeeds.
fn is_served(site: &Site) -> bool {
    let answer = Call::new("GET", "/check/a", "status").send(site.gateways[0].callers);
    answer.is_some_and(|a| a.status == StatusCode::OK)
}

#[test]
fn command_reports_faults() {
    struct Case {
        name: &'static str,
        inject: fn(&mut Site),
        repair: fn(&mut Site),
        /// Text that the output must contain when the first two gateways are asked.
        output: &'static str,
    }
    let cases = [
        Case {
            name: "the store does not answer",
            inject: |s| s.store("silent"),
            repair: |s| s.store("up"),
            output: "its configuration may be old",
        },
        Case {
            name: "the store refuses requests",
            inject: |s| s.store("refusing"),
            repair: |s| s.store("up"),
            output: "the store does not answer it",
        },
        Case {
            name: "a gateway is gone",
            inject: |s| s.gateways[2].kill(),
            repair: |s| s.gateways[2].restart(),
            output: "is not heard",
        },
        Case {
            name: "an upstream announces a rate limit",
            inject: |s| {
                s.signal("i-2", &[("server-limit", "2")]);
                wait_until("the upstream has announced its limit", || is_served(s));
            },
            repair: |s| {
                s.signal("i-2", &[]);
                wait_until("the upstream has lifted its limit", || is_served(s));
            },
            output: "i-2 takes 2 requests a second from all",
        },
        Case {
            name: "an upstream announces that it is brittle",
            inject: |s| {
                s.signal("i-2", &[("server-brittle", "3")]);
                wait_until("the upstream has announced it", || is_served(s));
            },
            repair: |s| {
                s.signal("i-2", &[]);
                wait_until("the upstream no longer announces it", || is_served(s));
            },
            output: "i-2 falls over if it rejects 3 requests a second",
        },
    ];
    let mut site = Site::start(3, 1, 1);
    let addresses: Vec<SocketAddr> = site.gateways[..2].iter().map(|g| g.peers).collect();
    let prints = |text: &str| gateways(&addresses, &[]).1.contains(text);
    wait_until("all gateways are well", || prints("all well"));
    for case in cases {
        (case.inject)(&mut site);
        wait_until(case.name, || prints("NOT WELL") && prints(case.output));
        (case.repair)(&mut site);
        wait_until("all gateways are well again", || prints("all well"));
    }
    let (status, text) = gateways(&addresses, &["--output", "json"]);
    let json: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!((status, json.as_array().map(Vec::len)), (Some(0), Some(2)), "{text}");
}

#[test]
fn unreachable_gateway_is_reported() {
    let site = Site::start(1, 1, 1);
    let unreachable = SocketAddr::from(([127, 0, 0, 1], 1));
    let (status, text) = gateways(&[site.gateways[0].peers, unreachable], &[]);
    assert_eq!(status, Some(0));
    assert!(text.contains(&format!("the gateway at {unreachable} does not answer")), "{text}");
    assert_eq!(gateways(&[unreachable], &[]).0, Some(UNREACHABLE));
}
