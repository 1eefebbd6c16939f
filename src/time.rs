//! Wall-clock helpers. Decision logic takes `Instant` or `Duration` as arguments instead.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Milliseconds since the Unix epoch, for human-readable records.
pub type UnixMillis = u64;

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn unix_millis() -> UnixMillis {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_millis() as UnixMillis
}

/// Rounds a duration up to whole seconds, at least one, for `Retry-After`.
pub fn retry_after_seconds(wait: Duration) -> u64 {
    wait.as_millis().div_ceil(1000).max(1) as u64
}
