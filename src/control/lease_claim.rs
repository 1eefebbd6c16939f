//! What the holder of a lease tells the others of it.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Longest time that a call of the holder may take to arrive after it was sent:
/// a holder that gives its lease up sends nothing from then on.
const ON_THE_WAY: Duration = Duration::from_millis(300);

/// What the holder of a lease tells the others of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseClaim {
    /// Fencing number.
    pub fence: u64,
    /// Number of the renewal that it rests on.
    pub renewal: u64,
    /// Milliseconds since that renewal was sent.
    pub age_ms: u64,
    /// Whether the sender acts under it no more and never will again.
    pub given_up: bool,
}

/// A claim as heard from another process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeardClaim {
    /// Process that made it.
    pub holder: String,
    /// The claim.
    pub claim: LeaseClaim,
    /// When it came.
    pub at: Instant,
}

impl HeardClaim {
    /// Returns when the lease surely ends, if it rests on no later renewal.
    /// The claim was made before it was heard, so its age then was less.
    pub fn ends(&self, ttl: Duration) -> Instant {
        if self.claim.given_up {
            return self.at + ON_THE_WAY;
        }
        self.at + ttl.saturating_sub(Duration::from_millis(self.claim.age_ms))
    }
}
