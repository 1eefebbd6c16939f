//! One usage report: kept in the store first, then sent.

use std::rc::Rc;

use stakker::call;

use crate::{
    clock,
    gateway::{
        context::Gateway,
        decide::{Counts, Window},
        telemetry::Event,
    },
    platform::{PlatformError, RowWrite, Table, WriteOutcome},
    telemetry::count,
};

/// Keeps the counts in the store, so that whoever sends them again sends the
/// same, and sends them.
pub(super) async fn report(gateway: Rc<Gateway>, window: Window, counts: Counts) {
    let sent = match kept_counts(&gateway, window, counts).await {
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
    gateway.tell(|c| call!([c.duties], reported(window, sent.is_ok())));
}

/// Returns the counts that the store keeps for a window: these, or those that
/// a holder wrote before.
async fn kept_counts(
    gateway: &Gateway,
    window: Window,
    counts: Counts,
) -> Result<Counts, PlatformError> {
    let key = format!("usage-{window}");
    let value = serde_json::to_vec(&counts).expect("texts and numbers always encode");
    let write = RowWrite { table: Table::Duties, key: key.clone(), value, expected: Some(0) };
    let outcome = gateway.store.write(&[write]).await;
    gateway.note_store(outcome.as_ref().err());
    match outcome? {
        WriteOutcome::Done(_) => Ok(counts),
        WriteOutcome::Conflict(rows) => {
            let Some(row) = rows.into_iter().find(|r| r.key == key) else {
                return Err(PlatformError::HistoryLost);
            };
            serde_json::from_slice(&row.value)
                .map_err(|source| PlatformError::Malformed { what: "kept usage", source })
        }
    }
}
