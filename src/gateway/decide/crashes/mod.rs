//! Requests that crash the upstreams that run them: which request explains the ends of
//! upstreams that were seen, and whether it may be sent again.
//!
//! An upstream that ends takes all its requests with it, and most of them are innocent.
//! What tells them apart is that one and the same stands at each end. Three errors are
//! traded: upstreams lost to a request that is let run, innocents that wait for another
//! copy of theirs, and innocents that are refused.

mod book;
mod breaks;
mod copies;
mod evidence;
mod news;
mod proven;
mod quarantine;
mod turn;

pub use book::{Change, CrashBook, Permission};
pub use breaks::{Break, Breaks};
pub use copies::CopyReport;
pub use evidence::SuspectReport;
pub use news::CrashNews;
pub use quarantine::{CrashVerdict, VerdictReport};
pub use turn::TrialTurn;
