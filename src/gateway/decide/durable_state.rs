//! Quota levels, usage counts, and requirements and orders of engines, in the form in which
//! they are stored so that they outlast the processes.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use serde::{Deserialize, Serialize};

use super::{OrderReport, QuotaLimiter, UsageCounters, UsageCounts, WindowNumber};
use crate::gateway::{
    model::{CustomerName, ServiceName},
    peering::ProcessId,
};

/// Number of usage windows that are stored. Windows are reported two window lengths after their
/// end.
const STORED_WINDOWS: usize = 4;

/// Stored state. Usage counts are stored by process, since processes that are still running
/// report their own counts again.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DurableState {
    levels: BTreeMap<CustomerName, f64>,
    customers: Vec<CustomerName>,
    /// Each entry has a window, a process, and a count for each of `customers`.
    usage: Vec<(WindowNumber, ProcessId, Vec<u64>)>,
    #[serde(default)]
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
        let usage: Vec<_> = usage.of_all(STORED_WINDOWS).collect();
        let customers: BTreeSet<&CustomerName> =
            usage.iter().flat_map(|(_, _, counts)| counts.keys()).collect();
        let count =
            |counts: &UsageCounts, customer| counts.get(customer).copied().unwrap_or_default();
        let row = |(window, process, counts): &(WindowNumber, &str, &UsageCounts)| {
            let counts = customers.iter().map(|c| count(counts, *c)).collect();
            (*window, (*process).to_owned(), counts)
        };
        Self {
            levels,
            usage: usage.iter().map(row).collect(),
            customers: customers.into_iter().cloned().collect(),
            capacity,
        }
    }

    /// Restores quotas and usage, and returns the capacity record.
    pub fn restore(
        self,
        quotas: &mut QuotaLimiter,
        usage: &mut UsageCounters,
        now: Instant,
    ) -> CapacityRecord {
        quotas.restore(&self.levels, now);
        for (window, process, counts) in self.usage {
            let counts = self.customers.iter().cloned().zip(counts).filter(|(_, n)| *n > 0);
            usage.merge_counts(&process, window, &counts.collect());
        }
        self.capacity
    }
}
