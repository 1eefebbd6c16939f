//! Choice of an upstream by its owner.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{ids::UpstreamId, ownership};

/// Prefill speed assumed until an engine's own is known, in tokens a second.
pub const DEFAULT_PREFILL_RATE: f64 = 8_000.0;
/// Weight of price: a price of one unit an hour counts as this much delay.
const DELAY_PER_PRICE: Duration = Duration::from_millis(4);
/// Weight of reclaim risk, per expected recomputation of the whole request.
const RISK_WEIGHT: f64 = 0.05;
/// Bound of in-flight requests under [`Policy::PrefixBounded`], over the mean.
const BOUNDED_LOAD_FACTOR: f64 = 1.25;

/// How an owner chooses among its upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Lowest cost: predicted time to first token, price and reclaim risk.
    #[default]
    Cost,
    /// In turn (baseline).
    RoundRobin,
    /// Fewest in flight (baseline).
    LeastInFlight,
    /// By hash of the prefix, with bounded load (baseline).
    PrefixBounded,
}

impl Policy {
    /// Returns whether requests with the same prefix are kept together.
    pub fn keeps_prefixes_together(self) -> bool {
        matches!(self, Self::Cost | Self::PrefixBounded)
    }
}

/// An upstream that could take the request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name.
    pub id: UpstreamId,
    /// Slots in use.
    pub in_flight: u32,
    /// Slots in all.
    pub slots: u32,
    /// Time until the prompts sent there are prefilled.
    pub backlog: Duration,
    /// Prefill speed, in tokens a second.
    pub prefill_rate: f64,
    /// Prompt tokens of this request that it likely has in its cache.
    pub cached_tokens: u32,
    /// Price in units an hour.
    pub price: f64,
    /// Whether it can be reclaimed.
    pub reclaimable: bool,
}

/// Chooses the upstream for a request of `prompt_tokens`; `turn` counts the
/// choices made so far and `prefix` hashes the first block of the prompt.
/// Candidates without a free slot are passed over.
pub fn choose_upstream(
    policy: Policy,
    candidates: &[Candidate],
    prompt_tokens: u32,
    turn: u64,
    prefix: u64,
) -> Option<&Candidate> {
    let free: Vec<&Candidate> = candidates.iter().filter(|c| c.in_flight < c.slots).collect();
    match policy {
        Policy::Cost => free
            .into_iter()
            .min_by(|a, b| cost(a, prompt_tokens).total_cmp(&cost(b, prompt_tokens))),
        Policy::RoundRobin => {
            let len = free.len().max(1) as u64;
            free.into_iter().nth((turn % len) as usize)
        }
        Policy::LeastInFlight => free.into_iter().min_by_key(|c| c.in_flight),
        Policy::PrefixBounded => prefix_bounded(&free, prefix),
    }
}

/// Returns the predicted time to the first token, where `missing` tokens have
/// to be prefilled.
fn first_token(c: &Candidate, missing: u32) -> Duration {
    c.backlog + Duration::from_secs_f64(f64::from(missing) / c.prefill_rate.max(1.0))
}

/// Returns whether a candidate's backlog lets a request of `prompt_tokens`
/// begin within `patience`. What the request itself must prefill does not
/// count, since it would have to be prefilled elsewhere, too.
pub fn begins_within(c: &Candidate, patience: Duration) -> bool {
    c.backlog <= patience
}

/// Returns the cost of sending the request to a candidate, in seconds of delay.
pub fn cost(c: &Candidate, prompt_tokens: u32) -> f64 {
    let missing = prompt_tokens.saturating_sub(c.cached_tokens);
    let prefill = first_token(c, missing).as_secs_f64();
    let load = f64::from(c.in_flight) / f64::from(c.slots.max(1));
    let price = c.price * DELAY_PER_PRICE.as_secs_f64();
    let recompute = f64::from(prompt_tokens) / c.prefill_rate.max(1.0);
    let risk = if c.reclaimable { RISK_WEIGHT * recompute } else { 0.0 };
    prefill + load * 0.05 + price + risk
}

fn prefix_bounded<'a>(free: &[&'a Candidate], prefix: u64) -> Option<&'a Candidate> {
    let in_flight: u32 = free.iter().map(|c| c.in_flight).sum();
    let mean = f64::from(in_flight + 1) / free.len().max(1) as f64;
    let bound = (mean * BOUNDED_LOAD_FACTOR).ceil() as u32;
    let item = format!("{prefix:x}");
    let weight = |c: &&&Candidate| ownership::weight(&c.id, &item);
    free.iter().filter(|c| c.in_flight < bound).max_by_key(weight).copied()
}
