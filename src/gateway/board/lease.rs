//! The lease on the duties as this process sees it.

use std::time::{Duration, Instant};

use crate::control::LeaseClaim;

/// For how long after its end a lease is told of: until another holds it.
const CLAIM_TOLD: Duration = Duration::from_secs(10);

/// A lease that this process holds, or held last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnLease {
    /// Fencing number.
    pub fence: u64,
    /// Number of the renewal that it rests on.
    pub renewal: u64,
    /// When that renewal was sent.
    pub sent: Instant,
    /// Until when this process may act.
    pub until: Instant,
    /// Whether this process has given it up.
    pub given_up: bool,
}

/// The lease on the duties as this process sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseView {
    /// The lease that this process holds, or held last.
    pub own: Option<OwnLease>,
}

impl LeaseView {
    /// Returns the fencing number with which this process may act at `now`.
    pub fn may_act(&self, now: Instant) -> Option<u64> {
        self.own.filter(|own| !own.given_up && now < own.until).map(|own| own.fence)
    }

    /// Stops acting under the lease for good.
    pub fn give_up(&mut self) {
        if let Some(own) = &mut self.own {
            own.given_up = true;
        }
    }

    /// Returns what the others are told.
    pub fn claim(&self, now: Instant) -> Option<LeaseClaim> {
        let own = self.own.filter(|own| now < own.until + CLAIM_TOLD)?;
        Some(LeaseClaim {
            fence: own.fence,
            renewal: own.renewal,
            age_ms: now.saturating_duration_since(own.sent).as_millis() as u64,
            given_up: own.given_up,
        })
    }
}
