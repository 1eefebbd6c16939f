//! Delivery of one usage report: the counts are stored first, then reported to the platform.
//!
//! The store may lose stored counts when it returns from a copy. Counts that may have been reported
//! already are then not stored again, since they might differ.

use std::rc::Rc;

use stakker::call;

use crate::{
    clock,
    gateway::{
        context::Gateway,
        decide::{UsageCounts, WindowNumber},
        telemetry::Event,
    },
    platform::{PlatformError, RowWrite, StoreRow, Table, WriteOutcome},
    telemetry::count,
};

/// Windows whose stored counts are kept. No process reports a window that is older than the newest by
/// a quarter of this.
const KEPT_ROWS: u64 = 32;
/// Rows of older windows that are removed together, once in as many windows.
const REMOVED_TOGETHER: u64 = 8;

/// Stores the counts of a window and reports them. The stored counts make the report idempotent:
/// any holder that sends it again sends the same numbers.
pub(super) async fn send_usage_report(gateway: Rc<Gateway>, window: WindowNumber) {
    let may_be_stored = gateway.board.borrow().usage.may_be_stored(window);
    let stored = match may_be_stored {
        true => stored_counts(&gateway, window).await,
        false => store_counts(&gateway, window).await.map(Some),
    };
    let sent = match stored {
        Ok(Some(counts)) => {
            gateway.board.borrow_mut().usage.note_stored(window);
            let fence = || gateway.board.borrow().lease.may_act(clock::now());
            let total = counts.values().sum();
            let sent = gateway.duties.report_usage(fence, window, &counts).await;
            let outcome = sent.as_ref().err().map_or("ok".to_owned(), ToString::to_string);
            let fence = fence().unwrap_or_default();
            gateway.log(&Event::Usage { window, total, fence, outcome: &outcome });
            sent
        }
        Ok(None) => {
            gateway.log(&Event::UsageLost { window });
            Ok(())
        }
        Err(e) => Err(e),
    };
    count(&gateway.metrics.platform_calls, if sent.is_ok() { "usage" } else { "usage_failed" });
    if sent.is_ok() && window.is_multiple_of(REMOVED_TOGETHER) {
        remove_old_counts(&gateway, window).await;
    }
    gateway.send_to_controllers(|c| call!([c.duties], report_completed(window, sent.is_ok())));
}

/// Removes the stored counts of the windows that come before those that are kept. Rows that are left,
/// since no holder was there at their turn, take some bytes and do no harm.
async fn remove_old_counts(gateway: &Gateway, window: WindowNumber) {
    let end = window.saturating_sub(KEPT_ROWS);
    let keys: Vec<String> = (end.saturating_sub(REMOVED_TOGETHER)..end).map(row_key).collect();
    let removed = gateway.store.remove(Table::Duties, &keys).await;
    gateway.record_store_outcome(removed.as_ref().err());
    let label = if removed.is_ok() { "usage_removal" } else { "usage_removal_failed" };
    count(&gateway.metrics.platform_calls, label);
    if let Err(e) = removed {
        log::warn!("stored usage counts of old windows were not removed: {e}");
    }
}

/// Stores the counts of a window unless the store already has some from an earlier attempt; returns
/// the stored ones.
async fn store_counts(
    gateway: &Gateway,
    window: WindowNumber,
) -> Result<UsageCounts, PlatformError> {
    let counts = gateway.board.borrow().usage.total(window);
    let key = row_key(window);
    let value = serde_json::to_vec(&counts).expect("strings and integers always encode as JSON");
    let write = RowWrite { table: Table::Duties, key: key.clone(), value, expected: Some(0) };
    let outcome = gateway.store.write(&[write]).await;
    gateway.record_store_outcome(outcome.as_ref().err());
    match outcome? {
        WriteOutcome::Done(_) => Ok(counts),
        WriteOutcome::Conflict(rows) => {
            let Some(row) = rows.into_iter().find(|r| r.key == key) else {
                return Err(PlatformError::HistoryLost);
            };
            decode(&row)
        }
    }
}

/// Returns the counts of a window that were stored earlier; `None` if the store has lost them.
async fn stored_counts(
    gateway: &Gateway,
    window: WindowNumber,
) -> Result<Option<UsageCounts>, PlatformError> {
    let read = gateway.store.row(Table::Duties, &row_key(window)).await;
    gateway.record_store_outcome(read.as_ref().err());
    read?.as_ref().map(decode).transpose()
}

fn row_key(window: WindowNumber) -> String {
    format!("usage-{window}")
}

fn decode(row: &StoreRow) -> Result<UsageCounts, PlatformError> {
    serde_json::from_slice(&row.value)
        .map_err(|source| PlatformError::Malformed { what: "stored usage counts", source })
}
