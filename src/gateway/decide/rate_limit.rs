//! Rate limits that upstreams announce, enforced by all gateways together.
//!
//! An upstream's limit covers the requests of all gateways, and an equal share for each gateway
//! may be far less than one request a second. So the limit is divided among a few gateways, the
//! holders, which every gateway determines for itself by rendezvous hashing. Each holder spends
//! its share in whole requests. The other gateways choose other upstreams; where there are none,
//! they ask a holder to grant a request from its share. While gateways disagree about who is in
//! the fleet, the limit can be exceeded by the shares of the gateways that they disagree about.

use std::{
    cmp::Reverse,
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{
    StoreMillis,
    gossip::{GossipState, select_for_heartbeat},
    limit_queue::{LimitQueue, LimitUser},
};
use crate::{gateway::model::Lifetime, prefix};

/// Burst beyond one request, in seconds of the share.
const BURST_SECONDS: f64 = 0.25;
/// Lower bound of a limit, in requests a second: an upstream that gets no requests cannot
/// announce in a response that it takes more again.
const MIN_RATE: f64 = 0.05;
/// How long the end of a limit is reported to other gateways.
const LIMIT_END_REPORT_TIME: Duration = Duration::from_secs(12);
/// Holders of a limit that a gateway may ask. Different gateways ask different holders.
const MAX_HOLDERS_TO_ASK: usize = 4;
/// Delay before a holder is asked again that did not answer, or has no share or no known limit.
pub const GRANT_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Shortest delay before a holder that denied a request is asked again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A gateway that may hold shares of limits, identified by a hash of its host name: a gateway that
/// restarts keeps its shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShareHolder(u64);

impl ShareHolder {
    /// Returns the identifier of the gateway on `host`.
    pub fn new(host: &str) -> Self {
        Self(prefix::hash(host.as_bytes()))
    }

    /// Returns a seed for hashes that must differ between gateways.
    pub fn seed(self) -> u64 {
        self.0
    }
}

/// Answer of a holder that was asked to grant a request from its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantAnswer {
    /// The request may be sent.
    Granted,
    /// The holder expects no capacity for this long.
    Denied(Duration),
}

/// A rate limit that an upstream announced in a response, or the end of one.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitAnnouncement {
    /// Requests a second from all gateways together; `None` if the upstream has no limit.
    pub rate: Option<f64>,
    /// Time of the announcement, by the store's clock; the newest one counts.
    pub at: StoreMillis,
}

/// The limit of one upstream, as gateways report it to each other in heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport(
    /// The upstream that the limit protects.
    pub Lifetime,
    /// Its newest announcement that the reporting gateway knows.
    pub LimitAnnouncement,
);

/// The gateways among which limits are divided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitMembers {
    own: ShareHolder,
    others: Vec<ShareHolder>,
    /// Whether this gateway takes a share.
    takes_share: bool,
}

impl LimitMembers {
    /// Creates the members from this gateway (`own`) and the others, which may repeat or include
    /// `own`. Without `takes_share`, this gateway has no share of any limit.
    pub fn new(
        own: ShareHolder,
        others: impl Iterator<Item = ShareHolder>,
        takes_share: bool,
    ) -> Self {
        let mut others: Vec<ShareHolder> = others.filter(|o| *o != own).collect();
        others.sort_unstable();
        others.dedup();
        Self { own, others, takes_share }
    }

    /// Returns this gateway's share of an upstream's rate, in requests a second, and other holders
    /// that it may ask.
    fn divide(&self, upstream: Lifetime, rate: f64, max_holders: usize) -> (f64, Vec<ShareHolder>) {
        // Each holder may be up to one request ahead of its share, so their number is bounded.
        let holders = (rate as usize).saturating_add(1).min(self.others.len() + 1);
        let holders = holders.min(max_holders);
        let rank = |holder: &ShareHolder| Reverse(score(upstream, *holder));
        let mut others = self.others.clone();
        let own = rank(&self.own);
        let is_holder = others.iter().filter(|o| rank(o) < own).count() < holders;
        if holders < others.len() {
            others.select_nth_unstable_by_key(holders, rank);
            others.truncate(holders);
        }
        // Spreads the questions of different gateways over the holders.
        others.sort_unstable_by_key(|holder| score(upstream, ShareHolder(holder.0 ^ self.own.0)));
        others.truncate(MAX_HOLDERS_TO_ASK);
        let share = if self.takes_share && is_holder { rate / holders as f64 } else { 0.0 };
        (share, others)
    }
}

/// Rendezvous hash of a gateway for an upstream.
fn score(upstream: Lifetime, gateway: ShareHolder) -> u64 {
    prefix::mix(gateway.0 ^ upstream.seed())
}

/// Token bucket of a gateway's share of a limit; one token is one request.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    /// Tokens added a second.
    share: f64,
    /// Tokens at `updated`.
    tokens: f64,
    updated: Instant,
}

impl TokenBucket {
    /// Creates an empty bucket: the gateway that held the share before may have just used it.
    fn new(now: Instant) -> Self {
        Self { share: 0.0, tokens: 0.0, updated: now }
    }

    fn capacity(&self) -> f64 {
        1.0 + self.share * BURST_SECONDS
    }

    fn tokens(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        (self.tokens + self.share * elapsed).min(self.capacity())
    }

    fn set_share(&mut self, share: f64, now: Instant) {
        let tokens = if share > 0.0 { self.tokens(now) } else { 0.0 };
        *self = Self { share, tokens, updated: now };
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Returns the time until a token is available; `None` if there is no share.
    fn wait(&self, now: Instant) -> Option<Duration> {
        let missing = 1.0 - self.tokens(now);
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        (self.share > 0.0).then(|| Duration::from_secs_f64(missing / self.share))
    }

    fn take(&mut self, now: Instant) -> bool {
        let tokens = self.tokens(now);
        if tokens < 1.0 {
            return false;
        }
        (self.tokens, self.updated) = (tokens - 1.0, now);
        true
    }
}

/// A holder that may be asked for a grant, from `not_before` on.
#[derive(Clone, Copy, Debug)]
struct HolderToAsk {
    holder: ShareHolder,
    not_before: Instant,
}

#[derive(Clone, Debug)]
struct Limit {
    notice: LimitAnnouncement,
    bucket: TokenBucket,
    /// Gateways that wait for a token of this gateway's share.
    queue: LimitQueue,
    /// Until when the end of the limit is reported, if it has ended.
    report_end_until: Instant,
    gossip: GossipState,
    /// Other gateways with shares that this one may ask.
    holders: Vec<HolderToAsk>,
    /// Whether the share and the holders match the current rate.
    is_divided: bool,
}

impl Limit {
    fn rate(&self) -> Option<f64> {
        self.notice.rate.map(|rate| rate.max(MIN_RATE))
    }

    /// Returns the time until a gateway may send a request under this gateway's share; `None` if
    /// there is no share.
    fn wait(&self, user: LimitUser, now: Instant) -> Option<Duration> {
        Some(self.bucket.wait(now)?.max(self.queue.blocked_for(user, now)))
    }

    /// Takes a token for a request of a gateway; returns whether the request may be sent.
    fn take(&mut self, user: LimitUser, now: Instant) -> bool {
        let taken = self.queue.blocked_for(user, now).is_zero() && self.bucket.take(now);
        if taken {
            self.queue.leave(user);
        }
        taken
    }

    /// Lets a gateway wait for its turn. Returns the time until then, or `None` if there is no share.
    fn enqueue(&mut self, user: LimitUser, now: Instant) -> Option<Duration> {
        let wait = self.wait(user, now)?;
        self.queue.wait_until(user, now + wait, now);
        Some(wait)
    }
}

/// The newest known limit of each upstream that announced one, and this gateway's share of it.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    limits: HashMap<Lifetime, Limit>,
    /// Members of the last division; `None` before the first.
    members: Option<LimitMembers>,
    /// Most holders of one limit.
    max_holders: usize,
}

impl Default for RateLimiter {
    fn default() -> Self {
        Self { limits: HashMap::new(), members: None, max_holders: usize::MAX }
    }
}

impl RateLimiter {
    /// Creates a limiter in which one gateway holds each limit.
    pub fn with_single_holders() -> Self {
        Self { max_holders: 1, ..Self::default() }
    }

    /// Takes an upstream's announcement unless a newer one is known; returns whether the
    /// upstream's limit changes.
    pub fn learn(&mut self, upstream: Lifetime, notice: LimitAnnouncement, now: Instant) -> bool {
        let report_end_until = now + LIMIT_END_REPORT_TIME;
        let Some(known) = self.limits.get_mut(&upstream) else {
            if notice.rate.is_some() {
                let limit = Limit {
                    notice,
                    bucket: TokenBucket::new(now),
                    queue: LimitQueue::default(),
                    report_end_until,
                    gossip: GossipState::new(now),
                    holders: Vec::new(),
                    is_divided: false,
                };
                self.limits.insert(upstream, limit);
            }
            return notice.rate.is_some();
        };
        if notice.at < known.notice.at {
            // The sender does not know the newer announcement yet, so that one is sent again.
            known.report_end_until = report_end_until;
            known.gossip.prioritize();
            return false;
        }
        let changed = known.notice.rate != notice.rate;
        if changed {
            known.report_end_until = report_end_until;
            known.gossip.prioritize();
            known.is_divided = false;
        }
        known.notice = notice;
        changed
    }

    /// Divides the limits among the members, where limits or members have changed.
    pub fn divide(&mut self, members: LimitMembers, now: Instant) {
        let are_new = self.members.as_ref() != Some(&members);
        for (upstream, limit) in self.limits.iter_mut().filter(|(_, l)| are_new || !l.is_divided) {
            let divided =
                limit.rate().map(|rate| members.divide(*upstream, rate, self.max_holders));
            let (share, holders) = divided.unwrap_or_default();
            limit.bucket.set_share(share, now);
            limit.queue.set_share(share);
            limit.holders =
                holders.into_iter().map(|holder| HolderToAsk { holder, not_before: now }).collect();
            limit.is_divided = true;
        }
        self.members = Some(members);
    }

    /// Returns the time until this gateway may send a request to an upstream: zero if the upstream
    /// has no limit, `None` if this gateway has no share of it.
    pub fn wait(&self, upstream: Lifetime, now: Instant) -> Option<Duration> {
        match self.limits.get(&upstream).filter(|l| l.notice.rate.is_some()) {
            Some(limit) => limit.wait(None, now),
            None => Some(Duration::ZERO),
        }
    }

    /// Takes a token for a request to an upstream; returns whether the request may be sent.
    pub fn take(&mut self, upstream: Lifetime, now: Instant) -> bool {
        match self.limits.get_mut(&upstream).filter(|l| l.notice.rate.is_some()) {
            Some(limit) => limit.take(None, now),
            None => true,
        }
    }

    /// Notes that a request of this gateway was refused for want of a token, so that it gets one in
    /// turn with the gateways that ask for grants.
    pub fn note_refused(&mut self, upstream: Lifetime, now: Instant) {
        if let Some(limit) = self.limits.get_mut(&upstream).filter(|l| l.notice.rate.is_some()) {
            limit.enqueue(None, now);
        }
    }

    /// Returns whether this gateway holds a share of an upstream's limit.
    pub fn is_holder(&self, upstream: Lifetime) -> bool {
        self.limits.get(&upstream).is_some_and(|l| l.bucket.share > 0.0)
    }

    /// Returns the newest announcement of an upstream; `None` if it made none.
    pub fn announcement(&self, upstream: Lifetime) -> Option<LimitAnnouncement> {
        self.limits.get(&upstream).map(|l| l.notice)
    }

    /// Takes a token from this gateway's share for a request of another gateway, or lets that gateway
    /// wait for its turn.
    ///
    /// # Errors
    ///
    /// Fails with the time after which to ask again, if no token is available or no limit known.
    pub fn grant(
        &mut self,
        upstream: Lifetime,
        to: SocketAddr,
        now: Instant,
    ) -> Result<(), Duration> {
        // The asking gateway knows of a limit. This one may not have heard of it yet, so it must not
        // treat the upstream as unlimited.
        let limit = self.limits.get_mut(&upstream).filter(|l| l.notice.rate.is_some());
        let limit = limit.ok_or(GRANT_RETRY_DELAY)?;
        match limit.take(Some(to), now) {
            true => Ok(()),
            false => Err(limit.enqueue(Some(to), now).unwrap_or(GRANT_RETRY_DELAY)),
        }
    }

    /// Returns the holders that may have capacity and may be asked at `now`.
    pub fn holders_to_ask(
        &self,
        upstream: Lifetime,
        now: Instant,
    ) -> impl Iterator<Item = ShareHolder> {
        let limit = self.limits.get(&upstream).filter(|l| l.notice.rate.is_some());
        let holders = limit.into_iter().flat_map(|l| &l.holders);
        holders.filter(move |h| h.not_before <= now).map(|h| h.holder)
    }

    /// Returns the time until another holder may be asked; `None` if there is none.
    pub fn wait_for_holders(&self, upstream: Lifetime, now: Instant) -> Option<Duration> {
        let holders = &self.limits.get(&upstream)?.holders;
        let waits = holders.iter().map(|h| h.not_before.saturating_duration_since(now));
        waits.min().map(|wait| wait.max(MIN_RETRY_DELAY))
    }

    /// Records a holder's answer: a holder that denied is not asked again before the given time.
    pub fn note_answer(
        &mut self,
        upstream: Lifetime,
        holder: ShareHolder,
        answer: GrantAnswer,
        now: Instant,
    ) {
        let limit = self.limits.get_mut(&upstream);
        let entry = limit.and_then(|l| l.holders.iter_mut().find(|h| h.holder == holder));
        if let (Some(entry), GrantAnswer::Denied(wait)) = (entry, answer) {
            entry.not_before = now + wait.max(MIN_RETRY_DELAY);
        }
    }

    /// Returns the requests a second that all gateways together may send to an upstream; `None` if
    /// it has no limit.
    pub fn rate(&self, upstream: Lifetime) -> Option<f64> {
        self.limits.get(&upstream).and_then(Limit::rate)
    }

    /// Returns the limits to report to other gateways in the next heartbeat.
    pub fn reports(&mut self, now: Instant) -> Vec<LimitReport> {
        let due = self.limits.iter_mut().filter(|(_, limit)| limit.gossip.is_due(now));
        let reported = due.filter(|(_, l)| l.notice.rate.is_some() || now < l.report_end_until);
        let reported = select_for_heartbeat(
            reported.map(|(upstream, limit)| (*upstream, &mut limit.gossip, limit.notice)),
        );
        reported.into_iter().map(|(upstream, notice)| LimitReport(upstream, notice)).collect()
    }

    /// Returns the number of upstreams that have a limit.
    pub fn count_limited(&self) -> usize {
        self.limits.values().filter(|l| l.notice.rate.is_some()).count()
    }

    /// Removes upstreams that have not been `listed` for the retention time.
    pub fn retain(&mut self, listed: impl Fn(Lifetime) -> bool, now: Instant) {
        self.limits.retain(|upstream, limit| limit.gossip.update_listed(listed(*upstream), now));
    }
}
