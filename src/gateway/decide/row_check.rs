//! Which gateways check the health of upstreams whose rows lapsed in an outage of the store.
//!
//! A living upstream may take longer to write its row again than a lost one may be used, and only
//! the upstream itself can tell the difference. A few gateways check each upstream and report the
//! result, so that an upstream gets the same number of checks whatever the number of gateways.

use std::time::Duration;

use super::ShareHolder;
use crate::{gateway::model::Lifetime, prefix};

/// Gateways that check each upstream: one of them may be gone, or cut off from it.
const CHECKERS_PER_UPSTREAM: usize = 2;

/// Delay before a gateway checks an upstream again whose last check had no clear result.
pub const CHECK_RETRY_DELAY: Duration = Duration::from_millis(300);

/// What a health check shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckResult {
    /// The upstream answered that it is healthy and not leaving.
    Passed,
    /// No upstream listens at the address, or another one does.
    Ended,
    /// Anything else, such as no answer in time. The upstream may be leaving, overloaded or out
    /// of reach.
    Unclear,
}

impl CheckResult {
    /// Returns the name of the result in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Passed => "passed",
            Self::Ended => "ended",
            Self::Unclear => "unclear",
        }
    }
}

/// The upstreams that one gateway checks: gateways and upstreams are placed on a ring by hash, and
/// an upstream is checked by the first gateways after it. Gateways that know of different others
/// still agree about most upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckRange {
    /// Position of this gateway.
    own: u64,
    /// Length of the range that ends at `own`.
    length: u64,
}

impl CheckRange {
    /// Creates the range of the gateway `own` beside `others`, which may include `own`.
    pub fn new(own: ShareHolder, others: impl Iterator<Item = ShareHolder>) -> Self {
        let own = prefix::mix(own.seed());
        let distance = |other: ShareHolder| own.wrapping_sub(prefix::mix(other.seed()));
        let mut before: Vec<u64> = others.map(distance).filter(|d| *d > 0).collect();
        before.sort_unstable();
        before.dedup();
        let length = before.get(CHECKERS_PER_UPSTREAM - 1).copied().unwrap_or(u64::MAX);
        Self { own, length }
    }

    /// Returns whether this gateway checks an upstream.
    pub fn contains(self, upstream: Lifetime) -> bool {
        self.own.wrapping_sub(prefix::mix(upstream.seed())) < self.length
    }
}
