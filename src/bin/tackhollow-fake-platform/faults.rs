//! Faults that the control call sets.

use serde::Deserialize;

/// How calls fail while the platform is down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Down {
    /// It is not down.
    #[default]
    No,
    /// Calls are refused with 503.
    Refuse,
    /// Calls get no answer.
    Hang,
}

/// Faults.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether the table and the object store are down.
    pub down: Down,
    /// Whether the cloud is down.
    pub cloud_down: bool,
    /// Each call takes this long, in milliseconds.
    pub slow_ms: u64,
    /// Writes to carry out without an answer.
    pub lose_answers: u32,
    /// Whether starts of hosts are refused.
    pub refuse_starts: bool,
}
