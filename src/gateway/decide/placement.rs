//! Selection of an upstream by the cost of a request there, from its predicted work, the work that
//! each upstream has left, and the speed of each.
//!
//! Load addressed: upstreams that differ in speed, and short and long requests side by side. It is
//! in force where upstream speeds or request costs are in use; see [`super::choose_engine`]
//! otherwise.

use super::{EngineSpeed, PredictedWork, RemainingWork};

/// Cost of sending a request to another data centre, in seconds: the latency between data centres,
/// and an allowance for the price of the traffic.
const REMOTE_COST_SECONDS: f64 = 0.002;
/// Cost of a new connection, in seconds: an upstream accepts connections from all processes one
/// after another.
const CONNECT_COST_SECONDS: f64 = 0.005;
/// Weight of the time for reading the prompt, in addition to the request's own: an upstream that
/// reads a prompt neither reads others nor writes, and the requests beside it wait.
const DELAY_WEIGHT: f64 = 3.0;
/// Uncertainty of the cost, in seconds, without any load: networks and schedulers vary by this.
const MIN_UNCERTAINTY_SECONDS: f64 = 0.004;
/// Uncertainty of the cost as a share of the time to the first event at the best upstream: a request
/// that another gateway sent since its last report is unknown, and takes about as long as this one.
const SAMPLE_UNCERTAINTY: f64 = 1.0;
/// The same where all upstreams are compared. A larger share would mostly send requests to slower
/// upstreams, since what is not announced is small.
const ALL_UNCERTAINTY: f64 = 0.1;
/// Mean number of upstreams that are drawn and compared, of all and of those with the most of the
/// prompt cached. If every gateway compared all, those with the same view would send their requests
/// to the one upstream that looks best, and its speed would then look low.
const SAMPLE: f64 = 8.0;
/// The same where large requests of other gateways become known only with their next reports, so
/// that more of them are sent to an upstream before it looks loaded.
const SMALL_SAMPLE: f64 = 4.0;
/// Bounds of a speed factor. Outside of them the estimate is wrong rather than the upstream so slow
/// or so fast.
const FACTOR_BOUNDS: (f64, f64) = (0.25, 4.0);

/// An upstream that could run the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementCandidate {
    /// Work that the upstream has left, of the requests of all gateways.
    pub remaining: RemainingWork,
    /// Factor by which times are longer than at an average upstream; 1 if it is not known.
    pub speed_factor: f64,
    /// Number of requests that the upstream runs at once.
    pub slots: u32,
    /// Prompt tokens of this request that the upstream is not expected to have cached.
    pub missing_tokens: f64,
    /// Weighted recent failures of the upstream, seen here or by all gateways; each costs as much as
    /// the time for which the request holds its slot.
    pub failures: f64,
    /// Whether the upstream is in another data centre.
    pub remote: bool,
    /// Whether an idle connection to the upstream exists.
    pub connected: bool,
    /// Random number from 0 to 1, drawn for each candidate of each choice.
    pub jitter_sample: f64,
}

/// Cost of sending a request to an upstream, by cause, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CostTerms {
    /// Time until the upstream begins to read the prompt, and the delay by the requests beside it.
    pub waiting: f64,
    /// Time to read the prompt and write the first event.
    pub reading: f64,
    /// Time for which other requests are delayed by the reading.
    pub delays_others: f64,
    /// Time that an expected failure costs.
    pub failures: f64,
    /// Cost of another data centre.
    pub distance: f64,
    /// Cost of a new connection.
    pub connection: f64,
    /// Random part, within the uncertainty of the other terms.
    pub jitter: f64,
}

impl CostTerms {
    /// Returns the sum of the terms, in seconds.
    pub fn total(&self) -> f64 {
        let Self { waiting, reading, delays_others, failures, distance, connection, jitter } = self;
        waiting + reading + delays_others + failures + distance + connection + jitter
    }

    /// Returns the predicted time to the first event, in seconds.
    pub fn first_event(&self) -> f64 {
        self.waiting + self.reading
    }
}

/// Which upstreams are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// All. For gateways that announce large requests to each other, with short requests on most
    /// upstreams.
    All,
    /// A random sample. For gateways that announce large requests to each other.
    Sample,
    /// A smaller random sample. For gateways that learn of all requests from reports.
    SmallSample,
}

impl Comparison {
    /// Returns the mean number of upstreams to compare; infinite for all.
    fn compared(self) -> f64 {
        match self {
            Self::All => f64::INFINITY,
            Self::Sample => SAMPLE,
            Self::SmallSample => SMALL_SAMPLE,
        }
    }

    /// Returns the uncertainty of a cost, as a share of the time to the first event.
    fn uncertainty(self) -> f64 {
        match self {
            Self::All => ALL_UNCERTAINTY,
            Self::Sample | Self::SmallSample => SAMPLE_UNCERTAINTY,
        }
    }
}

/// The chosen upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Index of the chosen candidate.
    pub index: usize,
    /// Cost of each candidate.
    pub costs: Vec<CostTerms>,
    /// Whether each candidate was drawn and compared.
    pub compared: Vec<bool>,
}

/// Returns the cost of sending a request that causes `work` to a candidate, without the random part.
pub fn placement_cost(
    c: &PlacementCandidate,
    work: &PredictedWork,
    speed: EngineSpeed,
) -> CostTerms {
    let factor = bounded_factor(c.speed_factor);
    let reading = reading_seconds(c, work, speed);
    let waiting = factor * waiting_seconds(c, speed);
    let first = factor * (speed.base + reading);
    CostTerms {
        waiting,
        reading: first,
        delays_others: factor * DELAY_WEIGHT * reading,
        failures: c.failures * work.slot_seconds,
        distance: if c.remote { REMOTE_COST_SECONDS } else { 0.0 },
        connection: if c.connected { 0.0 } else { CONNECT_COST_SECONDS },
        jitter: 0.0,
    }
}

/// Draws candidates and returns the one with the lowest cost, with the costs of all; `None` without
/// candidates.
///
/// Among candidates whose costs differ by less than their uncertainty the choice is random, so that
/// gateways with the same view do not all choose the same upstream.
pub fn place(
    candidates: &[PlacementCandidate],
    work: &PredictedWork,
    speed: EngineSpeed,
    comparison: Comparison,
) -> Option<Placement> {
    let mut costs: Vec<CostTerms> =
        candidates.iter().map(|c| placement_cost(c, work, speed)).collect();
    let draw = Draw::new(candidates, comparison.compared());
    let mut compared: Vec<bool> = candidates.iter().map(|c| draw.has(c)).collect();
    if !compared.contains(&true) {
        compared.fill(true);
    }
    let uncertainty = uncertainty(&costs[lowest(&costs, &compared)?], comparison);
    for (cost, c) in costs.iter_mut().zip(candidates) {
        cost.jitter = uncertainty * draw.jitter(c);
    }
    Some(Placement { index: lowest(&costs, &compared)?, costs, compared })
}

/// Random draw of the candidates to compare.
struct Draw {
    /// Share of all candidates that is drawn.
    of_all: f64,
    /// Share that is drawn of those that have the fewest tokens to read.
    of_holders: f64,
    fewest_missing: f64,
}

impl Draw {
    fn new(candidates: &[PlacementCandidate], compared: f64) -> Self {
        let missing = candidates.iter().map(|c| c.missing_tokens);
        let fewest_missing = missing.fold(f64::INFINITY, f64::min);
        let holders = candidates.iter().filter(|c| c.missing_tokens <= fewest_missing).count();
        let share = |count: usize| (compared / count.max(1) as f64).min(1.0);
        Self { of_all: share(candidates.len()), of_holders: share(holders), fewest_missing }
    }

    fn share(&self, c: &PlacementCandidate) -> f64 {
        if c.missing_tokens <= self.fewest_missing { self.of_holders } else { self.of_all }
    }

    fn has(&self, c: &PlacementCandidate) -> bool {
        c.jitter_sample <= self.share(c)
    }

    /// Returns the random part of a candidate's cost, from 0 to 1 for those that are drawn.
    fn jitter(&self, c: &PlacementCandidate) -> f64 {
        (c.jitter_sample / self.share(c)).clamp(0.0, 1.0)
    }
}

fn lowest(costs: &[CostTerms], compared: &[bool]) -> Option<usize> {
    let totals = costs.iter().map(CostTerms::total).enumerate().filter(|(i, _)| compared[*i]);
    totals.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(i, _)| i)
}

/// Returns how far the cost of an upstream may differ from the expected one, in seconds. The best
/// one's is that of all: with a share of its own, a slow upstream would be chosen more often.
fn uncertainty(best: &CostTerms, comparison: Comparison) -> f64 {
    MIN_UNCERTAINTY_SECONDS.max(comparison.uncertainty() * best.first_event())
}

/// Returns the time to read the missing tokens at an average upstream, in seconds.
fn reading_seconds(c: &PlacementCandidate, work: &PredictedWork, speed: EngineSpeed) -> f64 {
    let missing = c.missing_tokens.max(0.0);
    match work.missing_tokens > 0.0 {
        true => work.reading_seconds * missing / work.missing_tokens,
        false => missing * speed.per_token,
    }
}

/// Returns the wait for a slot and for the prompts to be read before, at an average upstream, in
/// seconds.
fn waiting_seconds(c: &PlacementCandidate, speed: EngineSpeed) -> f64 {
    let RemainingWork { running, pending_tokens, slot_seconds, .. } = c.remaining;
    let slots = f64::from(c.slots.max(1));
    let beside =
        speed.per_token * pending_tokens.max(0.0) + speed.per_running * running.clamp(0.0, slots);
    // When all slots are taken, one becomes free each time a running request ends.
    let queue_position = (running + 1.0 - slots).max(0.0);
    let mean_left = slot_seconds.max(0.0) / running.max(1.0);
    beside + queue_position * mean_left / slots
}

fn bounded_factor(factor: f64) -> f64 {
    let (least, most) = FACTOR_BOUNDS;
    if factor.is_finite() { factor.clamp(least, most) } else { 1.0 }
}
