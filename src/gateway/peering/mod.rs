//! What gateways tell each other.

mod crash_notice;
mod datagram;
mod heartbeat;
mod limit_question;
mod snapshot;

pub use crash_notice::{CrashNotice, decode_verdicts, encode_verdicts};
pub use datagram::{Datagram, datagrams};
pub use heartbeat::{
    Demand, Heartbeat, LoadReport, OutcomeReport, PassedOn, PrefixReport, ProcessId, SpeedReport,
    WireError,
};
pub use limit_question::LimitQuestion;
pub use snapshot::{RecentChanges, UpstreamChange, UpstreamSnapshot};
