//! What a caller learns.

use std::time::Duration;

use thiserror::Error;

/// Final outcome of a request, as its caller learns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The answer is whole.
    Completed,
    /// It did not run.
    NotRun,
    /// It may have run, and will not be run again.
    Unknown,
}

/// Why a caller has no verdict.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CallerError {
    /// No entry host answered in time.
    #[error("no entry host answered in time")]
    NoEntry,
    /// The request is wrong in itself.
    #[error("refused with status {status}: {detail}")]
    Refused {
        /// Status.
        status: u16,
        /// Why.
        detail: String,
    },
}

/// A request's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The outcome.
    pub verdict: Verdict,
    /// The text, or the body of a service's answer.
    pub text: String,
    /// Tokens received.
    pub tokens: usize,
    /// Identifier of the request; empty where none was told.
    pub request_id: String,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// When to come back, where it did not run.
    pub retry_after: Option<Duration>,
    /// Connections that the answer took.
    pub connections: u32,
    /// Times that the request was lost, and begun anew.
    pub restarts: u32,
}

impl Answer {
    /// Creates an answer that holds nothing yet.
    pub fn new(verdict: Verdict) -> Self {
        Self {
            verdict,
            text: String::new(),
            tokens: 0,
            request_id: String::new(),
            first_token: None,
            gaps: Vec::new(),
            retry_after: None,
            connections: 0,
            restarts: 0,
        }
    }
}
