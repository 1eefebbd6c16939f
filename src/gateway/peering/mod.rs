//! Messages between gateways.

mod crash_notice;
mod datagram;
mod heartbeat;
mod limit_share;
mod snapshot;
mod steady_answer_age;
mod stream_version;
mod work_notice;

pub use crash_notice::{CrashNotice, decode_verdicts, encode_verdicts};
pub use datagram::{Datagram, datagrams};
pub use heartbeat::{
    CoarseAmount, Demand, Heartbeat, LoadReport, OutcomeReport, PrefixReport, ProcessId,
    RelayedHeartbeat, SpeedFactorReport, SpeedReport, WireError,
};
pub use limit_share::LimitShareMessage;
pub use snapshot::{RecentChanges, UpstreamChange, UpstreamSnapshot};
pub use steady_answer_age::SteadyAnswerAge;
pub use stream_version::{KnownVersion, StreamVersionMessage};
pub use work_notice::WorkNotice;
