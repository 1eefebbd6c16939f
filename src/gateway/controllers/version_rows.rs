//! Keeps the record of the versions at which streams may have begun, in a row of the store.

use std::{
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use super::table_reader::record_store_call;
use crate::{
    clock,
    gateway::{
        context::Gateway,
        decide::{Backoff, Mechanism, ServiceVersion, VersionRecord},
        peering::StreamVersionMessage,
        telemetry::Event,
    },
    platform::{PlatformError, RowWrite, StoreRow, Table, WriteOutcome},
};

/// Key of the row.
pub(super) const VERSIONS_KEY: &str = "stream-versions";
/// Longest interval between checks of the record.
const CHECK_PERIOD: Duration = Duration::from_secs(5);
/// Pause after each check, which bounds the rate of calls while other gateways change the row.
const PASS_PAUSE: Duration = Duration::from_millis(20);
/// Interval between reads of the row. A gateway that missed that a version was marked as unused begins
/// streams at it for as long, so it must be well below the time for which such versions stay recorded.
pub const REREAD_PERIOD: Duration = Duration::from_secs(45);
/// Mean time between two gateways that record the same new version at once, most of which find that
/// another one has done so.
const WRITE_SPACING: Duration = Duration::from_micros(700);
/// How often other gateways are told of a recorded version. The store may turn one away that misses it.
const NOTICES: u32 = 3;
/// Interval between these messages.
const NOTICE_INTERVAL: Duration = Duration::from_millis(150);
/// Versions that a line of the log names.
const MAX_LOGGED_VERSIONS: usize = 16;

/// Records versions as they are listed, marks those that are not used any more, and reads the record
/// again now and then.
pub async fn keep_version_record(gateway: Rc<Gateway>) {
    if !gateway.settings.borrow().off.is_enabled(Mechanism::StreamVersions) {
        return;
    }
    let mut backoff = Backoff::default();
    loop {
        await_change(&gateway).await;
        match bring_up_to_date(&gateway).await {
            Ok(()) => {
                backoff.record_success();
                sleep(PASS_PAUSE).await;
            }
            Err(_) => sleep(backoff.record_failure(fastrand::f64())).await,
        }
    }
}

/// Waits until listed versions are missing in the record, or for the next check.
async fn await_change(gateway: &Gateway) {
    let added = gateway.board.borrow().recorded_versions.added();
    if !gateway.board.borrow().recorded_versions.lacks_listed() {
        // Both a change and the end of the time lead to a check.
        drop(timeout(CHECK_PERIOD, added.notified()).await);
    }
}

async fn bring_up_to_date(gateway: &Rc<Gateway>) -> Result<(), PlatformError> {
    let now = clock::now();
    if gateway.board.borrow().version_record_is_outdated() {
        gateway.board.borrow_mut().record_versions_again(now);
    }
    if gateway.board.borrow().recorded_versions.lacks_listed() {
        return record_missing(gateway).await;
    }
    if gateway.board.borrow().version_record_age(now).is_none_or(|age| age >= REREAD_PERIOD) {
        return read_version_record(gateway).await;
    }
    if gateway.board.borrow().lease.may_act(now).is_none() {
        return Ok(());
    }
    let retired = gateway.board.borrow().retire_versions(now);
    match retired {
        Some(record) => write(gateway, record).await,
        None => Ok(()),
    }
}

/// Records listed versions that are missing, unless another gateway does so meanwhile.
async fn record_missing(gateway: &Rc<Gateway>) -> Result<(), PlatformError> {
    let gateways = gateway.board.borrow().peers.len();
    sleep(WRITE_SPACING.mul_f64(gateways as f64 * fastrand::f64())).await;
    if !gateway.board.borrow().recorded_versions.lacks_listed() {
        return Ok(());
    }
    let record = {
        let board = gateway.board.borrow();
        board.next_version_record(gateway.settings.borrow().system_start, clock::now())
    };
    write(gateway, record).await
}

/// Writes the record, unless its row has changed since it was last read; then takes over the row.
async fn write(gateway: &Rc<Gateway>, record: VersionRecord) -> Result<(), PlatformError> {
    let value = match record.encode() {
        Ok(value) => value,
        Err(e) => {
            log::error!("the record of versions cannot be encoded: {e}");
            return Ok(());
        }
    };
    let expected = Some(gateway.board.borrow().recorded_versions.revision());
    let row = RowWrite { table: Table::Duties, key: VERSIONS_KEY.to_owned(), value, expected };
    let began = clock::now();
    let written = gateway.store.write(&[row]).await;
    record_store_call(gateway, "record_versions", began, written.as_ref().err());
    match written {
        Err(PlatformError::EraChanged) => read_version_record(gateway).await?,
        Err(e) => return Err(e),
        Ok(WriteOutcome::Conflict(rows)) => {
            gateway.apply_version_row(rows.into_iter().next(), began);
        }
        Ok(WriteOutcome::Done(revision)) => {
            let added = {
                let mut board = gateway.board.borrow_mut();
                let known: BTreeSet<_> = board.recorded_versions.recorded().collect();
                let added = record.in_use().filter(|version| !known.contains(version)).collect();
                board.apply_version_record(Some(record), revision, began);
                added
            };
            announce(gateway, added);
        }
    }
    Ok(())
}

/// Tells the other gateways that versions are in the record, so that they need not read it.
fn announce(gateway: &Rc<Gateway>, versions: Vec<ServiceVersion>) {
    if versions.is_empty() {
        return;
    }
    let (count, logged) = (versions.len(), versions.len().min(MAX_LOGGED_VERSIONS));
    gateway.log(&Event::VersionsRecorded { count, versions: &versions[..logged] });
    let message = StreamVersionMessage::Recorded { versions };
    let gateway = gateway.clone();
    spawn_local(async move {
        for _ in 0..NOTICES {
            let heard: Vec<_> = {
                let board = gateway.board.borrow();
                board.recently_heard(clock::now()).map(|p| p.last.heartbeats).collect()
            };
            gateway.stream_version_questions.send(&message, &heard);
            sleep(NOTICE_INTERVAL).await;
        }
    });
}

/// Reads the record from the store.
///
/// # Errors
///
/// Fails if the store does not answer, refuses the call or returns a malformed answer.
pub async fn read_version_record(gateway: &Gateway) -> Result<(), PlatformError> {
    let began = clock::now();
    let read = gateway.store.row(Table::Duties, VERSIONS_KEY).await;
    record_store_call(gateway, "read_versions", began, read.as_ref().err());
    gateway.apply_version_row(read?, began);
    Ok(())
}

impl Gateway {
    /// Takes over the row of the record as a call returned it that began at `as_of`.
    pub(super) fn apply_version_row(&self, row: Option<StoreRow>, as_of: Instant) {
        let revision = row.as_ref().map_or(0, |row| row.revision);
        let mut board = self.board.borrow_mut();
        let record = row.map(|row| {
            VersionRecord::decode(&row.value).unwrap_or_else(|e| {
                log::error!("the record of versions cannot be decoded, and begins anew: {e}");
                let era = board.store_era.unwrap_or_default();
                VersionRecord::incomplete(era, board.store_time(clock::now()))
            })
        });
        board.apply_version_record(record, revision, as_of);
    }
}
