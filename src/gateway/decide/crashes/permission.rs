//! Whether a request may be sent to an upstream.

use std::time::Instant;

/// Whether, and how, a request may be sent to an upstream now; stricter ones are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Permission {
    /// To any upstream, like other requests.
    Unrestricted,
    /// Only to an upstream that runs no other suspect; of these, the one with the least work to
    /// lose.
    Isolated,
    /// Not before this time: other processes may still report crashes under it.
    NotBefore(Instant),
    /// Not while a copy of it, or another request with a suspected part, is running: its outcome
    /// decides.
    AfterRunningCopy,
    /// Not at all: it is quarantined, or is about to be, because upstreams crash under it.
    Never,
}
