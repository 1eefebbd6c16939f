//! What gateways tell each other.

mod heartbeat;
mod snapshot;

pub use heartbeat::{
    Demand, Heartbeat, LoadReport, PrefixReport, ProcessId, SpeedReport, WireError,
};
pub use snapshot::{RecentChanges, UpstreamChange, UpstreamSnapshot};
