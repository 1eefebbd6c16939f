//! Time of day derived from the monotonic clock and corrected against the other processes, so
//! that a jump of the wall clock does not move usage from one window to another.

use std::{collections::HashMap, time::Instant};

use crate::time::UnixMillis;

/// Deviation from the other processes, in milliseconds, below which this process's time is not
/// corrected.
const TOLERANCE_MS: f64 = 250.0;
/// Number of other processes whose time must be known before this process corrects its own.
const MIN_PEERS: usize = 2;

/// Time of day as estimated by this process.
#[derive(Clone, Debug)]
pub struct PeerCorrectedClock {
    base: Instant,
    base_ms: f64,
    peer_offsets_ms: HashMap<String, f64>,
}

impl PeerCorrectedClock {
    /// Starts from the wall clock, read at `now`.
    pub fn new(now: Instant, wall: UnixMillis) -> Self {
        Self { base: now, base_ms: wall as f64, peer_offsets_ms: HashMap::new() }
    }

    /// Returns the time of day at `now`, in milliseconds since the Unix epoch.
    pub fn unix_millis(&self, now: Instant) -> UnixMillis {
        let elapsed_ms = now.saturating_duration_since(self.base).as_secs_f64() * 1_000.0;
        (self.base_ms + elapsed_ms) as UnixMillis
    }

    /// Records the time of day of another process. If this process deviates too far from the
    /// median of all processes, it adopts the median. Returns the correction in milliseconds if
    /// one was made.
    pub fn record_peer_time(
        &mut self,
        process: &str,
        time: UnixMillis,
        now: Instant,
    ) -> Option<f64> {
        let offset_ms = time as f64 - self.unix_millis(now) as f64;
        self.peer_offsets_ms.insert(process.to_owned(), offset_ms);
        if self.peer_offsets_ms.len() < MIN_PEERS {
            return None;
        }
        let mut offsets: Vec<f64> = self.peer_offsets_ms.values().copied().collect();
        // This process counts with its own time.
        offsets.push(0.0);
        offsets.sort_by(f64::total_cmp);
        let median_ms = offsets[offsets.len() / 2];
        if median_ms.abs() < TOLERANCE_MS {
            return None;
        }
        self.base_ms += median_ms;
        self.peer_offsets_ms.clear();
        Some(median_ms)
    }
}
