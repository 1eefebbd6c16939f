//! A lease in the platform's table, judged by monotonic clocks only.
//!
//! The holder renews its row; its lease runs from just before a renewal was
//! sent. Others take over once they have seen the row unchanged for the whole
//! time to live, which began after that, or once the holder's own claim, heard
//! from it, has run out or was given up. The holder gives no order in the
//! last part of its lease, and none that could take longer than that part.
//!
//! Hosts may not act alternately within the time to live either. What a process
//! remembers ends with it, so the row lists the hosts that held the lease lately:
//! one that stands there waits until it has surely not acted for that time, while
//! any other takes over at once.

use std::time::{Duration, Instant};

use super::{HeardClaim, LeaseBasis, LeaseClaim, LeaseRow, RecentHolder, lease_row::host_name};

/// Times of a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTiming {
    /// For how long it holds without renewal. Hosts don't act alternately within this time.
    pub ttl: Duration,
    /// Last part in which no order is given.
    pub margin: Duration,
}

/// What to do about the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Write this row if the table's row still has this version.
    Write {
        /// Version that the table's row must have.
        row_version: u64,
        /// Row to write.
        row: LeaseRow,
    },
    /// Wait: another process holds it.
    Wait,
}

/// The lease as one process sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    own: String,
    host: Option<String>,
    timing: LeaseTiming,
    seen: Option<(u64, LeaseRow, Instant)>,
    held: Option<Held>,
    heard: Option<HeardClaim>,
    lowest_fence: u64,
}

/// The lease as this process holds it.
#[derive(Clone, Debug)]
struct Held {
    fence: u64,
    /// When the newest renewal was sent.
    sent: Instant,
    /// Hosts that held the lease before, as of that renewal.
    recent: Vec<RecentHolder>,
}

impl Lease {
    /// Creates the view of a process that has not read the row.
    pub fn new(own: String, timing: LeaseTiming) -> Self {
        Self { own, host: None, timing, seen: None, held: None, heard: None, lowest_fence: 0 }
    }

    /// Names the host of this process. Holders are then named after their host,
    /// a dot and their incarnation, and a host runs one process at a time: a
    /// lease of an earlier process of this host is free.
    pub fn of_host(self, host: String) -> Self {
        Self { host: Some(host), ..self }
    }

    /// Sets the lowest fencing number of a new holder. A row with a lower one was
    /// written before the table lost some of its rows: a later holder may have
    /// lost its row, and still act.
    pub fn raise_fences(&mut self, lowest: u64) {
        self.lowest_fence = self.lowest_fence.max(lowest);
    }

    /// Returns whether the holder, as last seen, is an earlier process of this
    /// host, which is over.
    pub fn is_inherited(&self) -> bool {
        let Some((_, row, _)) = &self.seen else {
            return false;
        };
        let host = host_name(&row.holder);
        row.holder != self.own && host != row.holder && Some(host) == self.host.as_deref()
    }

    /// Notes what another process says of its lease. Holders go on saying that
    /// they gave theirs up: the first time counts.
    pub fn hear(&mut self, heard: HeardClaim) {
        let (new, known) = (heard.claim, self.heard.as_ref().map(|k| k.claim));
        let tells_more = |known: LeaseClaim| {
            new.fence > known.fence || (new.fence == known.fence && !known.given_up)
        };
        if known.is_none_or(tells_more) {
            self.heard = Some(heard);
        }
    }

    /// Stops acting for good under the lease that is held.
    pub fn give_up(&mut self) {
        self.held = None;
    }

    /// Returns whether the claim on which the row rests is over.
    fn claim_is_over(&self, row: &LeaseRow, now: Instant) -> bool {
        self.heard.as_ref().is_some_and(|heard| {
            let same = heard.holder == row.holder && heard.claim.fence == row.fence;
            // A later renewal, unless the holder no longer acts on any.
            let renewed = !heard.claim.given_up && heard.claim.renewal < row.renewal;
            same && !renewed && now > heard.ends(self.timing.ttl)
        })
    }

    /// Notes the row as read; the reading ended at `now`.
    pub fn observe(&mut self, row_version: u64, row: Option<LeaseRow>, now: Instant) {
        let Some(row) = row else {
            self.seen = None;
            return;
        };
        let is_older = self.held.as_ref().is_some_and(|held| row.fence < held.fence);
        if row.holder != self.own && !is_older {
            self.held = None;
        }
        match &mut self.seen {
            Some((version, ..)) if *version == row_version => {}
            seen => *seen = Some((row_version, row, now)),
        }
    }

    /// Returns why this process may write the row at `now`; `None` if it must wait.
    pub fn basis(&self, now: Instant) -> Option<LeaseBasis> {
        self.basis_for_anyone(now).filter(|_| !self.has_acted_recently(now))
    }

    /// Returns why a host that did not hold the lease lately may write the row.
    fn basis_for_anyone(&self, now: Instant) -> Option<LeaseBasis> {
        let Some((_, row, since)) = &self.seen else {
            return Some(LeaseBasis::NoRow);
        };
        let has_expired = now.duration_since(*since) > self.timing.ttl;
        if self.is_of_earlier_era(row) {
            return match self.held_at(now) {
                Some(_) => Some(LeaseBasis::Own),
                None => has_expired.then_some(LeaseBasis::EarlierEra),
            };
        }
        if row.holder == self.own {
            return Some(LeaseBasis::Own);
        }
        if row.holder.is_empty() {
            return Some(LeaseBasis::Released);
        }
        if self.is_inherited() {
            return Some(LeaseBasis::Inherited);
        }
        if self.claim_is_over(row, now) {
            return Some(LeaseBasis::ClaimOver);
        }
        has_expired.then_some(LeaseBasis::Expired)
    }

    /// Returns whether this process could take the lease over at `now` if its host had not held it
    /// so recently, with another host's lease since.
    pub fn is_deferred(&self, now: Instant) -> bool {
        self.has_acted_recently(now) && self.basis_for_anyone(now).is_some()
    }

    /// Returns whether this host may have acted within the time to live, and another one since.
    fn has_acted_recently(&self, now: Instant) -> bool {
        let Some((_, row, since)) = &self.seen else {
            return false;
        };
        // A row of an earlier era lists other holders than those that were lost with it.
        if self.is_of_earlier_era(row) {
            return false;
        }
        let own = self.own_host();
        if row.last_host() == Some(own) {
            return false;
        }
        let recent = self.still_recent(&row.recent, now.duration_since(*since));
        recent.iter().any(|r| r.is_unknown() || r.host == own)
    }

    /// Returns those of `recent` that may have acted within the time to live, `later` than when
    /// they were listed.
    fn still_recent(&self, recent: &[RecentHolder], later: Duration) -> Vec<RecentHolder> {
        let aged = recent.iter().map(|r| r.aged(later));
        aged.filter(|r| r.idle() <= self.timing.ttl).collect()
    }

    fn is_of_earlier_era(&self, row: &LeaseRow) -> bool {
        row.fence < self.lowest_fence
    }

    fn own_host(&self) -> &str {
        self.host.as_deref().unwrap_or_else(|| host_name(&self.own))
    }

    /// Returns the lease if this process holds it and its newest renewal has not expired.
    fn held_at(&self, now: Instant) -> Option<&Held> {
        self.held.as_ref().filter(|held| now < held.sent + self.timing.ttl)
    }

    /// Returns what to do next.
    pub fn next_action(&self, now: Instant) -> LeaseAction {
        let Some(basis) = self.basis(now) else {
            return LeaseAction::Wait;
        };
        let Some((row_version, row, _)) = &self.seen else {
            let fence = self.lowest_fence.max(1);
            let row = LeaseRow { holder: self.own.clone(), fence, renewal: 1, recent: Vec::new() };
            return LeaseAction::Write { row_version: 0, row };
        };
        let held = self.held_at(now);
        let fence = if self.is_of_earlier_era(row) {
            held.map_or(0, |held| held.fence).max(self.lowest_fence)
        } else if basis == LeaseBasis::Own && held.is_some() {
            row.fence
        } else {
            // The lease changes hands, or the own one lapsed and another process may have acted.
            row.fence + 1
        };
        let recent = self.recent_holders(now);
        let next = LeaseRow { holder: self.own.clone(), fence, renewal: row.renewal + 1, recent };
        LeaseAction::Write { row_version: *row_version, row: next }
    }

    /// Returns the hosts other than this one that may have acted within the time to live.
    fn recent_holders(&self, now: Instant) -> Vec<RecentHolder> {
        let Some((_, row, since)) = &self.seen else {
            return Vec::new();
        };
        if self.is_of_earlier_era(row) {
            return match self.held_at(now) {
                Some(held) => self.still_recent(&held.recent, now.duration_since(held.sent)),
                None => vec![RecentHolder::unknown()],
            };
        }
        let mut recent = self.still_recent(&row.recent, now.duration_since(*since));
        let own = self.own_host();
        if !row.holder.is_empty() && host_name(&row.holder) != own {
            recent.retain(|r| r.host != host_name(&row.holder));
            recent.push(RecentHolder::now(host_name(&row.holder)));
        }
        recent.retain(|r| r.host != own);
        recent
    }

    /// Gives the lease back at `now`: from then on this process gives no order.
    /// Returns the version that the table's row must have and the row to write,
    /// if this process held the lease.
    pub fn release(&mut self, now: Instant) -> Option<(u64, LeaseRow)> {
        self.held.as_ref()?;
        let mut recent = self.recent_holders(now);
        recent.push(RecentHolder::now(self.own_host()));
        self.held = None;
        let (row_version, row, _) = self.seen.take()?;
        let renewal = row.renewal + 1;
        Some((row_version, LeaseRow { holder: String::new(), renewal, recent, ..row }))
    }

    /// Notes that the table took the row; the write was sent at `sent`.
    pub fn written(&mut self, row_version: u64, row: LeaseRow, sent: Instant, now: Instant) {
        self.held = Some(Held { fence: row.fence, sent, recent: row.recent.clone() });
        self.seen = Some((row_version, row, now));
    }

    /// Returns the fencing number with which an order may be sent now, if the
    /// lease is surely held until the order is done.
    pub fn may_order(&self, now: Instant) -> Option<u64> {
        let held = self.held.as_ref()?;
        let last = held.sent + self.timing.ttl.saturating_sub(self.timing.margin);
        (now < last).then_some(held.fence)
    }

    /// Returns the holder as last seen.
    pub fn holder(&self) -> Option<&LeaseRow> {
        self.seen.as_ref().map(|(_, row, _)| row)
    }
}
