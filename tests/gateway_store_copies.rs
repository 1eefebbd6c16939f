//! What holds when the store returns from an older copy: what it acknowledged since is lost, and
//! its revisions are given out again.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use support::{
    gateways::{Site, configuration},
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

fn configuration_versions(site: &Site) -> Vec<u64> {
    let newest = |log: &[Value]| {
        let lines = log.iter().filter(|l| l["event"] == "configuration");
        lines.filter_map(|l| l["version"].as_u64()).max().unwrap_or_default()
    };
    site.gateways.iter().map(|g| newest(&g.log())).collect()
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
            configuration_versions(&site).iter().all(|v| *v == version)
        });
        let after = confirmed.elapsed();
        if after > BOUND {
            late.push(format!("{}: in force after {after:?}", case.name));
        }
    }
    assert!(late.is_empty(), "{late:#?}");
}

/// Plays a case in which an upstream announces that it is leaving as the store returns; returns how
/// long after the announcement the last request reached it.
fn time_of_last_request(case: Case, disabled: &[&'static str]) -> Duration {
    let mut site = Site::bare();
    site.disabled_mechanisms = disabled.to_vec();
    site.configure(&configuration(7));
    (0..GATEWAYS).for_each(|_| site.add_gateway());
    site.wait_ready();
    let leaving = site.add_known_upstream("app");
    site.send_calls("before", SETTLE_TIME);
    let staying = site.add_known_upstream("app");
    let change = || {
        site.control("/state", &json!({ "id": leaving, "state": "draining" }));
        write_fillers(&site, case.after);
    };
    return_from_copy(&site, || take_revisions(&site, 7, case.lost), change);
    let announced = site.now_ms();
    site.send_calls("after", 3 * BOUND);
    let stayed = site.last_run(&staying) > announced;
    assert!(stayed, "{}: the other upstream got no request", case.name);
    Duration::from_millis(site.last_run(&leaving).saturating_sub(announced))
}

#[test]
fn an_upstream_that_is_leaving_gets_no_requests_after_the_store_returned() {
    let times: Vec<_> = CASES.iter().map(|c| (c.name, time_of_last_request(*c, &[]))).collect();
    assert!(times.iter().all(|(_, time)| *time <= BOUND), "{times:#?}");
}

#[test]
fn changes_of_a_returned_store_are_missed_if_its_eras_are_ignored() {
    for case in CASES {
        let time = time_of_last_request(case, &["store_eras"]);
        assert!(time > BOUND, "{}: last request {time:?} after the announcement", case.name);
    }
}
