//! Work of a request, and work that an upstream has left, as far as each is learnt.

use std::time::Instant;

use super::{Admitted, cost::predict};
use crate::{
    gateway::{
        board::{Board, UpstreamView},
        context::Gateway,
        decide::{Candidate, EngineSpeed, Mechanism, PredictedWork, RemainingWork},
    },
    platform::Prompt,
};

/// Returns the work of a request at an upstream that has none of its prompt cached.
pub(super) fn predicted_work(
    gateway: &Gateway,
    admitted: &Admitted,
    prompt: Option<&Prompt>,
    speed: EngineSpeed,
    now: Instant,
) -> PredictedWork {
    let tokens = prompt.map_or(0.0, |p| f64::from(p.tokens));
    if let Some(prediction) = predict(gateway, admitted, prompt, now) {
        return prediction.with_missing(tokens, speed).work;
    }
    let output = prompt.map_or(0.0, |p| f64::from(p.max_output));
    PredictedWork {
        missing_tokens: tokens,
        reading_seconds: tokens * speed.per_token,
        output_tokens: output,
        slot_seconds: speed.slot_seconds,
        memory_tokens: tokens + output,
    }
}

/// Returns the work that the upstream of a candidate has left. Where costs of requests are not in
/// use, each request holds its slot for as long as an average one.
pub(super) fn remaining_work(
    gateway: &Gateway,
    board: &Board,
    view: &UpstreamView,
    c: &Candidate,
    speed: EngineSpeed,
    now: Instant,
) -> RemainingWork {
    if gateway.uses_on(board, Mechanism::RequestCosts) {
        return board.remaining_work(view, now);
    }
    RemainingWork {
        running: c.running,
        pending_tokens: c.pending_tokens,
        slot_seconds: c.running * speed.slot_seconds,
        memory_tokens: 0.0,
    }
}
