//! Requests that are known to crash upstreams, as all gateways agree on them.
//!
//! Each process may conclude by itself and the conclusions are merged, in any order and
//! any number of times, to the same result: the higher edition of a verdict wins, and of
//! the same edition the one with more trials.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    gateway::model::{CustomerName, RequestDigest},
    time::UnixMillis,
};

/// Times after the verdict, or the trial before, at which a request that is held for a
/// crash may be tried again; the last one repeats. What is asked for all the time stands at
/// every end of an upstream, and where several end at once in a small fleet it may be held:
/// it is refused for twenty seconds then. A culprit costs two upstreams on its first day and
/// one on each later one.
const TRIAL_AFTER: [Duration; 3] =
    [Duration::from_secs(20), Duration::from_secs(3_600), Duration::from_secs(24 * 3_600)];
/// For how long a verdict counts against the customer's other requests.
const RECORD: Duration = Duration::from_secs(3_600);
/// Verdicts that are kept for each customer; the oldest yields.
const MOST_OF_CUSTOMER: usize = 64;
/// Verdicts that are kept in all: with 45 bytes each they fit into one row of the
/// platform's store, of 64 KiB in base64. Whoever has the most yields.
const MOST_IN_ALL: usize = 1_024;

/// What is known of a request that was held for crashes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashVerdict {
    /// Whose it is; empty for an open route.
    pub customer: CustomerName,
    /// Odd while it is quarantined, even once it is released; rises with each change.
    pub edition: u32,
    /// When it was quarantined, released or last tried.
    pub at_ms: UnixMillis,
    /// How often it was tried since it was quarantined.
    pub trials: u32,
}

impl CrashVerdict {
    /// Returns whether the request is sent to no upstream.
    pub fn is_quarantined(&self) -> bool {
        self.edition % 2 == 1
    }

    /// Returns when it may be tried again, in milliseconds of Unix time.
    fn trial_at_ms(&self) -> UnixMillis {
        let last = TRIAL_AFTER.len() - 1;
        let wait = TRIAL_AFTER[(self.trials as usize).min(last)];
        self.at_ms.saturating_add(wait.as_millis() as u64)
    }

    /// Returns whether `other` says more.
    fn is_older_than(&self, other: &Self) -> bool {
        let rank = |v: &Self| (v.edition, v.trials, v.at_ms);
        rank(self) < rank(other)
    }
}

/// A verdict with the request that it is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictReport(
    /// The request.
    pub RequestDigest,
    /// What is known of it.
    pub CrashVerdict,
);

/// Requests that are or were held for crashes.
#[derive(Debug, Default)]
pub struct Quarantine {
    verdicts: BTreeMap<RequestDigest, CrashVerdict>,
}

impl Quarantine {
    /// Returns whether a request is sent to no upstream.
    pub fn contains(&self, digest: RequestDigest) -> bool {
        self.verdicts.get(&digest).is_some_and(CrashVerdict::is_quarantined)
    }

    /// Returns whether a request that is quarantined may be tried again.
    pub fn is_trial_due(&self, digest: RequestDigest, time: UnixMillis) -> bool {
        self.verdicts.get(&digest).is_some_and(|v| time >= v.trial_at_ms())
    }

    /// Notes that a quarantined request is tried; returns its verdict from now on.
    pub fn note_trial(&mut self, digest: RequestDigest, time: UnixMillis) -> Option<VerdictReport> {
        let verdict = self.verdicts.get_mut(&digest).filter(|v| v.is_quarantined())?;
        verdict.trials += 1;
        verdict.at_ms = time;
        Some(VerdictReport(digest, verdict.clone()))
    }

    /// Quarantines a request; `None` if it is already.
    pub fn hold(
        &mut self,
        digest: RequestDigest,
        customer: &CustomerName,
        time: UnixMillis,
    ) -> Option<VerdictReport> {
        self.turn(digest, customer, time, true)
    }

    /// Releases a request; `None` if it is not quarantined.
    pub fn release(&mut self, digest: RequestDigest, time: UnixMillis) -> Option<VerdictReport> {
        let customer = self.verdicts.get(&digest)?.customer.clone();
        self.turn(digest, &customer, time, false)
    }

    fn turn(
        &mut self,
        digest: RequestDigest,
        customer: &CustomerName,
        time: UnixMillis,
        held: bool,
    ) -> Option<VerdictReport> {
        let before = self.verdicts.get(&digest);
        if before.is_some_and(CrashVerdict::is_quarantined) == held {
            return None;
        }
        let edition = before.map_or(0, |v| v.edition) + 1;
        let verdict = CrashVerdict { customer: customer.clone(), edition, at_ms: time, trials: 0 };
        let report = VerdictReport(digest, verdict);
        self.merge(report.clone());
        Some(report)
    }

    /// Takes over a verdict; returns whether it says more than what was known.
    pub fn merge(&mut self, report: VerdictReport) -> bool {
        let VerdictReport(digest, verdict) = report;
        if self.verdicts.get(&digest).is_some_and(|known| !known.is_older_than(&verdict)) {
            return false;
        }
        let customer = verdict.customer.clone();
        self.verdicts.insert(digest, verdict);
        self.keep_bounds(&customer);
        true
    }

    fn keep_bounds(&mut self, customer: &CustomerName) {
        if self.of_customer(customer).count() > MOST_OF_CUSTOMER {
            self.drop_oldest(&customer.clone());
        }
        if self.verdicts.len() > MOST_IN_ALL
            && let Some(customer) = self.busiest_customer()
        {
            self.drop_oldest(&customer);
        }
    }

    fn of_customer(
        &self,
        customer: &CustomerName,
    ) -> impl Iterator<Item = (&RequestDigest, &CrashVerdict)> {
        self.verdicts.iter().filter(move |(_, v)| v.customer == *customer)
    }

    fn busiest_customer(&self) -> Option<CustomerName> {
        let mut counts: BTreeMap<&CustomerName, usize> = BTreeMap::new();
        for verdict in self.verdicts.values() {
            *counts.entry(&verdict.customer).or_default() += 1;
        }
        counts.into_iter().max_by_key(|(_, count)| *count).map(|(customer, _)| customer.clone())
    }

    /// Drops the oldest verdict of a customer, those on released requests first.
    fn drop_oldest(&mut self, customer: &CustomerName) {
        let age =
            |(digest, v): &(&RequestDigest, &CrashVerdict)| (v.is_quarantined(), v.at_ms, **digest);
        let oldest = self.of_customer(customer).min_by_key(age).map(|(digest, _)| *digest);
        if let Some(digest) = oldest {
            self.verdicts.remove(&digest);
        }
    }

    /// Returns whether no request is or was held.
    pub fn is_empty(&self) -> bool {
        self.verdicts.is_empty()
    }

    /// Returns how many requests of a customer were quarantined of late.
    pub fn record(&self, customer: &CustomerName, time: UnixMillis) -> usize {
        let since = time.saturating_sub(RECORD.as_millis() as u64);
        let counts = |v: &&CrashVerdict| v.customer == *customer && v.is_quarantined();
        self.verdicts.values().filter(counts).filter(|v| v.at_ms >= since).count()
    }

    /// Returns all verdicts.
    pub fn all(&self) -> impl Iterator<Item = VerdictReport> {
        self.verdicts.iter().map(|(digest, verdict)| VerdictReport(*digest, verdict.clone()))
    }

    /// Returns how many requests are quarantined.
    pub fn held(&self) -> usize {
        self.verdicts.values().filter(|v| v.is_quarantined()).count()
    }

    /// Returns a number that is the same wherever the same verdicts are known; 0 for none.
    pub fn mark(&self) -> u64 {
        let one = |(digest, v): (&RequestDigest, &CrashVerdict)| {
            let numbers = format!("{digest} {} {} {}", v.edition, v.trials, v.at_ms);
            crate::prefix::hash(numbers.as_bytes())
        };
        self.verdicts.iter().map(one).fold(0, |all, hash| all ^ hash)
    }
}
