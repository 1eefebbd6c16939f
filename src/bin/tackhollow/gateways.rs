//! The `gateways` command: the status of gateways as reported by themselves and by the others,
//! problems first.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use anyhow::Result;
use serde::Deserialize;
use serde_json::{Value, json};
use tackhollow::{edge::http_client::HttpClient, gateway::decide::KNOWLEDGE_OLD_AFTER};

use super::{api::ApiError, cli::Output, output::print_table};

/// Time without a byte from a gateway after which a call fails.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// The status that a gateway reports of itself at `/status`.
#[derive(Debug, Deserialize)]
struct Status {
    process: String,
    phase: String,
    ready: bool,
    configuration: u64,
    configuration_age_ms: Option<u64>,
    upstreams: usize,
    #[serde(default)]
    unreachable: usize,
    #[serde(default)]
    cut_off: bool,
    upstreams_age_ms: Option<u64>,
    store_answers: bool,
    lease_fence: u64,
    in_progress: usize,
    quarantined: usize,
    #[serde(default)]
    quarantined_parts: usize,
    #[serde(default)]
    signals: Vec<Signal>,
    #[serde(default)]
    rollouts: Vec<Rollout>,
    others: Vec<Peer>,
}

/// The limits that an upstream asked for in its answers, as known to a gateway.
#[derive(Clone, Debug, Deserialize)]
struct Signal {
    upstream: String,
    limit: Option<f64>,
    rest_ms: u64,
    leaving: bool,
    max_rejections: Option<f64>,
}

impl Signal {
    /// Describes what the upstream asks for, the most restrictive first.
    fn describe(&self) -> String {
        let leaving = self.leaving.then(|| "said that it leaves".to_owned());
        let rest = (self.rest_ms > 0).then(|| format!("rests for {} ms", self.rest_ms));
        let limit = self.limit.map(|rate| format!("takes {rate} requests a second from all"));
        let brittle =
            self.max_rejections.map(|n| format!("falls over if it rejects {n} requests a second"));
        let all: Vec<String> = [leaving, rest, limit, brittle].into_iter().flatten().collect();
        format!("{} {}", self.upstream, all.join(", "))
    }
}

/// A roll-out as known to a gateway.
#[derive(Clone, Debug, Deserialize)]
struct Rollout {
    service: String,
    destination: String,
    state: String,
    share: f64,
    arrived: u32,
    exposed: u32,
    doubt: String,
    age_ms: u64,
    duration_ms: u64,
}

/// Another gateway, as known from its heartbeats.
#[derive(Debug, Deserialize)]
struct Peer {
    process: String,
    phase: String,
    configuration: u64,
    store_answers: bool,
    holds_lease: bool,
    silent: bool,
}

/// Prints the status of the gateways at these addresses.
///
/// # Errors
///
/// Returns an error if no gateway answers.
pub fn gateways(addresses: &[SocketAddr], out: Output) -> Result<()> {
    let http = HttpClient::fresh(SILENCE_TIMEOUT);
    let answers: Vec<(SocketAddr, Result<Value, String>)> =
        addresses.iter().map(|a| (*a, fetch_status(&http, *a))).collect();
    let bodies = || answers.iter().filter_map(|(_, answer)| answer.as_ref().ok());
    if bodies().next().is_none() {
        let error = answers.iter().find_map(|(_, a)| a.as_ref().err().cloned());
        return Err(ApiError::Unreachable(error.unwrap_or_default()).into());
    }
    if out == Output::Json {
        println!("{}", json!(bodies().collect::<Vec<_>>()));
        return Ok(());
    }
    let mut problems = Vec::new();
    let mut statuses = Vec::new();
    for (address, answer) in &answers {
        match answer.as_ref().map(|body| serde_json::from_value(body.clone())) {
            Ok(Ok(status)) => statuses.push(status),
            Ok(Err(e)) => problems.push(format!("{address} says what cannot be read: {e}")),
            Err(e) => problems.push(format!("the gateway at {address} does not answer: {e}")),
        }
    }
    problems.extend(find_problems(&statuses));
    println!("{}", if problems.is_empty() { "all well" } else { "NOT WELL" });
    problems.iter().for_each(|problem| println!("  {problem}"));
    println!();
    print_statuses(&statuses);
    print_rollouts(&statuses);
    Ok(())
}

fn fetch_status(http: &HttpClient, address: SocketAddr) -> Result<Value, String> {
    let url = format!("http://{address}/status");
    let answer = http.call("GET", &url, &[], b"").map_err(|e| e.to_string())?;
    serde_json::from_slice(&answer.body).map_err(|e| e.to_string())
}

/// Describes each problem in a line, sorted and without duplicates. A gateway that did not report
/// its own status is judged by what the others heard of it.
fn find_problems(statuses: &[Status]) -> Vec<String> {
    let peers = || statuses.iter().flat_map(|s| &s.others);
    let versions = statuses.iter().map(|s| s.configuration);
    let newest = versions.chain(peers().map(|o| o.configuration)).max().unwrap_or_default();
    let mut problems: BTreeSet<String> =
        statuses.iter().flat_map(|status| own_problems(status, newest)).collect();
    let reporting: BTreeSet<&str> = statuses.iter().map(|s| s.process.as_str()).collect();
    for peer in peers().filter(|o| !reporting.contains(o.process.as_str())) {
        problems.extend(peer_problems(peer, newest));
    }
    let lease_is_held =
        statuses.iter().any(|s| s.lease_fence > 0) || peers().any(|o| o.holds_lease);
    if !lease_is_held {
        problems.insert("nobody holds the lease: no usage is reported, no engine ordered".into());
    }
    problems.into_iter().collect()
}

fn own_problems(s: &Status, newest: u64) -> Vec<String> {
    let mut problems = Vec::new();
    let mut note = |problem: String| problems.push(format!("{}: {problem}", s.process));
    if !s.ready {
        note(format!("not ready, {}", s.phase));
    }
    if s.configuration < newest {
        note(format!("has configuration {}, not {newest}", s.configuration));
    }
    for (of, age_ms) in
        [("configuration", s.configuration_age_ms), ("list of upstreams", s.upstreams_age_ms)]
    {
        match age_ms {
            Some(age_ms) if u128::from(age_ms) >= KNOWLEDGE_OLD_AFTER.as_millis() => {
                note(format!("its {of} may be old: last known to be the newest {age_ms} ms ago"));
            }
            None => note(format!("its {of} was never read")),
            Some(_) => {}
        }
    }
    if !s.store_answers {
        note("the store does not answer it".to_owned());
    }
    if s.upstreams == 0 {
        note("knows no upstream that takes work".to_owned());
    } else if s.cut_off {
        note("is cut off from all upstreams, and reaches them through other gateways".to_owned());
    } else if s.unreachable > 0 {
        note(format!("could not reach {} of {} upstreams last time", s.unreachable, s.upstreams));
    }
    for r in s.rollouts.iter().filter(|r| r.is_late()) {
        note(format!("the roll-out of {} to {} is late: {}", r.service, r.destination, r.doubt));
    }
    s.signals.iter().for_each(|signal| note(signal.describe()));
    if s.quarantined > 0 {
        note(format!("{} request(s) quarantined, see /quarantine", s.quarantined));
    }
    if s.quarantined_parts > 0 {
        let parts = s.quarantined_parts;
        note(format!("{parts} part(s) of prompts quarantined, see /quarantine/parts"));
    }
    problems
}

fn peer_problems(o: &Peer, newest: u64) -> Vec<String> {
    let mut problems = Vec::new();
    let mut note = |problem: String| problems.push(format!("{}: {problem}", o.process));
    if o.silent {
        note("is not heard".to_owned());
    }
    if o.phase != "serving" {
        note(format!("is {}", o.phase));
    }
    if o.configuration < newest {
        note(format!("has configuration {}, not {newest}", o.configuration));
    }
    if !o.store_answers {
        note("the store does not answer it".to_owned());
    }
    problems
}

fn print_statuses(statuses: &[Status]) {
    let age = |ms: Option<u64>| ms.map_or("never".to_owned(), |ms| format!("{ms} ms"));
    let row = |s: &Status| {
        vec![
            s.process.clone(),
            s.phase.clone(),
            s.configuration.to_string(),
            age(s.configuration_age_ms),
            s.upstreams.to_string(),
            age(s.upstreams_age_ms),
            if s.store_answers { "answers" } else { "away" }.to_owned(),
            s.lease_fence.to_string(),
            s.in_progress.to_string(),
            s.others.iter().filter(|o| !o.silent).count().to_string(),
        ]
    };
    let rows: Vec<Vec<String>> = statuses.iter().map(row).collect();
    let heading = [
        "GATEWAY",
        "PHASE",
        "CONFIG",
        "AGE",
        "UPSTREAMS",
        "AGE",
        "STORE",
        "LEASE",
        "IN PROGRESS",
        "HEARS",
    ];
    print_table(&heading, &rows);
}

/// Fraction of its planned duration after which a roll-out that has not ended counts as late.
const LATE_FRACTION: f64 = 0.9;

impl Rollout {
    fn is_late(&self) -> bool {
        let running = self.state == "trying" || self.state == "moving";
        running && self.age_ms as f64 >= LATE_FRACTION * self.duration_ms as f64
    }
}

/// Prints the roll-out of each service, as reported by the gateway that has counted most requests
/// for it.
fn print_rollouts(statuses: &[Status]) {
    let mut known: BTreeMap<&str, &Rollout> = BTreeMap::new();
    for rollout in statuses.iter().flat_map(|s| &s.rollouts) {
        let most_complete = known.entry(&rollout.service).or_insert(rollout);
        if rollout.arrived > most_complete.arrived {
            *most_complete = rollout;
        }
    }
    if known.is_empty() {
        return;
    }
    let row = |r: &&Rollout| {
        vec![
            r.service.clone(),
            r.destination.clone(),
            r.state.clone(),
            format!("{:.0} in 100", r.share * 100.0),
            r.arrived.to_string(),
            r.exposed.to_string(),
            format!("{:.1} of {:.1} s", r.age_ms as f64 / 1e3, r.duration_ms as f64 / 1e3),
            r.doubt.clone(),
        ]
    };
    let rows: Vec<Vec<String>> = known.values().map(row).collect();
    println!();
    print_table(
        &["ROLL-OUT", "TO", "STATE", "SHARE", "REQUESTS", "IT GOT", "TIME", "DOUBT"],
        &rows,
    );
}
