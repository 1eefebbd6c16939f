//! Usage windows whose counts were stored in the platform's store.

use serde::{Deserialize, Serialize};

use super::WindowNumber;

/// Usage windows whose counts were stored, among the newest ones. Gateways tell each other, since
/// the store may lose the counts after they were reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredWindows {
    newest: WindowNumber,
    /// Bit `i` stands for window `newest - i`.
    bits: u16,
}

impl StoredWindows {
    /// Records that the counts of a window were stored.
    pub fn note(&mut self, window: WindowNumber) {
        self.merge(Self { newest: window, bits: 1 });
    }

    /// Merges what another gateway knows.
    pub fn merge(&mut self, other: Self) {
        let newest = self.newest.max(other.newest);
        let aligned = |windows: Self| {
            let shift = u32::try_from(newest - windows.newest).unwrap_or(u32::MAX);
            windows.bits.checked_shl(shift).unwrap_or_default()
        };
        *self = Self { newest, bits: aligned(*self) | aligned(other) };
    }

    /// Returns whether the counts of a window were stored, as far as is known.
    pub fn contains(self, window: WindowNumber) -> bool {
        let age = self.newest.checked_sub(window).and_then(|age| u32::try_from(age).ok());
        age.and_then(|age| self.bits.checked_shr(age)).is_some_and(|bits| bits & 1 == 1)
    }
}
