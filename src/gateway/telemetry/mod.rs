//! Structured log events and metrics of the gateway.

mod event;
mod journal;
mod metrics;

pub use event::{Event, EventClass};
pub use journal::Journal;
pub use metrics::{GatewayMetrics, KnowledgeLabels, RequestLabels};
