//! Upstreams whose rows are missing from the store and may be written again.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{Board, MissingRow, StoreState, UpstreamView, store::LAPSE_DETECTION_WINDOW};
use crate::{
    gateway::{
        decide::{CheckRange, Removal, RowCount, StoreMillis, max_read_interval, rows_lapsed},
        model::{Revision, era_of},
    },
    ids::UpstreamId,
};

/// Effect of a report about a missing row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissingRowChange {
    /// The row was not known to be missing.
    New(MissingRow),
    /// The row was known to be missing; details of its removal changed.
    Changed(MissingRow),
    /// No effect: the report contained nothing new, or the upstream is unknown.
    Known,
}

impl Board {
    /// Returns what is known of a row that was removed at `revision`, given that an answer of the
    /// store showed it at `seen`; `None` if the row cannot have lapsed.
    pub fn removal(&self, revision: Revision, seen: StoreMillis, now: Instant) -> Option<Removal> {
        if self.store_was_available(now) {
            return None;
        }
        let own_recovery = self.own_recovery_time(seen, now);
        let store_back = own_recovery.into_iter().chain(self.list_reread_time(seen)).min()?;
        let last_seen = self.upstreams_knowledge.map_or(0, |k| k.as_of);
        Some(Removal {
            revision,
            last_seen,
            store_back,
            lapsed: false,
            passed_check: 0,
            lost: false,
        })
    }

    /// Returns what is known of a row that is missing at `revision`, in a later era than that in
    /// which its upstream was last listed; `None` if it was listed in the same era.
    pub fn lost_row(
        &self,
        id: &UpstreamId,
        revision: Revision,
        seen: StoreMillis,
    ) -> Option<Removal> {
        let listed = self.upstreams.get(id)?.changed;
        let last_seen = self.upstreams_knowledge.map_or(0, |k| k.as_of);
        (era_of(listed) < era_of(revision)).then_some(Removal {
            revision,
            last_seen,
            store_back: seen,
            lapsed: true,
            passed_check: 0,
            lost: true,
        })
    }

    /// Returns when this process's calls to the store were answered again, if some failed recently.
    /// Rows may have lapsed long before that becomes visible: the list is not necessarily read as
    /// soon as another call succeeds.
    fn own_recovery_time(&self, seen: StoreMillis, now: Instant) -> Option<StoreMillis> {
        match self.store {
            StoreState::Up => None,
            StoreState::OutageSince(_) => Some(seen),
            StoreState::RecoveredSince(at) => {
                let ago = now.saturating_duration_since(at);
                let is_recent = ago < LAPSE_DETECTION_WINDOW || self.upstreams_seen(now) <= at;
                let at = self.store_time(now).saturating_sub(ago.as_millis() as StoreMillis);
                is_recent.then_some(seen.min(at))
            }
        }
    }

    /// Returns when any gateway read the list again after a time without reads. A process that made
    /// no call during an outage has seen no failures of its own.
    fn list_reread_time(&self, seen: StoreMillis) -> Option<StoreMillis> {
        if self.was_unread_before(seen) {
            return Some(seen);
        }
        let window = LAPSE_DETECTION_WINDOW.as_millis() as StoreMillis;
        self.upstreams_reread_at.filter(|at| seen < at + window)
    }

    /// Returns whether the list had not been read for so long before `read` that the store may have
    /// been unreachable.
    fn was_unread_before(&self, read: StoreMillis) -> bool {
        let calm = max_read_interval(1 + self.peers.len());
        let unread = |as_of: StoreMillis| Duration::from_millis(read.saturating_sub(as_of));
        self.upstreams_knowledge.is_some_and(|k| unread(k.as_of) >= calm)
    }

    /// Records that the list of upstreams is known to be current as of a store time.
    pub fn note_list_read(&mut self, as_of: StoreMillis) {
        if self.was_unread_before(as_of) {
            self.upstreams_reread_at = Some(as_of);
        }
    }

    /// Records that the row of an upstream is missing.
    pub fn note_missing(
        &mut self,
        id: &UpstreamId,
        removal: Removal,
        now: Instant,
    ) -> MissingRowChange {
        let store_now = self.store_time(now);
        let Some(view) = self.upstreams.get_mut(id) else {
            return MissingRowChange::Known;
        };
        let is_new = view.missing.is_none();
        let mut row = view.missing.unwrap_or(MissingRow {
            removal,
            last_present: view.changed,
            since: now,
            until: now,
        });
        if !row.removal.merge(removal) && !is_new {
            return MissingRowChange::Known;
        }
        let age = Duration::from_millis(store_now.saturating_sub(row.removal.last_seen));
        row.since = now.checked_sub(age).unwrap_or(row.since);
        let left = row.removal.grace_period_end().saturating_sub(store_now);
        row.until = now + Duration::from_millis(left);
        view.missing = Some(row);
        view.changed = view.changed.max(removal.revision);
        if is_new { MissingRowChange::New(row) } else { MissingRowChange::Changed(row) }
    }

    /// Marks missing rows as lapsed where enough other rows are missing too; returns those that
    /// were not marked before.
    pub fn mark_lapsed_rows(&mut self) -> Vec<(UpstreamId, Removal)> {
        let mut all_rows = RowCount::default();
        let mut rows_by_service: BTreeMap<&str, RowCount> = BTreeMap::new();
        for view in self.upstreams.values().filter(|v| !v.is_leaving()) {
            let is_missing = view.missing.is_some();
            all_rows.add(is_missing);
            rows_by_service.entry(&view.upstream.service).or_default().add(is_missing);
        }
        let lapsed: Vec<UpstreamId> = (self.upstreams.values())
            .filter(|v| v.missing.is_some_and(|row| !row.removal.lapsed))
            .filter(|v| {
                let count = rows_by_service.get(v.upstream.service.as_str());
                count.is_some_and(|count| rows_lapsed(*count, all_rows))
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

    /// Returns the known removal of an upstream's row if a report of a removal at `revision`
    /// concerns the same one: the row was present before and was not written since.
    pub fn same_removal(&self, id: &UpstreamId, revision: Revision) -> Option<Removal> {
        let row = self.upstreams.get(id)?.missing?;
        (revision > row.last_present).then_some(row.removal)
    }

    /// Returns the upstreams with lapsed rows that this gateway has to check now.
    pub fn upstreams_to_check(&self, range: CheckRange, now: Instant) -> Vec<UpstreamId> {
        let store_now = self.store_time(now);
        let due = |v: &&UpstreamView| {
            v.missing.is_some_and(|row| row.removal.needs_check(store_now))
                && range.contains(v.lifetime)
        };
        self.upstreams.values().filter(due).map(|v| v.upstream.id.clone()).collect()
    }

    /// Returns whether any row has lapsed and may come back.
    pub fn has_lapsed_rows(&self) -> bool {
        self.upstreams.values().any(|v| v.missing.is_some_and(|row| row.removal.lapsed))
    }

    /// Returns when the first of the missing rows is no longer expected to return.
    pub fn next_missing_expiry(&self) -> Option<Instant> {
        self.upstreams.values().filter_map(|v| v.missing).map(|row| row.until).min()
    }
}
