//! Selection of an upstream by predicted time to the first token.

use std::time::Duration;

use super::EngineSpeed;

/// Cost of sending a request to another data centre, in seconds: the latency between data
/// centres, and an allowance for the price of the traffic.
const REMOTE_COST_SECONDS: f64 = 0.002;
/// Weight of the time for reading the prompt, added to the request's own predicted wait:
/// reading delays the tokens of the other requests at the engine, and a prefix that another
/// engine holds is read a second time.
const READING_WEIGHT: f64 = 3.0;
/// Cost of a new connection, in seconds: an engine accepts connections from all processes one
/// after another. Larger than [`MAX_JITTER_SECONDS`], so that among equally good upstreams one
/// with an idle connection is preferred.
const CONNECT_COST_SECONDS: f64 = 0.005;
/// Upper limit of the random part of the cost, in seconds, so that processes with the same view
/// do not all choose the same upstream.
const MAX_JITTER_SECONDS: f64 = 0.004;

/// An upstream that could run the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests running or waiting at the upstream, from all processes.
    pub running: f64,
    /// Prompt tokens sent to the upstream by all processes that it has not read yet.
    pub pending_tokens: f64,
    /// Number of requests that the upstream runs at once.
    pub slots: u32,
    /// Prompt tokens of this request that the upstream is not expected to have cached.
    pub missing_tokens: f64,
    /// Weighted recent failures of the upstream, seen here or by all gateways; each costs as much
    /// as the time for which a request holds its slot.
    pub failures: f64,
    /// Whether the upstream is in another data centre.
    pub remote: bool,
    /// Whether an idle connection to the upstream exists.
    pub connected: bool,
    /// Random number from 0 to 1, drawn for each candidate of each choice.
    pub jitter_sample: f64,
}

/// Returns the predicted time until the upstream begins to answer.
pub fn predicted_wait(c: &Candidate, speed: EngineSpeed) -> Duration {
    Duration::from_secs_f64(wait_seconds(c, speed))
}

fn wait_seconds(c: &Candidate, speed: EngineSpeed) -> f64 {
    let slots = f64::from(c.slots.max(1));
    let first_token = speed.first_token(c.pending_tokens + c.missing_tokens, c.running.min(slots));
    // When all slots are taken, one becomes free each time a running request ends.
    let queue_position = (c.running + 1.0 - slots).max(0.0);
    first_token + queue_position * speed.slot_seconds / slots
}

/// Returns the cost of sending the request to the candidate, in seconds. A recent failure costs
/// as much as the time for which a request holds its slot, since another failure would cost the
/// caller about that much. With a fixed cost for each failure, an upstream of a service with
/// short requests would be avoided at the price of many requests' time.
fn cost(c: &Candidate, speed: EngineSpeed) -> f64 {
    let remote = if c.remote { REMOTE_COST_SECONDS } else { 0.0 };
    let connect = if c.connected { 0.0 } else { CONNECT_COST_SECONDS };
    let reading = READING_WEIGHT * c.missing_tokens * speed.per_token;
    let overhead = remote + connect + c.jitter_sample * MAX_JITTER_SECONDS;
    wait_seconds(c, speed) + reading + c.failures * speed.slot_seconds + overhead
}

/// Returns the index of the candidate with the lowest cost; `None` if there are no candidates.
pub fn choose_engine(candidates: &[Candidate], speed: EngineSpeed) -> Option<usize> {
    let costs = candidates.iter().map(|c| cost(c, speed)).enumerate();
    costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(i, _)| i)
}

/// Returns the index of the candidate with the fewest requests, and among these the one with
/// the lowest cost. Used for requests that may crash the upstream, so that as few other
/// requests as possible are lost with it.
pub fn choose_fewest_running(candidates: &[Candidate], speed: EngineSpeed) -> Option<usize> {
    let costs = candidates.iter().map(|c| (c.running, cost(c, speed))).enumerate();
    let rank = |a: (f64, f64), b: (f64, f64)| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1));
    costs.min_by(|a, b| rank(a.1, b.1)).map(|(i, _)| i)
}
