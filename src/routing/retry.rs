//! Whether a failed attempt is made again.

use std::time::Duration;

/// Attempts of one request at most, the first included.
const MAX_ATTEMPTS: u32 = 6;
/// Tokens that the budget starts with and holds at most.
const BUDGET_CAPACITY: f64 = 20.0;
/// Part of a token that each success adds: one retry for ten successes.
const BUDGET_PER_SUCCESS: f64 = 0.1;
/// First pause before another attempt.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause before another attempt.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// How an attempt ended, as far as this side can know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte of the request reached the upstream.
    NotSent,
    /// The upstream refused the request before running it.
    RefusedByUpstream,
    /// The upstream may have run some of it.
    Broken,
    /// The upstream announced that it goes.
    Leaving,
}

/// A budget of retries, filled by successes, so that retries cannot multiply
/// an overload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: BUDGET_CAPACITY }
    }
}

impl RetryBudget {
    /// Counts a success.
    pub fn success(&mut self) {
        self.tokens = (self.tokens + BUDGET_PER_SUCCESS).min(BUDGET_CAPACITY);
    }

    /// Takes a retry from the budget; `false` where it is used up.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// What the decision rests on.
#[derive(Clone, Copy, Debug)]
pub struct RetryInput {
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Whether the request may run twice.
    pub repeatable: bool,
    /// Attempts made.
    pub attempts: u32,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Whether the request was accepted: parts of the answer went out, or the
    /// system promised to finish it.
    pub accepted: bool,
}

/// The decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after a pause.
    Again(Duration),
    /// Give up: it truly did not run.
    NotRun,
    /// Give up: it may have run.
    Unknown,
}

/// Decides what follows a failed attempt.
///
/// A move away from a leaving upstream, and a request that was accepted, do
/// not draw on the budget: accepted work finishes.
pub fn decide_retry(input: &RetryInput, budget: &mut RetryBudget) -> RetryDecision {
    let may_have_run = matches!(input.end, AttemptEnd::Broken | AttemptEnd::Leaving);
    let give_up = if may_have_run { RetryDecision::Unknown } else { RetryDecision::NotRun };
    if may_have_run && !input.repeatable {
        return give_up;
    }
    let pause = pause_after(input.attempts);
    if input.time_left <= pause {
        return give_up;
    }
    if input.accepted || input.end == AttemptEnd::Leaving {
        return RetryDecision::Again(pause);
    }
    if input.attempts >= MAX_ATTEMPTS || !budget.take() {
        return give_up;
    }
    RetryDecision::Again(pause)
}

/// Returns the pause after a number of attempts, doubled each time.
pub fn pause_after(attempts: u32) -> Duration {
    let factor = 1 << attempts.saturating_sub(1).min(10);
    (FIRST_PAUSE * factor).min(MAX_PAUSE)
}
