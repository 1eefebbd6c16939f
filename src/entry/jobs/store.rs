//! Names and reading of what the platform keeps of jobs.

use serde::{Serialize, de::DeserializeOwned};

use super::{JobBatch, JobResult};
use crate::cloud::{PlatformClient, PlatformError};

/// Prefix of the rows that say who runs a batch. A batch's name begins with
/// the data centre that accepted it.
pub const ROWS: &str = "jobs/";

/// Returns the key of a batch's row.
pub fn row_key(batch: &str) -> String {
    format!("{ROWS}{batch}")
}

fn batch_name(batch: &str) -> String {
    format!("jobs/{batch}")
}

fn result_name(id: &str) -> String {
    format!("results/{id}")
}

/// Writes a batch.
pub fn put_batch(
    platform: &PlatformClient,
    batch: &str,
    jobs: &JobBatch,
) -> Result<(), PlatformError> {
    put(platform, &batch_name(batch), jobs)
}

/// Reads a batch.
pub fn get_batch(
    platform: &PlatformClient,
    batch: &str,
) -> Result<Option<JobBatch>, PlatformError> {
    get(platform, &batch_name(batch))
}

/// Removes a batch.
pub fn delete_batch(platform: &PlatformClient, batch: &str) -> Result<(), PlatformError> {
    platform.delete_object(&batch_name(batch))
}

/// Writes a job's result.
pub fn put_result(
    platform: &PlatformClient,
    id: &str,
    result: &JobResult,
) -> Result<(), PlatformError> {
    put(platform, &result_name(id), result)
}

/// Reads a job's result.
pub fn result(platform: &PlatformClient, id: &str) -> Result<Option<JobResult>, PlatformError> {
    get(platform, &result_name(id))
}

/// Returns whether a batch holds a customer's job.
pub fn pending(
    platform: &PlatformClient,
    batch: &str,
    id: &str,
    customer: &str,
) -> Result<bool, PlatformError> {
    let jobs = get_batch(platform, batch)?.map(|b| b.jobs).unwrap_or_default();
    Ok(jobs.iter().any(|job| job.id == id && job.customer == customer))
}

fn put<T: Serialize>(
    platform: &PlatformClient,
    name: &str,
    value: &T,
) -> Result<(), PlatformError> {
    let body = serde_json::to_vec(value).map_err(|e| PlatformError::Body(e.to_string()))?;
    platform.put_object(name, &body)
}

fn get<T: DeserializeOwned>(
    platform: &PlatformClient,
    name: &str,
) -> Result<Option<T>, PlatformError> {
    let Some(body) = platform.get_object(name)? else {
        return Ok(None);
    };
    serde_json::from_slice(&body).map(Some).map_err(|e| PlatformError::Body(e.to_string()))
}
