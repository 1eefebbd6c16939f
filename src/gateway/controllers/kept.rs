//! What the holder of the lease keeps in the store for processes that start
//! later: levels of quotas and counts of usage. Without it, a kill of all
//! processes would leave nobody who knows them.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    gateway::{
        board::Board,
        context::Gateway,
        decide::{Counts, Window},
        model::CustomerName,
        peering::{ProcessId, WireError},
    },
    platform::{RowWrite, StoreRow, Table},
    telemetry::count,
};

/// Key of the row.
pub const KEPT_KEY: &str = "kept";
/// Between writes. Each is paid for; what happens in between is lost when all
/// processes are killed at once.
pub const KEEP_EVERY: Duration = Duration::from_millis(1_000);
/// Windows of usage that are kept: reports are due two windows after the end.
const KEPT_WINDOWS: usize = 4;

/// The value of the row, in CBOR. Counts are kept by process, since those that
/// live on tell theirs again.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Kept {
    levels: BTreeMap<CustomerName, f64>,
    customers: Vec<CustomerName>,
    /// Window, process, and a count for each of `customers`.
    usage: Vec<(Window, ProcessId, Vec<u64>)>,
}

impl Kept {
    fn of(board: &Board) -> Self {
        let usage: Vec<_> = board.usage.of_all(KEPT_WINDOWS).collect();
        let customers: BTreeSet<&CustomerName> =
            usage.iter().flat_map(|(_, _, counts)| counts.keys()).collect();
        let count = |counts: &Counts, customer| counts.get(customer).copied().unwrap_or_default();
        let row = |(window, process, counts): &(Window, &str, &Counts)| {
            let counts = customers.iter().map(|c| count(counts, *c)).collect();
            (*window, (*process).to_owned(), counts)
        };
        Self {
            levels: board.quotas.levels(),
            usage: usage.iter().map(row).collect(),
            customers: customers.into_iter().cloned().collect(),
        }
    }

    fn restore(self, board: &mut Board) {
        board.quotas.restore(&self.levels, Instant::now());
        for (window, process, counts) in self.usage {
            let counts = self.customers.iter().cloned().zip(counts).filter(|(_, n)| *n > 0);
            board.usage.hear(&process, window, &counts.collect());
        }
    }
}

/// Writes what the next processes need.
pub async fn keep(gateway: Rc<Gateway>) {
    let kept = Kept::of(&gateway.board.borrow());
    let mut value = Vec::new();
    if let Err(e) = ciborium::into_writer(&kept, &mut value) {
        log::error!("quotas and usage cannot be encoded: {e}");
        return;
    }
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
pub fn restore(gateway: &Gateway, row: &StoreRow) -> Result<(), WireError> {
    let kept: Kept = ciborium::from_reader(&row.value[..])?;
    kept.restore(&mut gateway.board.borrow_mut());
    Ok(())
}
