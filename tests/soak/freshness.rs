//! Checks that changes made in the second after the faults reach all gateways in time: a new
//! configuration, and an upstream that announces that it is draining.

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::support::gateways::{Site, configuration};

/// Time after the last fault from which the operators' bounds hold. The changes are made in
/// its first third, so the two seconds allowed for propagation have passed by then.
const BOUNDS_HOLD_AFTER: Duration = Duration::from_secs(3);
/// Upper bound of the random delay between the faults and the changes.
const MAX_CHANGE_DELAY_MS: u64 = 1_000;
/// Time for which the draining upstream is then watched for requests.
const OBSERVATION_TIME: Duration = Duration::from_millis(1_500);

/// Writes a configuration of this version, sets `upstream` to draining, and returns a message
/// for each gateway without the version in time and for late requests to the upstream. The
/// upstream is ready again when the function returns.
pub fn late_changes(
    site: &Site,
    rng: &mut fastrand::Rng,
    version: u64,
    upstream: &str,
) -> Vec<String> {
    let due = Instant::now() + BOUNDS_HOLD_AFTER;
    thread::sleep(Duration::from_millis(rng.u64(..MAX_CHANGE_DELAY_MS)));
    site.control("/state", &json!({ "id": upstream, "state": "draining" }));
    site.configure(&configuration(version));
    thread::sleep(due.saturating_duration_since(Instant::now()));
    let due_ms = site.seen()["now_ms"].as_u64().expect("a time");
    let mut violations: Vec<String> = site
        .gateways
        .iter()
        .map(|g| newest_version(&g.log()))
        .enumerate()
        .filter(|(_, newest)| *newest < version)
        .map(|(n, newest)| format!("gateway {}: version {newest}, not {version}", n + 1))
        .collect();
    thread::sleep(OBSERVATION_TIME);
    let seen = site.seen();
    let runs = seen["runs"].as_array().cloned().unwrap_or_default();
    let late = runs.iter().filter(|r| r["upstream"] == upstream);
    let late = late.filter(|r| r["began_ms"].as_u64() > Some(due_ms)).count();
    if late > 0 {
        violations.push(format!("{upstream} is draining and received {late} requests too late"));
    }
    site.control("/state", &json!({ "id": upstream, "state": "ready" }));
    violations
}

/// Returns the newest configuration version that the latest process of a gateway logged.
fn newest_version(log: &[Value]) -> u64 {
    let started = log.iter().rposition(|l| l["event"] == "started").unwrap_or_default();
    let lines = log[started..].iter().filter(|l| l["event"] == "configuration");
    lines.filter_map(|l| l["version"].as_u64()).max().unwrap_or_default()
}
