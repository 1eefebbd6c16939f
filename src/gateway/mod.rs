//! The gateway: the entry process on the users' platform.
//!
//! One thread runs a `tokio` runtime for sockets and a `stakker` instance for
//! the controllers. Controllers and request tasks share the [`board`].

pub mod board;
pub mod controllers;
pub mod daemon;
pub mod decide;
pub mod model;
pub mod net;
pub mod peering;
pub mod request;
pub mod telemetry;

mod context;
mod reactor;

pub use context::Gateway;
pub use daemon::{StartError, run};
