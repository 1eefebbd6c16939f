//! Errors of calls to the platform.

use hyper::http::uri::InvalidUri;
use thiserror::Error;

use crate::gateway::{
    decide::StoreMillis,
    net::{CallError, ConnectError},
};

/// Why a call to the platform failed.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The connection could not be opened; the call was not sent.
    #[error("cannot connect: {0}")]
    Connect(#[from] ConnectError),
    /// The connection ended before the whole answer arrived; a write may have been applied.
    #[error("no answer: {0}")]
    Http(#[from] CallError),
    /// No answer arrived in time; a write may have been applied.
    #[error("no answer in time")]
    Timeout,
    /// The platform refused the call with this HTTP status; nothing was applied.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The store no longer keeps the changes since the requested revision.
    #[error("the history is no longer kept")]
    HistoryLost,
    /// The store has returned from a copy since the revisions in the call were read. A write may
    /// have been applied to the returned store.
    #[error("the store has returned from a copy")]
    EraChanged,
    /// The store gave out an era or a revision, given here, that is too large.
    #[error("era {0} or revision {1} of the store is too large")]
    RevisionOutOfRange(u64, u64),
    /// The store announced more rows after this key, but returned none beyond it.
    #[error("the pages after key {after:?} repeat")]
    PagesRepeat {
        /// Greatest key of the pages before; empty if there were none.
        after: String,
    },
    /// A table is larger than what was read of it, which is as much as this system reads.
    #[error("the table is too large: {bytes} bytes on {pages} pages, and more")]
    TableTooLarge {
        /// Number of pages that were read.
        pages: usize,
        /// Size of these pages.
        bytes: usize,
    },
    /// A value in the call is too long; the call was not sent.
    #[error("no valid target: {0}")]
    Target(#[from] InvalidUri),
    /// The store's clock shows this time, which no clock reaches.
    #[error("the time of the store is too large: {0} ms")]
    TimeOutOfRange(StoreMillis),
    /// The lease ended before the call was sent; nothing was applied.
    #[error("the lease ended before the call was sent")]
    LeaseLost,
    /// The answer or document does not match the published schema.
    #[error("{what}: {source}")]
    Malformed {
        /// Kind of document, for the error message.
        what: &'static str,
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
}

impl PlatformError {
    /// Returns a function that wraps a JSON error with the name of the document.
    pub(super) fn malformed(what: &'static str) -> impl Fn(serde_json::Error) -> Self {
        move |source| Self::Malformed { what, source }
    }
}
