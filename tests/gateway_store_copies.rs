//! What holds when the store returns from an older copy: what it acknowledged since is lost, and
//! its revisions are given out again.

mod support;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use support::{
    gateways::{Call, GatewayProc, KEY, Site, configuration},
    wait_until,
};

/// Time from its confirmation within which a change must take effect.
const BOUND: Duration = Duration::from_secs(2);
/// Gateways of the site: as many as read the store, so that each has read it up to its end.
const GATEWAYS: usize = 3;
/// Time for which a store is away before it returns.
const AWAY: Duration = Duration::from_millis(300);
/// Time in which reads that wait begin again after a change.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Time after which the operator and the upstreams write again what was lost.
const REWRITE_TIME: Duration = Duration::from_millis(500);

/// How far the revisions of the returned store are behind those that the gateways know.
#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    /// Revisions given out between the copy and the return.
    lost: usize,
    /// Revisions given out right after the change under test.
    after: usize,
}

const CASES: [Case; 2] = [
    Case { name: "revisions stay below the known ones", lost: 400, after: 0 },
    Case { name: "the known revisions are given out again", lost: 5, after: 20 },
];

/// Writes the configuration again without a change: each time takes a revision.
fn take_revisions(site: &Site, version: u64, count: usize) {
    (0..count).for_each(|_| site.configure(&configuration(version)));
}

/// Takes a copy, lets `lose` change the store, and lets it return from the copy and be changed by
/// `change` before it answers gateways again.
fn return_from_copy(site: &Site, lose: impl FnOnce(), change: impl FnOnce()) {
    site.control("/copy-store", &json!({}));
    lose();
    thread::sleep(SETTLE_TIME);
    site.store("refusing");
    thread::sleep(AWAY);
    site.control("/return-store", &json!({ "rewriteMs": REWRITE_TIME.as_millis() as u64 }));
    change();
    site.store("up");
}

/// Gives revisions out to rows that name no upstream.
fn write_fillers(site: &Site, count: usize) {
    (0..count).for_each(|_| site.write_entry("filler", "none"));
}

#[test]
fn a_configuration_confirmed_by_a_returned_store_is_in_force_in_time() {
    let mut late = Vec::new();
    for case in CASES {
        let site = Site::start(GATEWAYS, 1, 1);
        let version = 8;
        let change = || {
            site.configure(&configuration(version));
            write_fillers(&site, case.after);
        };
        return_from_copy(&site, || take_revisions(&site, 7, case.lost), change);
        let confirmed = Instant::now();
        wait_until("all gateways have the new configuration", || {
            site.configuration_versions().iter().all(|v| *v == version)
        });
        let after = confirmed.elapsed();
        if after > BOUND {
            late.push(format!("{}: in force after {after:?}", case.name));
        }
    }
    assert!(late.is_empty(), "{late:#?}");
}

/// What happened after an upstream announced that it is leaving.
#[derive(Debug)]
struct Departure {
    /// Name of the case.
    name: &'static str,
    /// Time from the announcement to the last request that reached the upstream.
    last_request: Duration,
}

/// Plays a case in which the only upstream of a service announces that it is leaving as the store
/// returns.
fn play_departure(case: Case, disabled: &[&'static str]) -> Departure {
    let mut site = Site::bare();
    site.disabled_mechanisms = disabled.to_vec();
    site.configure(&configuration(7));
    (0..GATEWAYS).for_each(|_| site.add_gateway());
    site.wait_ready();
    let leaving = site.add_known_upstream("app");
    site.send_calls("before", SETTLE_TIME);
    let change = || {
        site.control("/state", &json!({ "id": leaving, "state": "draining" }));
        write_fillers(&site, case.after);
    };
    return_from_copy(&site, || take_revisions(&site, 7, case.lost), change);
    let announced = site.now_ms();
    site.send_calls("after", 3 * BOUND);
    let last_request = Duration::from_millis(site.last_run(&leaving).saturating_sub(announced));
    Departure { name: case.name, last_request }
}

#[test]
fn an_upstream_that_is_leaving_gets_no_requests_after_the_store_returned() {
    let played = CASES.map(|case| play_departure(case, &[]));
    let late: Vec<_> = played.iter().filter(|d| d.last_request > BOUND).map(|d| d.name).collect();
    assert!(late.is_empty(), "{late:?}: {played:#?}");
}

#[test]
fn changes_of_a_returned_store_are_missed_if_its_eras_are_ignored() {
    let played = CASES.map(|case| play_departure(case, &["store_eras"]));
    assert!(played.iter().all(|d| d.last_request > BOUND), "{played:#?}");
}

/// Time after the return for which upstreams are watched; nothing is written again before. Rows of
/// living upstreams are back within two seconds.
const WATCHED: Duration = Duration::from_millis(1_800);
/// Time for which a leaving upstream may still get what no other one takes.
const LAST_RESORT: Duration = Duration::from_secs(1);

/// Lets the store return from a copy; what was lost is written again after `rewrite`.
fn return_after_loss(site: &Site, rewrite: Duration, lose: impl FnOnce()) {
    site.control("/copy-store", &json!({}));
    lose();
    site.store("refusing");
    thread::sleep(AWAY);
    site.control("/return-store", &json!({ "rewriteMs": rewrite.as_millis() as u64 }));
    site.store("up");
}

#[test]
fn an_upstream_that_left_gets_no_requests_though_the_copy_lists_it() {
    struct Loss {
        name: &'static str,
        path: &'static str,
        body: fn(&str) -> Value,
    }
    let losses = [
        Loss {
            name: "its announcement is lost",
            path: "/state",
            body: |id| json!({ "id": id, "state": "draining" }),
        },
        Loss {
            name: "the removal of its row is lost",
            path: "/remove",
            body: |id| json!({ "id": id }),
        },
    ];
    let mut late = Vec::new();
    for Loss { name, path, body } in losses {
        let site = Site::start(GATEWAYS, 1, 0);
        let leaving = site.add_known_upstream("app");
        return_after_loss(&site, 2 * WATCHED, || {
            site.control(path, &body(&leaving));
            thread::sleep(LAST_RESORT);
        });
        let returned = site.now_ms();
        site.send_calls("after", WATCHED);
        if site.last_run(&leaving) > returned {
            late.push(name);
        }
    }
    assert!(late.is_empty(), "{late:#?}");
}

#[test]
fn an_upstream_whose_row_was_lost_serves_until_it_is_written_again() {
    // The copy lists so many other upstreams of the service.
    for others in [0, 3] {
        let site = Site::start(GATEWAYS, 1, others);
        let lost = RefCell::new(String::new());
        return_after_loss(&site, WATCHED, || {
            *lost.borrow_mut() = site.add_known_upstream("app");
            thread::sleep(SETTLE_TIME);
        });
        let failed = site.send_calls("after", WATCHED);
        assert!(failed.is_empty(), "{others} others: {failed:?}");
        let takes_work = |log: Vec<Value>| {
            let missing =
                |l: &&Value| l["event"] == "row_missing" && l["upstream"] == **lost.borrow();
            log.iter().rfind(missing).is_some_and(|l| l["lapsed"] == true)
        };
        let all_use_it = site.gateways.iter().all(|g| takes_work(g.log()));
        assert!(all_use_it, "{others} others: a gateway does not use it");
        let id = lost.borrow().clone();
        wait_until("the row is back", || {
            let is_back = |l: &Value| l["upstream"] == *id && l["state"] == "back";
            site.gateways.iter().all(|g| g.log().iter().any(is_back))
        });
    }
}

/// Returns the gateway that acquired the lease last, by its log.
fn holder(site: &Site) -> usize {
    let acquired = |g: &GatewayProc| {
        let log = g.log();
        let line = log.iter().rfind(|l| l["event"] == "lease" && l["state"] == "acquired");
        line.and_then(|l| l["time_ms"].as_u64())
    };
    let times = site.gateways.iter().map(acquired).enumerate();
    times.max_by_key(|(_, time)| *time).map(|(n, _)| n).expect("gateways")
}

/// Returns how many usage windows the platform has been told of.
fn reported_windows(site: &Site) -> usize {
    let windows = site.duties("/usage").into_iter().map(|d| d["body"]["windowNumber"].as_u64());
    windows.collect::<BTreeSet<_>>().len()
}

/// Checks that each fencing token was used by one gateway, that they rose, and that no window was
/// reported with two counts.
fn check_duties(site: &Site) {
    let (mut owners, mut counts) = (BTreeMap::new(), BTreeMap::new());
    let mut highest = 0;
    for duty in site.duties("/usage") {
        let fence = duty["fence"].as_u64().expect("a token");
        let holder = duty["holder"].to_string();
        assert_eq!(owners.entry(fence).or_insert(holder.clone()), &holder, "token {fence}");
        assert!(fence >= highest, "token {fence} after {highest}");
        highest = fence;
        let window = duty["body"]["windowNumber"].as_u64().expect("a window");
        let reported = duty["body"]["counts"].to_string();
        let before = counts.entry(window).or_insert(reported.clone());
        assert_eq!(before, &reported, "window {window}");
    }
}

/// What happens to gateways between the copy and the return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// The holder of the lease is killed, and starts again after the return.
    HolderKilled,
    /// The holder of the lease is suspended until after the return.
    HolderSuspended,
    /// All gateways are killed, and start again after the return.
    AllKilled,
}

/// Sends calls to these gateways until `is_done`.
fn call_until(gateways: &[SocketAddr], what: &str, is_done: impl Fn() -> bool) {
    wait_until(what, || {
        for (n, callers) in gateways.iter().enumerate() {
            drop(Call::new("GET", "/check/x", &format!("between-{n}")).send(*callers));
        }
        is_done()
    });
}

/// Plays a loss, with reports of usage that the store then loses.
fn play_loss(loss: Loss) {
    let mut site = Site::start(GATEWAYS, 0, 2);
    site.send_calls("before", BOUND);
    let first = holder(&site);
    site.control("/copy-store", &json!({}));
    match loss {
        Loss::HolderKilled => site.gateways[first].kill(),
        Loss::HolderSuspended => site.gateways[first].signal(Signal::SIGSTOP),
        Loss::AllKilled => {}
    }
    let is_up = |n: &usize| loss == Loss::AllKilled || *n != first;
    let up: Vec<_> = (0..GATEWAYS).filter(is_up).map(|n| site.gateways[n].callers).collect();
    let reported = reported_windows(&site);
    call_until(&up, "usage is reported between copy and return", || {
        let is_held = loss == Loss::AllKilled || holder(&site) != first;
        is_held && reported_windows(&site) > reported + 3
    });
    if loss == Loss::AllKilled {
        site.gateways.iter_mut().for_each(GatewayProc::kill);
    }
    site.control("/return-store", &json!({ "rewriteMs": REWRITE_TIME.as_millis() as u64 }));
    match loss {
        Loss::HolderKilled => site.gateways[first].restart(),
        Loss::HolderSuspended => site.gateways[first].signal(Signal::SIGCONT),
        Loss::AllKilled => {
            site.gateways.iter_mut().for_each(GatewayProc::restart);
            site.wait_serving();
        }
    }
    let reported = reported_windows(&site);
    wait_until("usage is reported again", || {
        site.send_calls("after", SETTLE_TIME);
        check_duties(&site);
        reported_windows(&site) > reported + 3
    });
}

#[test]
fn no_token_and_no_usage_window_is_used_twice_though_the_store_lost_them() {
    play_loss(Loss::HolderKilled);
}

#[test]
fn a_holder_that_was_suspended_uses_no_token_twice_after_a_return() {
    play_loss(Loss::HolderSuspended);
}

#[test]
fn gateways_that_were_all_killed_use_no_token_and_no_window_twice_after_a_return() {
    play_loss(Loss::AllKilled);
}

#[test]
fn a_gateway_that_starts_finds_those_whose_rows_were_lost() {
    let mut site = Site::bare();
    site.control("/copy-store", &json!({}));
    site.configure(&configuration(7));
    (0..GATEWAYS).for_each(|_| site.add_gateway());
    site.wait_ready();
    site.control("/return-store", &json!({ "rewriteMs": REWRITE_TIME.as_millis() as u64 }));
    let returned = |l: &Value| l["event"] == "store_returned";
    wait_until("all gateways know that the store returned", || {
        site.gateways.iter().all(|g| g.log().iter().any(returned))
    });
    thread::sleep(SETTLE_TIME);
    site.add_gateway();
    site.wait_ready();
}

#[test]
fn a_caller_with_an_added_key_is_not_refused_for_good_though_the_store_lost_the_key() {
    let site = Site::start(GATEWAYS, 0, 1);
    let mut with_key = configuration(8);
    with_key["tenants"][0]["apiKeys"] = json!([KEY, "added-key"]);
    site.control("/copy-store", &json!({}));
    site.store("silent");
    // Confirmed, and read by no gateway.
    site.configure(&with_key);
    let confirmed = Instant::now();
    thread::sleep(AWAY);
    let rewrite = Duration::from_millis(2_500);
    site.control("/return-store", &json!({ "rewriteMs": rewrite.as_millis() as u64 }));
    site.store("up");
    let call = Call::new("GET", "/check/x", "added").header("x-key", "added-key");
    let mut statuses = Vec::new();
    wait_until("the key is known", || {
        let answers = site.gateways.iter().filter_map(|g| call.send(g.callers));
        let last: Vec<StatusCode> = answers.map(|a| a.status).collect();
        if confirmed.elapsed() > BOUND {
            statuses.extend(last.clone());
        }
        last.iter().all(|s| *s == StatusCode::OK)
    });
    assert!(statuses.contains(&StatusCode::SERVICE_UNAVAILABLE), "no gateway lacked the key");
    assert!(!statuses.contains(&StatusCode::UNAUTHORIZED), "{statuses:?}");
}
