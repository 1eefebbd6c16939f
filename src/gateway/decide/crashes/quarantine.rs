//! Requests, and parts of prompts, that are known to crash upstreams, as agreed between all
//! gateways.
//!
//! Each process may reach verdicts by itself. Merging them in any order and any number of times
//! gives the same result: the higher edition of a verdict wins, and within an edition the one with
//! more trials.

use std::{collections::BTreeMap, fmt::Display, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    gateway::model::{CustomerName, RequestDigest},
    time::UnixMillis,
};

/// Delays after the verdict, or after the previous trial, until a quarantined request may be tried
/// again; the last one repeats. In a small fleet in which several upstreams crash at once, an
/// innocent request that is sent all the time is running at each crash and may be quarantined; it
/// is then refused for twenty seconds. A culprit costs two upstreams on its first day and one on
/// each later day.
const TRIAL_DELAYS: [Duration; 3] =
    [Duration::from_secs(20), Duration::from_secs(3_600), Duration::from_secs(24 * 3_600)];
/// Time for which a verdict counts against the customer's other requests.
const RECENT_VERDICT_PERIOD: Duration = Duration::from_secs(3_600);
/// Verdicts kept for each customer; the oldest is evicted beyond this.
const MAX_VERDICTS_PER_CUSTOMER: usize = 64;
/// Verdicts kept in total: at 45 bytes each they fit into one row of the platform's store, 64 KiB
/// in base64. The customer with the most verdicts loses one beyond this.
const MAX_VERDICTS: usize = 1_024;

/// Verdict on a request that is or was quarantined.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashVerdict {
    /// Customer that sent the request; empty for an open route.
    pub customer: CustomerName,
    /// Odd while the request is quarantined, even once it is released; rises by one with each
    /// change.
    pub edition: u32,
    /// When the request was quarantined, released or last tried.
    pub at_ms: UnixMillis,
    /// Trials since the request was quarantined.
    pub trials: u32,
}

impl CrashVerdict {
    /// Returns whether the request may be sent to no upstream, apart from trials.
    pub fn is_quarantined(&self) -> bool {
        self.edition % 2 == 1
    }

    /// Returns when the request may be tried again, in milliseconds of Unix time.
    fn trial_at_ms(&self) -> UnixMillis {
        let last = TRIAL_DELAYS.len() - 1;
        let delay = TRIAL_DELAYS[(self.trials as usize).min(last)];
        self.at_ms.saturating_add(delay.as_millis() as u64)
    }

    /// Returns whether `other` replaces this verdict when both are merged.
    fn is_superseded_by(&self, other: &Self) -> bool {
        let rank = |v: &Self| (v.edition, v.trials, v.at_ms);
        rank(self) < rank(other)
    }
}

/// A verdict with the request that it is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictReport<K = RequestDigest>(
    /// Digest of the request, or key of the part of prompts.
    pub K,
    /// The verdict.
    pub CrashVerdict,
);

/// Verdicts on all requests, or parts of prompts, that are or were quarantined.
#[derive(Debug)]
pub struct Quarantine<K = RequestDigest> {
    verdicts: BTreeMap<K, CrashVerdict>,
}

impl<K> Default for Quarantine<K> {
    fn default() -> Self {
        Self { verdicts: BTreeMap::new() }
    }
}

impl<K: Copy + Ord + Display> Quarantine<K> {
    /// Returns whether a request is quarantined.
    pub fn contains(&self, key: K) -> bool {
        self.verdicts.get(&key).is_some_and(CrashVerdict::is_quarantined)
    }

    /// Returns the verdict on a request, if it is quarantined.
    pub fn get(&self, key: K) -> Option<&CrashVerdict> {
        self.verdicts.get(&key).filter(|v| v.is_quarantined())
    }

    /// Returns whether a quarantined request may be tried again.
    pub fn is_trial_due(&self, key: K, time: UnixMillis) -> bool {
        self.verdicts.get(&key).is_some_and(|v| time >= v.trial_at_ms())
    }

    /// Records a trial of a quarantined request and returns its new verdict; `None` if it is not
    /// quarantined.
    pub fn record_trial(&mut self, key: K, time: UnixMillis) -> Option<VerdictReport<K>> {
        let verdict = self.verdicts.get_mut(&key).filter(|v| v.is_quarantined())?;
        verdict.trials += 1;
        verdict.at_ms = time;
        Some(VerdictReport(key, verdict.clone()))
    }

    /// Quarantines a request; returns `None` if it already is.
    pub fn add(
        &mut self,
        key: K,
        customer: &CustomerName,
        time: UnixMillis,
    ) -> Option<VerdictReport<K>> {
        self.set_quarantined(key, customer, time, true)
    }

    /// Releases a request; returns `None` if it is not quarantined.
    pub fn release(&mut self, key: K, time: UnixMillis) -> Option<VerdictReport<K>> {
        let customer = self.verdicts.get(&key)?.customer.clone();
        self.set_quarantined(key, &customer, time, false)
    }

    fn set_quarantined(
        &mut self,
        key: K,
        customer: &CustomerName,
        time: UnixMillis,
        quarantined: bool,
    ) -> Option<VerdictReport<K>> {
        let before = self.verdicts.get(&key);
        if before.is_some_and(CrashVerdict::is_quarantined) == quarantined {
            return None;
        }
        let edition = before.map_or(0, |v| v.edition) + 1;
        let verdict = CrashVerdict { customer: customer.clone(), edition, at_ms: time, trials: 0 };
        let report = VerdictReport(key, verdict);
        self.merge(report.clone());
        Some(report)
    }

    /// Merges a verdict; returns whether it replaced what was known.
    pub fn merge(&mut self, report: VerdictReport<K>) -> bool {
        let VerdictReport(key, verdict) = report;
        if self.verdicts.get(&key).is_some_and(|known| !known.is_superseded_by(&verdict)) {
            return false;
        }
        let customer = verdict.customer.clone();
        self.verdicts.insert(key, verdict);
        self.evict_excess(&customer);
        true
    }

    fn evict_excess(&mut self, customer: &CustomerName) {
        if self.of_customer(customer).count() > MAX_VERDICTS_PER_CUSTOMER {
            self.evict_oldest(&customer.clone());
        }
        if self.verdicts.len() > MAX_VERDICTS
            && let Some(customer) = self.customer_with_most_verdicts()
        {
            self.evict_oldest(&customer);
        }
    }

    fn of_customer(&self, customer: &CustomerName) -> impl Iterator<Item = (&K, &CrashVerdict)> {
        self.verdicts.iter().filter(move |(_, v)| v.customer == *customer)
    }

    fn customer_with_most_verdicts(&self) -> Option<CustomerName> {
        let mut counts: BTreeMap<&CustomerName, usize> = BTreeMap::new();
        for verdict in self.verdicts.values() {
            *counts.entry(&verdict.customer).or_default() += 1;
        }
        counts.into_iter().max_by_key(|(_, count)| *count).map(|(customer, _)| customer.clone())
    }

    /// Evicts the oldest verdict of a customer, those on released requests first.
    fn evict_oldest(&mut self, customer: &CustomerName) {
        let age = |(key, v): &(&K, &CrashVerdict)| (v.is_quarantined(), v.at_ms, **key);
        let oldest = self.of_customer(customer).min_by_key(age).map(|(key, _)| *key);
        if let Some(key) = oldest {
            self.verdicts.remove(&key);
        }
    }

    /// Returns whether there are no verdicts.
    pub fn is_empty(&self) -> bool {
        self.verdicts.is_empty()
    }

    /// Returns how many requests of a customer were quarantined recently.
    pub fn recent_verdicts(&self, customer: &CustomerName, time: UnixMillis) -> usize {
        let since = time.saturating_sub(RECENT_VERDICT_PERIOD.as_millis() as u64);
        let counts = |v: &&CrashVerdict| v.customer == *customer && v.is_quarantined();
        self.verdicts.values().filter(counts).filter(|v| v.at_ms >= since).count()
    }

    /// Returns all verdicts, those on released requests included.
    pub fn all(&self) -> impl Iterator<Item = VerdictReport<K>> {
        self.verdicts.iter().map(|(key, verdict)| VerdictReport(*key, verdict.clone()))
    }

    /// Returns how many requests are quarantined.
    pub fn count(&self) -> usize {
        self.verdicts.values().filter(|v| v.is_quarantined()).count()
    }

    /// Returns a fingerprint that is equal wherever the same verdicts are known; 0 if there are
    /// none.
    pub fn fingerprint(&self) -> u64 {
        let hash_one = |(key, v): (&K, &CrashVerdict)| {
            let numbers = format!("{key} {} {} {}", v.edition, v.trials, v.at_ms);
            crate::prefix::hash(numbers.as_bytes())
        };
        self.verdicts.iter().map(hash_one).fold(0, |all, hash| all ^ hash)
    }
}
