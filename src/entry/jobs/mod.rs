//! Requests that nobody waits on (`Prefer: respond-async`): accepted once they
//! are recorded at the platform, many to one write, and finished by any
//! process that claims them.

mod batch;
mod claimer;
mod committer;
mod orphans;
mod store;

pub use batch::{BatchRow, Job, JobBatch, JobResult};
pub use claimer::{adopt, claim_loop};
pub use committer::{CommitError, Desk, commit_loop};
pub use orphans::{HolderState, Orphans};
pub use store::{pending, result};
