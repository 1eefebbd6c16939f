//! How fast the upstreams of a service are, learnt from requests.
//!
//! The time to the first token is taken to be a fixed part, a part for each
//! prompt token that has to be read first, and a part for each request that
//! runs beside it. The three are fitted to the requests of late, so that no
//! deployment's engines stand in the code: engines that are faster than is taken for
//! granted would have others ordered beside them for nothing.

use std::time::Duration;

/// Tokens a second that are assumed before anything is known: the middle, on a
/// logarithmic scale, of what engines of all sizes reach.
const START_TOKENS_PER_SECOND: f64 = 50_000.0;
/// Fixed part that is assumed before anything is known: a few steps of an engine
/// and the way there.
const START_BASE: f64 = 0.03;
/// Part for each request beside it that is assumed before anything is known.
const START_PER_RUNNING: f64 = 0.001;
/// Time for which a request holds a slot, before anything is known.
const START_HELD: f64 = 1.0;
/// Requests' worth of weight that the start values have.
const START_WEIGHT: f64 = 2.0;
/// What remains of the weight of earlier requests after one more: some hundred
/// of them count, some seconds' worth of one gateway.
const MEMORY: f64 = 0.99;
/// Weight of a new observation of the usual error.
const SMOOTHING: f64 = 0.05;
/// Errors beyond this multiple of the usual one count less: a cache that was
/// believed warm, an engine that fails, a lost packet.
const ROBUST_MULTIPLE: f64 = 1.5;
/// Usual error that is assumed before anything is known, in seconds.
const START_ERROR: f64 = 0.1;
/// Smallest usual error, in seconds: timers are no finer.
const LEAST_ERROR: f64 = 0.002;
/// Units in which tokens and running requests are fitted, so that all three
/// parts are of similar size.
const UNITS: [f64; 3] = [1.0, 1_000.0, 10.0];
/// Rounds of the fit after each request; it starts where the last one ended.
const ROUNDS: usize = 4;
/// Requests from which a model is better than what another process tells.
const EXPERIENCED: f64 = 30.0;

/// How fast the upstreams of a service are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeed {
    /// Fixed part of the time to the first token, in seconds.
    pub base: f64,
    /// Seconds to read one prompt token.
    pub per_token: f64,
    /// Seconds that each request that runs beside it adds.
    pub per_running: f64,
    /// Seconds for which a request holds a slot, on average; the fit does not
    /// tell it, see [`super::LoadMeter`].
    pub held: f64,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            base: START_BASE,
            per_token: 1.0 / START_TOKENS_PER_SECOND,
            per_running: START_PER_RUNNING,
            held: START_HELD,
        }
    }
}

impl EngineSpeed {
    /// Returns the prompt tokens read in a second; `None` if reading takes no time,
    /// as where no request has a prompt.
    pub fn tokens_per_second(&self) -> Option<f64> {
        (self.per_token > 0.0).then(|| 1.0 / self.per_token)
    }

    /// Returns the seconds to the first token at an upstream that runs `running`
    /// requests and has `tokens` prompt tokens to read first.
    pub fn first_token(&self, tokens: f64, running: f64) -> f64 {
        self.base + self.per_token * tokens.max(0.0) + self.per_running * running.max(0.0)
    }
}

/// One request that found a free slot, and the time that its first token took.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstToken {
    /// Prompt tokens that the upstream had to read before, its own included.
    pub tokens: f64,
    /// Requests that ran beside it when it was sent.
    pub running: f64,
    /// Time from sending it to its first token.
    pub took: Duration,
}

/// Fit of the speed to the requests of late: weighted least squares with parts
/// that cannot be negative.
#[derive(Clone, Debug)]
pub struct SpeedModel {
    /// Fitted parts, in [`UNITS`].
    parts: [f64; 3],
    /// Weighted sums of products of the inputs.
    products: [[f64; 3]; 3],
    /// Weighted sums of products of inputs and time.
    targets: [f64; 3],
    error: f64,
    requests: f64,
}

impl Default for SpeedModel {
    fn default() -> Self {
        let mut model = Self {
            parts: [0.0; 3],
            products: [[0.0; 3]; 3],
            targets: [0.0; 3],
            error: START_ERROR,
            requests: 0.0,
        };
        model.begin_at(EngineSpeed::default(), START_WEIGHT);
        model
    }
}

impl SpeedModel {
    /// Returns the speed as fitted.
    pub fn speed(&self) -> EngineSpeed {
        let [base, per_token, per_running] = self.parts;
        EngineSpeed {
            base,
            per_token: per_token / UNITS[1],
            per_running: per_running / UNITS[2],
            held: START_HELD,
        }
    }

    /// Returns how many requests it rests on; older ones count less.
    pub fn requests(&self) -> f64 {
        self.requests
    }

    /// Learns from a request's first token.
    pub fn note_first_token(&mut self, seen: FirstToken) {
        let inputs = [1.0, seen.tokens.max(0.0) / UNITS[1], seen.running.max(0.0) / UNITS[2]];
        let took = seen.took.as_secs_f64();
        let expected: f64 = inputs.iter().zip(&self.parts).map(|(x, part)| x * part).sum();
        let error = (took - expected).abs();
        let usual = ROBUST_MULTIPLE * self.error.max(LEAST_ERROR);
        let weight = (usual / error.max(f64::MIN_POSITIVE)).min(1.0);
        self.error += SMOOTHING * (error.min(2.0 * usual) - self.error);
        self.add(inputs, took, weight);
        self.requests = self.requests * MEMORY + 1.0;
        (0..ROUNDS).for_each(|_| self.fit());
    }

    /// Begins with what another process has learnt, if that rests on more
    /// requests than this process has seen. Returns whether it does.
    pub fn adopt(&mut self, speed: EngineSpeed, requests: f64) -> bool {
        let better = self.requests < EXPERIENCED && requests > self.requests;
        if better {
            self.requests = requests.min(EXPERIENCED);
            self.begin_at(speed, self.requests);
        }
        better
    }

    fn begin_at(&mut self, speed: EngineSpeed, weight: f64) {
        self.parts = [speed.base, speed.per_token * UNITS[1], speed.per_running * UNITS[2]];
        for (i, row) in self.products.iter_mut().enumerate() {
            *row = [0.0; 3];
            row[i] = weight;
            self.targets[i] = weight * self.parts[i];
        }
    }

    fn add(&mut self, inputs: [f64; 3], took: f64, weight: f64) {
        for (i, row) in self.products.iter_mut().enumerate() {
            for (j, sum) in row.iter_mut().enumerate() {
                *sum = *sum * MEMORY + weight * inputs[i] * inputs[j];
            }
            self.targets[i] = self.targets[i] * MEMORY + weight * inputs[i] * took;
        }
    }

    /// Moves each part to where it fits best beside the others.
    fn fit(&mut self) {
        for i in 0..self.parts.len() {
            let row = &self.products[i];
            let others: f64 =
                (0..row.len()).filter(|j| *j != i).map(|j| row[j] * self.parts[j]).sum();
            if row[i] > f64::EPSILON {
                self.parts[i] = ((self.targets[i] - others) / row[i]).max(0.0);
            }
        }
    }
}
