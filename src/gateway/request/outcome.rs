//! How a request ended.

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer was passed on.
    Completed,
    /// The upstream answered with a failure of its own, which was passed on.
    UpstreamFailure,
    /// The caller left.
    CallerLeft,
    /// The time was over in the middle of the answer.
    TimeOver,
    /// The upstream broke off in the middle of the answer.
    BrokenOff,
}

impl Outcome {
    /// Returns a word for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::UpstreamFailure => "upstream_failure",
            Self::CallerLeft => "caller_left",
            Self::TimeOver => "time_over_midway",
            Self::BrokenOff => "broken_off_midway",
        }
    }
}
