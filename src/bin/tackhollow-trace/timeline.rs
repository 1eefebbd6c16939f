//! The timeline of a request: its own log lines, the state changes that gateways logged around it,
//! and the cause of its outcome.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display},
    time::Duration,
};

use crate::line::Line;

/// Events about a single request; all others are changes of a gateway's state.
const REQUEST_EVENTS: [&str; 5] =
    ["attempt", "attempt_failed", "quota_used_up", "not_sent", "answered"];

/// The log lines that concern a request, ordered by time, and the cause of its outcome.
#[derive(Debug)]
pub struct Timeline<'a> {
    started_ms: u64,
    lines: Vec<&'a Line>,
    cause: String,
}

impl<'a> Timeline<'a> {
    /// Collects the lines of a request, and the state changes logged between `around` before its
    /// first line and `around` after its last.
    ///
    /// Returns `None` if no line has this request ID.
    pub fn new(request: &str, lines: &'a [Line], around: Duration) -> Option<Self> {
        let own: Vec<&Line> = lines.iter().filter(|l| l.text("request") == request).collect();
        let started_ms = own.iter().map(|l| l.time_ms).min()?;
        let ended_ms = own.iter().map(|l| l.time_ms).max()?;
        let around_ms = around.as_millis() as u64;
        let span = started_ms.saturating_sub(around_ms)..=ended_ms + around_ms;
        let processes: BTreeSet<&str> = own.iter().map(|l| l.process.as_str()).collect();
        let upstreams: BTreeSet<&str> = own.iter().map(|l| l.text("upstream")).collect();
        let is_relevant = |l: &&Line| {
            let is_state_change = !REQUEST_EVENTS.contains(&l.event.as_str());
            let is_upstream_event = matches!(l.event.as_str(), "upstream" | "upstream_ended");
            let concerns_request = !is_upstream_event || upstreams.contains(l.text("upstream"));
            // The request under which an upstream ended may have been sent by another process.
            let from_relevant_process = processes.contains(l.process.as_str())
                || matches!(l.event.as_str(), "upstream_ended" | "verdict" | "part_verdict");
            is_state_change
                && concerns_request
                && from_relevant_process
                && span.contains(&l.time_ms)
        };
        let state_changes: Vec<&Line> = lines.iter().filter(is_relevant).collect();
        let cause = describe_cause(&own, &state_changes);
        let mut shown: Vec<&Line> = own.into_iter().chain(state_changes).collect();
        shown.sort_by_key(|l| l.time_ms);
        Some(Self { started_ms, lines: shown, cause })
    }
}

impl Display for Timeline<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            let offset_ms = line.time_ms as f64 - self.started_ms as f64;
            let details = line.details(&["request"]);
            writeln!(f, "{offset_ms:+8.0} ms  {:<24} {:<20} {details}", line.process, line.event)?;
        }
        writeln!(f, "cause: {}", self.cause)
    }
}

/// Describes the cause of a request's outcome, from its last `answered` line and the state changes
/// around it.
fn describe_cause(own: &[&Line], state_changes: &[&Line]) -> String {
    let Some(end) = own.iter().rev().find(|l| l.event == "answered") else {
        return "it is not over, or its last line was left out".to_owned();
    };
    let attempt = own.iter().rev().find(|l| l.event == "attempt");
    let upstream = attempt.map_or("", |a| a.text("upstream"));
    let outcome = end.text("outcome");
    match outcome {
        "completed" => describe_completed(end, attempt.copied()),
        "end_unknown" => format!(
            "upstream {upstream} ended its answer with the connection, without a length or chunks: \
             whether it is whole is not known"
        ),
        "quota_used_up" => describe_quota_used_up(own),
        "crashes_upstreams" | "copy_runs" => describe_not_sent(own),
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
            format!("upstream {upstream} broke off; {}", describe_upstream(upstream, state_changes))
        }
        "time_over" | "time_over_midway" => {
            let predicted = attempt.map_or(0.0, |a| a.number("predicted_ms"));
            let running = attempt.map_or(0.0, |a| a.number("running"));
            format!(
                "upstream {upstream} did not end within the time: a first token was predicted \
                 after {predicted} ms with {running} requests there; {}",
                describe_upstream(upstream, state_changes)
            )
        }
        "no_room" => {
            let failed = own.iter().filter(|l| l.event == "attempt_failed");
            let causes: BTreeSet<&str> = failed.map(|l| l.text("cause")).collect();
            let causes: Vec<&str> = causes.into_iter().collect();
            match causes.is_empty() {
                true => "no upstream of the service was known to take work".to_owned(),
                false => format!("no upstream took it: {}; it has not run", causes.join(", ")),
            }
        }
        "held_off" => describe_held_off(state_changes),
        other => other.to_owned(),
    }
}

/// Describes a request that every upstream held off: which upstreams set a rate limit or asked for
/// a pause.
fn describe_held_off(state_changes: &[&Line]) -> String {
    let signals = state_changes.iter().filter_map(|line| match line.event.as_str() {
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
    // Only the latest signal of each upstream.
    let signals: BTreeMap<&str, String> = signals.collect();
    let signals: Vec<String> = signals.into_values().collect();
    let signals =
        if signals.is_empty() { "said before these lines".to_owned() } else { signals.join(", ") };
    format!("every upstream of the service holds off ({signals}); it has not run")
}

/// Describes a rejection by quota: the customer, its rate, and how many of the gateways that share
/// the quota were heard.
fn describe_quota_used_up(own: &[&Line]) -> String {
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

/// Describes a completed request: its predicted and actual times and the number of attempts.
fn describe_completed(end: &Line, attempt: Option<&Line>) -> String {
    let (first_ms, took_ms) = (end.number("first_ms"), end.number("took_ms"));
    let predicted = attempt.map_or(0.0, |a| a.number("predicted_ms"));
    let attempts = attempt.map_or(0.0, |a| a.number("attempt"));
    format!(
        "answered whole: first byte after {first_ms} ms (predicted {predicted} ms), end after \
         {took_ms} ms, {attempts} attempt(s)"
    )
}

/// Describes a request that was not sent because upstreams had ended while running one with the
/// same digest.
fn describe_not_sent(own: &[&Line]) -> String {
    let Some(line) = own.iter().rev().find(|l| l.event == "not_sent") else {
        return "upstreams ended under the request; it has not run".to_owned();
    };
    let (digest, ends) = (line.text("digest"), line.number("ends"));
    if !line.text("part").is_empty() {
        return describe_held_for_part(line);
    }
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

/// Describes a request that was not sent for a part of its prompt.
fn describe_held_for_part(line: &Line) -> String {
    let (part, ends) = (line.text("part"), line.number("part_ends"));
    match line.text("state") {
        "copy_runs" => format!(
            "{ends} upstream(s) ended under part {part} of its prompt, with which another request \
             ran; this one has not run"
        ),
        _ => format!(
            "part {part} of its prompt crashes upstreams ({ends} ends known here) and is \
             quarantined; it has not run"
        ),
    }
}

/// What was quarantined for the end of an upstream.
#[derive(Clone, Copy)]
enum Culprit {
    Request,
    Part,
}

impl Culprit {
    /// Returns the event of a verdict, the field that it names, and the field of the end of an
    /// upstream that lists what was running there.
    fn fields(self) -> (&'static str, &'static str, &'static str) {
        match self {
            Self::Request => ("verdict", "digest", "under"),
            Self::Part => ("part_verdict", "part", "parts"),
        }
    }
}

/// Returns what was quarantined of that which was running on an upstream when it ended.
fn quarantined(culprit: Culprit, upstream: &str, state_changes: &[&Line]) -> Option<String> {
    let (event, name, running) = culprit.fields();
    let ended = |l: &&&Line| l.event == "upstream_ended" && l.text("upstream") == upstream;
    let running: Vec<&str> =
        state_changes.iter().filter(ended).flat_map(|l| l.texts(running)).collect();
    let is_verdict = |l: &&&Line| l.event == event && l.text("state") == "quarantined";
    let mut verdicts = state_changes.iter().filter(is_verdict).map(|l| l.text(name));
    verdicts.find(|verdict| running.contains(verdict)).map(str::to_owned)
}

/// Describes what gateways had logged about an upstream around the end of the request.
fn describe_upstream(upstream: &str, state_changes: &[&Line]) -> String {
    if let Some(part) = quarantined(Culprit::Part, upstream, state_changes) {
        return format!("it ended under part {part} of prompts, which is quarantined");
    }
    if let Some(digest) = quarantined(Culprit::Request, upstream, state_changes) {
        return format!("it ended under request {digest}, which is quarantined");
    }
    let ended = |l: &&Line| l.event == "upstream_ended" && l.text("upstream") == upstream;
    if state_changes.iter().any(ended) {
        return "it ended: nothing listens at its address any more".to_owned();
    }
    let about = |l: &&&Line| l.event == "upstream" && l.text("upstream") == upstream;
    match state_changes.iter().rfind(about) {
        Some(line) => format!("the platform's store said {}", line.text("state")),
        None => "the platform's store said nothing of it then".to_owned(),
    }
}
