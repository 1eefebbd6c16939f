//! The gateway: the process on the users' platform that receives callers' requests and forwards
//! them to upstreams.
//!
//! A single thread runs a `tokio` runtime for sockets and request tasks, and a `stakker` instance
//! for the controllers. Both share their state on the [`board`].

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
