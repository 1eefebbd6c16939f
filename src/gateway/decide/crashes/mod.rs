//! Detection of requests that crash the upstreams that run them ("queries of death"): which request
//! explains the crashes that were seen, and whether it may be sent again.
//!
//! A crash is here any end of an upstream process while it runs requests, whatever its cause. It
//! takes all requests on that upstream with it, and most of them are innocent. The culprit is the
//! one that was running at every crash. Three errors are traded against each other: upstreams lost
//! to a culprit that is still allowed, innocent requests that wait for another copy of themselves,
//! and innocent requests that are refused.
//!
//! The cause may also be a part of prompts that many requests share, each of which differs from all
//! others. The same crashes are therefore counted under both keys, the digest of the whole request
//! and each of its parts; whichever explains them better is quarantined.

mod completions;
mod copies;
mod evidence;
mod gossip;
mod interrupted;
mod part_answers;
mod part_evidence;
mod part_tracker;
mod permission;
mod quarantine;
mod tracker;
mod turn;

pub use copies::CopyReport;
pub use evidence::SuspectReport;
pub use gossip::{CrashGossip, PartGossip};
pub use interrupted::{InterruptedAttempt, InterruptedAttempts};
pub use part_evidence::PartReport;
pub use part_tracker::{PROVEN_WRITING, PartChange, PartTracker};
pub use permission::Permission;
pub use quarantine::{CrashVerdict, VerdictReport};
pub use tracker::{CrashTracker, QuarantineChange};
pub use turn::TrialTurn;
