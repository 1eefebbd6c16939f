//! Predicted course of a request at the upstreams of its service.

use std::time::Duration;

use super::{Candidate, EngineSpeed, predicted_wait};

/// Predicted course of a request at its best upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PredictedService {
    /// Time until the upstream begins with the request: for a slot, and for prompts of others.
    pub wait: Duration,
    /// Part of `wait` that is spent waiting for a slot.
    pub slot_wait: Duration,
    /// Median of `wait` over all candidates. The wait at the best one is the smallest of many late
    /// reports, and says little while all gateways choose by the same ones.
    pub median_wait: Duration,
    /// Time from the end of `wait` to the first event of a stream, or to the whole answer of other
    /// requests.
    pub service: Duration,
    /// Age of the newest load report of another gateway; `None` without other gateways.
    pub age: Option<Duration>,
}

impl PredictedService {
    /// Predicts the course of a request at the best of its candidates; `None` if the figures give no
    /// finite time.
    pub fn new(best: &Candidate, candidates: &[Candidate], speed: EngineSpeed) -> Option<Self> {
        let slots = f64::from(best.slots.max(1));
        let service = speed.first_token(best.missing_tokens, best.running.min(slots));
        let service = Duration::try_from_secs_f64(service).ok()?;
        let wait = predicted_wait(best, speed).saturating_sub(service);
        let slot_wait = slot_wait(best.running, best.slots, speed);
        let median_wait = median_wait(candidates, speed);
        Some(Self { wait, slot_wait, median_wait, service, age: None })
    }
}

/// Returns the predicted wait for a slot at an upstream with `running` requests, which run or wait
/// there. When all slots are taken, one becomes free each time a running request ends.
pub fn slot_wait(running: f64, slots: u32, speed: EngineSpeed) -> Duration {
    let slots = f64::from(slots.max(1));
    let position = (running + 1.0 - slots).max(0.0);
    Duration::try_from_secs_f64(position * speed.slot_seconds / slots).unwrap_or(Duration::MAX)
}

/// Returns the median of the time until a candidate begins with the request.
fn median_wait(candidates: &[Candidate], speed: EngineSpeed) -> Duration {
    let wait = |c: &Candidate| {
        let own = speed.first_token(c.missing_tokens, c.running.min(f64::from(c.slots.max(1))));
        predicted_wait(c, speed).as_secs_f64() - own
    };
    let mut waits: Vec<f64> = candidates.iter().map(wait).collect();
    if waits.is_empty() {
        return Duration::ZERO;
    }
    let middle = (waits.len() - 1) / 2;
    let (_, median, _) = waits.select_nth_unstable_by(middle, f64::total_cmp);
    Duration::try_from_secs_f64(median.max(0.0)).unwrap_or_default()
}
