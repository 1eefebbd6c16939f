//! The lease on the singleton duties, as this process sees it.

use std::time::{Duration, Instant};

use crate::control::LeaseClaim;

/// Time after a lease's expiry during which its claim is still sent to other gateways, so that
/// they know of it until another process holds the lease.
const CLAIM_RETENTION: Duration = Duration::from_secs(10);

/// The lease that this process holds, or held last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnLease {
    /// Fencing token.
    pub fence: u64,
    /// Number of the renewal on which the lease rests.
    pub renewal: u64,
    /// When that renewal was sent.
    pub sent: Instant,
    /// Until when this process may act under the lease.
    pub until: Instant,
    /// Whether this process has given up the lease before its expiry.
    pub given_up: bool,
}

/// The lease on the singleton duties, as this process sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseView {
    /// The lease that this process holds, or held last; `None` if it never held it.
    pub own: Option<OwnLease>,
}

impl LeaseView {
    /// Returns the fencing token with which this process may act at `now`; `None` if it may not.
    pub fn may_act(&self, now: Instant) -> Option<u64> {
        self.own.filter(|own| !own.given_up && now < own.until).map(|own| own.fence)
    }

    /// Stops acting under the lease; only a new lease allows that again.
    pub fn give_up(&mut self) {
        if let Some(own) = &mut self.own {
            own.given_up = true;
        }
    }

    /// Returns the claim to be sent to other gateways; `None` once the lease is long expired.
    pub fn claim(&self, now: Instant) -> Option<LeaseClaim> {
        let own = self.own.filter(|own| now < own.until + CLAIM_RETENTION)?;
        Some(LeaseClaim {
            fence: own.fence,
            renewal: own.renewal,
            age_ms: now.saturating_duration_since(own.sent).as_millis() as u64,
            given_up: own.given_up,
        })
    }
}
