//! Delivery of one usage report: the counts are stored first, then reported to the platform.

use std::rc::Rc;

use stakker::call;

use crate::{
    clock,
    gateway::{
        context::Gateway,
        decide::{UsageCounts, WindowNumber},
        telemetry::Event,
    },
    platform::{PlatformError, RowWrite, Table, WriteOutcome},
    telemetry::count,
};

/// Stores the counts of a window and reports them. The stored counts make the report idempotent:
/// any holder that sends it again sends the same numbers.
pub(super) async fn send_usage_report(
    gateway: Rc<Gateway>,
    window: WindowNumber,
    counts: UsageCounts,
) {
    let sent = match store_counts(&gateway, window, counts).await {
        Ok(counts) => {
            let fence = || gateway.board.borrow().lease.may_act(clock::now());
            let total = counts.values().sum();
            let sent = gateway.duties.report_usage(fence, window, &counts).await;
            let outcome = sent.as_ref().err().map_or("ok".to_owned(), ToString::to_string);
            let fence = fence().unwrap_or_default();
            gateway.log(&Event::Usage { window, total, fence, outcome: &outcome });
            sent
        }
        Err(e) => Err(e),
    };
    count(&gateway.metrics.platform_calls, if sent.is_ok() { "usage" } else { "usage_failed" });
    gateway.send_to_controllers(|c| call!([c.duties], report_completed(window, sent.is_ok())));
}

/// Stores the counts of a window unless the store already has some from an earlier attempt; returns
/// the stored ones.
async fn store_counts(
    gateway: &Gateway,
    window: WindowNumber,
    counts: UsageCounts,
) -> Result<UsageCounts, PlatformError> {
    let key = format!("usage-{window}");
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
            serde_json::from_slice(&row.value)
                .map_err(|source| PlatformError::Malformed { what: "stored usage counts", source })
        }
    }
}
