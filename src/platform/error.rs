//! Why a call to the platform brought no usable answer.

use thiserror::Error;

use crate::gateway::net::{CallError, ConnectError};

/// Why a call to the platform brought no usable answer.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// No connection; the call was not sent.
    #[error("cannot connect: {0}")]
    Connect(#[from] ConnectError),
    /// The connection ended; a write may have been done.
    #[error("no answer: {0}")]
    Http(#[from] CallError),
    /// No answer in time; a write may have been done.
    #[error("no answer in time")]
    Timeout,
    /// Refused for now, by status: nothing was done.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The history that a feed asked for is no longer kept.
    #[error("the history is no longer kept")]
    HistoryLost,
    /// The lease ended before the call was sent.
    #[error("the lease ended before the call was sent")]
    LeaseLost,
    /// The answer or document is not as published.
    #[error("{what}: {source}")]
    Malformed {
        /// Which document.
        what: &'static str,
        /// Why it cannot be read.
        source: serde_json::Error,
    },
}

impl PlatformError {
    /// Returns a function that wraps a JSON error with the name of the document.
    pub(super) fn malformed(what: &'static str) -> impl Fn(serde_json::Error) -> Self {
        move |source| Self::Malformed { what, source }
    }
}
