//! The promises, checked from what callers and upstreams saw.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use hyper::StatusCode;
use serde_json::Value;

use super::callers::{CRASHING, HOSTILE, Kind, Sent};

/// Time after the third end of an upstream under a request until no gateway sends it any
/// more: three seconds, and 2.5 for which a gateway may be paused.
const KNOWN_WITHIN: Duration = Duration::from_millis(5_500);
/// Runs that are borne later than that.
const RUNS_BORNE: usize = 3;
/// Start of the ids of calls that look whether the system has recovered.
pub const AFTER: &str = "after-";

/// Returns a line for each promise that was broken.
pub fn broken_promises(sent: &[Sent], seen: &Value) -> Vec<String> {
    let runs = seen["runs"].as_array().cloned().unwrap_or_default();
    let mut of_request: HashMap<&str, Vec<&Value>> = HashMap::new();
    for run in &runs {
        of_request.entry(run["request"].as_str().unwrap_or_default()).or_default().push(run);
    }
    let mut broken = Vec::new();
    for sent in sent {
        let runs = of_request.remove(sent.id.as_str()).unwrap_or_default();
        broken.extend(check_answer(sent));
        broken.extend(check_runs(sent, &runs));
    }
    // What is left ran without a caller, but for the calls after the faults.
    of_request.retain(|id, _| !id.starts_with(AFTER) && !id.starts_with(HOSTILE));
    broken.extend(of_request.keys().map(|id| format!("{id:?} ran and was not sent")));
    broken.extend(check_duties(seen));
    broken.extend(check_crashing(&runs));
    broken
}

/// Once all gateways must know it, a request under which three upstreams ended is sent
/// three times more at most.
fn check_crashing(runs: &[Value]) -> Vec<String> {
    let mut of_target: BTreeMap<&str, Vec<&Value>> = BTreeMap::new();
    for run in runs {
        let target = run["target"].as_str().unwrap_or_default();
        if target.contains(CRASHING) {
            of_target.entry(target).or_default().push(run);
        }
    }
    let mut broken = Vec::new();
    for (target, runs) in of_target {
        let crashed = runs.iter().filter(|r| r["end"] == "crashed");
        let end = |r: &&Value| (r["ended_ms"].as_u64(), r["upstream"].to_string());
        let ends: BTreeSet<_> = crashed.map(end).collect();
        let third = ends.iter().nth(2).and_then(|(at, _)| *at);
        let known = third.map(|at| at + KNOWN_WITHIN.as_millis() as u64);
        let late = runs.iter().filter(|r| known.is_some() && r["began_ms"].as_u64() > known);
        let late = late.count();
        if late > RUNS_BORNE {
            broken.push(format!("{target}: {late} of {} runs after it must be known", runs.len()));
        }
    }
    broken
}

fn check_answer(sent: &Sent) -> Option<String> {
    let answer = sent.answer.as_ref()?;
    if answer.status != StatusCode::OK {
        return None;
    }
    let own_seal = answer.header("x-response-seal").ends_with(&format!(".{}", sent.id));
    if !own_seal || answer.header("x-request-id") != sent.id {
        return Some(format!("{}: answered with another request's answer", sent.id));
    }
    if !matches!(sent.kind, Kind::Plan | Kind::Digest) {
        let whole = answer.body.starts_with("ran at ");
        return (answer.complete && !whole)
            .then(|| format!("{}: not whole: {:?}", sent.id, answer.body));
    }
    let ids = answer.event_ids();
    let in_order = ids.iter().copied().eq(1..=ids.len() as u64);
    let whole = ids.len() as u64 == sent.events;
    (!in_order || (answer.complete && !whole))
        .then(|| format!("{}: events {ids:?} of {}, {}", sent.id, sent.events, answer.complete))
}

fn check_runs(sent: &Sent, runs: &[&Value]) -> Vec<String> {
    let mut broken = Vec::new();
    if runs.len() > 1 && !sent.kind.may_run_again() {
        broken.push(format!("{} ran {} times", sent.id, runs.len()));
    }
    if sent.is_said_not_run() && !runs.is_empty() {
        broken.push(format!("{} ran and was said not to have run", sent.id));
    }
    for run in runs {
        let target = run["target"].as_str().unwrap_or_default();
        if !target.ends_with(sent.kind.path()) || run["customer"] != "temple" {
            broken.push(format!("{} ran as {run}", sent.id));
        }
        if run["key_passed"] == true {
            broken.push(format!("{}: the key was passed on", sent.id));
        }
    }
    broken
}

/// Fencing numbers never fall, and each window of usage has one report.
fn check_duties(seen: &Value) -> Vec<String> {
    let duties = seen["duties"].as_array().cloned().unwrap_or_default();
    let mut broken = Vec::new();
    let mut highest: BTreeMap<String, u64> = BTreeMap::new();
    let mut windows: BTreeMap<u64, Value> = BTreeMap::new();
    for duty in &duties {
        let subject = format!("{} {}", duty["path"], duty["body"]["zone"]);
        let fence = duty["fence"].as_u64().unwrap_or_default();
        let known = highest.entry(subject).or_default();
        if fence < *known {
            broken.push(format!("fencing number {fence} after {known}: {duty}"));
        }
        *known = fence.max(*known);
        if let Some(window) = duty["body"]["windowNumber"].as_u64() {
            let counts = &duty["body"]["counts"];
            let first = windows.entry(window).or_insert_with(|| counts.clone());
            if first != counts {
                broken.push(format!("window {window} reported as {first} and {counts}"));
            }
        }
    }
    broken
}
