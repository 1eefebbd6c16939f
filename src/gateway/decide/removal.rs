//! Rows of upstreams that were removed while the store may have been unreachable.
//!
//! Such an upstream has left without an announcement, has ended, or is still alive and its row
//! lapsed because it could not reach the store. One that left gets requests for one more second,
//! and only those that no other upstream takes. Rows that lapse do so together: their upstreams
//! are used until they have had time to write their rows again, and for longer if they answer
//! health checks (see `row_check`).

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{StoreMillis, reading::CALL_SPACING};
use crate::gateway::model::Revision;

/// Grace period after the store's return in which upstreams with lapsed rows are used. They write
/// their rows again within two seconds; the time that a request takes to reach them is subtracted.
const LAPSE_GRACE: Duration = Duration::from_millis(1_900);
/// Time for which an upstream that answered a health check is used. It may leave right after its
/// answer, and then must get no requests two seconds later. With a shorter time, the next answer
/// would not reach all gateways before this one expires.
const CHECK_VALIDITY: Duration = Duration::from_millis(1_500);
/// Longest time after the store's return in which an upstream with a lapsed row is used, whatever
/// it answers: the two seconds in which rows are written again, the uncertainty about the moment
/// of the return, and the time in which news of a row reaches all gateways.
const MAX_LAPSE_GRACE: Duration = Duration::from_millis(3_500);
/// How long before its use ends an upstream with a lapsed row is checked: its answer has to reach
/// all gateways by then.
const CHECK_LEAD: Duration = Duration::from_millis(900);

/// The removal of a row whose upstream may still be alive. What gateways know of the same removal
/// can be merged in any order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    /// Revision of the store at which the row is gone.
    pub revision: Revision,
    /// Latest moment at which the row is known to have existed, by the store's clock.
    pub last_seen: StoreMillis,
    /// Earliest moment at which the store is known to have answered again, by its own clock.
    pub store_back: StoreMillis,
    /// Whether the rows that went missing with it show that it lapsed.
    pub lapsed: bool,
    /// Latest moment at which the upstream is known to have passed a health check since the
    /// removal, by the store's clock; 0 if it has passed none.
    pub passed_check: StoreMillis,
    /// Whether the store lost the row: it returned from a copy that is older than the row.
    pub lost: bool,
}

impl Removal {
    /// Merges what another gateway knows of the same removal; returns whether that changed
    /// anything.
    pub fn merge(&mut self, other: Self) -> bool {
        let merged = Self {
            revision: self.revision.min(other.revision),
            last_seen: self.last_seen.max(other.last_seen),
            store_back: self.store_back.min(other.store_back),
            lapsed: self.lapsed || other.lapsed,
            passed_check: self.passed_check.max(other.passed_check),
            lost: self.lost || other.lost,
        };
        std::mem::replace(self, merged) != merged
    }

    /// Returns until when the upstream is used, by the store's clock.
    pub fn grace_period_end(self) -> StoreMillis {
        let unchecked = self.earliest_return() + millis(LAPSE_GRACE);
        let checked = match self.passed_check {
            0 => 0,
            passed => (passed + millis(CHECK_VALIDITY)).min(self.latest_grace_period_end()),
        };
        unchecked.max(checked)
    }

    /// Returns whether the upstream is to be checked: its row lapsed, its use is about to end, and
    /// a health check that it passes prolongs that.
    pub fn needs_check(self, now: StoreMillis) -> bool {
        let end = self.grace_period_end();
        self.lapsed && now + millis(CHECK_LEAD) >= end && end < self.latest_grace_period_end()
    }

    /// Returns the earliest moment at which the store can have returned, which may be up to one
    /// call interval before any gateway saw it.
    fn earliest_return(self) -> StoreMillis {
        self.last_seen.max(self.store_back.saturating_sub(millis(CALL_SPACING)))
    }

    fn latest_grace_period_end(self) -> StoreMillis {
        self.earliest_return() + millis(MAX_LAPSE_GRACE)
    }
}

fn millis(time: Duration) -> StoreMillis {
    time.as_millis() as StoreMillis
}

/// Number of upstreams, and of missing rows among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RowCount {
    /// Upstreams that are known, including those whose rows are missing.
    pub known: usize,
    /// Known upstreams whose rows are missing.
    pub missing: usize,
}

impl RowCount {
    /// Counts one more known upstream.
    pub fn add(&mut self, is_missing: bool) {
        self.known += 1;
        self.missing += usize::from(is_missing);
    }
}

/// Returns whether the missing rows of a service have lapsed: more than half of all rows are
/// missing, or all rows of the service. A store that loses rows loses most of them, while
/// upstreams that leave do so a few at a time.
pub fn rows_lapsed(of_service: RowCount, of_all: RowCount) -> bool {
    2 * of_all.missing > of_all.known || of_service.missing == of_service.known
}
