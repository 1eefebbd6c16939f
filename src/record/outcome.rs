//! How a request ended.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// How a request ended: one of three, and always the truth.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The model's answer is whole.
    ChatCompleted {
        /// The engine's reason for the end, such as `stop` or `length`.
        finish_reason: String,
    },
    /// The service answered.
    CallCompleted(CallAnswer),
    /// It did not run: no byte reached an upstream, or every upstream that it
    /// reached refused it before running it.
    NotRun {
        /// When to come back.
        retry_after: Duration,
        /// Why, in one sentence.
        reason: String,
    },
    /// It may have run, and will not be run again.
    Unknown {
        /// Why, in one sentence.
        reason: String,
    },
}

impl Outcome {
    /// Returns the word for this outcome in answers, logs and metrics.
    pub fn word(&self) -> &'static str {
        match self {
            Self::ChatCompleted { .. } | Self::CallCompleted(_) => "completed",
            Self::NotRun { .. } => "not_run",
            Self::Unknown { .. } => "unknown",
        }
    }
}
