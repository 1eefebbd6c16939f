//! Which processes read the platform's store for all.

/// Processes that read the store and tell the others. Each call is paid for;
/// three leave one when two are cut off.
pub const WATCHERS: usize = 3;

/// A process that might read the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Reader<'a> {
    /// Whether the store does not answer it, as far as it knows.
    pub turned_away: bool,
    /// The process.
    pub process: &'a str,
}

/// Returns whether `own` is among the few that read the store, of all that serve as
/// far as is heard: those that the store answers go first, each in the order of ids.
///
/// A process that the store turns away leaves it to the others. Where each goes on with
/// its two calls each 300 ms, 65 of 195 that are turned away for nine seconds make 3,900,
/// more than in a whole day else; so the same outage takes 30 at most
/// (`tests/gateway_watchers.rs`). While the store answers nobody, the first few go on.
pub fn reads_store<'a>(own: Reader<'a>, others: impl Iterator<Item = Reader<'a>>) -> bool {
    others.filter(|other| *other < own).count() < WATCHERS
}
