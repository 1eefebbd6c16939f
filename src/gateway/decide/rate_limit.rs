//! Rate limits that upstreams name, held by all gateways together.
//!
//! An upstream's limit counts the requests of all gateways, and may leave each of them far
//! less than one request a second. So it is divided among a few gateways, which all draw alike
//! by rendezvous hashing, and each spends its part in whole requests; the others choose other
//! upstreams, and ask a holder for a request of its part where there are none. Gateways whose
//! views of the fleet differ for a while exceed the limit by the parts of those over which they
//! differ.

use std::{
    cmp::Reverse,
    collections::HashMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{
    StoreMillis,
    telling::{Telling, take_turns},
};
use crate::{gateway::model::Lifetime, prefix};

/// Span of its part that a gateway may save up beyond one request.
const SAVED_SPAN: f64 = 0.25;
/// Least requests a second that count as the limit: an upstream that gets none cannot say
/// that it takes more again.
const LEAST_RATE: f64 = 0.05;
/// For how long the others are told that a limit has ended.
const END_TOLD: Duration = Duration::from_secs(12);
/// Holders of parts that a gateway knows to ask. Each asks other ones.
const ASKED: usize = 4;
/// Time after which a holder is asked again that did not answer.
pub const GRANT_RETRY: Duration = Duration::from_secs(1);
/// Shortest time after which a holder is asked again that had no room.
const SHORTEST_RETRY: Duration = Duration::from_millis(100);

/// A gateway that may have a part of limits, by the hash of its host's name: one that starts
/// again keeps its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Holder(u64);

impl Holder {
    /// Names the gateway on a host.
    pub fn new(host: &str) -> Self {
        Self(prefix::hash(host.as_bytes()))
    }
}

/// What a holder says to the question for a request of its part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderAnswer {
    /// The request may be sent.
    Granted,
    /// It has no room for so long.
    Denied(Duration),
}

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
    own: Holder,
    others: Vec<Holder>,
    /// Whether this gateway takes a part.
    takes_part: bool,
}

impl LimitMembers {
    /// Creates the list: this gateway, the others, and whether this one takes a part.
    pub fn new(own: Holder, others: impl Iterator<Item = Holder>, takes_part: bool) -> Self {
        let mut others: Vec<Holder> = others.filter(|o| *o != own).collect();
        others.sort_unstable();
        others.dedup();
        Self { own, others, takes_part }
    }

    /// Returns this gateway's part of an upstream's rate, in requests a second, and others that
    /// have parts.
    fn divide(&self, upstream: Lifetime, rate: f64) -> (f64, Vec<Holder>) {
        // Each holder of a part may be one request ahead of it.
        let holders = (rate as usize).saturating_add(1).min(self.others.len() + 1);
        let rank = |holder: &Holder| Reverse(score(upstream, *holder));
        let mut others = self.others.clone();
        let own = rank(&self.own);
        let is_holder = others.iter().filter(|o| rank(o) < own).count() < holders;
        if holders < others.len() {
            others.select_nth_unstable_by_key(holders, rank);
            others.truncate(holders);
        }
        // Askers spread over the holders.
        others.sort_unstable_by_key(|holder| score(upstream, Holder(holder.0 ^ self.own.0)));
        others.truncate(ASKED);
        let part = if self.takes_part && is_holder { rate / holders as f64 } else { 0.0 };
        (part, others)
    }
}

/// Rank of a gateway at an upstream: a mix of both names in which each bit counts.
fn score(upstream: Lifetime, gateway: Holder) -> u64 {
    let mut mixed = gateway.0 ^ upstream.seed();
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

/// A holder that may be asked, and from when on.
#[derive(Clone, Copy, Debug)]
struct Asked {
    holder: Holder,
    from: Instant,
}

#[derive(Clone, Debug)]
struct Limit {
    notice: LimitNotice,
    bucket: Bucket,
    /// Until when the others are told, once it has ended.
    told_until: Instant,
    telling: Telling,
    /// Others that have parts.
    holders: Vec<Asked>,
    /// Whether the parts are those of the present rate and members.
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
                let limit = Limit {
                    notice,
                    bucket: Bucket::new(now),
                    told_until,
                    telling: Telling::new(now),
                    holders: Vec::new(),
                    is_divided: false,
                };
                self.limits.insert(upstream, limit);
            }
            return notice.rate.is_some();
        };
        if notice.at < known.notice.at {
            // Whoever tells this has not heard of what came after it.
            known.told_until = told_until;
            known.telling.begin_again();
            return false;
        }
        let changed = known.notice.rate != notice.rate;
        if changed {
            known.told_until = told_until;
            known.telling.begin_again();
            known.is_divided = false;
        }
        known.notice = notice;
        changed
    }

    /// Divides the limits among gateways, as far as limits or gateways have changed.
    pub fn divide(&mut self, members: LimitMembers, now: Instant) {
        let are_new = self.members.as_ref() != Some(&members);
        for (upstream, limit) in self.limits.iter_mut().filter(|(_, l)| are_new || !l.is_divided) {
            let divided = limit.rate().map(|rate| members.divide(*upstream, rate));
            let (part, holders) = divided.unwrap_or_default();
            limit.bucket.set_part(part, now);
            limit.holders = holders.into_iter().map(|holder| Asked { holder, from: now }).collect();
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

    /// Grants a request of this gateway's part to another one.
    ///
    /// # Errors
    ///
    /// Fails with the time after which it is worth asking again.
    pub fn grant(&mut self, upstream: Lifetime, now: Instant) -> Result<(), Duration> {
        // Whoever asks knows of a limit: it is not for this gateway to say that there is none.
        let limit = self.limits.get_mut(&upstream).filter(|l| l.notice.rate.is_some());
        let limit = limit.ok_or(GRANT_RETRY)?;
        match limit.bucket.take(now) {
            true => Ok(()),
            false => Err(limit.bucket.wait(now).unwrap_or(GRANT_RETRY)),
        }
    }

    /// Returns the holders of parts that may have room.
    pub fn holders_to_ask(&self, upstream: Lifetime, now: Instant) -> impl Iterator<Item = Holder> {
        let limit = self.limits.get(&upstream).filter(|l| l.notice.rate.is_some());
        let holders = limit.into_iter().flat_map(|l| &l.holders);
        holders.filter(move |asked| asked.from <= now).map(|asked| asked.holder)
    }

    /// Returns how long it takes until another gateway may have room; `None` if there is none
    /// to ask.
    pub fn wait_of_others(&self, upstream: Lifetime, now: Instant) -> Option<Duration> {
        let holders = &self.limits.get(&upstream)?.holders;
        let waits = holders.iter().map(|asked| asked.from.saturating_duration_since(now));
        waits.min().map(|wait| wait.max(SHORTEST_RETRY))
    }

    /// Takes over what a holder answered.
    pub fn note_answer(
        &mut self,
        upstream: Lifetime,
        holder: Holder,
        answer: HolderAnswer,
        now: Instant,
    ) {
        let limit = self.limits.get_mut(&upstream);
        let asked = limit.and_then(|l| l.holders.iter_mut().find(|a| a.holder == holder));
        if let (Some(asked), HolderAnswer::Denied(wait)) = (asked, answer) {
            asked.from = now + wait.max(SHORTEST_RETRY);
        }
    }

    /// Returns the requests a second that all gateways together may send to an upstream.
    pub fn rate(&self, upstream: Lifetime) -> Option<f64> {
        self.limits.get(&upstream).and_then(Limit::rate)
    }

    /// Returns what the other gateways are told now.
    pub fn reports(&mut self, now: Instant) -> Vec<LimitReport> {
        let due = self.limits.iter_mut().filter(|(_, limit)| limit.telling.is_due(now));
        let told = due.filter(|(_, l)| l.notice.rate.is_some() || now < l.told_until);
        let told = take_turns(told.map(|(of, limit)| (*of, &mut limit.telling, limit.notice)));
        told.into_iter().map(|(upstream, notice)| LimitReport(upstream, notice)).collect()
    }

    /// Returns the number of upstreams with a limit.
    pub fn limited(&self) -> usize {
        self.limits.values().filter(|l| l.notice.rate.is_some()).count()
    }

    /// Forgets upstreams that are not `listed`, after a while.
    pub fn retain(&mut self, listed: impl Fn(Lifetime) -> bool, now: Instant) {
        self.limits.retain(|upstream, limit| limit.telling.keep(listed(*upstream), now));
    }
}
