//! When to order engines, given how many are wished for: more at once, fewer
//! only after a while.

use std::time::{Duration, Instant};

/// How long a smaller number must suffice before engines are given up: engines
/// that have just started fail at times. The need itself is that of the last
/// seconds, so that waves of load give up none.
const HOLD_BEFORE_FEWER: Duration = Duration::from_secs(1);
/// Pause after an order that was refused or got no answer.
const PAUSE_AFTER_REFUSAL: Duration = Duration::from_millis(1_800);
/// Time for which a refusal tells that the platform has none to give. As long as
/// more are wished for, an order is tried every two seconds and tells anew.
const REFUSAL_TELLS: Duration = Duration::from_secs(4);
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
    /// Whether the load is known well enough to give up engines.
    pub load_known: bool,
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

/// What became of the last order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderState {
    /// It was accepted, or none was given.
    Accepted,
    /// The platform has none to give.
    Refused,
    /// No answer came, or a failure: it may be carried out or not.
    Unknown,
}

/// Orders of one kind of engine in one data centre.
#[derive(Clone, Copy, Debug)]
pub struct OrderPace {
    count: u32,
    at: Instant,
    state: OrderState,
    busy: bool,
    /// Engines that served when it was last looked at.
    served: u32,
    /// Whether engines have gone since the last order that it did not give up.
    lost: bool,
    fewer: Option<Fewer>,
}

impl OrderPace {
    /// Begins with the engines that serve.
    pub fn new(serving: u32, now: Instant) -> Self {
        Self {
            count: serving,
            at: now,
            state: OrderState::Accepted,
            busy: false,
            served: serving,
            lost: false,
            fewer: None,
        }
    }

    /// Goes on from the last order of an earlier holder of the lease, given at `at`:
    /// what it ordered may still start, and what was refused is not to be had yet.
    pub fn resumed(count: u32, refused: bool, at: Instant) -> Self {
        let state = if refused { OrderState::Refused } else { OrderState::Accepted };
        Self { state, ..Self::new(count, at) }
    }

    /// Returns when the last order was given.
    pub fn at(&self) -> Instant {
        self.at
    }

    /// Returns how many were ordered last and accepted.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns whether the platform has said of late that it has none to give.
    pub fn is_refused(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.at);
        self.state == OrderState::Refused && (self.busy || age < REFUSAL_TELLS)
    }

    /// Returns whether engines that were ordered may still start.
    pub fn may_start(&self, boot: Duration, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.at);
        let waits = self.busy || (!self.lost && age < boot + BOOT_SLACK);
        self.state != OrderState::Refused && waits
    }

    /// Returns how many engines beyond those that serve may still start.
    pub fn starting(&self, serving: u32, boot: Duration, now: Instant) -> u32 {
        if self.may_start(boot, now) { self.count.saturating_sub(serving) } else { 0 }
    }

    /// Returns how many engines to order now; `None` for no order.
    pub fn next(&mut self, input: &PaceInput, now: Instant) -> Option<u32> {
        let age = now.saturating_duration_since(self.at);
        self.look(input.serving);
        let accepted = self.state == OrderState::Accepted;
        if self.busy || (!accepted && age < PAUSE_AFTER_REFUSAL) {
            return None;
        }
        let PaceInput { wished, serving, .. } = *input;
        if wished > serving && (wished > self.count || !accepted) {
            self.fewer = None;
            return Some(wished);
        }
        // Engines of an earlier holder's order may show up late.
        if wished < self.count.max(serving) {
            return self.fewer(input, now);
        }
        self.fewer = None;
        // The platform took engines back, or they do not start.
        let gone = self.lost || age >= input.boot + BOOT_SLACK;
        (serving < wished && gone).then_some(wished)
    }

    /// Notices that engines have gone which were not given up: those that were
    /// ordered before will not start in their place.
    fn look(&mut self, serving: u32) {
        self.lost |= serving < self.served && serving < self.count;
        self.served = serving;
    }

    fn fewer(&mut self, input: &PaceInput, now: Instant) -> Option<u32> {
        // Once given up, they may not be had again.
        let not_to_be_had = input.dry && input.reclaimable && !input.idle;
        if !input.load_known || not_to_be_had {
            self.fewer = None;
            return None;
        }
        if input.idle {
            return Some(input.wished);
        }
        let fewer = self.fewer.get_or_insert(Fewer { since: now, most: 0 });
        fewer.most = fewer.most.max(input.wished);
        let held = now.saturating_duration_since(fewer.since);
        (held >= HOLD_BEFORE_FEWER).then_some(fewer.most)
    }

    /// Notes that an order was sent.
    pub fn sent(&mut self, now: Instant) {
        self.busy = true;
        self.lost = false;
        self.at = now;
    }

    /// Notes what became of an order of `count`.
    pub fn answered(&mut self, count: u32, state: OrderState) {
        self.busy = false;
        self.state = state;
        if state == OrderState::Accepted {
            self.count = count;
            self.fewer = None;
        }
    }
}
