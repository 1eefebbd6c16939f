//! What the platform keeps of jobs.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Customer, RequestId},
    record::{ChatWork, Outcome},
    time::UnixMillis,
};

/// One accepted request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Identifier of the request.
    pub id: RequestId,
    /// Customer.
    pub customer: Customer,
    /// What was asked.
    pub work: ChatWork,
    /// When to give up.
    pub deadline_ms: UnixMillis,
}

/// Jobs accepted with one write: an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobBatch {
    /// The jobs.
    pub jobs: Vec<Job>,
}

/// Who runs a batch: a row of the table. It is removed once every job has a
/// result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchRow {
    /// Home of the process that runs it.
    pub holder: String,
    /// Its data centre.
    pub data_centre: String,
}

/// Result of a job: an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobResult {
    /// Customer; no other may read it.
    pub customer: Customer,
    /// Text.
    pub text: String,
    /// Outcome.
    pub outcome: Outcome,
}
