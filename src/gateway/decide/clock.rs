//! True time of day from a steady clock, so that a jump of the wall clock does
//! not move usage from one window to another.

use std::{collections::HashMap, time::Instant};

use crate::time::UnixMillis;

/// Difference from the other processes from which this one is wrong.
const TOLERATED_MS: f64 = 250.0;
/// Other processes that must have told their time before it outweighs ours.
const QUORUM: usize = 2;

/// The time of day as this process believes it.
#[derive(Clone, Debug)]
pub struct TrueClock {
    base: Instant,
    base_ms: f64,
    ahead_of_us: HashMap<String, f64>,
}

impl TrueClock {
    /// Starts from the wall clock, read at `now`.
    pub fn new(now: Instant, wall: UnixMillis) -> Self {
        Self { base: now, base_ms: wall as f64, ahead_of_us: HashMap::new() }
    }

    /// Returns the time of day at `now`.
    pub fn unix_millis(&self, now: Instant) -> UnixMillis {
        let since = now.saturating_duration_since(self.base).as_secs_f64() * 1_000.0;
        (self.base_ms + since) as UnixMillis
    }

    /// Notes the time that another process believes; a process whose clock was
    /// wrong at its start takes the median of the others. Returns the
    /// correction in milliseconds, if one was made.
    pub fn hear(&mut self, process: &str, time: UnixMillis, now: Instant) -> Option<f64> {
        let ahead = time as f64 - self.unix_millis(now) as f64;
        self.ahead_of_us.insert(process.to_owned(), ahead);
        if self.ahead_of_us.len() < QUORUM {
            return None;
        }
        let mut all: Vec<f64> = self.ahead_of_us.values().copied().collect();
        // This process's own vote.
        all.push(0.0);
        all.sort_by(f64::total_cmp);
        let median = all[all.len() / 2];
        if median.abs() < TOLERATED_MS {
            return None;
        }
        self.base_ms += median;
        self.ahead_of_us.clear();
        Some(median)
    }
}
