//! Upstreams whose rows are missing and may come back.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{Board, MissingRow, StoreState, store::LAPSE_SEEN};
use crate::{
    gateway::{
        decide::{Removal, RowCount, StoreMillis, have_lapsed, longest_calm_gap},
        model::Revision,
    },
    ids::UpstreamId,
};

/// What the word on a missing row changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Noted {
    /// The row was not known to be missing.
    New(MissingRow),
    /// More is known of its removal.
    Changed(MissingRow),
    /// Nothing: as much was known, or the upstream is not.
    Known,
}

impl Board {
    /// Returns what is known of a row that was removed at a revision, as an answer of the
    /// store shows at `seen`; `None` if it cannot have lapsed.
    pub fn removal(&self, revision: Revision, seen: StoreMillis, now: Instant) -> Option<Removal> {
        if self.store_was_there(now) {
            return None;
        }
        let of_calls = self.own_calls_answered_again(seen, now);
        let store_back = of_calls.into_iter().chain(self.list_read_again(seen)).min()?;
        let last_seen = self.upstreams_knowledge.map_or(0, |k| k.as_of);
        Some(Removal { revision, last_seen, store_back, lapsed: false })
    }

    /// Returns when calls of this process were answered again, if some had failed of late. Rows
    /// may have lapsed long before it shows: the list is not read the moment that some other
    /// call finds the store back.
    fn own_calls_answered_again(&self, seen: StoreMillis, now: Instant) -> Option<StoreMillis> {
        match self.store {
            StoreState::Up => None,
            StoreState::Away(_) => Some(seen),
            StoreState::Returned(at) => {
                let ago = now.saturating_duration_since(at);
                let is_recent = ago < LAPSE_SEEN || self.upstreams_seen(now) <= at;
                let at = self.store_time(now).saturating_sub(ago.as_millis() as StoreMillis);
                is_recent.then_some(seen.min(at))
            }
        }
    }

    /// Returns when any gateway read the list again, if none had for a while. A process that
    /// made no call in an outage has seen none fail.
    fn list_read_again(&self, seen: StoreMillis) -> Option<StoreMillis> {
        if self.was_unread_until(seen) {
            return Some(seen);
        }
        let lapse_seen = LAPSE_SEEN.as_millis() as StoreMillis;
        self.upstreams_read_again.filter(|at| seen < at + lapse_seen)
    }

    /// Returns whether nobody had read the list for so long before `read` that the store may have
    /// been away.
    fn was_unread_until(&self, read: StoreMillis) -> bool {
        let calm = longest_calm_gap(1 + self.peers.len());
        let unread = |as_of: StoreMillis| Duration::from_millis(read.saturating_sub(as_of));
        self.upstreams_knowledge.is_some_and(|k| unread(k.as_of) >= calm)
    }

    /// Notes that the list of upstreams is known to be the newest as of a moment.
    pub fn note_list_read(&mut self, as_of: StoreMillis) {
        if self.was_unread_until(as_of) {
            self.upstreams_read_again = Some(as_of);
        }
    }

    /// Notes that the row of an upstream is missing.
    pub fn note_missing(&mut self, id: &UpstreamId, removal: Removal, now: Instant) -> Noted {
        let store_now = self.store_time(now);
        let Some(view) = self.upstreams.get_mut(id) else {
            return Noted::Known;
        };
        let is_new = view.missing.is_none();
        let mut row = view.missing.unwrap_or(MissingRow {
            removal,
            listed: view.changed,
            since: now,
            until: now,
        });
        if !row.removal.merge(removal) && !is_new {
            return Noted::Known;
        }
        let age = Duration::from_millis(store_now.saturating_sub(row.removal.last_seen));
        row.since = now.checked_sub(age).unwrap_or(row.since);
        let left = row.removal.expected_until().saturating_sub(store_now);
        row.until = now + Duration::from_millis(left);
        view.missing = Some(row);
        view.changed = view.changed.max(removal.revision);
        if is_new { Noted::New(row) } else { Noted::Changed(row) }
    }

    /// Marks the missing rows that have lapsed, by what is missing beside them; returns those
    /// that were not known to have.
    pub fn mark_lapsed_rows(&mut self) -> Vec<(UpstreamId, Removal)> {
        let mut of_all = RowCount::default();
        let mut of_services: BTreeMap<&str, RowCount> = BTreeMap::new();
        for view in self.upstreams.values().filter(|v| !v.is_leaving()) {
            let is_missing = view.missing.is_some();
            of_all.add(is_missing);
            of_services.entry(&view.upstream.service).or_default().add(is_missing);
        }
        let lapsed: Vec<UpstreamId> = (self.upstreams.values())
            .filter(|v| v.missing.is_some_and(|row| !row.removal.lapsed))
            .filter(|v| {
                let of_service = of_services.get(v.upstream.service.as_str());
                of_service.is_some_and(|count| have_lapsed(*count, of_all))
            })
            .map(|v| v.upstream.id.clone())
            .collect();
        let mark = |id: UpstreamId| {
            let row = self.upstreams.get_mut(&id)?.missing.as_mut()?;
            row.removal.lapsed = true;
            Some((id, row.removal))
        };
        lapsed.into_iter().filter_map(mark).collect()
    }

    /// Returns the removal of an upstream's row, if it is missing and the word on a removal at
    /// `revision` is about the same one: the row was there before, and was not written since.
    pub fn same_removal(&self, id: &UpstreamId, revision: Revision) -> Option<Removal> {
        let row = self.upstreams.get(id)?.missing?;
        (revision > row.listed).then_some(row.removal)
    }

    /// Returns when the first of the missing rows is no longer expected back.
    pub fn next_missing_expiry(&self) -> Option<Instant> {
        self.upstreams.values().filter_map(|v| v.missing).map(|row| row.until).min()
    }
}
