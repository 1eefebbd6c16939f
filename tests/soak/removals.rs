//! Checks rows that disappear during a store outage after the faults: the row of an upstream
//! that leaves without announcing it, and rows that expire although their upstreams still run.
//! The first must get no more requests; the others must not all be excluded.

use std::{collections::HashSet, thread, time::Duration};

use serde_json::{Value, json};
use tackhollow::time::unix_millis;

use crate::support::{
    gateways::Site,
    signals::{LEAVING_HOLDS_AFTER, arrivals},
};

/// Time for which the store does not answer.
const OUTAGE: Duration = Duration::from_millis(1_500);
/// Time between the removal of the rows and the end of the outage.
const REMOVAL_BEFORE_END: Duration = Duration::from_millis(100);
/// Time for which the upstream that left is watched for requests.
const OBSERVATION_TIME: Duration = Duration::from_millis(3_500);
/// Interval at which expired rows are written back.
const ROW_WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Returns a message for each violated guarantee. The rows of all upstreams are back when the
/// function returns.
pub fn violations_by_removals(site: &Site, upstreams: &[String]) -> Vec<String> {
    let mut violations = Vec::new();
    if let Some(leaving) = upstreams.first() {
        let removed = outage(site, std::slice::from_ref(leaving));
        thread::sleep(OBSERVATION_TIME);
        let late = arrivals(&site.seen(), leaving);
        let late = late.iter().filter(|a| a.at > removed + LEAVING_HOLDS_AFTER).count();
        if late > 0 {
            violations.push(format!("{leaving} left and received {late} requests too late"));
        }
        write_row(site, leaving, true);
        thread::sleep(ROW_WRITE_INTERVAL);
    }
    let from = unix_millis();
    outage(site, upstreams);
    for id in upstreams {
        thread::sleep(ROW_WRITE_INTERVAL);
        write_row(site, id, true);
    }
    thread::sleep(ROW_WRITE_INTERVAL);
    for (n, gateway) in site.gateways.iter().enumerate() {
        let refused = refused_without_attempt(&gateway.log(), from);
        if refused > 0 {
            violations.push(format!("gateway {}: excluded all upstreams {refused} times", n + 1));
        }
    }
    violations
}

/// Stops the store from answering and removes the rows shortly before it answers again.
/// Returns the time of the removal by the store's clock.
fn outage(site: &Site, removed: &[String]) -> Duration {
    site.store("silent");
    thread::sleep(OUTAGE - REMOVAL_BEFORE_END);
    removed.iter().for_each(|id| write_row(site, id, false));
    let at = site.emulator_now();
    thread::sleep(REMOVAL_BEFORE_END);
    site.store("up");
    at
}

fn write_row(site: &Site, id: &str, back: bool) {
    site.control("/remove", &json!({ "id": id, "back": back }));
}

/// Returns how many requests since `from` were refused without an attempt because the gateway
/// knew of no available upstream.
fn refused_without_attempt(log: &[Value], from: u64) -> usize {
    let attempts = log.iter().filter(|l| l["event"] == "attempt");
    let attempted: HashSet<&str> = attempts.filter_map(|l| l["request"].as_str()).collect();
    let refused = log.iter().filter(|l| l["event"] == "answered" && l["outcome"] == "no_room");
    let refused = refused.filter(|l| l["time_ms"].as_u64() >= Some(from));
    refused.filter(|l| l["request"].as_str().is_some_and(|r| !attempted.contains(r))).count()
}
