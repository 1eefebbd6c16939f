//! Carries out roll-outs: reads orders, rolls bad versions back and, as the holder of the lease,
//! lets traffic move and writes the status for the operator.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use stakker::{CX, call, timer_max};
use tokio::task::spawn_local;

use super::{
    rollout_rows::{StatusRow, StoredStart, status_row, stored_start},
    table_reader::record_store_call,
};
use crate::{
    clock,
    gateway::{
        context::Gateway,
        decide::{RolloutChange, RolloutEnd, RolloutOrder, RolloutStage, RolloutView, StoreMillis},
        model::{Revision, ServiceName, era_of, number_in_era},
        telemetry::Event,
    },
    platform::{
        PlatformError, RolloutDocument, RolloutState, RowWrite, StoreRow, Table, WriteOutcome,
        decode_rollout, encode_rollout_status, rollout_key, rollout_service,
    },
    telemetry::count,
};

/// Interval at which the evidence is evaluated.
const JUDGING_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which nothing may be running at the earlier versions before they may stop: requests of
/// other processes there become known with some delay.
const IDLE_BEFORE_COMPLETION: Duration = Duration::from_millis(900);
/// Delay before a failed call to the store is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// An order that was read and is not yet in force: the status rows may say that its roll-out has
/// already ended.
#[derive(Clone, Debug)]
struct PendingOrder {
    document: RolloutDocument,
    revision: Revision,
    seen: StoreMillis,
}

/// Controller of roll-outs.
#[derive(Debug)]
pub struct Rollouts {
    gateway: Rc<Gateway>,
    timer: stakker::MaxTimerKey,
    pending: BTreeMap<ServiceName, PendingOrder>,
    /// Status rows as last read or written by this process; `None` if they have to be read anew.
    rows: Option<BTreeMap<ServiceName, StatusRow>>,
    stored_starts: BTreeMap<ServiceName, StoredStart>,
    /// When the earlier versions of a service became idle.
    idle_since: BTreeMap<ServiceName, Instant>,
    /// Orders that could not be decoded, each of them logged once.
    rejected: BTreeSet<(ServiceName, Revision)>,
    /// Whether a call to the store is in flight.
    call_in_flight: bool,
    /// Earliest time of the next call.
    next_call: Instant,
}

impl Rollouts {
    /// Starts the controller.
    pub fn init(cx: CX![], gateway: Rc<Gateway>) -> Option<Self> {
        call!([cx], tick());
        Some(Self {
            gateway,
            timer: stakker::MaxTimerKey::default(),
            pending: BTreeMap::new(),
            rows: None,
            stored_starts: BTreeMap::new(),
            idle_since: BTreeMap::new(),
            rejected: BTreeSet::new(),
            call_in_flight: false,
            next_call: cx.now(),
        })
    }

    /// Handles the store's return from a copy, which may lack the newest status rows.
    pub fn store_returned(&mut self, _: CX![]) {
        self.rows = None;
    }

    /// Handles an order that was read from the store, as a change or, if `is_listed`, with the whole
    /// table, which may be that of an older copy.
    pub fn order_read(&mut self, cx: CX![], row: StoreRow, is_listed: bool) {
        let Some(service) = rollout_service(&row.key).map(str::to_owned) else {
            return;
        };
        let document = match decode_rollout(&row.value) {
            Ok(document) if document.service == service => document,
            Ok(document) => {
                self.reject(service, &row, &format!("it names service {}", document.service));
                return;
            }
            Err(e) => {
                self.reject(service, &row, &e.to_string());
                return;
            }
        };
        let board = self.gateway.board.borrow();
        let seen = board.store_time(cx.now());
        let order = document.order(row.revision, seen);
        let newest = board.rollouts.order(&service).cloned();
        drop(board);
        match newest {
            Some(newest) if newest.revision >= row.revision => return,
            Some(newest) if newest.is_repeated_by(&order) => {
                self.gateway.add_order(order, cx.now());
                return;
            }
            Some(newest) if is_listed && newest.is_newer_than_listed(&order) => return,
            Some(_) | None => {}
        }
        let known = self.pending.get(&service).is_some_and(|p| p.revision >= row.revision);
        if !known {
            let pending = PendingOrder { document, revision: row.revision, seen };
            self.pending.insert(service, pending);
            self.read_rows(cx.now());
        }
    }

    fn reject(&mut self, service: ServiceName, row: &StoreRow, error: &str) {
        if self.rejected.insert((service.clone(), row.revision)) {
            self.gateway.log(&Event::RolloutRejected {
                service: &service,
                error,
                revision: row.revision,
            });
        }
    }

    /// Handles the removal of a service's order from the store: its roll-out is rolled back.
    pub fn order_removed(&mut self, cx: CX![], service: ServiceName, revision: Revision) {
        self.pending.remove(&service);
        let mut board = self.gateway.board.borrow_mut();
        let Some(order) = board.rollouts.order(&service).cloned() else {
            return;
        };
        // A store that has returned from a copy may lack the order, which will be written again.
        if order.revision >= revision || era_of(order.revision) < era_of(revision) {
            return;
        }
        board.rollouts.end(&service, order.revision, RolloutEnd::RolledBack);
        let now = board.store_time(cx.now());
        let view = board.rollouts.views(now).find(|v| v.order.service == service);
        drop(board);
        self.log(view.as_ref(), "order_withdrawn");
        self.gateway.send_to_controllers(|c| call!([c.peers], send_now()));
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        timer_max!(&mut self.timer, now + JUDGING_INTERVAL, [cx], tick());
        if !self.pending.is_empty() {
            self.read_rows(now);
        }
        let mut board = self.gateway.board.borrow_mut();
        let time = board.store_time(now);
        let holder = board.lease.may_act(now).is_some();
        let services: Vec<ServiceName> = board.rollouts.services().cloned().collect();
        let earlier: BTreeSet<ServiceName> =
            services.into_iter().filter(|s| board.has_earlier_version(s)).collect();
        let ended = board.rollouts.roll_back(time, |service| earlier.contains(service));
        let moved = if holder { board.rollouts.start_moving(time) } else { Vec::new() };
        let views: Vec<RolloutView> = board.rollouts.views(time).collect();
        drop(board);
        for RolloutChange { view, cause } in ended.iter().chain(&moved) {
            self.log(Some(view), cause);
        }
        if !(ended.is_empty() && moved.is_empty()) {
            self.gateway.send_to_controllers(|c| call!([c.peers], send_now()));
        }
        self.update_idle(&views, &earlier, now);
        if holder {
            self.write_due_status(&views, now);
        }
    }

    fn log(&self, view: Option<&RolloutView>, cause: &str) {
        let Some(RolloutView { order, stage, arrived, exposed, .. }) = view else {
            return;
        };
        count(&self.gateway.metrics.rollouts, cause);
        self.gateway.log(&Event::Rollout {
            service: &order.service,
            destination: &order.destination,
            revision: order.revision,
            state: stage.name(),
            cause,
            arrived: *arrived,
            exposed: *exposed,
        });
    }

    /// Updates since when nothing runs at the earlier versions, for the services whose traffic has
    /// all moved or that have no earlier version left.
    fn update_idle(
        &mut self,
        views: &[RolloutView],
        earlier: &BTreeSet<ServiceName>,
        now: Instant,
    ) {
        let board = self.gateway.board.borrow();
        let has_moved = |v: &RolloutView| {
            let service = &v.order.service;
            let alone = !earlier.contains(service) && board.serving(service).next().is_some();
            v.stage == RolloutStage::Moving(1.0) || alone
        };
        self.idle_since
            .retain(|service, _| views.iter().any(|v| v.order.service == *service && has_moved(v)));
        for view in views.iter().filter(|v| has_moved(v)) {
            let service = &view.order.service;
            match board.running_on_earlier_versions(service) {
                0 => drop(self.idle_since.entry(service.clone()).or_insert(now)),
                _ => drop(self.idle_since.remove(service)),
            }
        }
    }

    /// Returns the state to be written for the operator.
    fn status_state(&self, view: &RolloutView, now: Instant) -> RolloutState {
        let idle_since = self.idle_since.get(&view.order.service);
        let is_over =
            idle_since.is_some_and(|t| now.saturating_duration_since(*t) >= IDLE_BEFORE_COMPLETION);
        match view.stage {
            RolloutStage::Ended(RolloutEnd::RolledBack) => RolloutState::RolledBack,
            RolloutStage::Ended(RolloutEnd::Completed) => RolloutState::Completed,
            RolloutStage::Trying | RolloutStage::Moving(_) if is_over => RolloutState::Completed,
            RolloutStage::Trying | RolloutStage::Moving(_) => RolloutState::Running,
        }
    }

    /// Writes the first status row that is out of date.
    fn write_due_status(&mut self, views: &[RolloutView], now: Instant) {
        let due: Vec<(RolloutView, RolloutState)> =
            views.iter().map(|v| (v.clone(), self.status_state(v, now))).collect();
        let Some(rows) = &self.rows else {
            if !due.is_empty() {
                self.read_rows(now);
            }
            return;
        };
        let is_written = |view: &RolloutView, state: RolloutState| {
            let row = rows.get(&view.order.service);
            row.is_some_and(|r| {
                let same = r.state == state && r.destination == view.order.destination;
                same && r.revision > view.order.revision
            })
        };
        let next = due.into_iter().find(|(view, state)| !is_written(view, *state));
        if let Some((view, state)) = next.filter(|_| !self.call_in_flight && now >= self.next_call)
        {
            self.write_status(&view, state);
        }
    }

    fn write_status(&mut self, view: &RolloutView, state: RolloutState) {
        let RolloutOrder { service, destination, revision, started, .. } = view.order.clone();
        let rows = self.rows.iter().flatten();
        let known = rows.filter(|(s, _)| **s == service).map(|(_, row)| row.revision).next();
        let key = rollout_key(&service);
        let start = StoredStart { revision, started };
        let writes = vec![
            RowWrite {
                table: Table::Status,
                key: key.clone(),
                value: encode_rollout_status(state, &destination),
                expected: Some(known.unwrap_or_default()),
            },
            RowWrite {
                table: Table::Duties,
                key,
                value: serde_json::to_vec(&start).expect("numbers always encode"),
                expected: None,
            },
        ];
        self.call_in_flight = true;
        let gateway = self.gateway.clone();
        spawn_local(async move {
            let began = clock::now();
            // The lease may have expired meanwhile, and another holder may have decided otherwise.
            let outcome = match gateway.board.borrow().lease.may_act(began) {
                Some(_) => None,
                None => Some(Err(PlatformError::LeaseLost)),
            };
            let outcome = match outcome {
                Some(lost) => lost,
                None => {
                    let outcome = gateway.store.write(&writes).await;
                    record_store_call(&gateway, "rollout_status", began, outcome.as_ref().err());
                    outcome
                }
            };
            gateway.send_to_controllers(|c| {
                call!([c.rollouts], written(service, revision, state, destination, outcome))
            });
        });
    }

    /// Handles the outcome of a write.
    pub fn written(
        &mut self,
        cx: CX![],
        service: ServiceName,
        order: Revision,
        state: RolloutState,
        destination: String,
        outcome: Result<WriteOutcome, PlatformError>,
    ) {
        self.call_in_flight = false;
        let era = self.gateway.board.borrow().store_era.unwrap_or_default();
        let revision = match outcome {
            Ok(WriteOutcome::Done(revision)) if era_of(revision) >= era => revision,
            Ok(_) | Err(_) => {
                // The row may or may not have been written, so all rows are read anew.
                self.rows = None;
                self.next_call = cx.now() + RETRY_DELAY;
                return;
            }
        };
        let row = StatusRow { revision, state, destination };
        self.rows.get_or_insert_default().insert(service.clone(), row);
        if state == RolloutState::Completed {
            self.end(&service, order, RolloutEnd::Completed, "completed", cx.now());
        }
    }

    fn end(&self, service: &str, order: Revision, end: RolloutEnd, cause: &str, now: Instant) {
        let mut board = self.gateway.board.borrow_mut();
        board.rollouts.end(service, order, end);
        let time = board.store_time(now);
        let view = board.rollouts.views(time).find(|v| v.order.service == service);
        drop(board);
        self.log(view.as_ref(), cause);
        self.gateway.send_to_controllers(|c| call!([c.peers], send_now()));
    }

    /// Reads the status rows, and the rows with the start of each order.
    fn read_rows(&mut self, now: Instant) {
        if self.call_in_flight || now < self.next_call {
            return;
        }
        self.call_in_flight = true;
        let gateway = self.gateway.clone();
        spawn_local(async move {
            let began = clock::now();
            let status = gateway.store.snapshot(Table::Status).await;
            record_store_call(&gateway, "rollout_read", began, status.as_ref().err());
            let starts = match &status {
                Ok(_) => gateway.store.snapshot(Table::Duties).await,
                Err(_) => Err(PlatformError::Timeout),
            };
            let rows = status.and_then(|status| Ok((status.rows, starts?.rows)));
            gateway.send_to_controllers(|c| call!([c.rollouts], rows_read(rows)));
        });
    }

    /// Handles the rows that were read.
    pub fn rows_read(
        &mut self,
        cx: CX![],
        read: Result<(Vec<StoreRow>, Vec<StoreRow>), PlatformError>,
    ) {
        self.call_in_flight = false;
        let Ok((status, starts)) = read else {
            self.next_call = cx.now() + RETRY_DELAY;
            return;
        };
        self.rows = Some(status.iter().filter_map(status_row).collect());
        self.stored_starts.extend(starts.iter().filter_map(stored_start));
        for (service, pending) in std::mem::take(&mut self.pending) {
            self.put_in_force(&service, pending, cx.now());
        }
        let orders: Vec<RolloutOrder> = {
            let board = self.gateway.board.borrow();
            let services = board.rollouts.services();
            services.filter_map(|s| board.rollouts.order(s).cloned()).collect()
        };
        for order in &orders {
            if let Some(end) = self.stored_end(order) {
                let mut board = self.gateway.board.borrow_mut();
                board.rollouts.end(&order.service, order.revision, end);
            }
        }
    }

    /// Puts an order into force, started at the earliest time known.
    fn put_in_force(&mut self, service: &ServiceName, pending: PendingOrder, now: Instant) {
        let PendingOrder { document, revision, seen } = pending;
        // The start may have been stored in an earlier era than that of the row.
        let number = number_in_era(revision);
        let starts = self.stored_starts.get(service);
        let stored = starts.filter(|s| number_in_era(s.revision) == number);
        let started = stored.map_or(seen, |s| s.started.min(seen));
        let order = document.order(revision, started);
        if self.gateway.add_order(order.clone(), now) {
            let board = self.gateway.board.borrow();
            let time = board.store_time(now);
            let view = board.rollouts.views(time).find(|v| v.order.revision == revision);
            drop(board);
            self.log(view.as_ref(), "ordered");
        }
        self.gateway.send_to_controllers(|c| call!([c.peers], send_now()));
    }

    /// Returns how the roll-out of an order ended, if a status row written after the order says so.
    fn stored_end(&self, order: &RolloutOrder) -> Option<RolloutEnd> {
        self.rows.as_ref()?.get(&order.service)?.end_of(order)
    }
}

impl Gateway {
    /// Puts an order into force; returns whether it is new here.
    pub fn add_order(&self, order: RolloutOrder, now: Instant) -> bool {
        let mut board = self.board.borrow_mut();
        let has_slack = self.was_up_at(order.started, board.store_time(now), now);
        board.rollouts.add_order(order, has_slack, fastrand::f64())
    }

    /// Returns whether this process was already running at time `at` of the store's clock, where
    /// `time` is that clock's current time.
    pub(super) fn was_up_at(&self, at: StoreMillis, time: StoreMillis, now: Instant) -> bool {
        let up = now.saturating_duration_since(self.started).as_millis() as u64;
        up >= time.saturating_sub(at)
    }
}
