//! Turns of the gateways at trying quarantined requests.
//!
//! One process in the whole fleet may run trials at a time, so that a culprit crashes one upstream
//! per trial. The holder of the lease grants the turn to one gateway after the other: if only the
//! holder ran trials, a caller that keeps its connection to another gateway would be refused for as
//! long as it does.

use std::time::{Duration, Instant};

/// Time for which a process may run trials once it learns that it is its turn.
const TURN_LENGTH: Duration = Duration::from_secs(2);
/// Time between two grants: longer than a turn and the delay of its message, so that two turns
/// never overlap. Each gateway of nine gets its turn every half a minute on average.
const GRANT_INTERVAL: Duration = Duration::from_secs(3);

/// Turns that one process grants and receives.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrialTurn {
    until: Option<Instant>,
    last_grant: Option<Instant>,
}

impl TrialTurn {
    /// Returns whether this process has to grant the next turn now. `is_granter` says whether it
    /// holds the lease; a new holder first waits until any turn that its predecessor granted is
    /// over.
    pub fn is_grant_due(&mut self, is_granter: bool, now: Instant) -> bool {
        if !is_granter {
            self.last_grant = None;
            return false;
        }
        let last_grant = *self.last_grant.get_or_insert(now);
        let due = now.saturating_duration_since(last_grant) >= GRANT_INTERVAL;
        if due {
            self.last_grant = Some(now);
        }
        due
    }

    /// Starts a turn of this process.
    pub fn start(&mut self, now: Instant) {
        self.until = Some(now + TURN_LENGTH);
    }

    /// Returns whether this process has its turn.
    pub fn may_try(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
