//! Quotas of customers, enforced over all processes together.
//!
//! Each process keeps one token bucket per customer. It takes from it what it admits itself and
//! what the other processes report to have admitted. While views differ, the level may fall
//! below zero; nothing is admitted until the debt is paid, so the rate holds over every longer
//! time span.
//!
//! The operator counts over a window of some seconds. A bucket may hold more than the burst,
//! since a few large requests sometimes arrive at once; the sum over the window is limited to
//! rate and burst in addition.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use super::WindowSum;
use crate::gateway::model::{CustomerName, Quota};

mod rank_demand;
mod ranked;

use rank_demand::RankDemand;
use ranked::RankShares;
pub use ranked::RankedRequest;

/// Lower limit of the retry delay given to a refused caller.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Upper limit of the retry delay given to a refused caller.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Time after the start of a process in which it does not refill its buckets, since it may not
/// have heard yet from the others that share the rate. Their heartbeats come several times a
/// second.
const DISCOVERY_TIME: Duration = Duration::from_millis(500);

/// Time for which a process that is not heard from is assumed to admit requests at its last
/// known rate. With hundreds of processes, each is heard from about once in this time. After
/// it, the process has ended, or it is cut off and uses its own fraction of the rate, which
/// this process does not use either.
const MAX_ASSUMED_TIME: Duration = Duration::from_millis(1_500);
/// Window over which the operator counts if the settings name none.
const DEFAULT_WINDOW: Duration = Duration::from_secs(8);
/// Shortest time over which the rate of another process is computed, in seconds.
const MIN_RATE_PERIOD: f64 = 0.1;

/// Fraction of a quota that this process may use: its own and that of the processes it hears
/// from. The others may be cut off and still serve requests, or may just have started like this
/// one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaShare {
    /// Processes that are heard from, this one included.
    pub heard: usize,
    /// Processes that may be serving requests.
    pub members: usize,
}

impl QuotaShare {
    fn fraction(self) -> f64 {
        self.heard.max(1) as f64 / self.members.max(self.heard).max(1) as f64
    }
}

/// How the operator counts quotas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaPolicy {
    /// Window over which a customer's requests are summed.
    pub window: Duration,
    /// Tokens that a bucket may hold beyond the burst.
    pub extra: f64,
}

impl Default for QuotaPolicy {
    fn default() -> Self {
        Self { window: DEFAULT_WINDOW, extra: 0.0 }
    }
}

/// Tokens that another process has admitted, as last reported. Until its next report it is
/// assumed to continue at the same rate.
#[derive(Clone, Copy, Debug)]
struct PeerUsage {
    total: i64,
    heard_at: Instant,
    rate: f64,
    /// Rate over at least a second, as [`QuotaLimiter::take_ranked`] extrapolates it.
    steady_rate: f64,
}

impl PeerUsage {
    fn assumed_tokens(&self, now: Instant) -> f64 {
        let silence = now.saturating_duration_since(self.heard_at);
        if silence > MAX_ASSUMED_TIME {
            return 0.0;
        }
        self.rate * silence.as_secs_f64()
    }
}

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    level: f64,
    refilled_at: Instant,
    own_total: i64,
    peers: HashMap<String, PeerUsage>,
    /// Tokens that all processes have admitted in the operator's window.
    admitted: WindowSum,
    /// Tokens that this process has admitted in it.
    own_admitted: WindowSum,
    /// Mean interval between the reports of another process, in seconds; 0 before the first.
    report_interval: f64,
    /// Tokens that requests here have asked for, by rank.
    demand: RankDemand,
    /// Tokens that the least urgent ranks may take although more urgent ones need all.
    shares: RankShares,
}

/// Token buckets of all customers.
#[derive(Debug)]
pub struct QuotaLimiter {
    buckets: HashMap<CustomerName, Bucket>,
    refill_from: Instant,
    restored_levels: BTreeMap<CustomerName, f64>,
    terms: QuotaPolicy,
}

/// Reason for which a request exceeds its customer's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaUsedUp {
    /// Time after which a retry can succeed.
    pub wait: Duration,
    /// Tokens in the bucket; negative for a debt.
    pub level: f64,
    /// Tokens that all processes have admitted in the operator's window.
    pub in_window: f64,
    /// Tokens that other processes are assumed to have admitted since their last reports.
    pub assumed: f64,
    /// Fraction of the quota that this process may use.
    pub share: QuotaShare,
    /// Tokens that the request had to leave for more urgent ones; 0 where ranks are not in use.
    pub reserved: f64,
}

/// Total that another process reports to have admitted for a customer.
#[derive(Clone, Copy, Debug)]
pub struct PeerTotal<'a> {
    /// Process that reports the total.
    pub process: &'a str,
    /// Whether the process started well before this one.
    pub older: bool,
    /// Customer whose requests were admitted.
    pub customer: &'a CustomerName,
    /// Tokens admitted since the start of the process.
    pub total: i64,
}

impl QuotaLimiter {
    /// Creates the buckets of a process that started at `started`. They are empty until stored
    /// levels are restored: the processes before may have used the whole quota just before.
    pub fn new(started: Instant) -> Self {
        Self {
            buckets: HashMap::new(),
            refill_from: started + DISCOVERY_TIME,
            restored_levels: BTreeMap::new(),
            terms: QuotaPolicy::default(),
        }
    }

    /// Sets how the operator counts.
    pub fn set_terms(&mut self, terms: QuotaPolicy) {
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
        bucket.limit_level_to_window(share, terms, now);
        let tokens = tokens as f64;
        let assumed = bucket.assumed_tokens(now);
        let wait = bucket
            .wait_for_level(tokens, assumed, share, terms)
            .max(bucket.wait_for_window(tokens, assumed, share, terms, now));
        if let Some(wait) = wait {
            return Err(QuotaUsedUp {
                wait: wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY),
                level: bucket.level,
                in_window: bucket.admitted.total(terms.window, now),
                assumed,
                share,
                reserved: 0.0,
            });
        }
        bucket.charge(tokens, terms, now);
        Ok(())
    }

    /// Returns the tokens of a request that did not run.
    pub fn give_back(&mut self, customer: &CustomerName, tokens: u64, now: Instant) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.level += tokens as f64;
            bucket.own_total -= tokens as i64;
            bucket.admitted.add(-(tokens as f64), self.terms.window, now);
            bucket.own_admitted.add(-(tokens as f64), self.terms.window, now);
        }
    }

    /// Records the total that another process has admitted since its start. What an `older`
    /// process admitted before its first report to this one is ignored: it is already part of
    /// the levels that this process started from.
    pub fn record_peer_total(&mut self, peer: PeerTotal<'_>, quota: Quota, now: Instant) {
        let window = self.terms.window;
        let bucket = self.bucket(peer.customer, quota, now);
        let previous = bucket.peers.get(peer.process).copied();
        let baseline = previous.map_or(if peer.older { peer.total } else { 0 }, |p| p.total);
        let admitted = (peer.total - baseline) as f64;
        let rate = previous.map_or(0.0, |p| {
            let period = now.saturating_duration_since(p.heard_at).as_secs_f64();
            (admitted / period.max(MIN_RATE_PERIOD)).max(0.0)
        });
        let steady_rate = previous.map_or(0.0, |p| p.next_steady_rate(admitted, now));
        if let Some(previous) = previous {
            bucket.note_report_interval(now.saturating_duration_since(previous.heard_at));
        }
        let usage = PeerUsage { total: peer.total, heard_at: now, rate, steady_rate };
        bucket.peers.insert(peer.process.to_owned(), usage);
        bucket.level = (bucket.level - admitted).max(-quota.burst);
        bucket.admitted.add(admitted, window, now);
    }

    /// Restores the levels that earlier processes stored.
    pub fn restore(&mut self, levels: &BTreeMap<CustomerName, f64>, now: Instant) {
        let extra = self.terms.extra;
        for (customer, level) in levels {
            self.restored_levels.insert(customer.clone(), *level);
            if let Some(bucket) = self.buckets.get_mut(customer) {
                bucket.level = bucket.level.max(level.min(bucket.quota.burst + extra));
            }
        }
        self.refill_from = self.refill_from.min(now);
    }

    /// Returns the levels as of now, to be stored for processes that start later. Reports of
    /// other processes reduce a level when they arrive, but otherwise only this process's own
    /// requests refill it. Without the refill here, a holder that sees few of a customer's
    /// requests would store a debt for a customer well within its quota, whose requests would
    /// be refused after a restart of all processes.
    pub fn levels(&mut self, share: QuotaShare, now: Instant) -> BTreeMap<CustomerName, f64> {
        let terms = self.terms;
        let level = |(customer, bucket): (&CustomerName, &mut Bucket)| {
            bucket.refill(share, terms, now);
            (customer.clone(), bucket.level)
        };
        self.buckets.iter_mut().map(level).collect()
    }

    /// Returns what this process has admitted since its start, by customer.
    pub fn own_totals(&self) -> impl Iterator<Item = (&CustomerName, i64)> {
        self.buckets.iter().map(|(customer, b)| (customer, b.own_total))
    }

    fn bucket(&mut self, customer: &CustomerName, quota: Quota, now: Instant) -> &mut Bucket {
        let refill_seconds = now.saturating_duration_since(self.refill_from).as_secs_f64();
        let stored = self.restored_levels.get(customer).copied().unwrap_or(0.0);
        let max_level = quota.burst + self.terms.extra;
        let bucket = self.buckets.entry(customer.clone()).or_insert_with(|| Bucket {
            quota,
            level: (stored + quota.rate * refill_seconds).min(max_level),
            refilled_at: now.max(self.refill_from),
            own_total: 0,
            peers: HashMap::new(),
            admitted: WindowSum::default(),
            own_admitted: WindowSum::default(),
            report_interval: 0.0,
            demand: RankDemand::default(),
            shares: RankShares::default(),
        });
        if bucket.quota != quota {
            bucket.quota = quota;
            bucket.level = bucket.level.min(max_level);
        }
        bucket
    }
}

impl Bucket {
    fn charge(&mut self, tokens: f64, terms: QuotaPolicy, now: Instant) {
        self.level -= tokens;
        self.own_total += tokens as i64;
        self.admitted.add(tokens, terms.window, now);
        self.own_admitted.add(tokens, terms.window, now);
    }

    /// Returns what the other processes have probably admitted since their last reports.
    fn assumed_tokens(&self, now: Instant) -> f64 {
        self.peers.values().map(|o| o.assumed_tokens(now)).sum()
    }

    fn refill(&mut self, share: QuotaShare, terms: QuotaPolicy, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let refill = self.quota.rate * share.fraction() * elapsed;
        self.level = (self.level + refill).min(self.quota.burst + terms.extra);
    }

    /// Limits the level to what the operator's window has room for, or to this process's part of a
    /// full bucket. A level that rises while the window refuses requests would otherwise let every
    /// process admit all that the window frees at once, before it hears of the others.
    fn limit_level_to_window(&mut self, share: QuotaShare, terms: QuotaPolicy, now: Instant) {
        let max_level = self.quota.burst + terms.extra;
        let reserved = max_level * (1.0 - share.fraction());
        let admitted = self.admitted.total(terms.window, now);
        if admitted <= 0.0 {
            return;
        }
        let room = self.window_limit(share, terms) - admitted;
        let own_part = self.own_admitted.total(terms.window, now) / admitted;
        let own_level = max_level * own_part.clamp(0.0, 1.0);
        self.level = self.level.min(room.max(own_level) + reserved);
    }

    /// Returns the tokens that may be admitted in the operator's window.
    fn window_limit(&self, share: QuotaShare, terms: QuotaPolicy) -> f64 {
        let limit = self.quota.rate * terms.window.as_secs_f64() + self.quota.burst;
        (limit * share.fraction()).max(1.0)
    }

    /// Returns the time until the bucket holds enough tokens; `None` if it already does.
    fn wait_for_level(
        &self,
        tokens: f64,
        assumed: f64,
        share: QuotaShare,
        terms: QuotaPolicy,
    ) -> Option<Duration> {
        let max_level = self.quota.burst + terms.extra;
        // Reserved for processes that are not heard from.
        let reserved = max_level * (1.0 - share.fraction());
        // A request larger than the capacity of the bucket runs when the bucket is full.
        let needed = tokens.min((max_level - reserved).max(1.0));
        let level = self.level - assumed - reserved;
        (level < needed).then(|| {
            let rate = (self.quota.rate * share.fraction()).max(1.0);
            Duration::from_secs_f64(((needed - level) / rate).min(MAX_RETRY_DELAY.as_secs_f64()))
        })
    }

    /// Returns the time until the sum over the operator's window leaves room for the request;
    /// `None` if it already does.
    fn wait_for_window(
        &mut self,
        tokens: f64,
        assumed: f64,
        share: QuotaShare,
        terms: QuotaPolicy,
        now: Instant,
    ) -> Option<Duration> {
        let limit = self.window_limit(share, terms);
        let over = self.admitted.total(terms.window, now) + assumed + tokens.min(limit) - limit;
        (over > 0.0).then(|| self.admitted.time_until_expired(over, terms.window, now))
    }
}
