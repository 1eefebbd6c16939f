//! Availability of the store, as this process sees it.

use std::time::{Duration, Instant};

/// Time after an outage of the store in which the removal of a row may mean that it lapsed
/// during the outage: such removals show in the first answers.
pub(super) const LAPSE_DETECTION_WINDOW: Duration = Duration::from_millis(700);

/// Whether the store answers this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreState {
    /// It has answered without interruption.
    #[default]
    Up,
    /// It has not answered since this time.
    OutageSince(Instant),
    /// It has answered again since this time.
    RecoveredSince(Instant),
}
