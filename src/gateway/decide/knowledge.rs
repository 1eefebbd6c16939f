//! How up to date the local copy of the store's tables is, by the store's own clock.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::gateway::model::Revision;

/// Age at which knowledge counts as old: by then the readers, and the gateways that take over
/// from them, have had time for several calls each, and none was answered.
pub const KNOWLEDGE_OLD_AFTER: Duration = Duration::from_millis(1_500);

/// A moment by the store's steady clock, in milliseconds.
pub type StoreMillis = u64;

/// How far a table of the store is known. Merging only ever moves it forward, whichever source
/// it is merged from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncPoint {
    /// Revision up to which all changes are known.
    pub position: Revision,
    /// Latest moment at which the store is known to have had no later change.
    pub as_of: StoreMillis,
}

impl SyncPoint {
    /// Merges `other`, keeping the newer value of each field.
    pub fn advance(&mut self, other: Self) {
        self.position = self.position.max(other.position);
        self.as_of = self.as_of.max(other.as_of);
    }
}

/// Estimate of the store's clock, from the store's answers and from the estimates that other
/// gateways send. A reading is older on arrival than when it was taken, so the estimate never
/// runs ahead of the store, and the largest estimate is the best one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreClock {
    best_reading: Option<(StoreMillis, Instant)>,
}

impl StoreClock {
    /// Takes a reading that arrived at `at`; ignored unless it is ahead of the estimate.
    pub fn note(&mut self, reading: StoreMillis, at: Instant) {
        if self.now(at).is_none_or(|known| reading > known) {
            self.best_reading = Some((reading, at));
        }
    }

    /// Returns the estimated time of the store's clock at `at`; `None` before the first reading.
    pub fn now(&self, at: Instant) -> Option<StoreMillis> {
        let (reading, since) = self.best_reading?;
        Some(reading + at.saturating_duration_since(since).as_millis() as u64)
    }

    /// Returns the age at `at` of a state that the store had at `as_of`; `None` before the first
    /// reading.
    pub fn age(&self, as_of: StoreMillis, at: Instant) -> Option<Duration> {
        self.now(at).map(|now| Duration::from_millis(now.saturating_sub(as_of)))
    }
}
