//! Health checks that the simulated gateways send to upstreams with lapsed rows.

use std::{collections::HashMap, time::Instant};

use tackhollow::gateway::{
    decide::{CHECK_RETRY_DELAY, CheckRange, CheckResult, ShareHolder},
    model::Lifetime,
};

use super::STEP_MS;
use crate::support::directory::DirectoryHarness;

/// Longest time that an upstream takes to answer, in milliseconds.
const MAX_ANSWER_MS: u64 = 60;
/// One in this many checks has no clear result.
const UNCLEAR_ONE_IN: u32 = 50;

/// A check that has not been answered.
struct OpenCheck {
    /// When the answer arrives, in milliseconds.
    answered: u64,
    gateway: usize,
    upstream: String,
    lifetime: Lifetime,
}

/// The checks of all gateways.
pub struct HealthChecks {
    /// Upstreams that each gateway checks.
    ranges: Vec<CheckRange>,
    /// When each gateway last checked each upstream, in milliseconds.
    last_sent: HashMap<(usize, Lifetime), u64>,
    open: Vec<OpenCheck>,
    rng: fastrand::Rng,
}

impl HealthChecks {
    /// Creates gateways that all know of each other.
    pub fn new(gateways: usize, rng: fastrand::Rng) -> Self {
        let holder = |i| ShareHolder::new(&format!("gateway-{i:03}"));
        let all = || (0..gateways).map(holder);
        let ranges = all().map(|own| CheckRange::new(own, all())).collect();
        Self { ranges, last_sent: HashMap::new(), open: Vec::new(), rng }
    }

    /// Sends the checks that are due at `now` milliseconds, which is `instant`.
    pub fn send(&mut self, gateways: &[DirectoryHarness], now: u64, instant: Instant) {
        let retry = CHECK_RETRY_DELAY.as_millis() as u64;
        for (i, range) in self.ranges.iter().enumerate() {
            let board = gateways[i].gateway.board.borrow();
            for upstream in board.upstreams_to_check(*range, instant) {
                let lifetime = board.upstreams[&upstream].lifetime;
                let last = self.last_sent.get(&(i, lifetime));
                if last.is_some_and(|at| now - at < retry) {
                    continue;
                }
                self.last_sent.insert((i, lifetime), now);
                let answered = now + self.rng.u64(STEP_MS..MAX_ANSWER_MS);
                self.open.push(OpenCheck { answered, gateway: i, upstream, lifetime });
            }
        }
    }

    /// Delivers the answers that have arrived; `health` returns what an upstream answers.
    pub fn deliver(
        &mut self,
        gateways: &mut [DirectoryHarness],
        now: u64,
        health: impl Fn(&str) -> CheckResult,
    ) {
        for check in self.open.extract_if(.., |c| c.answered <= now).collect::<Vec<_>>() {
            let result = match self.rng.u32(..UNCLEAR_ONE_IN) {
                0 => CheckResult::Unclear,
                _ => health(&check.upstream),
            };
            gateways[check.gateway].check_row(&check.upstream, check.lifetime, result);
        }
    }
}
