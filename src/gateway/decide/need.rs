//! Number of engines that the load of a service requires.
//!
//! The requirement is derived from the load and not from the current state of the engines:
//! after a loss, caches are cold and more requests run at once, so each takes longer. A
//! requirement derived from that state would order engines for as long as the disturbance
//! lasts. The request rate is therefore followed quickly, and the cost of a request only
//! slowly.

use std::time::Instant;

use super::EngineSpeed;

/// Time constant of the request rate, in seconds: bursts last a few seconds, and an engine
/// takes as long to start.
const RATE_TIME_CONSTANT: f64 = 3.0;
/// Shortest time over which a rate is computed, in seconds: over less, a few requests that
/// arrive together look like a large load.
const MIN_RATE_PERIOD: f64 = 1.0;
/// Time without requests, in mean intervals between requests, after which the load is taken to
/// have ended: such a gap hardly occurs by chance, and the decaying rate would take seconds to
/// fall.
const END_OF_LOAD_INTERVALS: f64 = 20.0;
/// Time constant of the request cost, in seconds: longer than the intervals at which the
/// platform reclaims engines.
const COST_TIME_CONSTANT: f64 = 20.0;

/// A sum with exponential decay.
#[derive(Clone, Copy, Debug)]
struct DecayingSum {
    sum: f64,
    at: Instant,
    time_constant: f64,
}

impl DecayingSum {
    fn new(time_constant: f64, now: Instant) -> Self {
        Self { sum: 0.0, at: now, time_constant }
    }

    fn get(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.sum * (-age / self.time_constant).exp()
    }

    fn add(&mut self, amount: f64, now: Instant) {
        self.sum = self.get(now) + amount;
        self.at = self.at.max(now);
    }
}

/// Average cost of one request for its engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestCost {
    /// Prompt tokens that no cache holds.
    pub tokens: f64,
    /// Time for which a request holds a slot, in seconds.
    pub slot_seconds: f64,
}

/// Load of one service, measured from the requests that callers send to this process.
#[derive(Clone, Debug)]
pub struct LoadMeter {
    started_at: Option<Instant>,
    rate: DecayingSum,
    requests: DecayingSum,
    tokens: DecayingSum,
    completions: DecayingSum,
    held: DecayingSum,
}

impl LoadMeter {
    /// Creates a meter without load.
    pub fn new(now: Instant) -> Self {
        let slow = DecayingSum::new(COST_TIME_CONSTANT, now);
        Self {
            started_at: None,
            rate: DecayingSum::new(RATE_TIME_CONSTANT, now),
            requests: slow,
            tokens: slow,
            completions: slow,
            held: slow,
        }
    }

    /// Records a request with `tokens` prompt tokens to read.
    pub fn request(&mut self, tokens: u32, now: Instant) {
        if self.rate(now) <= 0.0 {
            self.started_at = Some(now);
            self.rate = DecayingSum::new(RATE_TIME_CONSTANT, now);
        }
        self.rate.add(1.0, now);
        self.requests.add(1.0, now);
        self.tokens.add(f64::from(tokens), now);
    }

    /// Records that a request ended after holding its slot for `slot_seconds`.
    pub fn ended(&mut self, slot_seconds: f64, now: Instant) {
        self.completions.add(1.0, now);
        self.held.add(slot_seconds, now);
    }

    /// Returns the requests per second; 0 once the load has ended.
    pub fn rate(&self, now: Instant) -> f64 {
        // A sum that started recently does not cover its whole time constant yet.
        let age = self.started_at.map_or(0.0, |t| now.saturating_duration_since(t).as_secs_f64());
        let covered =
            RATE_TIME_CONSTANT * (1.0 - (-age.max(MIN_RATE_PERIOD) / RATE_TIME_CONSTANT).exp());
        let last = self.rate.sum / covered;
        let idle = now.saturating_duration_since(self.rate.at).as_secs_f64();
        if idle * last > END_OF_LOAD_INTERVALS {
            return 0.0;
        }
        self.rate.get(now) / covered
    }

    /// Returns the current load.
    pub fn load(&self, now: Instant) -> ServiceLoad {
        ServiceLoad { rate: self.rate(now), cost: self.cost(now).unwrap_or_default() }
    }

    /// Returns the average cost of a request; `None` before the first request. Until a request
    /// has ended, the default slot time of [`EngineSpeed`] applies.
    pub fn cost(&self, now: Instant) -> Option<RequestCost> {
        let mean = |sum: &DecayingSum, count: &DecayingSum| {
            let count = count.get(now);
            (count > 0.0).then(|| sum.get(now) / count)
        };
        let tokens = mean(&self.tokens, &self.requests)?;
        let held =
            mean(&self.held, &self.completions).unwrap_or(EngineSpeed::default().slot_seconds);
        Some(RequestCost { tokens, slot_seconds: held })
    }
}

/// Load of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// Requests per second.
    pub rate: f64,
    /// Average cost of a request.
    pub cost: RequestCost,
}

/// Returns the average cost of a request over the loads of all processes, weighted by their
/// rates; `None` without load. One of many processes sees too few requests for its own average
/// to be reliable while upstreams are lost.
pub fn mean_cost(loads: impl Iterator<Item = ServiceLoad>) -> Option<RequestCost> {
    let (mut rate, mut sum) = (0.0, RequestCost::default());
    for load in loads {
        rate += load.rate;
        sum.tokens += load.rate * load.cost.tokens;
        sum.slot_seconds += load.rate * load.cost.slot_seconds;
    }
    (rate > 0.0)
        .then(|| RequestCost { tokens: sum.tokens / rate, slot_seconds: sum.slot_seconds / rate })
}

/// Average capacity that a load occupies.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Occupancy {
    /// Number of engines occupied with reading prompts.
    pub reading: f64,
    /// Number of slots in use.
    pub slots: f64,
}

/// Returns the average capacity that a load occupies at engines of the given speed.
pub fn occupancy(load: ServiceLoad, speed: EngineSpeed) -> Occupancy {
    let ServiceLoad { rate, cost } = load;
    Occupancy { reading: rate * cost.tokens * speed.per_token, slots: rate * cost.slot_seconds }
}

/// Returns the engines required for the occupied capacity, where each engine has `slots` slots.
/// The occupied capacity varies by about the square root of its mean, so `safety` times that is
/// added, separately for engines that read prompts and for slots, since a request occupies one
/// of each.
pub fn engines_needed(busy: Occupancy, slots: u32, safety: f64) -> f64 {
    let with_margin = |mean: f64| mean + safety * mean.sqrt();
    with_margin(busy.reading) + with_margin(busy.slots) / f64::from(slots.max(1))
}
