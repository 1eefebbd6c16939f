//! How new the knowledge of the store's tables is, by the store's own clock.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::gateway::model::Revision;

/// Age at which knowledge counts as old: readers, and others in their place, have had time
/// for several calls each, and none was answered.
pub const OLD: Duration = Duration::from_millis(1_500);

/// A moment by the store's steady clock, in milliseconds.
pub type StoreMillis = u64;

/// Up to where a table of the store is known. It only grows, whoever tells it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Knowledge {
    /// Revision up to which all changes are known.
    pub position: Revision,
    /// Moment up to which the store had no others.
    pub as_of: StoreMillis,
}

impl Knowledge {
    /// Takes over what is newer in `other`.
    pub fn advance(&mut self, other: Self) {
        self.position = self.position.max(other.position);
        self.as_of = self.as_of.max(other.as_of);
    }
}

/// The store's clock as a process knows it: from answers, and from what other gateways
/// say that it shows. A reading is older when it arrives than when it was taken, so what
/// is believed is never ahead of the store, and the largest belief is the best one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreClock {
    newest: Option<(StoreMillis, Instant)>,
}

impl StoreClock {
    /// Takes over a reading that arrived at `at`.
    pub fn note(&mut self, reading: StoreMillis, at: Instant) {
        if self.now(at).is_none_or(|known| reading > known) {
            self.newest = Some((reading, at));
        }
    }

    /// Returns what the store's clock shows at `at`; `None` if nobody has told yet.
    pub fn now(&self, at: Instant) -> Option<StoreMillis> {
        let (reading, since) = self.newest?;
        Some(reading + at.saturating_duration_since(since).as_millis() as u64)
    }

    /// Returns how old a state of the store is.
    pub fn age(&self, as_of: StoreMillis, at: Instant) -> Option<Duration> {
        self.now(at).map(|now| Duration::from_millis(now.saturating_sub(as_of)))
    }
}
