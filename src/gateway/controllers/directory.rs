//! Maintains the list of upstreams.
//!
//! An upstream is removed when its row disappears from the store, unless the store was unavailable
//! shortly before (see `missing_rows`).
//!
//! Only a few gateways read the store. The others apply the changes that these announce, together
//! with the store position up to which the list is then known.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet, HashSet},
    rc::Rc,
    time::{Duration, Instant},
};

use stakker::{CX, call, timer_max};

use crate::{
    gateway::{
        board::DescriptionChange,
        context::Gateway,
        decide::{Removal, SyncPoint},
        model::{Lifetime, Revision, Upstream, UpstreamPhase, era_of},
        peering::{RecentChanges, UpstreamChange, UpstreamSnapshot},
        telemetry::Event,
    },
    ids::UpstreamId,
    platform::{Change, Feed, Snapshot, StoreRow, decode_upstream},
    telemetry::count,
};

/// Longest interval between checks of missing rows and idle connections.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Controller of the list of upstreams.
#[derive(Debug)]
pub struct Directory {
    pub(super) gateway: Rc<Gateway>,
    timer: stakker::MaxTimerKey,
    /// Rows that could not be decoded, each with the cause last logged.
    rejected: BTreeMap<UpstreamId, &'static str>,
    /// Whether missing rows have changed since [`Self::mark_lapsed`] last ran.
    pub(super) missing_changed: Cell<bool>,
}

impl Directory {
    /// Creates the controller with an empty list and starts its periodic checks.
    pub fn init(cx: CX![], gateway: Rc<Gateway>) -> Option<Self> {
        call!([cx], tick());
        let timer = stakker::MaxTimerKey::default();
        Some(Self { gateway, timer, rejected: BTreeMap::new(), missing_changed: Cell::default() })
    }

    /// Replaces the list with all rows of the store's table.
    pub fn apply_snapshot(&mut self, cx: CX![], snapshot: Snapshot) {
        let upstreams: Vec<Upstream> =
            snapshot.rows.iter().filter_map(|r| self.decode(r)).collect();
        let listed: BTreeSet<&UpstreamId> = snapshot.rows.iter().map(|r| &r.key).collect();
        self.rejected.retain(|id, _| listed.contains(id));
        let position = snapshot.revision;
        let written = snapshot.rows.iter().map(|r| r.revision).max().unwrap_or_default();
        // A removal leaves no row. If an upstream is no longer listed, the last change is taken to
        // be as new as the snapshot, so that other gateways learn that they lack a change.
        let last_change = if self.lists_all_known(&upstreams) { written } else { position };
        let knowledge = SyncPoint { position, as_of: snapshot.as_of };
        let snapshot =
            UpstreamSnapshot { knowledge, last_change, upstreams, ..UpstreamSnapshot::default() };
        let seen = knowledge.as_of;
        let absent = |id: &UpstreamId, now| self.handle_removal(id, position, seen, now);
        let replaced = self.replace(snapshot, cx.now(), absent);
        // A row that is present but cannot be decoded has not lapsed, so its upstream is removed at
        // once.
        for id in self.rejected.keys().filter(|_| replaced) {
            self.remove(id, position, cx.now());
        }
    }

    fn lists_all_known(&self, upstreams: &[Upstream]) -> bool {
        let listed: BTreeSet<&UpstreamId> = upstreams.iter().map(|u| &u.id).collect();
        self.gateway.board.borrow().upstreams.keys().all(|id| listed.contains(id))
    }

    /// Applies the list of another gateway, or its changes since a revision. An upstream that is
    /// absent there is removed at once: that gateway already waited for rows that may come back.
    pub fn apply_peer_snapshot(&mut self, cx: CX![], mut snapshot: UpstreamSnapshot) {
        let recorded = std::mem::take(&mut snapshot.recorded_versions);
        self.gateway.board.borrow_mut().recorded_versions.note_recorded(recorded);
        if snapshot.after > 0 {
            self.apply_change_set(snapshot, cx.now());
            return;
        }
        let position = snapshot.knowledge.position;
        self.replace(snapshot, cx.now(), |id, now| self.remove(id, position, now));
    }

    fn apply_change_set(&self, snapshot: UpstreamSnapshot, now: Instant) {
        let position = snapshot.knowledge.position;
        let known = self.gateway.board.borrow().upstreams_position();
        if snapshot.after > known || position < known {
            return;
        }
        self.apply_listed(&snapshot, now);
        snapshot.gone.iter().for_each(|id| self.remove_reported(id, position, now));
        // The set may hold more changes than heartbeats pass on, and it is not in order of
        // revision.
        self.gateway.board.borrow_mut().recent_changes.reset(snapshot.knowledge);
        self.advance(snapshot.knowledge, snapshot.last_change);
    }

    /// Applies recent changes from another gateway's heartbeat, unless earlier changes are missing
    /// here. Even without changes, the list is then known up to the sender's position.
    pub fn apply_peer_changes(&mut self, cx: CX![], recent: RecentChanges) {
        let now = cx.now();
        let knowledge = self.gateway.board.borrow().upstreams_knowledge;
        let Some(known) = knowledge.map(|k| k.position).filter(|known| recent.after <= *known)
        else {
            return;
        };
        let mut last_change = 0;
        for (revision, change) in recent.changes {
            if revision <= known {
                self.merge_peer_change(revision, &change, now);
                continue;
            }
            last_change = revision;
            match change {
                UpstreamChange::Written(upstream) => self.update(upstream, revision, now),
                UpstreamChange::Missing(id, removal) => self.handle_peer_removal(&id, removal, now),
                UpstreamChange::Gone(id) => self.remove_reported(&id, revision, now),
            }
        }
        self.advance(recent.knowledge, last_change);
    }

    /// Applies another gateway's results of health checks of upstreams with lapsed rows.
    pub fn apply_row_checks(&mut self, cx: CX![], checks: Vec<(Revision, UpstreamChange)>) {
        let now = cx.now();
        for (revision, change) in checks {
            if self.merge_peer_change(revision, &change, now) {
                self.gateway.board.borrow_mut().check_reports.note(revision, change, now);
            }
        }
    }

    /// Replaces the list with a snapshot and calls `absent` for each known upstream that it lacks;
    /// returns false, and changes nothing, if the snapshot is older than the list.
    fn replace(
        &self,
        mut snapshot: UpstreamSnapshot,
        now: Instant,
        absent: impl Fn(&UpstreamId, Instant),
    ) -> bool {
        let position = snapshot.knowledge.position;
        let known = self.gateway.board.borrow().upstreams_position();
        if position < known {
            return false;
        }
        self.gateway.board.borrow_mut().note_unseen_versions(snapshot.knowledge.as_of, now);
        if era_of(known) < era_of(position) {
            self.enter_era(&snapshot, now);
        }
        let board = self.gateway.board.borrow();
        snapshot.upstreams.retain(|upstream| !board.departures.is_withheld(upstream));
        drop(board);
        let listed: BTreeSet<&UpstreamId> = snapshot.upstreams.iter().map(|u| &u.id).collect();
        self.apply_listed(&snapshot, now);
        let present: Vec<UpstreamId> =
            self.gateway.board.borrow().upstreams.keys().cloned().collect();
        for id in present.iter().filter(|id| !listed.contains(id)) {
            absent(id, now);
        }
        let mut board = self.gateway.board.borrow_mut();
        // Removals between the earlier position and the snapshot are not known individually.
        board.removals.reset(position);
        board.recent_changes.reset(snapshot.knowledge);
        drop(board);
        self.advance(snapshot.knowledge, snapshot.last_change);
        true
    }

    /// Prepares for the first list of a later era, which may be older than what is known: upstreams
    /// that are leaving go on leaving, and those that left are not used.
    fn enter_era(&self, snapshot: &UpstreamSnapshot, now: Instant) {
        let mut board = self.gateway.board.borrow_mut();
        board.keep_leaving_upstreams(now);
        board.departures.withhold(&snapshot.upstreams, now);
    }

    /// Uses withheld upstreams whose rows have not been removed again.
    fn use_withheld(&self, now: Instant) {
        let mut board = self.gateway.board.borrow_mut();
        let due = board.departures.expire(now);
        let position = board.upstreams_position();
        drop(board);
        due.into_iter().for_each(|upstream| self.update(upstream, position, now));
    }

    fn apply_listed(&self, snapshot: &UpstreamSnapshot, now: Instant) {
        let position = snapshot.knowledge.position;
        let missing: BTreeMap<&UpstreamId, Removal> =
            snapshot.missing.iter().map(|(id, removal)| (id, *removal)).collect();
        for upstream in &snapshot.upstreams {
            match missing.get(&upstream.id) {
                Some(removal) => self.copy_missing_upstream(upstream.clone(), *removal, now),
                None => self.update(upstream.clone(), position, now),
            }
        }
    }

    /// Applies changes from the store's feed, except those already received from another gateway.
    pub fn apply_feed(&mut self, cx: CX![], feed: Feed) {
        let now = cx.now();
        let known = self.gateway.board.borrow().upstreams_position();
        let mut last_change = 0;
        for change in feed.changes {
            match change {
                Change::Written(row) if row.revision > known => {
                    last_change = last_change.max(row.revision);
                    match self.decode(&row) {
                        Some(upstream) => self.update(upstream, row.revision, now),
                        // The row no longer describes an upstream.
                        None => self.remove(&row.key, row.revision, now),
                    }
                }
                Change::Removed(id, revision) if revision > known => {
                    last_change = last_change.max(revision);
                    self.rejected.remove(&id);
                    self.gateway.board.borrow_mut().departures.forget(&id);
                    self.handle_removal(&id, revision, feed.as_of, now);
                }
                Change::Written(_) | Change::Removed(..) => {}
            }
        }
        let knowledge = SyncPoint { position: feed.revision, as_of: feed.as_of };
        self.advance(knowledge, last_change);
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        self.drop_missing(now);
        self.use_withheld(now);
        let expiry = self.gateway.board.borrow().next_missing_expiry();
        let next = expiry.map_or(now + CHECK_PERIOD, |at| at.min(now + CHECK_PERIOD));
        timer_max!(&mut self.timer, next, [cx], tick());
        let mut board = self.gateway.board.borrow_mut();
        board.forget_lifetimes(now);
        let known: HashSet<Lifetime> = board.upstreams.values().map(|v| v.lifetime).collect();
        let serving = board.upstreams.values().filter(|v| v.takes_work()).count();
        let unreachable = board.unreachable_upstreams().count();
        let missing = board.upstreams.values().filter(|v| v.missing.is_some()).count();
        self.gateway.metrics.unreachable.set(unreachable as i64);
        self.gateway.metrics.missing_rows.set(missing as i64);
        self.gateway.metrics.rate_limited.set(board.limits.count_limited() as i64);
        self.gateway.metrics.brittle.set(board.brittle.count_limited() as i64);
        self.gateway.metrics.resting.set(board.rests.count_active(now) as i64);
        drop(board);
        self.gateway.pool.sweep(now, |lifetime| known.contains(&lifetime));
        self.gateway.metrics.upstreams.set(serving as i64);
        self.gateway.metrics.connections.set(self.gateway.pool.open() as i64);
    }

    /// Decodes a row. A row that does not describe an upstream is logged once per cause.
    fn decode(&mut self, row: &StoreRow) -> Option<Upstream> {
        let error = match decode_upstream(row.key.clone(), &row.value) {
            Ok(upstream) => {
                self.rejected.remove(&row.key);
                return Some(upstream);
            }
            Err(e) => e,
        };
        let cause = error.cause();
        count(&self.gateway.metrics.rejected_entries, cause);
        if self.rejected.insert(row.key.clone(), cause) != Some(cause) {
            self.gateway.log(&Event::EntryRejected {
                entry: &row.key,
                cause,
                error: &error.to_string(),
                revision: row.revision,
            });
        }
        None
    }

    fn update(&self, upstream: Upstream, revision: Revision, now: Instant) {
        // Whether rows have lapsed is judged by how many are missing together, so they are judged
        // before one of them returns.
        self.mark_lapsed();
        self.describe(upstream, revision, now);
    }

    pub(super) fn describe(&self, upstream: Upstream, revision: Revision, now: Instant) {
        let mut board = self.gateway.board.borrow_mut();
        board.recent_changes.push(revision, UpstreamChange::Written(upstream.clone()), now);
        let known = board.upstreams.get(&upstream.id);
        let was_missing = known.is_some_and(|v| v.missing.is_some());
        let described = board.apply_description_at(upstream.clone(), revision, now);
        drop(board);
        let state = match (described, upstream.phase) {
            (DescriptionChange::Same, _) if was_missing => "back",
            (DescriptionChange::Same, _) => return,
            (DescriptionChange::NewLifetime, _) => "started_again",
            (DescriptionChange::New | DescriptionChange::PhaseChanged, UpstreamPhase::Ready) => {
                "ready"
            }
            (DescriptionChange::New | DescriptionChange::PhaseChanged, UpstreamPhase::Draining) => {
                "draining"
            }
        };
        self.log(&upstream, state, revision, "");
    }

    pub(super) fn remove(&self, id: &UpstreamId, revision: Revision, now: Instant) {
        self.remove_witnessed(id, revision, "", now);
    }

    /// Removes an upstream whose row is missing although `witness` saw the store available
    /// without interruption; an empty one stands for none.
    pub(super) fn remove_witnessed(
        &self,
        id: &UpstreamId,
        revision: Revision,
        witness: &str,
        now: Instant,
    ) {
        let mut board = self.gateway.board.borrow_mut();
        // Recorded even if it is unknown here: gateways that ask for changes may still list it.
        board.removals.note(revision, id.clone());
        let Some(view) = board.remove_upstream(id, now) else {
            return;
        };
        board.recent_changes.push(revision, UpstreamChange::Gone(id.clone()), now);
        drop(board);
        self.log(&view.upstream, "gone", revision, witness);
    }

    /// Removes an upstream that another gateway reports as gone. One that was never known here may have
    /// had any version.
    fn remove_reported(&self, id: &UpstreamId, revision: Revision, now: Instant) {
        let mut board = self.gateway.board.borrow_mut();
        if !board.upstreams.contains_key(id) && !board.departures.is_known(id) {
            board.version_history.note_gap(now);
        }
        drop(board);
        self.remove(id, revision, now);
    }

    pub(super) fn log(&self, upstream: &Upstream, state: &str, revision: Revision, witness: &str) {
        self.gateway.log(&Event::Upstream {
            upstream: &upstream.id,
            service: &upstream.service,
            data_centre: &upstream.data_centre,
            reclaimable: upstream.reclaimable,
            state,
            revision,
            witness,
        });
    }

    fn advance(&self, knowledge: SyncPoint, last_change: Revision) {
        self.mark_lapsed();
        let mut board = self.gateway.board.borrow_mut();
        board.note_list_read(knowledge.as_of);
        board.upstreams_knowledge.get_or_insert(knowledge).advance(knowledge);
        board.upstreams_last_change = board.upstreams_last_change.max(last_change);
        board.recent_changes.advance(knowledge);
        drop(board);
        if last_change > 0 {
            self.gateway.send_to_controllers(|c| call!([c.capacity], fleet_changed()));
        }
    }
}
