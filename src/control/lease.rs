//! A lease in the platform's table, judged by monotonic clocks only.
//!
//! The holder renews its row; its lease runs from just before a renewal was
//! sent. Others take over once they have seen the row unchanged for the whole
//! time to live, which began after that, or once the holder's own claim, heard
//! from it, has run out or was given up. The holder gives no order in the
//! last part of its lease, and none that could take longer than that part.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::{HeardClaim, LeaseBasis, LeaseClaim};

/// The row that stands for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Name of the holder, with its incarnation; empty once it is given back.
    pub holder: String,
    /// Fencing number; rises with each new holder.
    pub fence: u64,
    /// Rises with each renewal, so that every renewal changes the row.
    pub renewal: u64,
}

/// Times of a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTiming {
    /// For how long it holds without renewal.
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
    held: Option<(u64, Instant)>,
    heard: Option<HeardClaim>,
    lowest_fence: u64,
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
        let holder = row.holder.rsplit_once('.').map(|(host, _)| host);
        row.holder != self.own && holder.is_some() && holder == self.host.as_deref()
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
        let is_older = self.held.is_some_and(|(fence, _)| row.fence < fence);
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
        let Some((_, row, since)) = &self.seen else {
            return Some(LeaseBasis::NoRow);
        };
        let has_expired = now.duration_since(*since) > self.timing.ttl;
        if row.fence < self.lowest_fence {
            return match self.is_held(now) {
                true => Some(LeaseBasis::Own),
                false => has_expired.then_some(LeaseBasis::EarlierEra),
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

    /// Returns whether this process holds the lease and its last renewal has not expired.
    fn is_held(&self, now: Instant) -> bool {
        self.held.is_some_and(|(_, sent)| now < sent + self.timing.ttl)
    }

    /// Returns what to do next.
    pub fn next_action(&self, now: Instant) -> LeaseAction {
        let Some(basis) = self.basis(now) else {
            return LeaseAction::Wait;
        };
        let Some((row_version, row, _)) = &self.seen else {
            let fence = self.lowest_fence.max(1);
            let row = LeaseRow { holder: self.own.clone(), fence, renewal: 1 };
            return LeaseAction::Write { row_version: 0, row };
        };
        let holder = self.own.clone();
        let fence = if row.fence < self.lowest_fence {
            let held = self.held.filter(|_| self.is_held(now));
            held.map_or(0, |(fence, _)| fence).max(self.lowest_fence)
        } else if basis == LeaseBasis::Own && self.is_held(now) {
            row.fence
        } else {
            // The lease changes hands, or the own one lapsed and another process may have acted.
            row.fence + 1
        };
        let next = LeaseRow { holder, fence, renewal: row.renewal + 1 };
        LeaseAction::Write { row_version: *row_version, row: next }
    }

    /// Gives the lease back: from now on this process gives no order. Returns
    /// the version that the table's row must have and the row to write, if
    /// this process held the lease.
    pub fn release(&mut self) -> Option<(u64, LeaseRow)> {
        self.held.take()?;
        let (row_version, row, _) = self.seen.take()?;
        let renewal = row.renewal + 1;
        Some((row_version, LeaseRow { holder: String::new(), renewal, ..row }))
    }

    /// Notes that the table took the row; the write was sent at `sent`.
    pub fn written(&mut self, row_version: u64, row: LeaseRow, sent: Instant, now: Instant) {
        self.held = Some((row.fence, sent));
        self.seen = Some((row_version, row, now));
    }

    /// Returns the fencing number with which an order may be sent now, if the
    /// lease is surely held until the order is done.
    pub fn may_order(&self, now: Instant) -> Option<u64> {
        let (fence, sent) = self.held?;
        let last = sent + self.timing.ttl.saturating_sub(self.timing.margin);
        (now < last).then_some(fence)
    }

    /// Returns the holder as last seen.
    pub fn holder(&self) -> Option<&LeaseRow> {
        self.seen.as_ref().map(|(_, row, _)| row)
    }
}
