//! Prediction of what one request costs.

use super::{LogNormal, PromptSize};
use crate::gateway::decide::{EngineSpeed, PredictedWork};

/// Time that attention adds for each pair of a token to process and a token before it, in seconds.
/// Measured: 0.25 ms for each million pairs. The linear term alone predicts 437 ms too little for a
/// prompt of 54,600 tokens with as much context again.
const SECONDS_PER_PAIR: f64 = 0.25e-9;
/// Upper limit of all predicted times, in seconds: no request takes longer, whatever callers state.
pub(super) const MAX_SECONDS: f64 = 3_600.0;

/// Group of requests that a prediction rests on: the narrowest one with enough samples.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CostBasis {
    /// Nothing has been learnt: the hint alone, or defaults.
    Default,
    /// All requests to the service.
    Service,
    /// Requests of the route to the service.
    Route,
    /// Requests of the customer on the route.
    Customer,
}

impl CostBasis {
    /// Returns the name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Default => "default",
            Self::Service => "service",
            Self::Route => "route",
            Self::Customer => "customer",
        }
    }
}

/// Predicted cost of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostPrediction {
    /// The predicted work; means, since work is summed over requests.
    pub work: PredictedWork,
    /// Group that the prediction rests on.
    pub basis: CostBasis,
    /// Standard deviation of the logarithm of the output, or of the time without a prompt.
    pub spread: f64,
    /// Output in tokens, or time in seconds of a request without a prompt.
    pub(super) size: LogNormal,
    /// Time for each output token, in seconds.
    pub(super) token_seconds: f64,
    /// The prompt; `None` for a request without one.
    pub(super) prompt: Option<PromptSize>,
}

impl CostPrediction {
    /// Predicts the cost of a stream with `output` tokens.
    pub(super) fn of_stream(
        prompt: PromptSize,
        output: LogNormal,
        token_seconds: f64,
        basis: CostBasis,
    ) -> Self {
        Self {
            work: PredictedWork::default(),
            basis,
            spread: output.spread,
            size: output,
            token_seconds,
            prompt: Some(prompt),
        }
    }

    /// Predicts the cost of a request without a prompt that takes `time` seconds.
    pub(super) fn of_plain(time: LogNormal, basis: CostBasis) -> Self {
        let slot_seconds = time.mean().min(MAX_SECONDS);
        let work = PredictedWork { slot_seconds, ..PredictedWork::default() };
        Self { work, basis, spread: time.spread, size: time, token_seconds: 0.0, prompt: None }
    }

    /// Returns the prediction for an upstream that has to process `missing_tokens` of the prompt.
    /// It costs a few multiplications, so that it can be made for each candidate.
    pub fn with_missing(self, missing_tokens: f64, speed: EngineSpeed) -> Self {
        let Some(prompt) = self.prompt else {
            return self;
        };
        let tokens = f64::from(prompt.tokens);
        let missing_tokens = missing_tokens.clamp(0.0, tokens);
        let output_tokens = self.output_tokens();
        let reading_seconds = reading_seconds(tokens, missing_tokens, speed);
        let writing_seconds = output_tokens * self.token_seconds;
        let work = PredictedWork {
            missing_tokens,
            reading_seconds,
            output_tokens,
            slot_seconds: (reading_seconds + writing_seconds).min(MAX_SECONDS),
            memory_tokens: tokens + output_tokens,
        };
        Self { work, ..self }
    }

    /// Returns the median of the output in tokens, or of the time of a plain request in seconds.
    pub fn median(&self) -> f64 {
        match self.prompt {
            Some(prompt) => self.size.median().clamp(1.0, prompt.output_limit()),
            None => self.size.median(),
        }
    }

    /// Returns the time that nine in ten requests without a prompt do not exceed, or the output in
    /// tokens that nine in ten streams do not exceed.
    pub fn tail(&self) -> f64 {
        /// Standard deviations above the median of the 90th percentile.
        const DEVIATIONS: f64 = 1.2816;
        let tail = self.size.at_deviations(DEVIATIONS);
        self.prompt.map_or(tail, |p| tail.clamp(1.0, p.output_limit()))
    }

    fn output_tokens(&self) -> f64 {
        let limit = self.prompt.map_or(0.0, PromptSize::output_limit);
        self.size.mean().clamp(1.0_f64.min(limit), limit)
    }
}

/// Returns the time to process `missing` tokens at the end of a prompt of `tokens`, in seconds.
fn reading_seconds(tokens: f64, missing: f64, speed: EngineSpeed) -> f64 {
    let cached = tokens - missing;
    let pairs = missing * (cached + missing / 2.0);
    (speed.per_token * missing + SECONDS_PER_PAIR * pairs).min(MAX_SECONDS)
}
