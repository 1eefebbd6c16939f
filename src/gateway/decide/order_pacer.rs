//! Timing of engine orders: increases are ordered at once, and reductions only after a delay.

use std::time::{Duration, Instant};

/// Time for which a smaller number must suffice before engines are given up: engines that have
/// just started sometimes fail. The requirement itself is the peak of the last seconds, so
/// fluctuations of the load do not cause reductions.
const REDUCTION_DELAY: Duration = Duration::from_secs(1);
/// Delay after an order that was refused or not answered, before the next one.
const RETRY_DELAY: Duration = Duration::from_millis(1_800);
/// Time for which a refusal shows that the platform has no engines to give. While more engines
/// are desired, an order is sent every two seconds and renews the information.
const REFUSAL_VALIDITY: Duration = Duration::from_secs(4);
/// Time beyond the start time of an engine after which engines that do not serve are ordered
/// again.
const BOOT_GRACE: Duration = Duration::from_secs(3);

/// Current state of one kind of engine in one data centre.
#[derive(Clone, Copy, Debug)]
pub struct OrderPacerInput {
    /// Number of engines to have.
    pub target_count: u32,
    /// Number of engines that serve.
    pub serving: u32,
    /// Whether the engines are reclaimable.
    pub reclaimable: bool,
    /// Whether the platform has no reclaimable engines to give.
    pub reclaimable_unavailable: bool,
    /// Whether the service has no load; engines are then given up without delay.
    pub idle: bool,
    /// Whether the load is known well enough to give up engines.
    pub load_known: bool,
    /// Time that an engine takes to start.
    pub boot: Duration,
}

/// A reduction that has not been ordered yet.
#[derive(Clone, Copy, Debug)]
struct PendingReduction {
    since: Instant,
    /// Largest desired number since then.
    max_desired: u32,
}

/// Result of the last order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderState {
    /// The order was accepted, or none has been sent.
    Accepted,
    /// The platform has no engines to give.
    Refused,
    /// The order failed or was not answered; it may or may not be carried out.
    Unknown,
}

/// Orders of one kind of engine in one data centre.
#[derive(Clone, Copy, Debug)]
pub struct OrderPacer {
    count: u32,
    ordered_at: Instant,
    state: OrderState,
    in_flight: bool,
    /// Number of serving engines when last observed.
    last_serving: u32,
    /// Whether engines have gone since the last order that no order gave up.
    lost_engines: bool,
    pending_reduction: Option<PendingReduction>,
}

impl OrderPacer {
    /// Starts with the engines that serve.
    pub fn new(serving: u32, now: Instant) -> Self {
        Self {
            count: serving,
            ordered_at: now,
            state: OrderState::Accepted,
            in_flight: false,
            last_serving: serving,
            lost_engines: false,
            pending_reduction: None,
        }
    }

    /// Continues from the last order of the previous holder of the lease, sent at `at`:
    /// accepted engines may still start, and refused ones are not available yet.
    pub fn resumed(count: u32, refused: bool, at: Instant) -> Self {
        let state = if refused { OrderState::Refused } else { OrderState::Accepted };
        Self { state, ..Self::new(count, at) }
    }

    /// Returns when the last order was sent.
    pub fn ordered_at(&self) -> Instant {
        self.ordered_at
    }

    /// Returns the number of engines in the last accepted order.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns whether the platform has recently refused an order because it had no engines to
    /// give.
    pub fn is_refused(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.ordered_at);
        self.state == OrderState::Refused && (self.in_flight || age < REFUSAL_VALIDITY)
    }

    /// Returns whether engines that were ordered may still start.
    pub fn may_start(&self, boot: Duration, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.ordered_at);
        let awaited = self.in_flight || (!self.lost_engines && age < boot + BOOT_GRACE);
        self.state != OrderState::Refused && awaited
    }

    /// Returns how many engines beyond those that serve may still start.
    pub fn starting(&self, serving: u32, boot: Duration, now: Instant) -> u32 {
        if self.may_start(boot, now) { self.count.saturating_sub(serving) } else { 0 }
    }

    /// Returns the number of engines to order now; `None` if no order is due.
    pub fn next_order(&mut self, input: &OrderPacerInput, now: Instant) -> Option<u32> {
        let age = now.saturating_duration_since(self.ordered_at);
        self.observe_serving(input.serving);
        let accepted = self.state == OrderState::Accepted;
        if self.in_flight || (!accepted && age < RETRY_DELAY) {
            return None;
        }
        let OrderPacerInput { target_count: desired, serving, .. } = *input;
        if desired > serving && (desired > self.count || !accepted) {
            self.pending_reduction = None;
            return Some(desired);
        }
        // Engines that the previous holder ordered may show up late.
        if desired < self.count.max(serving) {
            return self.reduce(input, now);
        }
        self.pending_reduction = None;
        // The platform has reclaimed engines, or ordered ones do not start.
        let missing = self.lost_engines || age >= input.boot + BOOT_GRACE;
        (serving < desired && missing).then_some(desired)
    }

    /// Detects that engines have gone which were not given up. Engines of the last order will
    /// not start in their place.
    fn observe_serving(&mut self, serving: u32) {
        self.lost_engines |= serving < self.last_serving && serving < self.count;
        self.last_serving = serving;
    }

    fn reduce(&mut self, input: &OrderPacerInput, now: Instant) -> Option<u32> {
        // The platform may have no others to give after these are given up.
        let irreplaceable = input.reclaimable_unavailable && input.reclaimable && !input.idle;
        if !input.load_known || irreplaceable {
            self.pending_reduction = None;
            return None;
        }
        if input.idle {
            return Some(input.target_count);
        }
        let reduction =
            self.pending_reduction.get_or_insert(PendingReduction { since: now, max_desired: 0 });
        reduction.max_desired = reduction.max_desired.max(input.target_count);
        let held = now.saturating_duration_since(reduction.since);
        (held >= REDUCTION_DELAY).then_some(reduction.max_desired)
    }

    /// Records that an order was sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.in_flight = true;
        self.lost_engines = false;
        self.ordered_at = now;
    }

    /// Records the result of an order of `count` engines.
    pub fn record_result(&mut self, count: u32, state: OrderState) {
        self.in_flight = false;
        self.state = state;
        if state == OrderState::Accepted {
            self.count = count;
            self.pending_reduction = None;
        }
    }
}
