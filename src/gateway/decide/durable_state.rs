//! Quota levels, usage counts, and requirements and orders of engines, in the form in which
//! they are stored so that they outlast the processes.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Instant,
};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{OrderReport, ProcessKey, QuotaLimiter, UsageCounters, WindowNumber};
use crate::gateway::model::{CustomerName, Era, ServiceName};

/// Number of usage windows that are stored. Windows are reported two window lengths after their
/// end.
const STORED_WINDOWS: usize = 4;
/// Largest encoded state, in bytes. The store refuses rows above its bound of 64 KiB, and with
/// them the renewal of the lease in the same transaction.
const MAX_STATE_BYTES: usize = 60_000;
/// First byte of the encoded state, to be changed with its format.
const STATE_FORMAT: u8 = 3;

/// Reason why stored state cannot be encoded or decoded.
#[derive(Debug, Error)]
pub enum StateError {
    /// The first byte, given here, is not a known format; `None` for an empty value.
    #[error("unknown format of stored state: {0:?}")]
    Format(Option<u8>),
    /// Encoding or decoding failed.
    #[error("stored state: {0}")]
    Postcard(#[from] postcard::Error),
}

/// Counts of one usage window.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct StoredWindow {
    window: WindowNumber,
    /// Each process that counted anything, with the numbers of customers and their counts.
    processes: Vec<(ProcessKey, Vec<(u32, u64)>)>,
}

/// Stored state. Usage counts are stored by process, since processes that are still running
/// report their own counts again.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DurableState {
    /// Era of the store in which it was stored.
    era: Era,
    levels: BTreeMap<CustomerName, f64>,
    /// Names of the customers with usage, by number.
    customers: Vec<CustomerName>,
    /// Newest window first.
    usage: Vec<StoredWindow>,
    capacity: CapacityRecord,
}

/// Requirements and orders of engines that the next holder of the lease needs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CapacityRecord {
    /// Engines that the load of each service requires.
    pub needs: BTreeMap<ServiceName, f64>,
    /// Last order for each kind of engine in each data centre.
    pub orders: Vec<OrderReport>,
}

impl DurableState {
    /// Captures the state that is to be stored.
    pub fn of(
        levels: BTreeMap<CustomerName, f64>,
        usage: &UsageCounters,
        capacity: CapacityRecord,
    ) -> Self {
        let customers: BTreeSet<&CustomerName> =
            usage.of_all(STORED_WINDOWS).flat_map(|(_, _, counts)| counts.keys()).collect();
        let numbers: HashMap<&CustomerName, u32> = customers.iter().copied().zip(0..).collect();
        let mut windows: Vec<StoredWindow> = Vec::new();
        for (window, process, counts) in usage.of_all(STORED_WINDOWS) {
            if windows.last().is_none_or(|w| w.window != window) {
                // A window in which nobody counted anything is due as well.
                windows.push(StoredWindow { window, processes: Vec::new() });
            }
            let counts: Vec<(u32, u64)> = counts.iter().map(|(c, n)| (numbers[c], *n)).collect();
            if let Some(stored) = windows.last_mut().filter(|_| !counts.is_empty()) {
                stored.processes.push((process, counts));
            }
        }
        Self {
            era: 0,
            levels,
            customers: customers.into_iter().cloned().collect(),
            usage: windows,
            capacity,
        }
    }

    /// Sets the era of the store in which the state is stored.
    pub fn in_era(self, era: Era) -> Self {
        Self { era, ..self }
    }

    /// Returns whether the state was stored in an earlier era: the store has lost what was stored
    /// between its copy and its return.
    pub fn is_from_before(&self, era: Era) -> bool {
        self.era < era
    }

    /// Encodes the state, without its oldest usage windows if it would be too large for a row;
    /// returns it with the number of windows left out.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be encoded.
    pub fn encode(mut self) -> Result<(Vec<u8>, usize), StateError> {
        let mut left_out = 0;
        loop {
            let bytes = postcard::to_extend(&self, vec![STATE_FORMAT])?;
            if bytes.len() <= MAX_STATE_BYTES || self.usage.pop().is_none() {
                return Ok((bytes, left_out));
            }
            left_out += 1;
        }
    }

    /// Decodes stored state.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not state in this format.
    pub fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        match bytes.split_first() {
            Some((&STATE_FORMAT, state)) => Ok(postcard::from_bytes(state)?),
            other => Err(StateError::Format(other.map(|(format, _)| *format))),
        }
    }

    /// Restores usage and, unless `is_outdated`, quotas; returns the capacity record. Outdated
    /// levels would grant again what customers have used since, and outdated counts may have been
    /// reported with others added.
    pub fn restore(
        self,
        quotas: &mut QuotaLimiter,
        usage: &mut UsageCounters,
        is_outdated: bool,
        now: Instant,
    ) -> CapacityRecord {
        if is_outdated {
            self.usage.iter().for_each(|stored| usage.note_doubtful(stored.window));
        } else {
            quotas.restore(&self.levels, now);
        }
        for StoredWindow { window, processes } in self.usage {
            usage.add_window(window);
            for (process, counts) in processes {
                let named = counts
                    .into_iter()
                    .filter_map(|(c, n)| Some((self.customers.get(c as usize)?.clone(), n)));
                usage.merge_key_counts(process, window, &named.collect());
            }
        }
        self.capacity
    }
}
