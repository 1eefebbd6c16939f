//! The row that stands for a lease.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The row that stands for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Name of the holder, with its incarnation; empty once it is given back.
    pub holder: String,
    /// Fencing number; rises with each new holder.
    pub fence: u64,
    /// Rises with each renewal, so that every renewal changes the row.
    pub renewal: u64,
    /// Hosts other than the holder's that may have acted within the time to live, oldest first;
    /// once the lease is given back the last one is its holder's. Unknown where an older build
    /// wrote the row.
    #[serde(default = "unknown_holders")]
    pub recent: Vec<RecentHolder>,
}

impl LeaseRow {
    /// Returns the host that held the lease last; `None` if it is unknown.
    pub fn last_host(&self) -> Option<&str> {
        if !self.holder.is_empty() {
            return Some(host_name(&self.holder));
        }
        self.recent.last().filter(|r| !r.is_unknown()).map(|r| r.host.as_str())
    }
}

/// A host that held a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentHolder {
    /// Name of the host; empty if it is unknown which host held the lease.
    pub host: String,
    /// Milliseconds for which the host has surely not acted.
    pub idle_ms: u64,
}

impl RecentHolder {
    /// Creates the entry of a host that may have acted just now.
    pub fn now(host: &str) -> Self {
        Self { host: host.to_owned(), idle_ms: 0 }
    }

    /// Creates the entry that stands for all hosts, any of which may have acted just now.
    pub fn unknown() -> Self {
        Self::now("")
    }

    /// Returns whether the entry stands for all hosts.
    pub fn is_unknown(&self) -> bool {
        self.host.is_empty()
    }

    /// Returns the time for which the host has surely not acted.
    pub fn idle(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }

    /// Returns the entry as of some time `later`, in which the host did not act.
    pub fn aged(&self, later: Duration) -> Self {
        let idle_ms = self.idle_ms.saturating_add(later.as_millis() as u64);
        Self { host: self.host.clone(), idle_ms }
    }
}

/// Returns the host in the name of a holder; a holder without an incarnation stands for itself.
pub(super) fn host_name(holder: &str) -> &str {
    holder.rsplit_once('.').map_or(holder, |(host, _)| host)
}

fn unknown_holders() -> Vec<RecentHolder> {
    vec![RecentHolder::unknown()]
}
