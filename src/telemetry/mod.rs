//! Logs and metrics.

mod logs;
mod metrics;
mod traffic;

pub use logs::init_logs;
pub use metrics::{Labels, Metrics, OutcomeLabels, count, count_by};
pub use traffic::Traffic;
