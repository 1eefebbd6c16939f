//! The blackboard: plain state that the controllers read and write.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

use crate::{
    cloud::HostEntry,
    config::{ConfigStore, ItemKind},
    ids::{Customer, EntryId, Model},
    membership::View,
    ownership,
    routing::RetryBudget,
    upstream::Owned,
};

/// Weight of the newest second in the smoothed rate of finished requests.
const RATE_WEIGHT: f64 = 0.2;

/// Phase of the process's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No configuration yet: nothing is admitted.
    Starting,
    /// Serves.
    Serving,
    /// Serves callers who still hold its address, and finishes its requests.
    Leaving,
    /// Its records are with a successor: nothing is admitted.
    HandedOver,
}

impl Phase {
    /// Returns the word for this phase in `status`.
    pub fn word(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::HandedOver => "handed_over",
        }
    }
}

/// The cloud's list of the data centre's upstreams, as last read.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Revision of the list.
    pub revision: u64,
    /// The hosts.
    pub hosts: Vec<HostEntry>,
    /// Owners of the hosts that offer a model, by the list.
    pub owners_of: BTreeMap<Model, BTreeSet<EntryId>>,
}

impl Directory {
    /// Works out anew who owns the hosts. Returns those of `own`.
    pub fn share_out(&mut self, owners: &[EntryId], own: &str) -> Vec<HostEntry> {
        self.owners_of.clear();
        let mut mine = Vec::new();
        for host in &self.hosts {
            let Some(owner) = ownership::owner(owners, &host.id) else {
                continue;
            };
            for model in &host.models {
                self.owners_of.entry(model.clone()).or_default().insert(owner.clone());
            }
            if owner == own {
                mine.push(host.clone());
            }
        }
        mine
    }

    /// Returns whether a member owns a host that offers a model, by the list.
    pub fn owns(&self, member: &str, model: &str) -> bool {
        self.owners_of.get(model).is_some_and(|owners| owners.contains(member))
    }
}

/// Requests in progress, and how fast they finish.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Requests in progress.
    pub total: u32,
    /// The same by customer.
    pub by_customer: HashMap<Customer, u32>,
    finished: u32,
    rate: f64,
}

impl Progress {
    /// Counts a request that begins.
    pub fn begin(&mut self, customer: &str) {
        self.total += 1;
        *self.by_customer.entry(customer.to_owned()).or_default() += 1;
    }

    /// Counts a request that ended.
    pub fn end(&mut self, customer: &str) {
        self.total = self.total.saturating_sub(1);
        self.finished += 1;
        if let Some(count) = self.by_customer.get_mut(customer) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.by_customer.remove(customer);
            }
        }
    }

    /// Takes the requests finished since the last call into the rate.
    pub fn tick(&mut self, since: Duration) {
        let rate = f64::from(self.finished) / since.as_secs_f64().max(0.001);
        self.rate = self.rate * (1.0 - RATE_WEIGHT) + rate * RATE_WEIGHT;
        self.finished = 0;
    }

    /// Returns how many requests finish a second, lately.
    pub fn finished_per_second(&self) -> f64 {
        self.rate
    }

    /// Returns the requests of a customer in progress.
    pub fn of(&self, customer: &str) -> u32 {
        self.by_customer.get(customer).copied().unwrap_or_default()
    }
}

/// The blackboard.
#[derive(Debug)]
pub struct Board {
    /// Members and other data centres.
    pub view: View,
    /// Configuration in force.
    pub config: ConfigStore,
    /// The cloud's list.
    pub directory: Directory,
    /// Upstreams owned.
    pub owned: Owned,
    /// Requests in progress.
    pub progress: Progress,
    /// Budget of retries.
    pub retries: RetryBudget,
    /// When the platform last answered.
    pub platform_answered: Option<Instant>,
    /// Phase.
    pub phase: Phase,
}

impl Board {
    /// Returns the upstreams and data centres that operators drain.
    pub fn drained(&self) -> BTreeSet<String> {
        let items = self.config.items();
        let drains = items.iter().filter(|(k, s)| k.kind == ItemKind::Drain && s.item.is_some());
        drains.map(|(k, _)| k.name.clone()).collect()
    }
}
