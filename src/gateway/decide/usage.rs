//! Usage of customers by time window, summed over all processes.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use super::StoredWindows;
use crate::{gateway::model::CustomerName, prefix};

/// Number of a window: window `k` begins `k` window lengths after the Unix epoch.
pub type WindowNumber = u64;
/// Number of requests that began, by customer.
pub type UsageCounts = BTreeMap<CustomerName, u64>;

/// Identifies a process in usage counts by a hash of its id, which is several times as long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProcessKey([u8; 8]);

impl ProcessKey {
    fn new(process: &str) -> Self {
        Self(prefix::hash(process.as_bytes()).to_le_bytes())
    }
}

/// Number of windows that are kept. Windows are reported two window lengths after their end.
const KEPT_WINDOWS: u64 = 8;

/// Counts of all known processes, by window.
#[derive(Debug, Default)]
pub struct UsageCounters {
    windows: BTreeMap<WindowNumber, HashMap<ProcessKey, UsageCounts>>,
    stored: StoredWindows,
    /// Windows whose counts may have been stored and lost, as this process alone knows.
    doubtful: StoredWindows,
}

impl UsageCounters {
    /// Counts a request of `customer` that began at this process, `own`.
    pub fn count(&mut self, own: &str, window: WindowNumber, customer: &CustomerName) {
        let process_counts =
            self.windows.entry(window).or_default().entry(ProcessKey::new(own)).or_default();
        *process_counts.entry(customer.clone()).or_default() += 1;
        self.drop_expired(window);
    }

    /// Records that `own` is counting in a window, even if no request begins in it.
    pub fn open_window(&mut self, own: &str, window: WindowNumber) {
        self.windows.entry(window).or_default().entry(ProcessKey::new(own)).or_default();
        self.drop_expired(window);
    }

    /// Records that a window is due for a report, even if no process has counted in it.
    pub(super) fn add_window(&mut self, window: WindowNumber) {
        self.windows.entry(window).or_default();
        self.drop_expired(window);
    }

    /// Records that the counts of a window were stored, so that others may have been told them.
    pub fn note_stored(&mut self, window: WindowNumber) {
        self.stored.note(window);
    }

    /// Records that the counts of a window may have been stored and reported by earlier processes.
    pub(super) fn note_doubtful(&mut self, window: WindowNumber) {
        self.doubtful.note(window);
    }

    /// Merges the windows whose counts were stored, as another gateway knows them.
    pub fn merge_stored(&mut self, stored: StoredWindows) {
        self.stored.merge(stored);
    }

    /// Returns whether the counts of a window may have been stored, as far as is known.
    pub fn may_be_stored(&self, window: WindowNumber) -> bool {
        self.stored.contains(window) || self.doubtful.contains(window)
    }

    /// Returns the windows whose counts were stored, to be sent with heartbeats.
    pub fn stored_windows(&self) -> StoredWindows {
        self.stored
    }

    /// Returns the windows before `window` in which any process has counted.
    pub fn windows_before(&self, window: WindowNumber) -> Vec<WindowNumber> {
        self.windows.range(..window).map(|(w, _)| *w).collect()
    }

    /// Merges counts that a process reports for itself. Counts only increase, so an outdated
    /// message changes nothing.
    pub fn merge_counts(&mut self, process: &str, window: WindowNumber, counts: &UsageCounts) {
        self.merge_key_counts(ProcessKey::new(process), window, counts);
    }

    /// Merges counts of a process that is known by its key alone.
    pub(super) fn merge_key_counts(
        &mut self,
        process: ProcessKey,
        window: WindowNumber,
        counts: &UsageCounts,
    ) {
        let oldest = self.newest().saturating_sub(KEPT_WINDOWS);
        if window < oldest {
            return;
        }
        let processes = self.windows.entry(window).or_default();
        let known = processes.entry(process).or_default();
        for (customer, count) in counts {
            let current = known.entry(customer.clone()).or_default();
            *current = (*current).max(*count);
        }
        self.drop_expired(window);
    }

    /// Returns the counts of `process` in the windows that are kept, newest first.
    pub fn process_windows(&self, process: &str) -> Vec<(WindowNumber, UsageCounts)> {
        let (windows, process) = (self.windows.iter().rev(), ProcessKey::new(process));
        windows.filter_map(|(w, all)| Some((*w, all.get(&process)?.clone()))).collect()
    }

    /// Returns the counts of each process in the newest `windows` windows, newest window first.
    pub fn of_all(
        &self,
        windows: usize,
    ) -> impl Iterator<Item = (WindowNumber, ProcessKey, &UsageCounts)> {
        let newest = self.windows.iter().rev().take(windows);
        newest.flat_map(|(w, all)| all.iter().map(move |(p, counts)| (*w, *p, counts)))
    }

    /// Returns the sum of the counts of all processes.
    pub fn total(&self, window: WindowNumber) -> UsageCounts {
        let mut total = UsageCounts::new();
        let processes = self.windows.get(&window).into_iter().flat_map(HashMap::values);
        for (customer, count) in processes.flatten() {
            *total.entry(customer.clone()).or_default() += count;
        }
        total
    }

    fn newest(&self) -> WindowNumber {
        self.windows.keys().next_back().copied().unwrap_or_default()
    }

    fn drop_expired(&mut self, window: WindowNumber) {
        let oldest = self.newest().max(window).saturating_sub(KEPT_WINDOWS);
        self.windows = self.windows.split_off(&oldest);
    }
}
