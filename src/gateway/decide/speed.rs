//! Speed of a service's upstreams, learnt from requests.
//!
//! The time to the first token is modelled as the sum of a constant, a term for each prompt
//! token that must be read first, and a term for each request running at the same time. The
//! three coefficients are fitted to recent requests, so that no deployment's engine speed is
//! hard-coded: if engines are faster than assumed, more of them would be ordered than the load
//! requires.

use std::time::Duration;

/// Default reading speed: the middle, on a logarithmic scale, of the speeds that engines of all
/// sizes reach.
const DEFAULT_TOKENS_PER_SECOND: f64 = 50_000.0;
/// Default constant term, in seconds: a few steps of an engine, and the network.
const DEFAULT_BASE: f64 = 0.03;
/// Default term for each concurrent request, in seconds.
const DEFAULT_PER_RUNNING: f64 = 0.001;
/// Default time for which a request holds a slot, in seconds.
const DEFAULT_SLOT_SECONDS: f64 = 1.0;
/// Weight of the default values, in requests.
const DEFAULT_WEIGHT: f64 = 2.0;
/// Factor by which the weight of earlier requests decays with each request. The fit rests on
/// about the last hundred requests, a few seconds of one gateway.
const DECAY_FACTOR: f64 = 0.99;
/// Smoothing factor of the typical error.
const ERROR_SMOOTHING: f64 = 0.05;
/// Errors larger than this multiple of the typical error get less weight: they come from a
/// cache wrongly taken to be warm, a failing engine or a lost packet.
const ROBUST_MULTIPLE: f64 = 1.5;
/// Default of the typical error, in seconds.
const DEFAULT_ERROR: f64 = 0.1;
/// Lower limit of the typical error, in seconds: timers are no more precise.
const MIN_ERROR: f64 = 0.002;
/// Units in which the inputs are fitted (constant, tokens, concurrent requests), so that the
/// three coefficients are of similar size.
const UNITS: [f64; 3] = [1.0, 1_000.0, 10.0];
/// Iterations of the fit after each request; each starts from the previous result.
const FIT_ITERATIONS: usize = 4;
/// Number of requests after which a model is preferred to that of another process.
const SUFFICIENT_REQUESTS: f64 = 30.0;

/// Speed of a service's upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeed {
    /// Constant term of the time to the first token, in seconds.
    pub base: f64,
    /// Time to read one prompt token, in seconds.
    pub per_token: f64,
    /// Time that each request running at the same time adds, in seconds.
    pub per_running: f64,
    /// Average time for which a request holds a slot, in seconds. It is not part of the fit;
    /// see [`super::LoadMeter`].
    pub slot_seconds: f64,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            base: DEFAULT_BASE,
            per_token: 1.0 / DEFAULT_TOKENS_PER_SECOND,
            per_running: DEFAULT_PER_RUNNING,
            slot_seconds: DEFAULT_SLOT_SECONDS,
        }
    }
}

impl EngineSpeed {
    /// Returns the prompt tokens read per second; `None` if reading takes no time, for instance
    /// because no request has a prompt.
    pub fn tokens_per_second(&self) -> Option<f64> {
        (self.per_token > 0.0).then(|| 1.0 / self.per_token)
    }

    /// Returns the time to the first token, in seconds, at an upstream that runs `running`
    /// requests and has `tokens` prompt tokens to read first.
    pub fn first_token(&self, tokens: f64, running: f64) -> f64 {
        self.base + self.per_token * tokens.max(0.0) + self.per_running * running.max(0.0)
    }
}

/// Time to the first token of one request that found a free slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstTokenSample {
    /// Prompt tokens that the upstream had to read first, including the request's own.
    pub tokens: f64,
    /// Requests that were running when the request was sent.
    pub running: f64,
    /// Time from sending the request to its first token.
    pub took: Duration,
}

/// Robust fit of the speed to recent requests: weighted least squares with coefficients that
/// cannot be negative.
#[derive(Clone, Debug)]
pub struct SpeedModel {
    /// Fitted coefficients, in [`UNITS`].
    coefficients: [f64; 3],
    /// Weighted sums of the products of the inputs.
    products: [[f64; 3]; 3],
    /// Weighted sums of the products of inputs and time.
    targets: [f64; 3],
    typical_error: f64,
    requests: f64,
}

impl Default for SpeedModel {
    fn default() -> Self {
        let mut model = Self {
            coefficients: [0.0; 3],
            products: [[0.0; 3]; 3],
            targets: [0.0; 3],
            typical_error: DEFAULT_ERROR,
            requests: 0.0,
        };
        model.reset_to(EngineSpeed::default(), DEFAULT_WEIGHT);
        model
    }
}

impl SpeedModel {
    /// Returns the fitted speed.
    pub fn speed(&self) -> EngineSpeed {
        let [base, per_token, per_running] = self.coefficients;
        EngineSpeed {
            base,
            per_token: per_token / UNITS[1],
            per_running: per_running / UNITS[2],
            slot_seconds: DEFAULT_SLOT_SECONDS,
        }
    }

    /// Returns the number of requests that the fit rests on, weighted by age.
    pub fn requests(&self) -> f64 {
        self.requests
    }

    /// Updates the fit with a request's time to the first token.
    pub fn note_first_token(&mut self, sample: FirstTokenSample) {
        let inputs = [1.0, sample.tokens.max(0.0) / UNITS[1], sample.running.max(0.0) / UNITS[2]];
        let took = sample.took.as_secs_f64();
        let expected: f64 =
            inputs.iter().zip(&self.coefficients).map(|(x, coefficient)| x * coefficient).sum();
        let residual = (took - expected).abs();
        let error_limit = ROBUST_MULTIPLE * self.typical_error.max(MIN_ERROR);
        let weight = (error_limit / residual.max(f64::MIN_POSITIVE)).min(1.0);
        self.typical_error +=
            ERROR_SMOOTHING * (residual.min(2.0 * error_limit) - self.typical_error);
        self.add(inputs, took, weight);
        self.requests = self.requests * DECAY_FACTOR + 1.0;
        (0..FIT_ITERATIONS).for_each(|_| self.fit());
    }

    /// Adopts the model of another process if it rests on more requests than this one and this
    /// one rests on few. Returns whether it was adopted.
    pub fn adopt(&mut self, speed: EngineSpeed, requests: f64) -> bool {
        let adopted = self.requests < SUFFICIENT_REQUESTS && requests > self.requests;
        if adopted {
            self.requests = requests.min(SUFFICIENT_REQUESTS);
            self.reset_to(speed, self.requests);
        }
        adopted
    }

    fn reset_to(&mut self, speed: EngineSpeed, weight: f64) {
        self.coefficients = [speed.base, speed.per_token * UNITS[1], speed.per_running * UNITS[2]];
        for (i, row) in self.products.iter_mut().enumerate() {
            *row = [0.0; 3];
            row[i] = weight;
            self.targets[i] = weight * self.coefficients[i];
        }
    }

    fn add(&mut self, inputs: [f64; 3], took: f64, weight: f64) {
        for (i, row) in self.products.iter_mut().enumerate() {
            for (j, sum) in row.iter_mut().enumerate() {
                *sum = *sum * DECAY_FACTOR + weight * inputs[i] * inputs[j];
            }
            self.targets[i] = self.targets[i] * DECAY_FACTOR + weight * inputs[i] * took;
        }
    }

    /// Optimises each coefficient in turn while the others stay fixed (coordinate descent).
    fn fit(&mut self) {
        for i in 0..self.coefficients.len() {
            let row = &self.products[i];
            let others: f64 =
                (0..row.len()).filter(|j| *j != i).map(|j| row[j] * self.coefficients[j]).sum();
            if row[i] > f64::EPSILON {
                self.coefficients[i] = ((self.targets[i] - others) / row[i]).max(0.0);
            }
        }
    }
}
