//! Quotas of customers over all processes together.
//!
//! Each process keeps one token bucket for each customer and takes from it
//! what it admits itself and what the others say that they admitted. The level
//! may fall below zero while views differ; nothing is admitted until the debt
//! is paid, so the rate holds over every longer span.
//!
//! The operator counts over a window of seconds. Within it a bucket may hold
//! some more than the burst, since a few large requests come at once now and
//! then; the sum over the window still keeps rate and burst.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use super::WindowSum;
use crate::gateway::model::{CustomerName, Quota};

/// Shortest time after which a refused caller is asked to come back.
const SHORTEST_WAIT: Duration = Duration::from_millis(200);

/// Longest such time.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// Time after its start in which a process does not refill its buckets: it may
/// not have heard yet of the others that share the rate. Their heartbeats come
/// several times a second.
const HEARING_TIME: Duration = Duration::from_millis(500);

/// For how long a process that is not heard is taken to go on as before. With
/// hundreds of processes each is heard about once in this time. After it the
/// process is gone, or cut off and lives on its own part of the rate, which
/// this process does not count on either.
const LONGEST_ASSUMED: Duration = Duration::from_millis(1_500);
/// Window of an operator who names none.
const DEFAULT_WINDOW: Duration = Duration::from_secs(8);
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

/// How the operator counts quotas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    /// Window over which a customer's requests are summed up.
    pub window: Duration,
    /// What a bucket holds beyond the burst.
    pub extra: f64,
}

impl Default for QuotaTerms {
    fn default() -> Self {
        Self { window: DEFAULT_WINDOW, extra: 0.0 }
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
    admitted: WindowSum,
}

/// Buckets of all customers.
#[derive(Debug)]
pub struct QuotaBook {
    buckets: HashMap<CustomerName, Bucket>,
    filling_since: Instant,
    restored: BTreeMap<CustomerName, f64>,
    terms: QuotaTerms,
}

/// Why a request lies beyond its customer's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaUsedUp {
    /// Time after which it is worth coming back.
    pub wait: Duration,
    /// Tokens in the bucket; a debt if negative.
    pub level: f64,
    /// Tokens admitted in the operator's window, by all processes.
    pub in_window: f64,
    /// Tokens that silent processes are taken to have admitted since.
    pub assumed: f64,
    /// The part of the quota that was counted on.
    pub share: QuotaShare,
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
            terms: QuotaTerms::default(),
        }
    }

    /// Sets how the operator counts.
    pub fn set_terms(&mut self, terms: QuotaTerms) {
        self.terms = terms;
    }

    /// Takes `tokens` from the customer's quota.
    ///
    /// # Errors
    ///
    /// Fails if the quota is used up.
    pub fn take(
        &mut self,
        customer: &CustomerName,
        quota: Quota,
        tokens: u64,
        share: QuotaShare,
        now: Instant,
    ) -> Result<(), QuotaUsedUp> {
        let terms = self.terms;
        let bucket = self.bucket(customer, quota, now);
        bucket.refill(share, terms, now);
        let tokens = tokens as f64;
        let assumed = bucket.assumed(now);
        let wait = bucket
            .wait_for_level(tokens, assumed, share, terms)
            .max(bucket.wait_for_window(tokens, assumed, share, terms, now));
        if let Some(wait) = wait {
            return Err(QuotaUsedUp {
                wait: wait.clamp(SHORTEST_WAIT, LONGEST_WAIT),
                level: bucket.level,
                in_window: bucket.admitted.total(terms.window, now),
                assumed,
                share,
            });
        }
        bucket.level -= tokens;
        bucket.own += tokens as i64;
        bucket.admitted.add(tokens, terms.window, now);
        Ok(())
    }

    /// Gives back what a request took that did not run.
    pub fn give_back(&mut self, customer: &CustomerName, tokens: u64, now: Instant) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.level += tokens as f64;
            bucket.own -= tokens as i64;
            bucket.admitted.add(-(tokens as f64), self.terms.window, now);
        }
    }

    /// Notes how much another process has admitted since it started. What an
    /// `older` process admitted before it was first heard of is past: it is in
    /// the levels that this process began with.
    pub fn hear(&mut self, peer: PeerTotal<'_>, quota: Quota, now: Instant) {
        let window = self.terms.window;
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
        bucket.admitted.add(admitted, window, now);
    }

    /// Begins with the levels that were kept from earlier processes.
    pub fn restore(&mut self, levels: &BTreeMap<CustomerName, f64>, now: Instant) {
        let extra = self.terms.extra;
        for (customer, level) in levels {
            self.restored.insert(customer.clone(), *level);
            if let Some(bucket) = self.buckets.get_mut(customer) {
                bucket.level = bucket.level.max(level.min(bucket.quota.burst + extra));
            }
        }
        self.filling_since = self.filling_since.min(now);
    }

    /// Returns the levels as of now, to be kept for processes that start later. What
    /// the others admit is taken off as it is heard, and the refill comes with this
    /// process's own requests: without it a holder that sees few of a customer's
    /// requests would keep a debt for a customer far within its quota, who would be
    /// refused after a loss of all processes.
    pub fn levels(&mut self, share: QuotaShare, now: Instant) -> BTreeMap<CustomerName, f64> {
        let terms = self.terms;
        let level = |(customer, bucket): (&CustomerName, &mut Bucket)| {
            bucket.refill(share, terms, now);
            (customer.clone(), bucket.level)
        };
        self.buckets.iter_mut().map(level).collect()
    }

    /// Returns what this process has admitted since it started, by customer.
    pub fn own_totals(&self) -> impl Iterator<Item = (&CustomerName, i64)> {
        self.buckets.iter().map(|(customer, b)| (customer, b.own))
    }

    fn bucket(&mut self, customer: &CustomerName, quota: Quota, now: Instant) -> &mut Bucket {
        let up = now.saturating_duration_since(self.filling_since).as_secs_f64();
        let kept = self.restored.get(customer).copied().unwrap_or(0.0);
        let most = quota.burst + self.terms.extra;
        let bucket = self.buckets.entry(customer.clone()).or_insert_with(|| Bucket {
            quota,
            level: (kept + quota.rate * up).min(most),
            at: now.max(self.filling_since),
            own: 0,
            others: HashMap::new(),
            admitted: WindowSum::default(),
        });
        if bucket.quota != quota {
            bucket.quota = quota;
            bucket.level = bucket.level.min(most);
        }
        bucket
    }
}

impl Bucket {
    /// Returns what the others have likely admitted since they were heard.
    fn assumed(&self, now: Instant) -> f64 {
        self.others.values().map(|o| o.assumed(now)).sum()
    }

    fn refill(&mut self, share: QuotaShare, terms: QuotaTerms, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let refill = self.quota.rate * share.part() * elapsed;
        self.level = (self.level + refill).min(self.quota.burst + terms.extra);
    }

    /// Returns how long the bucket takes to hold enough; `None` if it does.
    fn wait_for_level(
        &self,
        tokens: f64,
        assumed: f64,
        share: QuotaShare,
        terms: QuotaTerms,
    ) -> Option<Duration> {
        let most = self.quota.burst + terms.extra;
        // What is left to processes that are not heard.
        let reserved = most * (1.0 - share.part());
        // A request larger than all that it holds runs when the bucket is full.
        let needed = tokens.min((most - reserved).max(1.0));
        let level = self.level - assumed - reserved;
        (level < needed).then(|| {
            let rate = (self.quota.rate * share.part()).max(1.0);
            Duration::from_secs_f64(((needed - level) / rate).min(LONGEST_WAIT.as_secs_f64()))
        })
    }

    /// Returns how long it takes until the sum over the operator's window
    /// leaves room; `None` if it does.
    fn wait_for_window(
        &mut self,
        tokens: f64,
        assumed: f64,
        share: QuotaShare,
        terms: QuotaTerms,
        now: Instant,
    ) -> Option<Duration> {
        let most = self.quota.rate * terms.window.as_secs_f64() + self.quota.burst;
        let most = (most * share.part()).max(1.0);
        let over = self.admitted.total(terms.window, now) + assumed + tokens.min(most) - most;
        (over > 0.0).then(|| self.admitted.time_until_left(over, terms.window, now))
    }
}
