//! Rows of upstreams that disappear from the store: decides whether the upstream is removed at once
//! or kept for now because its row may have lapsed while the store was unavailable.

use std::time::Instant;

use stakker::{CX, call};

use super::{Source, directory::Directory};
use crate::{
    clock,
    gateway::{
        board::{MissingRow, MissingRowChange, UpstreamView},
        decide::{CheckResult, Removal, StoreMillis},
        model::{Lifetime, Revision, Upstream},
        peering::UpstreamChange,
        telemetry::Event,
    },
    ids::UpstreamId,
};

impl Directory {
    /// Handles the removal of a row, observed in an answer of the store as of `seen`.
    pub(super) fn handle_removal(
        &self,
        id: &UpstreamId,
        revision: Revision,
        seen: StoreMillis,
        now: Instant,
    ) {
        let board = self.gateway.board.borrow();
        let removal =
            board.lost_row(id, revision, seen).or_else(|| board.removal(revision, seen, now));
        let serves = board.upstreams.get(id).is_some_and(|v| !v.is_leaving());
        let is_known = board.same_removal(id, revision).is_some();
        let witness = board.store_witness(&self.gateway.process, now).unwrap_or_default();
        drop(board);
        match removal.filter(|_| serves) {
            // Already recorded: every further snapshot lacks the row too.
            Some(_) if is_known => {}
            Some(removal) => {
                self.mark_missing(id, removal, Source::Store, now);
            }
            None => self.remove_witnessed(id, revision, &witness, now),
        }
    }

    /// Handles another gateway's report that a row is missing.
    pub(super) fn handle_peer_removal(&self, id: &UpstreamId, removal: Removal, now: Instant) {
        // If this gateway or one that it hears saw the store available all along, the reporting
        // gateway was merely partitioned, and the row is gone for good.
        let witness = self.gateway.board.borrow().store_witness(&self.gateway.process, now);
        match witness.filter(|_| !removal.lost) {
            Some(witness) => self.remove_witnessed(id, removal.revision, &witness, now),
            None => {
                self.mark_missing(id, removal, Source::Peer, now);
            }
        }
    }

    /// Copies an upstream whose row another gateway reports as missing.
    pub(super) fn copy_missing_upstream(&self, upstream: Upstream, removal: Removal, now: Instant) {
        let id = upstream.id.clone();
        let known = self.gateway.board.borrow().same_removal(&id, removal.revision);
        if known.is_none() {
            self.describe(upstream, removal.revision.saturating_sub(1), now);
        }
        self.mark_missing(&id, removal, Source::Peer, now);
    }

    /// Merges another gateway's report of a change up to whose revision all is known here. That
    /// gateway may know more about a removal. The more certain report always wins, so the order in
    /// which they arrive does not matter. Returns whether the report was new.
    pub(super) fn merge_peer_change(
        &self,
        revision: Revision,
        change: &UpstreamChange,
        now: Instant,
    ) -> bool {
        let id = change.upstream();
        if self.gateway.board.borrow().same_removal(id, revision).is_none() {
            return false;
        }
        match change {
            UpstreamChange::Written(_) => false,
            UpstreamChange::Missing(id, removal) => {
                self.mark_missing(id, *removal, Source::Peer, now)
            }
            UpstreamChange::Gone(id) => {
                self.drop_upstream(id);
                true
            }
        }
    }

    /// Applies the result of this process's health check of an upstream whose row is missing, and
    /// records it for the other gateways.
    pub fn row_checked(&mut self, cx: CX![], id: UpstreamId, of: Lifetime, result: CheckResult) {
        let now = cx.now();
        let mut board = self.gateway.board.borrow_mut();
        let store_now = board.store_time(now);
        let view = board.upstreams.get(&id).filter(|v| v.lifetime == of);
        let Some(row) = view.and_then(|v| v.missing) else {
            // Its row is back, or it was removed meanwhile.
            return;
        };
        let change = match result {
            CheckResult::Unclear => return,
            CheckResult::Ended => UpstreamChange::Gone(id),
            CheckResult::Passed => {
                UpstreamChange::Missing(id, Removal { passed_check: store_now, ..row.removal })
            }
        };
        board.check_reports.note(row.removal.revision, change.clone(), now);
        drop(board);
        self.merge_peer_change(row.removal.revision, &change, now);
    }

    /// Records that a row is missing; returns whether anything about that was new.
    fn mark_missing(
        &self,
        id: &UpstreamId,
        removal: Removal,
        source: Source,
        now: Instant,
    ) -> bool {
        let mut guard = self.gateway.board.borrow_mut();
        let board = &mut *guard;
        let missing = |row: MissingRow| UpstreamChange::Missing(id.clone(), row.removal);
        let new = match board.note_missing(id, removal, now) {
            MissingRowChange::Known => return false,
            MissingRowChange::Changed(row) => {
                board.recent_changes.amend(id, missing(row));
                None
            }
            MissingRowChange::New(row) => {
                board.recent_changes.push(removal.revision, missing(row), now);
                Some(row)
            }
        };
        drop(guard);
        self.missing_changed.set(true);
        if let Some(row) = new {
            self.log_missing(id, row, source, now);
        }
        true
    }

    fn log_missing(&self, id: &UpstreamId, row: MissingRow, source: Source, now: Instant) {
        let board = self.gateway.board.borrow();
        let Some(upstream) = board.upstreams.get(id).map(|v| v.upstream.clone()) else {
            return;
        };
        let last_seen_ms = board.store_time(now).saturating_sub(row.removal.last_seen);
        drop(board);
        self.log(&upstream, "missing", row.removal.revision, "");
        self.gateway.log(&Event::RowMissing {
            upstream: id,
            revision: row.removal.revision,
            source: source.name(),
            last_seen_ms,
            for_ms: row.until.saturating_duration_since(now).as_millis() as u64,
            lapsed: row.removal.lapsed,
        });
    }

    /// Marks missing rows that have lapsed, if any were reported since the last call. Called once
    /// for all changes of a message, since it iterates over all upstreams.
    pub(super) fn mark_lapsed(&self) {
        if !self.missing_changed.take() {
            return;
        }
        let mut board = self.gateway.board.borrow_mut();
        let lapsed = board.mark_lapsed_rows();
        for (id, removal) in &lapsed {
            board.recent_changes.amend(id, UpstreamChange::Missing(id.clone(), *removal));
        }
        // Some may have been marked by other gateways.
        let has_lapsed = board.has_lapsed_rows();
        drop(board);
        if has_lapsed {
            self.gateway.send_to_controllers(|c| call!([c.row_checks], rows_lapsed()));
        }
        for (id, removal) in &lapsed {
            self.gateway.log(&Event::RowLapsed { upstream: id, revision: removal.revision });
        }
    }

    /// Drops an upstream whose row is missing here and which another gateway reports as gone.
    fn drop_upstream(&self, id: &UpstreamId) {
        let mut board = self.gateway.board.borrow_mut();
        board.recent_changes.amend(id, UpstreamChange::Gone(id.clone()));
        drop(board);
        self.drop_upstreams(vec![id.clone()], "", clock::now());
    }

    /// Drops upstreams whose rows did not return in time, or at once if some gateway saw the store
    /// available all along. Each process does so on its own: the store has no revision for it.
    pub(super) fn drop_missing(&self, now: Instant) {
        let board = self.gateway.board.borrow();
        let witness = board.store_witness(&self.gateway.process, now);
        let expired = |v: &UpstreamView| {
            v.missing
                .is_some_and(|row| (witness.is_some() && !row.removal.lost) || now >= row.until)
        };
        let missing = board.upstreams.iter().filter(|(_, v)| expired(v));
        let ids: Vec<UpstreamId> = missing.map(|(id, _)| id.clone()).collect();
        drop(board);
        self.drop_upstreams(ids, &witness.unwrap_or_default(), now);
    }

    fn drop_upstreams(&self, ids: Vec<UpstreamId>, witness: &str, now: Instant) {
        let mut board = self.gateway.board.borrow_mut();
        let revision = board.upstreams_position();
        let gone: Vec<UpstreamView> =
            ids.iter().filter_map(|id| board.remove_upstream(id, now)).collect();
        ids.into_iter().for_each(|id| board.removals.note(revision, id));
        drop(board);
        for view in &gone {
            self.log(&view.upstream, "gone", revision, witness);
        }
    }
}
