//! What the holder of the lease keeps in the store for processes that start
//! later: levels of quotas, counts of usage, and need and orders of engines. Without it,
//! a kill of all processes would leave nobody who knows them.

use std::{rc::Rc, time::Duration};

use crate::{
    clock,
    gateway::{context::Gateway, decide::Kept, peering::WireError},
    platform::{RowWrite, StoreRow, Table},
    telemetry::count,
};

/// Key of the row.
pub const KEPT_KEY: &str = "kept";
/// Key of the row of verdicts on requests that crash upstreams.
pub const QUARANTINE_KEY: &str = "quarantine";
/// Between writes. Each is paid for; what happens in between is lost when all
/// processes are killed at once.
pub const KEEP_EVERY: Duration = Duration::from_millis(200);

/// Returns the row of what the next processes need.
pub fn kept_row(gateway: &Gateway) -> Option<RowWrite> {
    let kept = {
        let mut board = gateway.board.borrow_mut();
        let now = clock::now();
        let share = board.quota_share(now);
        let levels = board.quotas.levels(share, now);
        Kept::of(levels, &board.usage, board.capacity.clone())
    };
    let mut value = Vec::new();
    if let Err(e) = ciborium::into_writer(&kept, &mut value) {
        log::error!("quotas, usage and needs cannot be encoded: {e}");
        return None;
    }
    Some(RowWrite { table: Table::Duties, key: KEPT_KEY.to_owned(), value, expected: None })
}

/// Writes what the next processes need.
pub async fn keep(gateway: Rc<Gateway>) {
    let Some(row) = kept_row(&gateway) else {
        return;
    };
    let written = gateway.store.write(&[row]).await;
    gateway.note_store(written.as_ref().err());
    count(&gateway.metrics.platform_calls, if written.is_ok() { "keep" } else { "keep_failed" });
}

/// Takes over what earlier processes left.
///
/// # Errors
///
/// Fails if the row cannot be read as it was written.
pub fn restore(gateway: &Gateway, row: &StoreRow) -> Result<(), WireError> {
    let kept: Kept = ciborium::from_reader(&row.value[..])?;
    let mut guard = gateway.board.borrow_mut();
    let board = &mut *guard;
    let capacity = kept.restore(&mut board.quotas, &mut board.usage, clock::now());
    board.kept_needs = capacity.needs;
    // What a holder has told since is newer.
    if board.capacity.orders.is_empty() {
        board.capacity.orders = capacity.orders;
    }
    Ok(())
}
