//! Reads of the store's tables by long polling. Each call starts on schedule, whether or not
//! earlier ones were answered.

use std::{
    cell::Cell,
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use stakker::call;
use tokio::{task::spawn_local, time::sleep};

use super::Source;
use crate::{
    clock,
    gateway::{
        context::Gateway,
        decide::{Backoff, ReadAction, StoreMillis, SyncPoint},
        model::{Revision, ServiceName, WatchedData},
        telemetry::Event,
    },
    platform::{Change, Feed, PlatformError, Snapshot, StoreRow, Table, rollout_service},
    telemetry::count,
};

/// How long after its wait a call may remain unanswered before the next call begins. A late answer
/// is still used.
const ANSWER_ALLOWANCE: Duration = Duration::from_millis(100);
/// Pause after a snapshot, in which the controllers apply it.
const APPLY_PAUSE: Duration = Duration::from_millis(20);
/// Pause after changes of upstreams: they come in bursts, and each call costs money.
const BURST_PAUSE: Duration = Duration::from_millis(60);
/// How long a starting process waits for the list of registered gateways.
const MEMBERS_WAIT: Duration = Duration::from_millis(300);
/// Interval between checks of whether a starting process has received the list of upstreams.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Key of the configuration's row.
const CONFIGURATION_KEY: &str = "config";

/// Result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadOutcome {
    /// It returned changes, or the whole table.
    Changed,
    /// It returned no changes.
    Unchanged,
    /// It returned no usable answer.
    Failed,
}

/// Reads one table.
struct TableReader {
    gateway: Rc<Gateway>,
    followed: WatchedData,
    /// Revision up to which all changes were passed to the controllers.
    known: Cell<Revision>,
}

/// Keeps the knowledge of a table up to date: reads the table whenever it is this process's turn.
pub async fn follow_table(gateway: Rc<Gateway>, followed: WatchedData) {
    let reader = Rc::new(TableReader { gateway, followed, known: Cell::default() });
    let mut backoff = Backoff::default();
    loop {
        if let Some(wait) = reader.wait_at_start() {
            sleep(wait).await;
            continue;
        }
        match reader.turn() {
            None => match reader.snapshot().await {
                ReadOutcome::Failed => sleep(backoff.record_failure(fastrand::f64())).await,
                ReadOutcome::Changed | ReadOutcome::Unchanged => {
                    backoff.record_success();
                    sleep(APPLY_PAUSE).await;
                }
            },
            Some(ReadAction::LongPoll(wait)) => reader.long_poll(wait).await,
            Some(ReadAction::FallbackRead(pause)) => {
                drop(spawn_local(reader.clone().read(Duration::ZERO)));
                sleep(pause).await;
            }
            Some(ReadAction::Recheck(pause)) => sleep(pause).await,
        }
    }
}

impl TableReader {
    fn table(&self) -> Table {
        match self.followed {
            WatchedData::Configuration => Table::Operator,
            WatchedData::Upstreams => Table::Upstreams,
        }
    }

    /// Returns how long to wait before the next check of whether other gateways have sent the list
    /// of upstreams; `None` once it is known, or time to read the store.
    fn wait_at_start(&self) -> Option<Duration> {
        let board = self.gateway.board.borrow();
        if self.followed != WatchedData::Upstreams || board.upstreams_knowledge.is_some() {
            return None;
        }
        let now = clock::now();
        let until = board.peer_snapshot_deadline.unwrap_or(self.gateway.started + MEMBERS_WAIT);
        (now < until).then(|| STARTUP_POLL_INTERVAL.min(until - now))
    }

    /// Returns the pause between changes and the next call.
    fn burst_pause(&self) -> Duration {
        match self.followed {
            WatchedData::Configuration => Duration::ZERO,
            WatchedData::Upstreams => BURST_PAUSE,
        }
    }

    fn turn(&self) -> Option<ReadAction> {
        let board = self.gateway.board.borrow();
        board.read_turn(&self.gateway.process, self.followed, clock::now())
    }

    /// Waits for changes until the next turn, which begins on time even if the call is unanswered.
    async fn long_poll(self: &Rc<Self>, wait: Duration) {
        let next = clock::now() + wait;
        let call = spawn_local(self.clone().read(wait));
        match clock::timeout_at(next + ANSWER_ALLOWANCE, call).await {
            Ok(Ok(ReadOutcome::Changed)) => sleep(self.burst_pause()).await,
            Ok(_) => clock::sleep_until(next).await,
            // Not answered in time: the next call uses a connection of its own.
            Err(_) => {}
        }
    }

    /// Reads the changes since the last known revision; the store waits up to `wait` for some.
    async fn read(self: Rc<Self>, wait: Duration) -> ReadOutcome {
        let known = self.gateway.board.borrow().knowledge(self.followed);
        let after = self.known.get().max(known.map_or(0, |k| k.position));
        let began = clock::now();
        let fed = self.gateway.store.feed(self.table(), after, wait).await;
        record_store_call(&self.gateway, feed_name(self.followed), began, fed.as_ref().err());
        match fed {
            Ok(feed) => self.apply(feed),
            Err(PlatformError::HistoryLost | PlatformError::EraChanged) => self.snapshot().await,
            Err(_) => ReadOutcome::Failed,
        }
    }

    fn apply(&self, feed: Feed) -> ReadOutcome {
        let changed = !feed.changes.is_empty();
        self.update_store_clock(feed.as_of);
        self.known.set(self.known.get().max(feed.revision));
        self.pass_on_changes(feed);
        if changed { ReadOutcome::Changed } else { ReadOutcome::Unchanged }
    }

    fn update_store_clock(&self, reading: StoreMillis) {
        self.gateway.board.borrow_mut().store_clock.note(reading, clock::now());
    }

    /// Reads the whole table. A store that has lost its history may return a state older than what
    /// is known; such an answer is discarded.
    async fn snapshot(&self) -> ReadOutcome {
        let began = clock::now();
        let read = self.gateway.store.snapshot(self.table()).await;
        record_store_call(&self.gateway, "snapshot", began, read.as_ref().err());
        match read {
            Ok(snapshot) if snapshot.revision >= self.known.get() => {
                self.known.set(snapshot.revision);
                self.update_store_clock(snapshot.as_of);
                self.pass_on_snapshot(snapshot);
                ReadOutcome::Changed
            }
            Ok(snapshot) => {
                self.log_discarded(&snapshot);
                ReadOutcome::Failed
            }
            Err(_) => ReadOutcome::Failed,
        }
    }

    fn log_discarded(&self, snapshot: &Snapshot) {
        self.gateway.log(&Event::StoreReadDiscarded {
            of: self.followed.name(),
            revision: snapshot.revision,
            known: self.known.get(),
            era: self.gateway.store.era(),
        });
    }

    fn pass_on_changes(&self, feed: Feed) {
        match self.followed {
            WatchedData::Configuration => apply_operator_changes(&self.gateway, feed),
            WatchedData::Upstreams => {
                self.gateway.send_to_controllers(|c| call!([c.directory], apply_feed(feed)))
            }
        }
    }

    fn pass_on_snapshot(&self, snapshot: Snapshot) {
        match self.followed {
            WatchedData::Configuration => apply_operator_snapshot(&self.gateway, snapshot),
            WatchedData::Upstreams => {
                self.gateway
                    .send_to_controllers(|c| call!([c.directory], apply_snapshot(snapshot)));
            }
        }
    }
}

/// Returns the name of reads of changes in metrics and logs.
fn feed_name(followed: WatchedData) -> &'static str {
    match followed {
        WatchedData::Configuration => "feed_configuration",
        WatchedData::Upstreams => "feed_upstreams",
    }
}

/// Reads the changes of a table once, without waiting for some, and sends them to the controllers.
pub async fn read_once(gateway: Rc<Gateway>, followed: WatchedData) {
    let reader = Rc::new(TableReader { gateway, followed, known: Cell::default() });
    reader.read(Duration::ZERO).await;
}

fn apply_operator_snapshot(gateway: &Gateway, snapshot: Snapshot) {
    let Snapshot { rows, revision, as_of } = snapshot;
    let ordered: BTreeSet<&str> = rows.iter().filter_map(|r| rollout_service(&r.key)).collect();
    let known: Vec<ServiceName> = gateway.board.borrow().rollouts.services().cloned().collect();
    for service in known.into_iter().filter(|s| !ordered.contains(s.as_str())) {
        gateway.send_to_controllers(|c| call!([c.rollouts], order_removed(service, revision)));
    }
    apply_operator_rows(gateway, rows, true, SyncPoint { position: revision, as_of });
}

fn apply_operator_changes(gateway: &Gateway, feed: Feed) {
    let Feed { changes, revision, as_of } = feed;
    let written = changes.into_iter().filter_map(|change| match change {
        Change::Written(row) => Some(row),
        // The row of the configuration is never removed, so only roll-outs are handled.
        Change::Removed(key, revision) => {
            if let Some(service) = rollout_service(&key).map(str::to_owned) {
                gateway
                    .send_to_controllers(|c| call!([c.rollouts], order_removed(service, revision)));
            }
            None
        }
    });
    apply_operator_rows(gateway, written, false, SyncPoint { position: revision, as_of });
}

/// Passes the configuration and the orders of roll-outs to their controllers, and then the position
/// up to which they are known. `is_listed` says that they are all rows of the table.
fn apply_operator_rows(
    gateway: &Gateway,
    rows: impl IntoIterator<Item = StoreRow>,
    is_listed: bool,
    known: SyncPoint,
) {
    for row in rows {
        if row.key == CONFIGURATION_KEY {
            let document = row.value.into();
            gateway
                .send_to_controllers(|c| call!([c.configuration], apply(document, Source::Store)));
        } else if rollout_service(&row.key).is_some() {
            gateway.send_to_controllers(|c| call!([c.rollouts], order_read(row, is_listed)));
        }
    }
    gateway.send_to_controllers(|c| call!([c.configuration], advance_knowledge(known)));
}

/// Records the outcome of a call to the store that began at `began`: counts it, logs a failure, and
/// updates whether the store is available.
pub(super) fn record_store_call(
    gateway: &Gateway,
    call: &str,
    began: Instant,
    error: Option<&PlatformError>,
) {
    let outcome = if error.is_some() { "failed" } else { "ok" };
    count(&gateway.metrics.platform_calls, &format!("{call}_{outcome}"));
    if let Some(error) = error {
        let after_ms = clock::now().saturating_duration_since(began).as_millis() as u64;
        gateway.log(&Event::StoreCallFailed { call, after_ms, error: &error.to_string() });
    }
    gateway.record_store_outcome(error);
}
