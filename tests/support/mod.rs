//! Processes on loopback for the tests. Each is started and ended by its id.

#![allow(dead_code, missing_docs, reason = "each test file uses a part of it")]

pub mod cluster;
pub mod crashes;
pub mod directory;
pub mod drafts;
pub mod gateways;
pub mod http;
pub mod proc;
pub mod signals;

use std::{
    thread,
    time::{Duration, Instant},
};

/// Waits until a condition holds; panics after a generous bound.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    const BOUND: Duration = Duration::from_secs(60);
    let until = Instant::now() + BOUND;
    while !holds() {
        assert!(Instant::now() < until, "waited in vain until {what}");
        thread::sleep(Duration::from_millis(20));
    }
}
