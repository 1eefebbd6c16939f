//! What gateways tell each other.

mod heartbeat;
mod snapshot;

pub use heartbeat::{
    Demand, Heartbeat, LoadReport, OrderReport, PrefixReport, ProcessId, SpeedReport, WireError,
};
pub use snapshot::{RecentChanges, UpstreamChange, UpstreamSnapshot};
