//! When to order engines, given how many are wished for: more at once, fewer
//! only after a while.

use std::time::{Duration, Instant};

/// How long a smaller number must suffice before engines are given up: engines
/// that have just started fail at times. The need itself is that of the last
/// seconds, so that waves of load give up none.
const HOLD_BEFORE_FEWER: Duration = Duration::from_secs(1);
/// Pause after an order that was refused.
const PAUSE_AFTER_REFUSAL: Duration = Duration::from_millis(1_800);
/// Time beyond the start of an engine after which those that do not serve are
/// ordered anew.
const BOOT_SLACK: Duration = Duration::from_secs(3);

/// What is wished for now of one kind of engine in one data centre.
#[derive(Clone, Copy, Debug)]
pub struct PaceInput {
    /// Engines wished for.
    pub wished: u32,
    /// Engines that serve.
    pub serving: u32,
    /// Whether they are reclaimable.
    pub reclaimable: bool,
    /// Whether the platform has no reclaimable engines to give.
    pub dry: bool,
    /// Whether the service has no load: engines are then given up at once.
    pub idle: bool,
    /// Time that an engine takes to start.
    pub boot: Duration,
}

/// Wishes for fewer engines.
#[derive(Clone, Copy, Debug)]
struct Fewer {
    since: Instant,
    /// Largest wish since then.
    most: u32,
}

/// Orders of one kind of engine in one data centre.
#[derive(Clone, Copy, Debug)]
pub struct OrderPace {
    count: u32,
    at: Instant,
    refused: bool,
    busy: bool,
    fewer: Option<Fewer>,
}

impl OrderPace {
    /// Begins with the engines that serve.
    pub fn new(serving: u32, now: Instant) -> Self {
        Self { count: serving, at: now, refused: false, busy: false, fewer: None }
    }

    /// Returns whether the last order was refused.
    pub fn is_refused(&self) -> bool {
        self.refused
    }

    /// Returns how many engines to order now; `None` for no order.
    pub fn next(&mut self, input: &PaceInput, now: Instant) -> Option<u32> {
        let age = now.saturating_duration_since(self.at);
        if self.busy || (self.refused && age < PAUSE_AFTER_REFUSAL) {
            return None;
        }
        let PaceInput { wished, serving, .. } = *input;
        if wished > self.count || self.refused {
            self.fewer = None;
            return (wished > serving).then_some(wished);
        }
        // Engines of an earlier holder's order may show up late.
        if wished < self.count.max(serving) {
            return self.fewer(input, now);
        }
        self.fewer = None;
        // The platform took engines back, or they do not start.
        (serving < wished && age >= input.boot + BOOT_SLACK).then_some(wished)
    }

    fn fewer(&mut self, input: &PaceInput, now: Instant) -> Option<u32> {
        if input.idle {
            return Some(input.wished);
        }
        if input.dry && input.reclaimable {
            // Once given up, they are not to be had again.
            self.fewer = None;
            return None;
        }
        let fewer = self.fewer.get_or_insert(Fewer { since: now, most: 0 });
        fewer.most = fewer.most.max(input.wished);
        let held = now.saturating_duration_since(fewer.since);
        (held >= HOLD_BEFORE_FEWER).then_some(fewer.most)
    }

    /// Notes that an order was sent.
    pub fn sent(&mut self, now: Instant) {
        self.busy = true;
        self.at = now;
    }

    /// Notes that an order of `count` was accepted or refused.
    pub fn answered(&mut self, count: u32, accepted: bool) {
        self.busy = false;
        self.refused = !accepted;
        if accepted {
            self.count = count;
            self.fewer = None;
        }
    }
}
