//! Rows of upstreams that were removed while the store may have been away.
//!
//! The upstream has left without a word, or has ended, or lives and its row lapsed because the
//! store could not be reached. One that left gets requests for a second, and only those that no
//! other takes. Rows that lapse go together: their upstreams serve until they have had time to
//! write them again.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{StoreMillis, reading::CALL_SPACING};
use crate::gateway::model::Revision;

/// For how long after the store's return upstreams whose rows lapsed are used: they write
/// them again within two seconds, less the time that a request takes to get there.
const LAPSE_GRACE: Duration = Duration::from_millis(1_900);

/// A removed row of an upstream that may serve on. What gateways know of the same removal
/// merges in any order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    /// Revision of the store at which the row is gone.
    pub revision: Revision,
    /// Moment at which the row was last known to be there, by the store's clock.
    pub last_seen: StoreMillis,
    /// Moment by which the store answered again.
    pub store_back: StoreMillis,
    /// Whether other rows went with it that show that it lapsed.
    pub lapsed: bool,
}

impl Removal {
    /// Takes over what another gateway knows of the same removal; returns whether that
    /// changed anything.
    pub fn merge(&mut self, other: Self) -> bool {
        let merged = Self {
            revision: self.revision.min(other.revision),
            last_seen: self.last_seen.max(other.last_seen),
            store_back: self.store_back.min(other.store_back),
            lapsed: self.lapsed || other.lapsed,
        };
        std::mem::replace(self, merged) != merged
    }

    /// Returns until when the upstream's row may come back. It counts from the first moment
    /// at which the store can have been back, which is before anybody saw it.
    pub fn expected_until(self) -> StoreMillis {
        let unseen = CALL_SPACING.as_millis() as StoreMillis;
        let back = self.last_seen.max(self.store_back.saturating_sub(unseen));
        back + LAPSE_GRACE.as_millis() as StoreMillis
    }
}

/// How many rows there are, and how many of them are missing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RowCount {
    /// Upstreams that are known.
    pub known: usize,
    /// Those among them whose rows are missing.
    pub missing: usize,
}

impl RowCount {
    /// Counts one more upstream.
    pub fn add(&mut self, is_missing: bool) {
        self.known += 1;
        self.missing += usize::from(is_missing);
    }
}

/// Returns whether missing rows of a service have lapsed. A store that loses rows loses
/// most of them, while upstreams that leave leave others behind.
pub fn have_lapsed(of_service: RowCount, of_all: RowCount) -> bool {
    2 * of_all.missing > of_all.known || of_service.missing == of_service.known
}
