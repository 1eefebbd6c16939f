//! Predicted cost of a request, learnt from finished requests.
//!
//! Load addressed: requests of one route whose costs differ by factors of tens. A choice that takes
//! all of them for equal sends short requests behind long ones.

mod aged_work;
mod groups;
mod log_sums;
mod lognormal;
mod memory;
mod model;
mod prediction;
mod progress;
mod report;

pub use aged_work::AgedWork;
pub use groups::{GroupKey, GroupSums, Groups, MAX_GROUPS};
pub use log_sums::{LogSums, SUMS_DECAY};
pub use lognormal::LogNormal;
pub use memory::{MemoryFit, memory_fit};
pub use model::{CostModel, FinishedStream, PromptSize, RequestFacts};
pub use prediction::{CostBasis, CostPrediction};
pub use progress::{RequestProgress, RunningId, RunningRequests};
pub use report::{CostReport, MAX_REPORTED_GROUPS, ReportedCosts};
