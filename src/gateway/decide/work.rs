//! Work that a request causes at an upstream, and work that an upstream has left.

/// Predicted work of a request at an upstream of average speed that runs nothing else.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PredictedWork {
    /// Prompt tokens that the upstream has not cached and must read.
    pub missing_tokens: f64,
    /// Time to read them, in seconds.
    pub reading_seconds: f64,
    /// Output tokens.
    pub output_tokens: f64,
    /// Time for which the request holds a slot, in seconds, including the reading.
    pub slot_seconds: f64,
    /// Memory that the request occupies at its end, in tokens of prompt and output.
    pub memory_tokens: f64,
}

/// Work that an upstream has left, of the requests of all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RemainingWork {
    /// Requests that run or wait there.
    pub running: f64,
    /// Prompt tokens that it has not read yet.
    pub pending_tokens: f64,
    /// Sum of the times for which these requests will still hold their slots, in seconds.
    pub slot_seconds: f64,
    /// Memory that these requests occupy at their ends, in tokens.
    pub memory_tokens: f64,
}

impl RemainingWork {
    /// Returns the sum of both.
    pub fn plus(self, other: Self) -> Self {
        Self {
            running: self.running + other.running,
            pending_tokens: self.pending_tokens + other.pending_tokens,
            slot_seconds: self.slot_seconds + other.slot_seconds,
            memory_tokens: self.memory_tokens + other.memory_tokens,
        }
    }
}
