//! What the holder of the lease keeps in the store for processes that start
//! later: levels of quotas and counts of usage. Without it, a kill of all
//! processes would leave nobody who knows them.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    gateway::{
        context::Gateway,
        decide::{Counts, Window},
        model::CustomerName,
    },
    platform::{PlatformError, RowWrite, StoreRow, Table},
    telemetry::count,
};

/// Key of the row.
pub const KEPT_KEY: &str = "kept";
/// Between writes. Each is paid for; what happens in between is lost when all
/// processes are killed at once.
pub const KEEP_EVERY: Duration = Duration::from_millis(1_000);
/// Name under which counts of earlier processes are held.
const EARLIER: &str = "earlier processes";

/// The value of the row.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Kept {
    levels: BTreeMap<CustomerName, f64>,
    usage: Vec<(Window, Counts)>,
}

/// Writes what the next processes need.
pub async fn keep(gateway: Rc<Gateway>) {
    let kept = {
        let board = gateway.board.borrow();
        Kept { levels: board.quotas.levels(), usage: board.usage.totals() }
    };
    let value = match serde_json::to_vec(&kept) {
        Ok(value) => value,
        Err(e) => {
            log::error!("quotas and usage cannot be written as JSON: {e}");
            return;
        }
    };
    let row = RowWrite { table: Table::Duties, key: KEPT_KEY.to_owned(), value, expected: None };
    let written = gateway.store.write(&[row]).await;
    gateway.note_store(written.as_ref().err());
    count(&gateway.metrics.platform_calls, if written.is_ok() { "keep" } else { "keep_failed" });
}

/// Takes over what earlier processes left.
///
/// # Errors
///
/// Fails if the row cannot be read as it was written.
pub fn restore(gateway: &Gateway, row: &StoreRow) -> Result<(), PlatformError> {
    let kept: Kept = serde_json::from_slice(&row.value)
        .map_err(|source| PlatformError::Malformed { what: "kept quotas and usage", source })?;
    let mut board = gateway.board.borrow_mut();
    board.quotas.restore(&kept.levels, Instant::now());
    for (window, counts) in &kept.usage {
        board.usage.hear(EARLIER, *window, counts);
    }
    Ok(())
}
