//! Work that running requests have left.

use std::time::{Duration, Instant};

use super::{CostPrediction, prediction::MAX_SECONDS};
use crate::gateway::decide::RemainingWork;

/// Part of the predicted time for the prompt that is left while no event has arrived, however long
/// ago the request was sent: it may wait behind others.
const MIN_READING_LEFT: f64 = 0.1;
/// Output tokens that are left at least while a stream runs.
const MIN_OUTPUT_LEFT: f64 = 1.0;

/// Progress of a request at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct RequestProgress {
    prediction: CostPrediction,
    started: Instant,
    /// When the latest output arrived, and how many tokens have arrived.
    output: Option<(Instant, f64)>,
}

impl RequestProgress {
    /// Creates the progress of a request that is sent now.
    pub fn new(prediction: CostPrediction, now: Instant) -> Self {
        Self { prediction, started: now, output: None }
    }

    /// Returns the prediction from before the request ran.
    pub fn prediction(&self) -> &CostPrediction {
        &self.prediction
    }

    /// Notes that output tokens arrived.
    pub fn note_output(&mut self, tokens: f64, now: Instant) {
        let before = self.output.map_or(0.0, |(_, done)| done);
        self.output = Some((now, before + tokens));
    }

    /// Returns the work that is left. If the request runs longer than predicted, its rest is
    /// predicted from the remaining part of the distribution. It is never zero.
    pub fn remaining(&self, now: Instant) -> RemainingWork {
        let running = 1.0;
        let elapsed = now.saturating_duration_since(self.started);
        let Some(prompt) = self.prediction.prompt else {
            let slot_seconds =
                self.prediction.size.expected_rest(elapsed.as_secs_f64()).min(MAX_SECONDS);
            return RemainingWork { running, slot_seconds, ..RemainingWork::default() };
        };
        let done = self.output.map_or(0.0, |(_, done)| done);
        let limit = (prompt.output_limit() - done).max(MIN_OUTPUT_LEFT);
        let output = self.prediction.size.expected_rest(done).clamp(MIN_OUTPUT_LEFT, limit);
        let token_seconds = self.prediction.token_seconds;
        let writing = output * token_seconds;
        let slot_seconds = match self.output {
            None => writing + self.reading_left(elapsed),
            Some((at, _)) => {
                let since = now.saturating_duration_since(at).as_secs_f64();
                (writing - since).max(MIN_OUTPUT_LEFT * token_seconds)
            }
        };
        let pending_tokens = match self.output {
            None => self.prediction.work.missing_tokens,
            Some(_) => 0.0,
        };
        RemainingWork {
            running,
            pending_tokens,
            slot_seconds: slot_seconds.min(MAX_SECONDS),
            memory_tokens: f64::from(prompt.tokens) + done + output,
        }
    }

    fn reading_left(&self, elapsed: Duration) -> f64 {
        let reading = self.prediction.work.reading_seconds;
        (reading - elapsed.as_secs_f64()).max(MIN_READING_LEFT * reading)
    }
}

/// Identifies a running request of this process at one upstream.
pub type RunningId = u64;

/// Requests of this process that run at one upstream and whose cost was predicted.
#[derive(Clone, Debug, Default)]
pub struct RunningRequests {
    requests: Vec<(RunningId, RequestProgress)>,
    next: RunningId,
}

impl RunningRequests {
    /// Adds a request that is sent now.
    pub fn begin(&mut self, prediction: CostPrediction, now: Instant) -> RunningId {
        let id = self.next;
        self.next += 1;
        self.requests.push((id, RequestProgress::new(prediction, now)));
        id
    }

    /// Notes that output of a request arrived.
    pub fn note_output(&mut self, id: RunningId, tokens: f64, now: Instant) {
        if let Some((_, progress)) = self.requests.iter_mut().find(|(known, _)| *known == id) {
            progress.note_output(tokens, now);
        }
    }

    /// Returns the output tokens of a request that have arrived; 0 if it has ended.
    pub fn output(&self, id: RunningId) -> f64 {
        let known = self.requests.iter().find(|(known, _)| *known == id);
        known.and_then(|(_, progress)| progress.output).map_or(0.0, |(_, done)| done)
    }

    /// Removes a request that has ended.
    pub fn end(&mut self, id: RunningId) {
        self.requests.retain(|(known, _)| *known != id);
    }

    /// Returns the work that all of them have left.
    pub fn remaining(&self, now: Instant) -> RemainingWork {
        let each = self.requests.iter().map(|(_, progress)| progress.remaining(now));
        each.fold(RemainingWork::default(), RemainingWork::plus)
    }
}
