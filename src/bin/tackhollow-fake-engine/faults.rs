//! Faults that the control call sets.

use serde::Deserialize;

/// Faults; each counts down as it strikes.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Steps stop for this long, in milliseconds.
    pub freeze_ms: u64,
    /// Streams to cut off after `cut_after` tokens.
    pub cut: u32,
    /// Tokens after which a stream is cut off.
    pub cut_after: u32,
    /// Streams whose first token waits for `late_ms`.
    pub late: u32,
    /// Wait of a late stream, in milliseconds.
    pub late_ms: u64,
    /// Tokens to send with another request's id as well.
    pub wrong_id: u32,
    /// Tokens to send twice.
    pub doubled: u32,
    /// Requests to refuse before running them.
    pub refuse: u32,
    /// Requests to cut off before running them, without an answer.
    pub drop: u32,
    /// Ends the process at once.
    pub die: bool,
}

/// Takes one from a counter. Returns whether there was one.
pub fn strike(counter: &mut u32) -> bool {
    let strikes = *counter > 0;
    *counter = counter.saturating_sub(1);
    strikes
}
