//! Roll-outs: moving the traffic of a service to another version of its upstreams, or back.
//!
//! All gateways hold the same facts, which can be merged in any order: the order, the counts of
//! answers by version, when all traffic began to move, and how the roll-out ended. Any gateway
//! rolls a bad version back by itself; only the holder of the lease lets all traffic move. Until
//! then the new version is a canary: each gateway sends it a bounded part of its own requests, so
//! that the sum keeps the operator's bound even if gateways do not hear each other.

mod answers;
mod evidence;
mod exposure;
mod order;
mod report;
mod tracker;
mod typical_times;

pub use answers::{AnswerCount, AnswerRow, RouteKey, VersionGroup};
pub use evidence::{Findings, RolloutBlocker};
pub use exposure::ExposureTerms;
pub use order::{RolloutEnd, RolloutOrder, RolloutStage};
pub use report::{RolloutReport, SentRow};
pub use tracker::{ExposureContext, GatewayCounts, RolloutChange, RolloutTracker, RolloutView};
pub use typical_times::TypicalTimes;
