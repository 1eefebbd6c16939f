//! The entry process: callers' side, admission, placement, streams and
//! hand-over. One `stakker` thread owns the blackboard; requests run on
//! threads of their own and ask it by messages.

mod api;
mod board;
mod context;
mod controllers;
mod daemon;
mod event;
mod held;
mod jobs;
mod work;

pub use daemon::{Addresses, StartError, run};
pub use jobs::{HolderState, Orphans};
