//! What this process knows of the store's state.

use std::time::{Duration, Instant};

/// Time after the store's return in which a row that disappears may have
/// lapsed while it was away: such rows show with the first answers.
pub(super) const LAPSE_SEEN: Duration = Duration::from_millis(700);

/// Whether the store answers this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreState {
    /// It has answered all along.
    #[default]
    Up,
    /// It has not answered since then.
    Away(Instant),
    /// It answers again since then.
    Returned(Instant),
}
