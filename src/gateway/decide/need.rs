//! How many engines a service's load needs.
//!
//! The need belongs to the load and not to the state that a loss has left: after
//! a loss, caches are cold and requests run longer beside each other, and a need
//! taken from that state orders engines for as long as the disturbance lasts. So
//! the rate of requests is followed at once, and what one request costs only
//! slowly.

use std::time::Instant;

use super::EngineSpeed;

/// Time over which the rate of requests is smoothed, in seconds: bursts last a
/// few seconds, and an engine takes as long to start.
const RATE_SPAN: f64 = 3.0;
/// Shortest time from which a rate is reckoned, in seconds: in less, a few requests
/// that come together look like a large load.
const SHORTEST_SPAN: f64 = 1.0;
/// Silence, in mean times between requests, after which the load has ended: it hardly
/// comes by chance, and the rate would take seconds to fade.
const ENDED_AFTER: f64 = 20.0;
/// Time over which the cost of a request is smoothed, in seconds: longer than
/// the waves in which the platform takes engines back.
const COST_SPAN: f64 = 20.0;

/// A sum whose earlier parts count less and less.
#[derive(Clone, Copy, Debug)]
struct Fading {
    sum: f64,
    at: Instant,
    span: f64,
}

impl Fading {
    fn new(span: f64, now: Instant) -> Self {
        Self { sum: 0.0, at: now, span }
    }

    fn get(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.sum * (-age / self.span).exp()
    }

    fn add(&mut self, amount: f64, now: Instant) {
        self.sum = self.get(now) + amount;
        self.at = self.at.max(now);
    }
}

/// What one request costs its engine, on average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestCost {
    /// Prompt tokens that no cache holds.
    pub tokens: f64,
    /// Seconds for which it holds a slot.
    pub held: f64,
}

/// Requests that callers bring to one service through this process.
#[derive(Clone, Debug)]
pub struct LoadMeter {
    since: Option<Instant>,
    rate: Fading,
    requests: Fading,
    tokens: Fading,
    runs: Fading,
    held: Fading,
}

impl LoadMeter {
    /// Begins without load.
    pub fn new(now: Instant) -> Self {
        let slow = Fading::new(COST_SPAN, now);
        Self {
            since: None,
            rate: Fading::new(RATE_SPAN, now),
            requests: slow,
            tokens: slow,
            runs: slow,
            held: slow,
        }
    }

    /// Counts a request that has `tokens` prompt tokens to read.
    pub fn request(&mut self, tokens: u32, now: Instant) {
        if self.rate(now) <= 0.0 {
            self.since = Some(now);
            self.rate = Fading::new(RATE_SPAN, now);
        }
        self.rate.add(1.0, now);
        self.requests.add(1.0, now);
        self.tokens.add(f64::from(tokens), now);
    }

    /// Counts a request that ended, after it held its slot for `held` seconds.
    pub fn ended(&mut self, held: f64, now: Instant) {
        self.runs.add(1.0, now);
        self.held.add(held, now);
    }

    /// Returns the requests a second; none once they have ended.
    pub fn rate(&self, now: Instant) -> f64 {
        // A sum that has just begun does not cover its whole span yet.
        let age = self.since.map_or(0.0, |t| now.saturating_duration_since(t).as_secs_f64());
        let covered = RATE_SPAN * (1.0 - (-age.max(SHORTEST_SPAN) / RATE_SPAN).exp());
        let last = self.rate.sum / covered;
        let silent = now.saturating_duration_since(self.rate.at).as_secs_f64();
        if silent * last > ENDED_AFTER {
            return 0.0;
        }
        self.rate.get(now) / covered
    }

    /// Returns the load as it is now.
    pub fn load(&self, now: Instant) -> ServiceLoad {
        ServiceLoad { rate: self.rate(now), cost: self.cost(now).unwrap_or_default() }
    }

    /// Returns what a request costs; `None` before the first one. Until one has
    /// ended, the time for which it holds a slot is that of the start values.
    pub fn cost(&self, now: Instant) -> Option<RequestCost> {
        let mean = |sum: &Fading, count: &Fading| {
            let count = count.get(now);
            (count > 0.0).then(|| sum.get(now) / count)
        };
        let tokens = mean(&self.tokens, &self.requests)?;
        let held = mean(&self.held, &self.runs).unwrap_or(EngineSpeed::default().held);
        Some(RequestCost { tokens, held })
    }
}

/// Requests that callers bring to one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// Requests a second.
    pub rate: f64,
    /// What one of them costs.
    pub cost: RequestCost,
}

/// Returns what a request costs on average over the loads of all processes, by their
/// rates; `None` without load. One of many processes sees too few requests for a mean
/// of its own to hold while upstreams are lost.
pub fn mean_cost(loads: impl Iterator<Item = ServiceLoad>) -> Option<RequestCost> {
    let (mut rate, mut sum) = (0.0, RequestCost::default());
    for load in loads {
        rate += load.rate;
        sum.tokens += load.rate * load.cost.tokens;
        sum.held += load.rate * load.cost.held;
    }
    (rate > 0.0).then(|| RequestCost { tokens: sum.tokens / rate, held: sum.held / rate })
}

/// What a load keeps busy, on average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Busy {
    /// Engines that read prompts.
    pub reading: f64,
    /// Slots that are held.
    pub slots: f64,
}

/// Returns what a load keeps busy.
pub fn busy(load: ServiceLoad, speed: EngineSpeed) -> Busy {
    let ServiceLoad { rate, cost } = load;
    Busy { reading: rate * cost.tokens * speed.per_token, slots: rate * cost.held }
}

/// Returns the engines needed so that so much may be busy, each with so many
/// `slots`. What is busy at a moment varies by the square root of its mean, in the
/// unit that a request takes: an engine that reads its prompt, or one of many slots.
pub fn engines_needed(busy: Busy, slots: u32, safety: f64) -> f64 {
    let with_margin = |mean: f64| mean + safety * mean.sqrt();
    with_margin(busy.reading) + with_margin(busy.slots) / f64::from(slots.max(1))
}
