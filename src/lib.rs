//! Tackhollow serves model-backed assistants on reclaimable hosts.
//!
//! The library holds everything the daemons share. Decisions are pure
//! functions over plain state (`membership`, `routing`, `upstream`), sockets
//! and threads live in `edge`, and `entry` and `control` join the two with a
//! `stakker` thread that owns the blackboard.
//!
//! # Example
//!
//! ```
//! use tackhollow::ids::Home;
//!
//! let home: Home = "127.0.0.1-8080-1f".parse().unwrap();
//! assert_eq!(home.http.port(), 8080);
//! assert_eq!(home.to_string(), "127.0.0.1-8080-1f");
//! ```

pub mod caller;
pub mod cli;
pub mod clock;
pub mod cloud;
pub mod config;
pub mod control;
pub mod edge;
pub mod entry;
pub mod gateway;
pub mod ids;
pub mod membership;
pub mod memory;
pub mod ownership;
pub mod platform;
pub mod prefix;
pub mod record;
pub mod routing;
pub mod settings;
pub mod telemetry;
pub mod time;
pub mod upstream;
pub mod wire;
