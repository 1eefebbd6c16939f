//! What gateways say of themselves and of each other, what is not well first.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use anyhow::Result;
use serde::Deserialize;
use serde_json::{Value, json};
use tackhollow::{edge::http_client::HttpClient, gateway::decide::KNOWLEDGE_OLD_AFTER};

use super::{api::ApiError, cli::Output, output::table};

/// Longest silence of a gateway.
const SILENCE: Duration = Duration::from_secs(2);

/// What a gateway says of itself.
#[derive(Debug, Deserialize)]
struct Status {
    process: String,
    phase: String,
    ready: bool,
    configuration: u64,
    configuration_age_ms: Option<u64>,
    upstreams: usize,
    upstreams_age_ms: Option<u64>,
    store_answers: bool,
    lease_fence: u64,
    in_progress: usize,
    quarantined: usize,
    #[serde(default)]
    signals: Vec<Signal>,
    #[serde(default)]
    rollouts: Vec<Rollout>,
    others: Vec<Other>,
}

/// What a gateway says that an upstream asks for in its answers.
#[derive(Clone, Debug, Deserialize)]
struct Signal {
    upstream: String,
    limit: Option<f64>,
    rest_ms: u64,
    leaving: bool,
}

impl Signal {
    /// Returns what it asks for, the strongest first.
    fn asks(&self) -> String {
        let leaving = self.leaving.then(|| "said that it leaves".to_owned());
        let rest = (self.rest_ms > 0).then(|| format!("rests for {} ms", self.rest_ms));
        let limit = self.limit.map(|rate| format!("takes {rate} requests a second from all"));
        let all: Vec<String> = [leaving, rest, limit].into_iter().flatten().collect();
        format!("{} {}", self.upstream, all.join(", "))
    }
}

/// What a gateway says of a roll-out.
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

/// What a gateway says of another one.
#[derive(Debug, Deserialize)]
struct Other {
    process: String,
    phase: String,
    configuration: u64,
    store_answers: bool,
    holds_lease: bool,
    silent: bool,
}

/// Asks the gateways at these addresses.
pub fn gateways(addresses: &[SocketAddr], out: Output) -> Result<()> {
    let http = HttpClient::fresh(SILENCE);
    let answers: Vec<(SocketAddr, Result<Value, String>)> =
        addresses.iter().map(|a| (*a, ask(&http, *a))).collect();
    let bodies = || answers.iter().filter_map(|(_, answer)| answer.as_ref().ok());
    if bodies().next().is_none() {
        let why = answers.iter().find_map(|(_, a)| a.as_ref().err().cloned());
        return Err(ApiError::Unreachable(why.unwrap_or_default()).into());
    }
    if out == Output::Json {
        println!("{}", json!(bodies().collect::<Vec<_>>()));
        return Ok(());
    }
    let mut troubles = Vec::new();
    let mut statuses = Vec::new();
    for (address, answer) in &answers {
        match answer.as_ref().map(|body| serde_json::from_value(body.clone())) {
            Ok(Ok(status)) => statuses.push(status),
            Ok(Err(e)) => troubles.push(format!("{address} says what cannot be read: {e}")),
            Err(e) => troubles.push(format!("the gateway at {address} does not answer: {e}")),
        }
    }
    troubles.extend(troubles_of(&statuses));
    println!("{}", if troubles.is_empty() { "all well" } else { "NOT WELL" });
    troubles.iter().for_each(|trouble| println!("  {trouble}"));
    println!();
    print_statuses(&statuses);
    print_rollouts(&statuses);
    Ok(())
}

fn ask(http: &HttpClient, address: SocketAddr) -> Result<Value, String> {
    let url = format!("http://{address}/status");
    let answer = http.call("GET", &url, &[], b"").map_err(|e| e.to_string())?;
    serde_json::from_slice(&answer.body).map_err(|e| e.to_string())
}

/// Returns what is not well, in one line each.
fn troubles_of(statuses: &[Status]) -> Vec<String> {
    let heard = || statuses.iter().flat_map(|s| &s.others);
    let versions = statuses.iter().map(|s| s.configuration);
    let newest = versions.chain(heard().map(|o| o.configuration)).max().unwrap_or_default();
    let mut troubles: BTreeSet<String> =
        statuses.iter().flat_map(|status| own_troubles(status, newest)).collect();
    let asked: BTreeSet<&str> = statuses.iter().map(|s| s.process.as_str()).collect();
    for other in heard().filter(|o| !asked.contains(o.process.as_str())) {
        troubles.extend(other_troubles(other, newest));
    }
    let holds = statuses.iter().any(|s| s.lease_fence > 0) || heard().any(|o| o.holds_lease);
    if !holds {
        troubles.insert("nobody holds the lease: no usage is reported, no engine ordered".into());
    }
    troubles.into_iter().collect()
}

fn own_troubles(s: &Status, newest: u64) -> Vec<String> {
    let mut troubles = Vec::new();
    let mut note = |trouble: String| troubles.push(format!("{}: {trouble}", s.process));
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
    }
    for r in s.rollouts.iter().filter(|r| r.is_late()) {
        note(format!("the roll-out of {} to {} is late: {}", r.service, r.destination, r.doubt));
    }
    s.signals.iter().for_each(|signal| note(signal.asks()));
    if s.quarantined > 0 {
        note(format!("{} request(s) quarantined, see /quarantine", s.quarantined));
    }
    troubles
}

fn other_troubles(o: &Other, newest: u64) -> Vec<String> {
    let mut troubles = Vec::new();
    let mut note = |trouble: String| troubles.push(format!("{}: {trouble}", o.process));
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
    troubles
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
    table(&heading, &rows);
}

/// Share of its time after which a roll-out that has not ended is late.
const LATE_AFTER: f64 = 0.9;

impl Rollout {
    fn is_late(&self) -> bool {
        let running = self.state == "trying" || self.state == "moving";
        running && self.age_ms as f64 >= LATE_AFTER * self.duration_ms as f64
    }
}

/// Prints the roll-outs as the gateway knows them that has heard of most requests.
fn print_rollouts(statuses: &[Status]) {
    let mut known: BTreeMap<&str, &Rollout> = BTreeMap::new();
    for rollout in statuses.iter().flat_map(|s| &s.rollouts) {
        let best = known.entry(&rollout.service).or_insert(rollout);
        if rollout.arrived > best.arrived {
            *best = rollout;
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
    table(&["ROLL-OUT", "TO", "STATE", "SHARE", "REQUESTS", "IT GOT", "TIME", "DOUBT"], &rows);
}
