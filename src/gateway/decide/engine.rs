//! Choice of an upstream by predicted time to the first token.

use std::time::Duration;

use super::EngineSpeed;

/// Delay between data centres and price of their traffic, in seconds.
const REMOTE_COST: f64 = 0.002;
/// How much each second of reading counts beyond the time until the request's own
/// first token: meanwhile the others at the engine get their tokens late, and what
/// another engine holds is read once more.
const READING_WEIGHT: f64 = 3.0;
/// What a new connection costs, in seconds: an engine accepts one after the other from
/// all processes. Above [`JITTER`], so that of upstreams that do equally well the one to
/// which a connection is kept is taken.
const CONNECTING_COST: f64 = 0.005;
/// Largest part of the cost that is left to chance, in seconds, so that
/// processes with the same view do not all choose the same upstream.
const JITTER: f64 = 0.004;

/// An upstream that could run the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests running or waiting there, sent by any process.
    pub running: f64,
    /// Prompt tokens sent there by any process that are not read yet.
    pub pending_tokens: f64,
    /// Requests that run at once.
    pub slots: u32,
    /// Prompt tokens of this request that it would have to read.
    pub missing_tokens: f64,
    /// Failures of late.
    pub failures: f64,
    /// Whether it is in another data centre.
    pub remote: bool,
    /// Whether a connection to it is kept that is free.
    pub connected: bool,
    /// From 0 to 1, drawn for this choice.
    pub chance: f64,
}

/// Returns the predicted time until the upstream begins to answer.
pub fn predicted_wait(c: &Candidate, speed: EngineSpeed) -> Duration {
    Duration::from_secs_f64(wait_seconds(c, speed))
}

fn wait_seconds(c: &Candidate, speed: EngineSpeed) -> f64 {
    let slots = f64::from(c.slots.max(1));
    let first = speed.first_token(c.pending_tokens + c.missing_tokens, c.running.min(slots));
    // With all slots taken, one becomes free each time one of the runs ends.
    let ahead = (c.running + 1.0 - slots).max(0.0);
    first + ahead * speed.held / slots
}

/// Returns what a request costs there, in seconds. A recent failure counts as long as a
/// request holds its slot: that much of a caller's time goes with the next one. A fixed
/// time would pass over a quick service for the price of many requests.
fn cost(c: &Candidate, speed: EngineSpeed) -> f64 {
    let remote = if c.remote { REMOTE_COST } else { 0.0 };
    let connecting = if c.connected { 0.0 } else { CONNECTING_COST };
    let reading = READING_WEIGHT * c.missing_tokens * speed.per_token;
    let detours = remote + connecting + c.chance * JITTER;
    wait_seconds(c, speed) + reading + c.failures * speed.held + detours
}

/// Returns the index of the best candidate; `None` if there is none.
pub fn choose_engine(candidates: &[Candidate], speed: EngineSpeed) -> Option<usize> {
    let costs = candidates.iter().map(|c| cost(c, speed)).enumerate();
    costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(i, _)| i)
}

/// Returns the index of the candidate with the fewest requests, and of those the
/// cheapest: if it ends under what it is sent, that is what it takes with it.
pub fn least_to_lose(candidates: &[Candidate], speed: EngineSpeed) -> Option<usize> {
    let costs = candidates.iter().map(|c| (c.running, cost(c, speed))).enumerate();
    let rank = |a: (f64, f64), b: (f64, f64)| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1));
    costs.min_by(|a, b| rank(a.1, b.1)).map(|(i, _)| i)
}
