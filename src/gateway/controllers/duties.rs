//! The lease on the duties, and the usage reports that its holder sends.
//!
//! Duties are the tasks that only one gateway may perform at a time; one lease covers all of them.
//! The holder renews the lease's row in the store. The others learn of the holder from heartbeats,
//! and read the row only when they no longer receive any from it.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use stakker::{CX, call, timer_max};
use tokio::task::spawn_local;

use super::{
    persisted_state::{PERSIST_PERIOD, persist, state_row},
    usage_report::send_usage_report,
};
use crate::{
    control::{HeardClaim, Lease, LeaseAction, LeaseBasis, LeaseRow, LeaseTiming},
    gateway::{
        board::{HEARTBEAT_PERIOD, HEARTBEAT_REACH, OwnLease},
        context::Gateway,
        decide::{WindowNumber, wait_after_takeover},
        net::Phase,
        telemetry::Event,
    },
    platform::{PlatformError, RowWrite, StoreRow, Table, WriteOutcome},
    telemetry::count,
};

/// Key of the lease's row.
pub(super) const LEASE_KEY: &str = "lease";
/// How much the lease exceeds the configured bound, the time within which two holders may not
/// act alternately.
const TTL_BEYOND_BOUND: Duration = Duration::from_millis(200);
/// Last part of the lease in which no call is made under it, so that calls arrive before it ends.
const LEASE_MARGIN: Duration = Duration::from_millis(700);
/// Interval between renewals: two can fail before the holder must stop acting.
const RENEW_PERIOD: Duration = Duration::from_millis(800);
/// Interval between checks of the lease and the reports.
const CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Age of the last renewal at which a holder gives up the lease if the store answers other
/// gateways: two renewals have failed by then.
const GIVE_UP_AFTER: Duration = Duration::from_millis(1_600);
/// Time without heartbeats of the holder after which the first process reads the row.
const SUSPECT_AFTER: Duration = Duration::from_millis(700);
/// Added to [`SUSPECT_AFTER`] for each process that precedes this one, so that they do not all read
/// the row at once.
const SUSPECT_STEP: Duration = Duration::from_millis(150);
/// Time after the end of a window at which its counts are final: processes send theirs several
/// times a second, but some may be partitioned for a while.
const SETTLE_TIME: Duration = Duration::from_millis(3_500);
/// Fencing tokens that are reserved for each era of the store. A token of a lost row is not given
/// out again: those of later eras are higher, unless the holder changes more often than this in
/// one.
const TOKENS_PER_ERA: u64 = 1_000_000;
/// Pause before a failed report is retried.
const REPORT_RETRY_PAUSE: Duration = Duration::from_millis(700);

/// State of the report of one window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportState {
    Sending,
    Failed(Instant),
    Done,
}

/// Controller of the lease and the usage reports.
#[derive(Debug)]
pub struct Duties {
    gateway: Rc<Gateway>,
    timer: stakker::MaxTimerKey,
    lease: Lease,
    timing: LeaseTiming,
    /// What the write of the lease's row in flight rests on, and the holder in the row before it.
    write_basis: Option<(LeaseBasis, String)>,
    /// Fencing token of the lease that this process last left to other hosts, since its own host
    /// held the lease lately.
    deferred: Option<u64>,
    /// Whether a call to the lease's row is in flight.
    call_in_flight: bool,
    /// When the last successful renewal was sent.
    last_renewal: Option<Instant>,
    /// When another process was last known to hold the lease.
    holder_last_heard: Instant,
    reports: BTreeMap<WindowNumber, ReportState>,
    /// When state for later processes was last persisted.
    last_persisted: Option<Instant>,
    /// When this process acquired the lease; before that, when it started.
    acquired: Instant,
}

impl Duties {
    /// Creates the controller and starts its periodic checks.
    pub fn init(cx: CX![], gateway: Rc<Gateway>) -> Option<Self> {
        call!([cx], tick());
        let bound = gateway.settings.borrow().bounds.lease;
        let timing = LeaseTiming { ttl: bound + TTL_BEYOND_BOUND, margin: LEASE_MARGIN };
        let host = gateway.settings.borrow().id.clone();
        let lease = Lease::new(gateway.process.clone(), timing).of_host(host);
        Some(Self {
            gateway,
            timer: stakker::MaxTimerKey::default(),
            lease,
            timing,
            write_basis: None,
            deferred: None,
            call_in_flight: false,
            last_renewal: None,
            holder_last_heard: cx.now(),
            reports: BTreeMap::new(),
            last_persisted: None,
            acquired: cx.now(),
        })
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        timer_max!(&mut self.timer, now + CHECK_PERIOD, [cx], tick());
        let window = self.window(now);
        self.gateway.board.borrow_mut().usage.open_window(&self.gateway.process, window);
        self.check_lease(now);
        if self.gateway.board.borrow().lease.may_act(now).is_some() {
            if self.has_received_counts(now) {
                self.send_reports(now);
            }
            self.persist_if_due(now);
        }
    }

    /// Returns whether the other processes have had time to send their usage counts since this one
    /// acquired the lease.
    fn has_received_counts(&self, now: Instant) -> bool {
        let processes = 1 + self.gateway.board.borrow().peers.len();
        let wait = wait_after_takeover(processes, HEARTBEAT_REACH, HEARTBEAT_PERIOD);
        now.saturating_duration_since(self.acquired) >= wait
    }

    /// Persists quotas and usage every [`PERSIST_PERIOD`], once there has been load.
    fn persist_if_due(&mut self, now: Instant) {
        if !self.gateway.board.borrow().has_seen_load() {
            return;
        }
        if self.last_persisted.is_none_or(|t| now.saturating_duration_since(t) >= PERSIST_PERIOD) {
            self.last_persisted = Some(now);
            spawn_local(persist(self.gateway.clone()));
        }
    }

    fn window(&self, now: Instant) -> WindowNumber {
        let length = self.gateway.settings.borrow().bounds.usage_window;
        self.gateway.board.borrow().clock.unix_millis(now) / length.as_millis().max(1) as u64
    }

    fn check_lease(&mut self, now: Instant) {
        // Also while a call is in flight: a store that is unavailable never answers it.
        if self.should_give_up(now) {
            self.give_up();
            return;
        }
        if self.call_in_flight {
            return;
        }
        let era = self.gateway.store.era().unwrap_or_default();
        self.lease.raise_fences(era * TOKENS_PER_ERA);
        let held = self.gateway.board.borrow().lease.may_act(now).is_some();
        if held && self.gateway.shutdown.phase() > Phase::Serving {
            self.release(now);
            return;
        }
        if held {
            if self.last_renewal.is_none_or(|t| now.saturating_duration_since(t) >= RENEW_PERIOD) {
                self.write_lease(now);
            }
            return;
        }
        let leaving = self.gateway.shutdown.phase() > Phase::Serving;
        if leaving || self.held_recently(now) || self.hears_holder(now) {
            return;
        }
        if !self.lease.is_inherited() && !self.suspects_holder(now) {
            return;
        }
        match self.lease.holder() {
            None => self.read_lease(),
            Some(_) => self.write_lease(now),
        }
    }

    /// Returns whether this process must leave the lease to another: its lease has expired, or the
    /// store answers other processes but not this one. A store that does not answer counts as
    /// unavailable only after a call has timed out, so the age of the last renewal decides.
    fn should_give_up(&self, now: Instant) -> bool {
        let board = self.gateway.board.borrow();
        let Some(own) = board.lease.own.filter(|own| !own.given_up) else {
            return false;
        };
        let others_reach = board.recently_heard(now).any(|p| p.last.store_answers);
        let old = now.saturating_duration_since(own.sent) >= GIVE_UP_AFTER;
        now >= own.until || (others_reach && old)
    }

    fn give_up(&mut self) {
        self.lease.give_up();
        let mut board = self.gateway.board.borrow_mut();
        board.lease.give_up();
        let fence = board.lease.own.map_or(0, |own| own.fence);
        drop(board);
        self.gateway.metrics.lease.set(0);
        self.log_lease(fence, "given_up");
        self.gateway.send_to_controllers(|c| call!([c.peers], send_now()));
    }

    /// Logs once for each lease that this host leaves it to others.
    fn log_deferral(&mut self, now: Instant) {
        let fence = self.lease.holder().map_or(0, |row| row.fence);
        if self.lease.is_deferred(now) && self.deferred != Some(fence) {
            self.deferred = Some(fence);
            self.log_lease(fence, "deferred");
        }
    }

    fn log_lease(&self, fence: u64, state: &str) {
        self.gateway.log(&Event::Lease { fence, state, basis: "", previous: "" });
    }

    /// Returns whether this process gave up the lease so recently that it must leave it to the
    /// other processes that it hears: two holders may not act alternately.
    fn held_recently(&self, now: Instant) -> bool {
        let own = self.gateway.board.borrow().lease.own;
        let others = self.gateway.board.borrow().recently_heard(now).next().is_some();
        others && own.is_some_and(|own| own.given_up && now < own.until + self.timing.ttl)
    }

    /// Records the claim to the lease from another process's heartbeat.
    pub fn claim_received(&mut self, _: CX![], claim: HeardClaim) {
        self.lease.hear(claim);
    }

    /// Returns whether recent heartbeats show that another process holds the lease.
    fn hears_holder(&mut self, now: Instant) -> bool {
        let heard = self.gateway.board.borrow().recently_heard(now).any(|p| p.last.holds_lease());
        if heard {
            self.holder_last_heard = now;
            // An observation of the row says nothing about the holder that follows this one.
            self.lease.observe(0, None, now);
        }
        heard
    }

    /// Returns whether no heartbeat of the holder has arrived for too long, or the holder has given
    /// up the lease. The wait is staggered over the processes that the store answers, so that
    /// usually only one of them reads the row.
    fn suspects_holder(&self, now: Instant) -> bool {
        let board = self.gateway.board.borrow();
        let own = &self.gateway.process;
        let before =
            board.recently_heard(now).filter(|p| p.last.store_answers && p.last.process() < *own);
        let given_up = board.recently_heard(now).any(|p| p.last.lease.is_some_and(|c| c.given_up));
        let silence = if given_up { Duration::ZERO } else { SUSPECT_AFTER };
        let wait = silence + SUSPECT_STEP * before.count() as u32;
        now.saturating_duration_since(self.holder_last_heard) >= wait
    }

    /// Records the lease's row as read when this process started.
    pub fn row_restored(&mut self, cx: CX![], row: StoreRow) {
        self.observe(&row, cx.now());
    }

    fn read_lease(&mut self) {
        self.call_in_flight = true;
        let gateway = self.gateway.clone();
        spawn_local(async move {
            let read = gateway.store.snapshot(Table::Duties).await;
            gateway.record_store_outcome(read.as_ref().err());
            count(
                &gateway.metrics.platform_calls,
                if read.is_ok() { "lease_read" } else { "lease_read_failed" },
            );
            let row = read.map(|s| s.rows.into_iter().find(|r| r.key == LEASE_KEY));
            gateway.send_to_controllers(|c| call!([c.duties], lease_read(row)));
        });
    }

    /// Handles the answer to a read of the lease's row: records the row and checks the lease again,
    /// or writes the first row if there is none.
    pub fn lease_read(&mut self, cx: CX![], read: Result<Option<StoreRow>, PlatformError>) {
        self.call_in_flight = false;
        let Ok(row) = read else {
            return;
        };
        match row {
            Some(row) => {
                self.observe(&row, cx.now());
                self.check_lease(cx.now());
            }
            None => self.write_lease(cx.now()),
        }
    }

    fn observe(&mut self, row: &StoreRow, now: Instant) {
        match serde_json::from_slice::<LeaseRow>(&row.value) {
            Ok(lease) => self.lease.observe(row.revision, Some(lease), now),
            Err(e) => log::error!("the row of the lease cannot be decoded: {e}"),
        }
    }

    fn write_lease(&mut self, now: Instant) {
        let LeaseAction::Write { row_version, row } = self.lease.next_action(now) else {
            self.log_deferral(now);
            return;
        };
        self.call_in_flight = true;
        let previous = self.lease.holder().map_or_else(String::new, |row| row.holder.clone());
        self.write_basis = self.lease.basis(now).map(|basis| (basis, previous));
        let gateway = self.gateway.clone();
        let sent = now;
        let mut writes = vec![lease_write(&row, row_version)];
        // A renewal also writes the persisted state, which saves every fourth call. An acquisition
        // does not: a new holder may know less than that row contains.
        if self.gateway.board.borrow().lease.may_act(now).is_some() {
            writes.extend(state_row(&gateway));
            self.last_persisted = Some(now);
        }
        spawn_local(async move {
            let outcome = gateway.store.write(&writes).await;
            gateway.record_store_outcome(outcome.as_ref().err());
            count(
                &gateway.metrics.platform_calls,
                if outcome.is_ok() { "lease_write" } else { "lease_write_failed" },
            );
            gateway.send_to_controllers(|c| call!([c.duties], lease_written(row, sent, outcome)));
        });
    }

    /// Releases the lease, so that a process on another host can acquire it at once.
    fn release(&mut self, now: Instant) {
        self.gateway.board.borrow_mut().lease.give_up();
        self.gateway.metrics.lease.set(0);
        let Some((row_version, row)) = self.lease.release(now) else {
            return;
        };
        self.log_lease(row.fence, "given_back");
        let gateway = self.gateway.clone();
        spawn_local(async move {
            persist(gateway.clone()).await;
            let written = gateway.store.write(&[lease_write(&row, row_version)]).await;
            gateway.record_store_outcome(written.as_ref().err());
            if let Err(e) = written {
                log::warn!("the lease was not released and will expire: {e}");
            }
        });
    }

    /// Handles the outcome of a write of the lease's row.
    pub fn lease_written(
        &mut self,
        cx: CX![],
        row: LeaseRow,
        sent: Instant,
        outcome: Result<WriteOutcome, PlatformError>,
    ) {
        self.call_in_flight = false;
        match outcome {
            Ok(WriteOutcome::Done(revision)) => self.lease_confirmed(revision, row, sent, cx.now()),
            Ok(WriteOutcome::Conflict(rows)) => match rows.iter().find(|r| r.key == LEASE_KEY) {
                Some(row) => self.observe(row, cx.now()),
                None => self.read_lease(),
            },
            // The write may have been applied; only a read of the row can tell.
            Err(PlatformError::Http(_) | PlatformError::Timeout | PlatformError::EraChanged) => {
                self.read_lease()
            }
            Err(e) => log::debug!("writing the row of the lease failed: {e}"),
        }
    }

    fn lease_confirmed(&mut self, revision: u64, row: LeaseRow, sent: Instant, now: Instant) {
        let (fence, renewal) = (row.fence, row.renewal);
        self.last_renewal = Some(sent);
        self.lease.written(revision, row, sent, now);
        let until = sent + self.timing.ttl.saturating_sub(self.timing.margin);
        let mut board = self.gateway.board.borrow_mut();
        let before = board.lease.own;
        if before.is_some_and(|own| own.fence == fence && own.given_up) {
            // The others were told that this process no longer acts under this fencing token.
            drop(board);
            self.lease.give_up();
            return;
        }
        board.lease.own = Some(OwnLease { fence, renewal, sent, until, given_up: false });
        drop(board);
        if before.map(|own| own.fence) != Some(fence) {
            self.acquired = now;
            let basis = self.write_basis.take();
            let (basis, previous) = basis.as_ref().map_or(("", ""), |(b, p)| (b.name(), p));
            self.gateway.log(&Event::Lease { fence, state: "acquired", basis, previous });
            count(&self.gateway.metrics.lease_acquisitions, basis);
            self.gateway.metrics.lease.set(fence as i64);
        }
    }

    /// Sends the usage reports of all windows whose counts are final, and retries failed ones.
    fn send_reports(&mut self, now: Instant) {
        let length = self.gateway.settings.borrow().bounds.usage_window;
        let time = self.gateway.board.borrow().clock.unix_millis(now);
        let final_before =
            time.saturating_sub(SETTLE_TIME.as_millis() as u64) / length.as_millis().max(1) as u64;
        let windows = self.gateway.board.borrow().usage.windows_before(final_before);
        let known: BTreeSet<WindowNumber> = windows.iter().copied().collect();
        self.reports.retain(|w, _| known.contains(w));
        for window in windows {
            let due = match self.reports.get(&window) {
                None => true,
                Some(ReportState::Failed(at)) => {
                    now.saturating_duration_since(*at) >= REPORT_RETRY_PAUSE
                }
                Some(ReportState::Sending | ReportState::Done) => false,
            };
            if due {
                self.reports.insert(window, ReportState::Sending);
                spawn_local(send_usage_report(self.gateway.clone(), window));
            }
        }
    }

    /// Records whether a report was delivered.
    pub fn report_completed(&mut self, cx: CX![], window: WindowNumber, done: bool) {
        let state = if done { ReportState::Done } else { ReportState::Failed(cx.now()) };
        self.reports.insert(window, state);
    }
}

/// Returns the write of the lease's row, conditional on its version being `row_version`.
fn lease_write(row: &LeaseRow, row_version: u64) -> RowWrite {
    RowWrite {
        table: Table::Duties,
        key: LEASE_KEY.to_owned(),
        value: serde_json::to_vec(row).expect("strings and integers always encode as JSON"),
        expected: Some(row_version),
    }
}
