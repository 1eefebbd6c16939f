//! Quotas of customers over all processes together.
//!
//! Each process keeps one token bucket for each customer and takes from it
//! what it admits itself and what the others say that they admitted. The level
//! may fall below zero while views differ; nothing is admitted until the debt
//! is paid, so the rate holds over every longer span.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::gateway::model::{CustomerName, Quota};

/// Shortest time after which a refused caller is asked to come back.
const SHORTEST_WAIT: Duration = Duration::from_millis(200);

/// Which part of the refill this process may count on: its own and that of
/// the processes it hears from. The others may be cut off and still serve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaShare {
    /// Processes that are heard from, this one included.
    pub heard: usize,
    /// Processes that may be serving.
    pub members: usize,
}

impl QuotaShare {
    fn of_refill(self) -> f64 {
        self.heard.max(1) as f64 / self.members.max(self.heard).max(1) as f64
    }
}

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    level: f64,
    at: Instant,
    own: i64,
    others: HashMap<String, i64>,
}

/// Buckets of all customers.
#[derive(Debug)]
pub struct QuotaBook {
    buckets: HashMap<CustomerName, Bucket>,
    started: Instant,
}

impl QuotaBook {
    /// Creates the book of a process that started at `started`. All buckets
    /// were empty then: after a restart nobody may know what was used before.
    pub fn new(started: Instant) -> Self {
        Self { buckets: HashMap::new(), started }
    }

    /// Takes `tokens` from the customer's quota.
    ///
    /// # Errors
    ///
    /// Returns the time after which it is worth coming back if the quota is
    /// used up.
    pub fn take(
        &mut self,
        customer: &CustomerName,
        quota: Quota,
        tokens: u64,
        share: QuotaShare,
        now: Instant,
    ) -> Result<(), Duration> {
        let bucket = self.bucket(customer, quota, now);
        bucket.refill(share, now);
        let tokens = tokens as f64;
        // A request larger than the whole burst runs when the bucket is full.
        let needed = tokens.min(quota.burst.max(1.0));
        if bucket.level < needed {
            let wait = (needed - bucket.level) / (quota.rate * share.of_refill()).max(1.0);
            return Err(Duration::from_secs_f64(wait.min(60.0)).max(SHORTEST_WAIT));
        }
        bucket.level -= tokens;
        bucket.own += tokens as i64;
        Ok(())
    }

    /// Gives back what a request took that did not run.
    pub fn give_back(&mut self, customer: &CustomerName, tokens: u64) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.level += tokens as f64;
            bucket.own -= tokens as i64;
        }
    }

    /// Notes how much another process has admitted since it started.
    pub fn hear(
        &mut self,
        process: &str,
        customer: &CustomerName,
        total: i64,
        quota: Quota,
        now: Instant,
    ) {
        let bucket = self.bucket(customer, quota, now);
        let Some(before) = bucket.others.insert(process.to_owned(), total) else {
            // Nobody knows how much of it was used just now: at worst all of
            // the burst, but the past is no debt.
            let floor = bucket.level.min(0.0);
            bucket.level = (bucket.level - total as f64).max(floor);
            return;
        };
        bucket.level = (bucket.level - (total - before) as f64).max(-quota.burst);
    }

    /// Returns what this process has admitted since it started, by customer.
    pub fn own_totals(&self) -> impl Iterator<Item = (&CustomerName, i64)> {
        self.buckets.iter().map(|(customer, b)| (customer, b.own))
    }

    fn bucket(&mut self, customer: &CustomerName, quota: Quota, now: Instant) -> &mut Bucket {
        let up = now.saturating_duration_since(self.started).as_secs_f64();
        let bucket = self.buckets.entry(customer.clone()).or_insert_with(|| Bucket {
            quota,
            level: (quota.rate * up).min(quota.burst),
            at: now,
            own: 0,
            others: HashMap::new(),
        });
        if bucket.quota != quota {
            bucket.quota = quota;
            bucket.level = bucket.level.min(quota.burst);
        }
        bucket
    }
}

impl Bucket {
    fn refill(&mut self, share: QuotaShare, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let refill = self.quota.rate * share.of_refill() * elapsed;
        self.level = (self.level + refill).min(self.quota.burst);
    }
}
