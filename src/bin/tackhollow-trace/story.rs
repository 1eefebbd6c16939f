//! The story of a request: its own lines, what the gateways came to believe
//! meanwhile, and the cause of its end.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display},
    time::Duration,
};

use crate::line::Line;

/// Events that tell of requests; all others tell of beliefs.
const REQUEST_EVENTS: [&str; 5] =
    ["attempt", "attempt_failed", "quota_used_up", "not_sent", "answered"];

/// The story of a request.
#[derive(Debug)]
pub struct Story<'a> {
    began_ms: u64,
    lines: Vec<&'a Line>,
    cause: String,
}

impl<'a> Story<'a> {
    /// Returns the story of a request; `None` if no line tells of it.
    pub fn of(request: &str, lines: &'a [Line], around: Duration) -> Option<Self> {
        let own: Vec<&Line> = lines.iter().filter(|l| l.text("request") == request).collect();
        let began_ms = own.iter().map(|l| l.time_ms).min()?;
        let ended_ms = own.iter().map(|l| l.time_ms).max()?;
        let around_ms = around.as_millis() as u64;
        let span = began_ms.saturating_sub(around_ms)..=ended_ms + around_ms;
        let processes: BTreeSet<&str> = own.iter().map(|l| l.process.as_str()).collect();
        let upstreams: BTreeSet<&str> = own.iter().map(|l| l.text("upstream")).collect();
        let matters = |l: &&Line| {
            let belief = !REQUEST_EVENTS.contains(&l.event.as_str());
            let of_upstream = matches!(l.event.as_str(), "upstream" | "upstream_ended");
            let about = !of_upstream || upstreams.contains(l.text("upstream"));
            // What ended an upstream may have been sent by another process.
            let told_by = processes.contains(l.process.as_str())
                || matches!(l.event.as_str(), "upstream_ended" | "verdict");
            belief && about && told_by && span.contains(&l.time_ms)
        };
        let beliefs: Vec<&Line> = lines.iter().filter(matters).collect();
        let cause = cause(&own, &beliefs);
        let mut told: Vec<&Line> = own.into_iter().chain(beliefs).collect();
        told.sort_by_key(|l| l.time_ms);
        Some(Self { began_ms, lines: told, cause })
    }
}

impl Display for Story<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            let at = line.time_ms as f64 - self.began_ms as f64;
            let details = line.details(&["request"]);
            writeln!(f, "{at:+8.0} ms  {:<24} {:<20} {details}", line.process, line.event)?;
        }
        writeln!(f, "cause: {}", self.cause)
    }
}

/// Names the cause from the last line of a request and what was known then.
fn cause(own: &[&Line], beliefs: &[&Line]) -> String {
    let Some(end) = own.iter().rev().find(|l| l.event == "answered") else {
        return "it is not over, or its last line was left out".to_owned();
    };
    let attempt = own.iter().rev().find(|l| l.event == "attempt");
    let upstream = attempt.map_or("", |a| a.text("upstream"));
    let outcome = end.text("outcome");
    match outcome {
        "completed" => late(end, attempt.copied()),
        "quota_used_up" => quota_used_up(own),
        "crashes_upstreams" | "copy_runs" => not_sent(own),
        "unknown_key" | "no_route" => {
            let version = end.number("configuration");
            let age = end.number("configuration_age_ms");
            format!("{outcome} in configuration {version}, known to be the newest {age} ms before")
        }
        "no_configuration" => "the process had no configuration yet, or an old one".to_owned(),
        "configuration_old" => {
            let (version, age) = (end.number("configuration"), end.number("configuration_age_ms"));
            format!(
                "configuration {version} does not allow it, and was last known to be the newest \
                 {age} ms before: the store answered nobody who is heard; it has not run"
            )
        }
        "leaving" => "the process was being stopped; another should have been used".to_owned(),
        "upstream_failure" => format!("upstream {upstream} answered with a failure of its own"),
        "caller_left" => "the caller left before the answer ended".to_owned(),
        "broken" | "broken_off_midway" => {
            format!("upstream {upstream} broke off; {}", state_of(upstream, beliefs))
        }
        "time_over" | "time_over_midway" => {
            let predicted = attempt.map_or(0.0, |a| a.number("predicted_ms"));
            let running = attempt.map_or(0.0, |a| a.number("running"));
            format!(
                "upstream {upstream} did not end within the time: a first token was predicted \
                 after {predicted} ms with {running} requests there; {}",
                state_of(upstream, beliefs)
            )
        }
        "no_room" => {
            let refused = own.iter().filter(|l| l.event == "attempt_failed");
            let causes: BTreeSet<&str> = refused.map(|l| l.text("cause")).collect();
            let causes: Vec<&str> = causes.into_iter().collect();
            match causes.is_empty() {
                true => "no upstream of the service was known to take work".to_owned(),
                false => format!("no upstream took it: {}; it has not run", causes.join(", ")),
            }
        }
        "held_off" => held_off(beliefs),
        other => other.to_owned(),
    }
}

/// Tells which upstreams had named limits or asked for rest.
fn held_off(beliefs: &[&Line]) -> String {
    let asked = beliefs.iter().filter_map(|line| match line.event.as_str() {
        "rest" => {
            let (upstream, for_ms) = (line.text("upstream"), line.number("for_ms"));
            Some((upstream, format!("{upstream} asked for rest of {for_ms} ms")))
        }
        "rate_limit" => {
            let (upstream, rate) = (line.text("upstream"), line.number("rate"));
            Some((upstream, format!("{upstream} takes {rate} requests a second from all")))
        }
        _ => None,
    });
    // The newest word of each.
    let asked: BTreeMap<&str, String> = asked.collect();
    let asked: Vec<String> = asked.into_values().collect();
    let asked =
        if asked.is_empty() { "said before these lines".to_owned() } else { asked.join(", ") };
    format!("every upstream of the service holds off ({asked}); it has not run")
}

/// Tells whose quota is used up, and which part of it was counted on.
fn quota_used_up(own: &[&Line]) -> String {
    let Some(line) = own.iter().rev().find(|l| l.event == "quota_used_up") else {
        return "the customer has used up its quota; it has not run".to_owned();
    };
    let (customer, rate) = (line.text("customer"), line.number("rate"));
    let (heard, members) = (line.number("heard"), line.number("members"));
    format!(
        "customer {customer} has used up its quota of {rate} tokens/s, as {heard} of {members} \
         gateways are heard; it has not run"
    )
}

/// Tells what delayed an answer that was whole.
fn late(end: &Line, attempt: Option<&Line>) -> String {
    let (first, took) = (end.number("first_ms"), end.number("took_ms"));
    let predicted = attempt.map_or(0.0, |a| a.number("predicted_ms"));
    let attempts = attempt.map_or(0.0, |a| a.number("attempt"));
    format!(
        "answered whole: first byte after {first} ms (predicted {predicted} ms), end after \
         {took} ms, {attempts} attempt(s)"
    )
}

/// Tells which request was not sent, and why.
fn not_sent(own: &[&Line]) -> String {
    let Some(line) = own.iter().rev().find(|l| l.event == "not_sent") else {
        return "upstreams ended under the request; it has not run".to_owned();
    };
    let (digest, ends) = (line.text("digest"), line.number("ends"));
    match line.text("state") {
        "copy_runs" => format!(
            "{ends} upstream(s) ended under request {digest}, of which a copy ran; this one has \
             not run"
        ),
        _ => format!(
            "request {digest} crashes upstreams ({ends} ends known here) and is quarantined; it \
             has not run"
        ),
    }
}

/// Names the request that is held for the end of an upstream, if one is.
fn culprit(upstream: &str, beliefs: &[&Line]) -> Option<String> {
    let ended = |l: &&&Line| l.event == "upstream_ended" && l.text("upstream") == upstream;
    let under: Vec<&str> = beliefs.iter().filter(ended).flat_map(|l| l.texts("under")).collect();
    let held = |l: &&&Line| l.event == "verdict" && l.text("state") == "quarantined";
    let mut verdicts = beliefs.iter().filter(held).map(|l| l.text("digest"));
    verdicts.find(|digest| under.contains(digest)).map(str::to_owned)
}

/// Tells what was known of an upstream around the end.
fn state_of(upstream: &str, beliefs: &[&Line]) -> String {
    if let Some(digest) = culprit(upstream, beliefs) {
        return format!("it ended under request {digest}, which is quarantined");
    }
    let ended = |l: &&Line| l.event == "upstream_ended" && l.text("upstream") == upstream;
    if beliefs.iter().any(ended) {
        return "it ended: nothing listens at its address any more".to_owned();
    }
    let about = |l: &&&Line| l.event == "upstream" && l.text("upstream") == upstream;
    match beliefs.iter().rfind(about) {
        Some(line) => format!("the platform's store said {}", line.text("state")),
        None => "the platform's store said nothing of it then".to_owned(),
    }
}
