//! Usage of customers by window of true time, summed over all processes.

use std::collections::{BTreeMap, HashMap};

use crate::gateway::model::CustomerName;

/// Number of a window: window `k` begins `k` window lengths after 1970.
pub type Window = u64;
/// Requests that began, by customer.
pub type Counts = BTreeMap<CustomerName, u64>;

/// Windows that are kept; reports are due two windows after the end.
const KEPT: u64 = 8;

/// Counts of all processes that were heard of.
#[derive(Debug, Default)]
pub struct UsageBook {
    windows: BTreeMap<Window, HashMap<String, Counts>>,
}

impl UsageBook {
    /// Counts a request of `customer` that this process, `own`, saw begin.
    pub fn count(&mut self, own: &str, window: Window, customer: &CustomerName) {
        let of_process = self.windows.entry(window).or_default().entry(own.to_owned()).or_default();
        *of_process.entry(customer.clone()).or_default() += 1;
        self.forget(window);
    }

    /// Notes that `own` is counting in a window, also if nothing begins in it.
    pub fn open(&mut self, own: &str, window: Window) {
        self.windows.entry(window).or_default().entry(own.to_owned()).or_default();
        self.forget(window);
    }

    /// Returns the windows before `window` that some process counted in.
    pub fn counted_before(&self, window: Window) -> Vec<Window> {
        self.windows.range(..window).map(|(w, _)| *w).collect()
    }

    /// Takes over what a process says of itself. Its counts only rise, so that
    /// an older message changes nothing.
    pub fn hear(&mut self, process: &str, window: Window, counts: &Counts) {
        let oldest = self.newest().saturating_sub(KEPT);
        if window < oldest {
            return;
        }
        let processes = self.windows.entry(window).or_default();
        let known = processes.entry(process.to_owned()).or_default();
        for (customer, count) in counts {
            let held = known.entry(customer.clone()).or_default();
            *held = (*held).max(*count);
        }
        self.forget(window);
    }

    /// Returns what `process` counted in the windows that are kept, newest first.
    pub fn of_process(&self, process: &str) -> Vec<(Window, Counts)> {
        let windows = self.windows.iter().rev();
        windows.filter_map(|(w, all)| Some((*w, all.get(process)?.clone()))).collect()
    }

    /// Returns the counts of each process in the newest `windows`.
    pub fn of_all(&self, windows: usize) -> impl Iterator<Item = (Window, &str, &Counts)> {
        let newest = self.windows.iter().rev().take(windows);
        newest.flat_map(|(w, all)| all.iter().map(move |(p, counts)| (*w, p.as_str(), counts)))
    }

    /// Returns the sum over all processes.
    pub fn total(&self, window: Window) -> Counts {
        let mut total = Counts::new();
        let processes = self.windows.get(&window).into_iter().flat_map(HashMap::values);
        for (customer, count) in processes.flatten() {
            *total.entry(customer.clone()).or_default() += count;
        }
        total
    }

    fn newest(&self) -> Window {
        self.windows.keys().next_back().copied().unwrap_or_default()
    }

    fn forget(&mut self, window: Window) {
        let oldest = self.newest().max(window).saturating_sub(KEPT);
        self.windows = self.windows.split_off(&oldest);
    }
}
