//! Intervals of the protocol.

use std::time::Duration;

/// Intervals of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between heartbeats.
    pub period: Duration,
    /// From a heartbeat to asking others to try.
    pub ack_within: Duration,
    /// From suspicion to death, without the time that news takes.
    pub suspect_for: Duration,
    /// For how long a dead member is remembered.
    pub forget_after: Duration,
    /// Between fetches of a whole view at least.
    pub sync_every: Duration,
    /// Between summaries of one delegate to other data centres, for each of
    /// them: the more there are, the less often each hears.
    pub summary_every: Duration,
    /// Shortest time between summaries, after a change of the contacts.
    pub summary_soon: Duration,
    /// Age at which a summary is no longer used, in intervals of summaries.
    pub summary_valid: u32,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            ack_within: Duration::from_millis(300),
            suspect_for: Duration::from_secs(3),
            forget_after: Duration::from_secs(600),
            sync_every: Duration::from_secs(2),
            summary_every: Duration::from_secs(3),
            summary_soon: Duration::from_secs(1),
            summary_valid: 5,
        }
    }
}
