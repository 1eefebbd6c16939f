//! Rows that disappear in an outage after the faults: an upstream that leaves without a word,
//! and rows that lapse though their upstreams live. Both promises hold side by side.

use std::{collections::HashSet, thread, time::Duration};

use serde_json::{Value, json};
use tackhollow::time::unix_millis;

use crate::support::{
    gateways::Site,
    signals::{LEAVING_HOLDS_AFTER, arrivals},
};

/// For how long the store is silent.
const OUTAGE: Duration = Duration::from_millis(1_500);
/// Time before the store's return at which the rows disappear.
const BEFORE: Duration = Duration::from_millis(100);
/// For how long it is looked whether the upstream that left gets requests.
const LOOK: Duration = Duration::from_millis(3_500);
/// Between the returns of two rows that lapsed.
const BETWEEN: Duration = Duration::from_millis(200);

/// Returns a line for each promise that is broken. All upstreams are listed in the end.
pub fn broken_by_removals(site: &Site, upstreams: &[String]) -> Vec<String> {
    let mut broken = Vec::new();
    if let Some(leaving) = upstreams.first() {
        let removed = outage(site, std::slice::from_ref(leaving));
        thread::sleep(LOOK);
        let late = arrivals(&site.seen(), leaving);
        let late = late.iter().filter(|a| a.at > removed + LEAVING_HOLDS_AFTER).count();
        if late > 0 {
            broken.push(format!("{leaving} left and got {late} requests too late"));
        }
        write_row(site, leaving, true);
        thread::sleep(BETWEEN);
    }
    let from = unix_millis();
    outage(site, upstreams);
    for id in upstreams {
        thread::sleep(BETWEEN);
        write_row(site, id, true);
    }
    thread::sleep(BETWEEN);
    for (n, gateway) in site.gateways.iter().enumerate() {
        let refused = refused_untried(&gateway.log(), from);
        if refused > 0 {
            broken.push(format!("gateway {}: left out all upstreams {refused} times", n + 1));
        }
    }
    broken
}

/// Lets the store be silent and the rows disappear before it is back; returns when they did,
/// by the store's clock.
fn outage(site: &Site, removed: &[String]) -> Duration {
    site.store("silent");
    thread::sleep(OUTAGE - BEFORE);
    removed.iter().for_each(|id| write_row(site, id, false));
    let at = site.emulator_now();
    thread::sleep(BEFORE);
    site.store("up");
    at
}

fn write_row(site: &Site, id: &str, back: bool) {
    site.control("/remove", &json!({ "id": id, "back": back }));
}

/// Returns how many requests since `from` were refused without an attempt, as no upstream was
/// known to take work.
fn refused_untried(log: &[Value], from: u64) -> usize {
    let attempts = log.iter().filter(|l| l["event"] == "attempt");
    let tried: HashSet<&str> = attempts.filter_map(|l| l["request"].as_str()).collect();
    let refused = log.iter().filter(|l| l["event"] == "answered" && l["outcome"] == "no_room");
    let refused = refused.filter(|l| l["time_ms"].as_u64() >= Some(from));
    refused.filter(|l| l["request"].as_str().is_some_and(|r| !tried.contains(r))).count()
}
