//! Outcomes of answered requests.

/// How an answer ended after an upstream began to send it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer was relayed.
    Completed,
    /// The answer was relayed to the end of its connection, and may be incomplete: it had no
    /// framing.
    EndUnknown,
    /// The upstream answered with a status other than success, which was relayed.
    UpstreamFailure,
    /// The caller disconnected.
    CallerLeft,
    /// The deadline passed while the answer was being relayed.
    TimeOver,
    /// The upstream interrupted its answer, and the stream could not be resumed.
    BrokenOff,
}

impl Outcome {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::EndUnknown => "end_unknown",
            Self::UpstreamFailure => "upstream_failure",
            Self::CallerLeft => "caller_left",
            Self::TimeOver => "time_over_midway",
            Self::BrokenOff => "broken_off_midway",
        }
    }
}
