//! Idempotency keys. A key that was made from a prefix of `/v1/entries` names
//! its home, and only that incarnation may run its request.

use crate::{ids::Home, time::UnixMillis};

/// Longest key.
const MAX_KEY: usize = 200;
/// Time by which a prefix may seem to come from the future, in seconds.
const CLOCK_SKEW_S: u64 = 60;

/// An idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    /// Names its home.
    Homed {
        /// The home.
        home: Home,
        /// When the prefix was given out, in seconds since the Unix epoch.
        issued_s: u64,
    },
    /// Any other text.
    Plain,
}

/// Returns whether a text may be used as a key.
pub fn is_valid(key: &str) -> bool {
    !key.is_empty() && key.len() <= MAX_KEY && key.chars().all(|c| c.is_ascii_graphic())
}

/// Returns the prefix for keys of a home.
pub fn prefix(home: &Home, now: UnixMillis) -> String {
    format!("{home}.{:x}.", now / 1000)
}

/// Parses a key.
pub fn parse(key: &str) -> Key {
    let mut parts = key.rsplitn(3, '.');
    let local = parts.next().unwrap_or_default();
    let issued = parts.next().and_then(|s| u64::from_str_radix(s, 16).ok());
    let home = parts.next().and_then(|s| s.parse().ok());
    match (home, issued) {
        (Some(home), Some(issued_s)) if !local.is_empty() => Key::Homed { home, issued_s },
        _ => Key::Plain,
    }
}

/// Returns whether a key whose prefix was given out at `issued_s` may begin a
/// request at `now`. Records of keyed requests are kept for longer than that.
pub fn may_begin(issued_s: u64, now: UnixMillis, validity_s: u64) -> bool {
    let now_s = now / 1000;
    issued_s <= now_s + CLOCK_SKEW_S && now_s <= issued_s + validity_s
}
