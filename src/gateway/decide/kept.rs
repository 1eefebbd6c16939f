//! Levels of quotas, counts of usage, and need and orders of engines, which outlive
//! the processes.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use serde::{Deserialize, Serialize};

use super::{Counts, OrderReport, QuotaBook, UsageBook, Window};
use crate::gateway::{
    model::{CustomerName, ServiceName},
    peering::ProcessId,
};

/// Windows of usage that are kept: reports are due two windows after the end.
const KEPT_WINDOWS: usize = 4;

/// What is kept. Counts are kept by process, since those that live on tell
/// theirs again.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    levels: BTreeMap<CustomerName, f64>,
    customers: Vec<CustomerName>,
    /// Window, process, and a count for each of `customers`.
    usage: Vec<(Window, ProcessId, Vec<u64>)>,
    #[serde(default)]
    capacity: CapacityRecord,
}

/// Need and orders of engines, as the next holder of the lease has to know them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CapacityRecord {
    /// Engines that the load of each service needs.
    pub needs: BTreeMap<ServiceName, f64>,
    /// Orders of engines.
    pub orders: Vec<OrderReport>,
}

impl Kept {
    /// Takes what is to be kept.
    pub fn of(
        levels: BTreeMap<CustomerName, f64>,
        usage: &UsageBook,
        capacity: CapacityRecord,
    ) -> Self {
        let usage: Vec<_> = usage.of_all(KEPT_WINDOWS).collect();
        let customers: BTreeSet<&CustomerName> =
            usage.iter().flat_map(|(_, _, counts)| counts.keys()).collect();
        let count = |counts: &Counts, customer| counts.get(customer).copied().unwrap_or_default();
        let row = |(window, process, counts): &(Window, &str, &Counts)| {
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

    /// Puts quotas and usage back, and returns the rest.
    pub fn restore(
        self,
        quotas: &mut QuotaBook,
        usage: &mut UsageBook,
        now: Instant,
    ) -> CapacityRecord {
        quotas.restore(&self.levels, now);
        for (window, process, counts) in self.usage {
            let counts = self.customers.iter().cloned().zip(counts).filter(|(_, n)| *n > 0);
            usage.hear(&process, window, &counts.collect());
        }
        self.capacity
    }
}
