//! Changes that are confirmed in the second after the faults: a configuration, and an
//! upstream that says that it leaves.

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::support::gateways::{Site, configuration};

/// Time after the last fault from which on the operators' bounds hold. The changes come in
/// its first third, so the two seconds that they may take have passed by then.
const IN_TOUCH: Duration = Duration::from_secs(3);
/// Latest moment after the faults at which the changes come.
const LATEST: u64 = 1_000;
/// For how long it is looked whether the upstream gets requests after that.
const LOOK: Duration = Duration::from_millis(1_500);

/// Confirms a configuration of this version and the leaving of `upstream`, and returns a line
/// for each gateway that does not know in time. The upstream takes work again in the end.
pub fn changes_known_late(
    site: &Site,
    rng: &mut fastrand::Rng,
    version: u64,
    upstream: &str,
) -> Vec<String> {
    let due = Instant::now() + IN_TOUCH;
    thread::sleep(Duration::from_millis(rng.u64(..LATEST)));
    site.control("/state", &json!({ "id": upstream, "state": "draining" }));
    site.configure(&configuration(version));
    thread::sleep(due.saturating_duration_since(Instant::now()));
    let due_ms = site.seen()["now_ms"].as_u64().expect("a time");
    let mut broken: Vec<String> = site
        .gateways
        .iter()
        .map(|g| newest_version(&g.log()))
        .enumerate()
        .filter(|(_, newest)| *newest < version)
        .map(|(n, newest)| format!("gateway {}: version {newest}, not {version}", n + 1))
        .collect();
    thread::sleep(LOOK);
    let seen = site.seen();
    let runs = seen["runs"].as_array().cloned().unwrap_or_default();
    let late = runs.iter().filter(|r| r["upstream"] == upstream);
    let late = late.filter(|r| r["began_ms"].as_u64() > Some(due_ms)).count();
    if late > 0 {
        broken.push(format!("{upstream} leaves and got {late} requests too late"));
    }
    site.control("/state", &json!({ "id": upstream, "state": "ready" }));
    broken
}

/// Returns the newest version that a gateway's newest process has had.
fn newest_version(log: &[Value]) -> u64 {
    let started = log.iter().rposition(|l| l["event"] == "started").unwrap_or_default();
    let lines = log[started..].iter().filter(|l| l["event"] == "configuration");
    lines.filter_map(|l| l["version"].as_u64()).max().unwrap_or_default()
}
