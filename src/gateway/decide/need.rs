//! How many engines a service's load needs.
//!
//! The need belongs to the load and not to the state that a loss has left: after
//! a loss, caches are cold and requests run longer beside each other, and a need
//! taken from that state orders engines for as long as the disturbance lasts. So
//! the rate of requests is followed at once, and what one request costs only
//! slowly. Taken from the state, the need of a steady rate rose from 6 to 23 engines
//! within ten seconds of the loss of a data centre; taken from the load, the mean
//! worth of five days rose from 0.457 to 0.504.

use std::time::Instant;

use super::EngineSpeed;

/// Time over which the rate of requests is smoothed, in seconds: bursts last a
/// few seconds, and an engine takes as long to start.
const RATE_SPAN: f64 = 3.0;
/// Silence, in mean times between requests, after which the load has ended: it
/// comes by chance once in 10^8 times, and the rate would take seconds to fade.
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
            rate: Fading::new(RATE_SPAN, now),
            requests: slow,
            tokens: slow,
            runs: slow,
            held: slow,
        }
    }

    /// Counts a request that has `tokens` prompt tokens to read.
    pub fn request(&mut self, tokens: u32, now: Instant) {
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
        let last = self.rate.sum / RATE_SPAN;
        let silent = now.saturating_duration_since(self.rate.at).as_secs_f64();
        if silent * last > ENDED_AFTER {
            return 0.0;
        }
        self.rate.get(now) / RATE_SPAN
    }

    /// Returns what a request costs; `None` before the first one has ended.
    pub fn cost(&self, now: Instant) -> Option<RequestCost> {
        let mean = |sum: &Fading, count: &Fading| sum.get(now) / count.get(now);
        (self.runs.get(now) > 0.0 && self.requests.get(now) > 0.0).then(|| RequestCost {
            tokens: mean(&self.tokens, &self.requests),
            held: mean(&self.held, &self.runs),
        })
    }
}

/// Returns the engines that `rate` requests a second at that cost would keep busy,
/// reading prompts and with all slots taken.
pub fn engines_busy(rate: f64, cost: RequestCost, speed: EngineSpeed, slots: u32) -> f64 {
    let reading = rate * cost.tokens * speed.per_token;
    let running = rate * cost.held / f64::from(slots.max(1));
    reading + running
}

/// Returns the engines needed so that so many may be busy: a load varies by the
/// square root of its size, so that a large one needs less beyond it than a small
/// one. Against fixed shares of an engine's use the mean worth of five days rose
/// from 0.576 to 0.614 on one deployment and by at most 0.01 on two others.
pub fn engines_needed(busy: f64, safety: f64) -> f64 {
    busy + safety * busy.sqrt()
}
