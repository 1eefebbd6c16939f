//! Rate limits that upstreams name, held by all gateways together.
//!
//! An upstream's limit counts the requests of all gateways, and may leave each of them far
//! less than one request a second. So it is divided among a few gateways, which all draw alike
//! by rendezvous hashing, and each spends its part in whole requests; the others choose other
//! upstreams. Gateways whose views of the fleet differ for a while exceed the limit by the
//! part of those over which they differ.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::StoreMillis;
use crate::{gateway::model::Lifetime, prefix};

/// Span of its part that a gateway may save up beyond one request.
const SAVED_SPAN: f64 = 0.25;
/// Least requests a second that count as the limit: an upstream that gets none cannot say
/// that it takes more again.
const LEAST_RATE: f64 = 0.05;
/// For how long the others are told that a limit has ended.
const END_TOLD: Duration = Duration::from_secs(12);
/// Limits that go along with one heartbeat at most: with more, they take turns.
const TOLD_AT_ONCE: usize = 32;
/// For how long a limit is remembered of an upstream that is not listed.
const UNLISTED_KEPT: Duration = Duration::from_secs(60);

/// What an upstream said of its limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Requests a second from all gateways together; `None` if it takes any number.
    pub rate: Option<f64>,
    /// When it said so, by the store's clock.
    pub at: StoreMillis,
}

/// The limit of one upstream, as a gateway tells it to the others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport(
    /// The upstream.
    pub Lifetime,
    /// What it said.
    pub LimitNotice,
);

/// The gateways among which limits are divided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitMembers {
    own: u64,
    others: Vec<u64>,
    /// Whether this gateway takes a part.
    takes_part: bool,
}

impl LimitMembers {
    /// Names the gateways by their hosts, so that one that starts again keeps its parts.
    pub fn new<'a>(own: &str, others: impl Iterator<Item = &'a str>, takes_part: bool) -> Self {
        let name = |host: &str| prefix::hash(host.as_bytes());
        let own = name(own);
        let mut others: Vec<u64> = others.map(name).filter(|o| *o != own).collect();
        others.sort_unstable();
        others.dedup();
        Self { own, others, takes_part }
    }

    /// Returns this gateway's part of an upstream's rate, in requests a second.
    fn part(&self, upstream: Lifetime, rate: f64) -> f64 {
        if !self.takes_part {
            return 0.0;
        }
        let members = self.others.len() + 1;
        // Each holder of a part may be one request ahead of it.
        let holders = (1 + rate as usize).min(members);
        let own = score(upstream, self.own);
        let before = self.others.iter().filter(|o| score(upstream, **o) > own).count();
        if before < holders { rate / holders as f64 } else { 0.0 }
    }
}

/// Rank of a gateway at an upstream: a mix of both names in which each bit counts.
fn score(upstream: Lifetime, gateway: u64) -> u64 {
    let mut mixed = gateway ^ upstream.seed();
    for multiplier in [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb] {
        mixed = (mixed ^ (mixed >> 29)).wrapping_mul(multiplier);
    }
    mixed ^ (mixed >> 32)
}

/// What a gateway may send of its part of a limit, in whole requests.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    part: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    /// A bucket is empty at first: the gateway that had the part before may have just used it.
    fn new(now: Instant) -> Self {
        Self { part: 0.0, level: 0.0, at: now }
    }

    fn most(&self) -> f64 {
        1.0 + self.part * SAVED_SPAN
    }

    fn level(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        (self.level + self.part * elapsed).min(self.most())
    }

    fn set_part(&mut self, part: f64, now: Instant) {
        let level = if part > 0.0 { self.level(now) } else { 0.0 };
        *self = Self { part, level, at: now };
        self.level = self.level.min(self.most());
    }

    fn wait(&self, now: Instant) -> Option<Duration> {
        let missing = 1.0 - self.level(now);
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        (self.part > 0.0).then(|| Duration::from_secs_f64(missing / self.part))
    }

    fn take(&mut self, now: Instant) -> bool {
        let level = self.level(now);
        if level < 1.0 {
            return false;
        }
        (self.level, self.at) = (level - 1.0, now);
        true
    }
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    notice: LimitNotice,
    bucket: Bucket,
    /// When it was last said, or told by another gateway.
    heard: Instant,
    /// Until when the others are told, once it has ended.
    told_until: Instant,
    /// How often they were told of what it is now.
    told: u32,
    /// Whether the part in the bucket is that of the present rate and members.
    is_divided: bool,
}

impl Limit {
    fn rate(&self) -> Option<f64> {
        self.notice.rate.map(|rate| rate.max(LEAST_RATE))
    }
}

/// The newest limit of each upstream that ever named one, and this gateway's part of it.
#[derive(Clone, Debug, Default)]
pub struct LimitBook {
    limits: HashMap<Lifetime, Limit>,
    /// The gateways among which they are divided.
    members: Option<LimitMembers>,
}

impl LimitBook {
    /// Takes over what an upstream said, if it is newer than what is known; returns whether
    /// that changes its limit.
    pub fn learn(&mut self, upstream: Lifetime, notice: LimitNotice, now: Instant) -> bool {
        let told_until = now + END_TOLD;
        let Some(known) = self.limits.get_mut(&upstream) else {
            if notice.rate.is_some() {
                let (bucket, heard) = (Bucket::new(now), now);
                let (told, is_divided) = (0, false);
                let limit = Limit { notice, bucket, heard, told_until, told, is_divided };
                self.limits.insert(upstream, limit);
            }
            return notice.rate.is_some();
        };
        known.heard = now;
        if notice.at < known.notice.at {
            // Whoever tells this has not heard of what came after it.
            (known.told_until, known.told) = (told_until, 0);
            return false;
        }
        let changed = known.notice.rate != notice.rate;
        if changed {
            (known.told_until, known.told) = (told_until, 0);
            known.is_divided = false;
        }
        known.notice = notice;
        changed
    }

    /// Divides the limits among gateways, as far as limits or gateways have changed.
    pub fn divide(&mut self, members: LimitMembers, now: Instant) {
        let are_new = self.members.as_ref() != Some(&members);
        for (upstream, limit) in self.limits.iter_mut().filter(|(_, l)| are_new || !l.is_divided) {
            let part = limit.rate().map_or(0.0, |rate| members.part(*upstream, rate));
            limit.bucket.set_part(part, now);
            limit.is_divided = true;
        }
        self.members = Some(members);
    }

    /// Returns how long it takes until this gateway may send a request to an upstream;
    /// `None` if it has no part of its limit.
    pub fn wait(&self, upstream: Lifetime, now: Instant) -> Option<Duration> {
        match self.limits.get(&upstream).filter(|l| l.notice.rate.is_some()) {
            Some(limit) => limit.bucket.wait(now),
            None => Some(Duration::ZERO),
        }
    }

    /// Counts a request that is sent to an upstream; `false` if it must not be sent.
    pub fn take(&mut self, upstream: Lifetime, now: Instant) -> bool {
        match self.limits.get_mut(&upstream).filter(|l| l.notice.rate.is_some()) {
            Some(limit) => limit.bucket.take(now),
            None => true,
        }
    }

    /// Returns the requests a second that all gateways together may send to an upstream.
    pub fn rate(&self, upstream: Lifetime) -> Option<f64> {
        self.limits.get(&upstream).and_then(Limit::rate)
    }

    /// Returns what the other gateways are told now: of more limits than one heartbeat takes,
    /// those that were told least.
    pub fn reports(&mut self, now: Instant) -> Vec<LimitReport> {
        let is_told = |l: &Limit| l.notice.rate.is_some() || now < l.told_until;
        let all = self.limits.iter_mut().filter(|(_, limit)| is_told(limit));
        let mut told: Vec<(&Lifetime, &mut Limit)> = all.collect();
        told.sort_unstable_by_key(|(upstream, limit)| (limit.told, **upstream));
        told.truncate(TOLD_AT_ONCE);
        let report = |(upstream, limit): (&Lifetime, &mut Limit)| {
            limit.told = limit.told.saturating_add(1);
            LimitReport(*upstream, limit.notice)
        };
        told.into_iter().map(report).collect()
    }

    /// Returns the number of upstreams with a limit.
    pub fn limited(&self) -> usize {
        self.limits.values().filter(|l| l.notice.rate.is_some()).count()
    }

    /// Forgets upstreams that are not `listed`, after a while: their rows may be missing for
    /// the store's sake.
    pub fn retain(&mut self, listed: impl Fn(Lifetime) -> bool, now: Instant) {
        let recent = |l: &Limit| now.saturating_duration_since(l.heard) < UNLISTED_KEPT;
        self.limits.retain(|upstream, limit| listed(*upstream) || recent(limit));
    }
}
