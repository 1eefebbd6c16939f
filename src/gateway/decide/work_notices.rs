//! Which requests a gateway announces to the others when it sends them to an upstream.
//!
//! Load addressed: a long prompt that one gateway has just sent. Heartbeats report it to the other
//! gateways only 160 to 1,200 ms later, when the upstream has usually processed it. Until then they
//! send short requests, whose callers wait for less than a second, behind it.

use std::time::Instant;

use super::EngineSpeed;

/// Shortest prefill that justifies a notice, in seconds. A datagram takes up to 5 ms to arrive, and
/// the delay that shorter work causes is small beside the objectives of callers (300 ms or more).
const MIN_PREFILL_SECONDS: f64 = 0.015;
/// Notices that a gateway receives in a second, of all other gateways together. Each costs it some
/// microseconds, and it may have no more than 0.09 of a processor core. A fleet of 90 gateways sends
/// 90 to 350 requests a second that are large enough.
pub const MAX_NOTICES_PER_SECOND: f64 = 200.0;
/// Notices that a gateway may send at once after a pause.
const BURST: f64 = 3.0;
/// Factor by which each request above the threshold raises it.
const THRESHOLD_STEP: f64 = 1.25;

/// What becomes of a request that has been sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeDecision {
    /// The other gateways are told.
    Send,
    /// The request is large enough, but others are larger and the budget is for those.
    OverBudget,
    /// The upstream processes the prompt before a notice would help.
    TooSmall,
}

/// Decides which requests are announced: the largest ones, within the budget of this gateway.
#[derive(Clone, Debug)]
pub struct WorkNoticePacer {
    /// Notices that all gateways together may send in a second.
    fleet_rate: f64,
    /// Notices that may be sent now.
    permits: f64,
    /// Prefill time from which requests are announced, in seconds. It rises with each
    /// request above it and falls with time, so that it settles where these match the budget.
    threshold: f64,
    updated: Option<Instant>,
}

impl Default for WorkNoticePacer {
    fn default() -> Self {
        Self::new(MAX_NOTICES_PER_SECOND)
    }
}

impl WorkNoticePacer {
    /// Creates a pacer of a gateway in a fleet that sends up to `fleet_rate` notices a second.
    pub fn new(fleet_rate: f64) -> Self {
        Self { fleet_rate, permits: BURST, threshold: MIN_PREFILL_SECONDS, updated: None }
    }

    /// Returns the prefill time from which requests are announced, in seconds.
    pub fn threshold_seconds(&self) -> f64 {
        self.threshold
    }

    /// Decides about a request with `tokens` prompt tokens to process. `gateways` is the number of
    /// gateways that are heard, including this one.
    pub fn decide(
        &mut self,
        tokens: u32,
        speed: EngineSpeed,
        gateways: usize,
        now: Instant,
    ) -> NoticeDecision {
        let work = f64::from(tokens) * speed.per_token;
        // Also rejects a speed that is not a number.
        let is_large = work >= MIN_PREFILL_SECONDS;
        if !is_large {
            return NoticeDecision::TooSmall;
        }
        self.advance(self.fleet_rate / gateways.max(1) as f64, now);
        if work < self.threshold {
            return NoticeDecision::OverBudget;
        }
        // Also without a permit: otherwise the permits alone would bound the notices, and go to the
        // first requests in place of the largest.
        self.threshold *= THRESHOLD_STEP;
        if self.permits < 1.0 {
            return NoticeDecision::OverBudget;
        }
        self.permits -= 1.0;
        NoticeDecision::Send
    }

    /// Accounts for the time since the last request, in which `rate` notices a second were allowed.
    fn advance(&mut self, rate: f64, now: Instant) {
        let updated = self.updated.replace(now).unwrap_or(now);
        let allowed = rate * now.saturating_duration_since(updated).as_secs_f64();
        self.permits = (self.permits + allowed).min(BURST);
        self.threshold = (self.threshold * THRESHOLD_STEP.powf(-allowed)).max(MIN_PREFILL_SECONDS);
    }
}
