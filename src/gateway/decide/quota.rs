//! Quotas of customers over all processes together.
//!
//! Each process keeps one token bucket for each customer and takes from it
//! what it admits itself and what the others say that they admitted. The level
//! may fall below zero while views differ; nothing is admitted until the debt
//! is paid, so the rate holds over every longer span.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use crate::gateway::model::{CustomerName, Quota};

/// Shortest time after which a refused caller is asked to come back.
const SHORTEST_WAIT: Duration = Duration::from_millis(200);

/// Time after its start in which a process does not refill its buckets: it may
/// not have heard yet of the others that share the rate. Their heartbeats come
/// several times a second.
const HEARING_TIME: Duration = Duration::from_millis(500);

/// For how long a process that is not heard is taken to go on as before. With
/// hundreds of processes each is heard about once in this time. After it the
/// process is gone, or cut off and lives on its own part of the rate, which
/// this process does not count on either.
const LONGEST_ASSUMED: Duration = Duration::from_millis(1_500);
/// Shortest span over which the rate of another process is judged.
const SHORTEST_SPAN: f64 = 0.1;

/// Which part of a quota this process may count on: its own and that of the
/// processes it hears from. The others may be cut off and still serve, or have
/// just started like this one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaShare {
    /// Processes that are heard from, this one included.
    pub heard: usize,
    /// Processes that may be serving.
    pub members: usize,
}

impl QuotaShare {
    fn part(self) -> f64 {
        self.heard.max(1) as f64 / self.members.max(self.heard).max(1) as f64
    }
}

/// What another process admitted, as last heard. Until it is heard again it is
/// taken to go on at the same rate.
#[derive(Clone, Copy, Debug)]
struct Other {
    total: i64,
    heard: Instant,
    rate: f64,
}

impl Other {
    fn assumed(&self, now: Instant) -> f64 {
        let silent = now.saturating_duration_since(self.heard);
        if silent > LONGEST_ASSUMED {
            return 0.0;
        }
        self.rate * silent.as_secs_f64()
    }
}

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    level: f64,
    at: Instant,
    own: i64,
    others: HashMap<String, Other>,
}

/// Buckets of all customers.
#[derive(Debug)]
pub struct QuotaBook {
    buckets: HashMap<CustomerName, Bucket>,
    filling_since: Instant,
    restored: BTreeMap<CustomerName, f64>,
}

/// What another process says that it admitted for a customer.
#[derive(Clone, Copy, Debug)]
pub struct PeerTotal<'a> {
    /// The process.
    pub process: &'a str,
    /// Whether it started well before this one.
    pub older: bool,
    /// The customer.
    pub customer: &'a CustomerName,
    /// Tokens since the start of that process.
    pub total: i64,
}

impl QuotaBook {
    /// Creates the book of a process that started at `started`. All buckets
    /// are empty then, until kept levels are restored: the processes before may
    /// have used everything just now.
    pub fn new(started: Instant) -> Self {
        Self {
            buckets: HashMap::new(),
            filling_since: started + HEARING_TIME,
            restored: BTreeMap::new(),
        }
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
        // Part of the burst that is left to processes that are not heard.
        let reserved = quota.burst * (1.0 - share.part());
        // A request larger than the whole burst runs when the bucket is full.
        let needed = tokens.min((quota.burst - reserved).max(1.0));
        let level = bucket.level - bucket.assumed(now) - reserved;
        if level < needed {
            let wait = (needed - level) / (quota.rate * share.part()).max(1.0);
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

    /// Notes how much another process has admitted since it started. What an
    /// `older` process admitted before it was first heard of is past: it is in
    /// the levels that this process began with.
    pub fn hear(&mut self, peer: PeerTotal<'_>, quota: Quota, now: Instant) {
        let bucket = self.bucket(peer.customer, quota, now);
        let before = bucket.others.get(peer.process).copied();
        let known = before.map_or(if peer.older { peer.total } else { 0 }, |b| b.total);
        let admitted = (peer.total - known) as f64;
        let rate = before.map_or(0.0, |b| {
            let span = now.saturating_duration_since(b.heard).as_secs_f64();
            (admitted / span.max(SHORTEST_SPAN)).max(0.0)
        });
        let other = Other { total: peer.total, heard: now, rate };
        bucket.others.insert(peer.process.to_owned(), other);
        bucket.level = (bucket.level - admitted).max(-quota.burst);
    }

    /// Begins with the levels that were kept from earlier processes.
    pub fn restore(&mut self, levels: &BTreeMap<CustomerName, f64>, now: Instant) {
        for (customer, level) in levels {
            self.restored.insert(customer.clone(), *level);
            if let Some(bucket) = self.buckets.get_mut(customer) {
                bucket.level = bucket.level.max(level.min(bucket.quota.burst));
            }
        }
        self.filling_since = self.filling_since.min(now);
    }

    /// Returns the levels, to be kept for processes that start later.
    pub fn levels(&self) -> BTreeMap<CustomerName, f64> {
        self.buckets.iter().map(|(customer, b)| (customer.clone(), b.level)).collect()
    }

    /// Returns what this process has admitted since it started, by customer.
    pub fn own_totals(&self) -> impl Iterator<Item = (&CustomerName, i64)> {
        self.buckets.iter().map(|(customer, b)| (customer, b.own))
    }

    fn bucket(&mut self, customer: &CustomerName, quota: Quota, now: Instant) -> &mut Bucket {
        let up = now.saturating_duration_since(self.filling_since).as_secs_f64();
        let kept = self.restored.get(customer).copied().unwrap_or(0.0);
        let bucket = self.buckets.entry(customer.clone()).or_insert_with(|| Bucket {
            quota,
            level: (kept + quota.rate * up).min(quota.burst),
            at: now.max(self.filling_since),
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
    /// Returns what the others have likely admitted since they were heard.
    fn assumed(&self, now: Instant) -> f64 {
        self.others.values().map(|o| o.assumed(now)).sum()
    }

    fn refill(&mut self, share: QuotaShare, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let refill = self.quota.rate * share.part() * elapsed;
        self.level = (self.level + refill).min(self.quota.burst);
    }
}
