//! State that the holder of the lease persists in the store for processes that start later: quota
//! levels, usage counts, and the need and orders of engines. Without it, a kill of all gateways
//! would lose them.

use std::{rc::Rc, time::Duration};

use crate::{
    clock,
    gateway::{
        context::Gateway,
        decide::{DurableState, StateError},
    },
    platform::{RowWrite, StoreRow, Table},
    telemetry::count,
};

/// Key of the row of persisted state.
pub const STATE_KEY: &str = "kept";
/// Key of the row of quarantine verdicts on requests that crash upstreams.
pub const QUARANTINE_KEY: &str = "quarantine";
/// Key of the row of quarantine verdicts on parts of prompts that crash upstreams.
pub const PART_QUARANTINE_KEY: &str = "quarantined-parts";
/// Interval between writes of the row. Each write costs money; a kill of all gateways at once loses
/// what changed since the last one.
pub const PERSIST_PERIOD: Duration = Duration::from_millis(200);

/// Returns the write of the current state; `None` if it cannot be encoded.
pub fn state_row(gateway: &Gateway) -> Option<RowWrite> {
    let kept = {
        let mut board = gateway.board.borrow_mut();
        let now = clock::now();
        let share = board.quota_share(now);
        let levels = board.quotas.levels(share, now);
        let era = gateway.store.era().unwrap_or_default();
        DurableState::of(levels, &board.usage, board.capacity.clone()).in_era(era)
    };
    let (value, left_out) = match kept.encode() {
        Ok(encoded) => encoded,
        Err(e) => {
            log::error!("the state to persist cannot be encoded: {e}");
            return None;
        }
    };
    let before = gateway.metrics.windows_left_out.set(left_out as i64);
    if before != left_out as i64 {
        log::warn!("the persisted state leaves out {left_out} usage windows ({before} before)");
    }
    Some(RowWrite { table: Table::Duties, key: STATE_KEY.to_owned(), value, expected: None })
}

/// Writes the current state to the store.
pub async fn persist(gateway: Rc<Gateway>) {
    let Some(row) = state_row(&gateway) else {
        return;
    };
    let written = gateway.store.write(&[row]).await;
    gateway.record_store_outcome(written.as_ref().err());
    count(&gateway.metrics.platform_calls, if written.is_ok() { "keep" } else { "keep_failed" });
}

/// Restores quotas, usage, and the need and orders of engines from the row of persisted state.
///
/// # Errors
///
/// Fails if the row cannot be decoded.
pub fn restore(gateway: &Gateway, row: &StoreRow) -> Result<(), StateError> {
    let kept = DurableState::decode(&row.value)?;
    let is_outdated = kept.is_from_before(gateway.store.era().unwrap_or_default());
    let mut guard = gateway.board.borrow_mut();
    let board = &mut *guard;
    let capacity = kept.restore(&mut board.quotas, &mut board.usage, is_outdated, clock::now());
    board.previous_holder_needs = capacity.needs;
    // Orders already received from a holder's heartbeat are newer than the row.
    if board.capacity.orders.is_empty() {
        board.capacity.orders = capacity.orders;
    }
    Ok(())
}
