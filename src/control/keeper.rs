//! Keeping the lease.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use serde_json::json;
use stakker::{CX, Share, after};

use super::{
    LeaseAction, LeaseRow,
    board::{Board, Context, Event},
};
use crate::{
    cloud::{Check, PlatformError, Put, Txn, TxnOutcome},
    edge::http_server::spawn,
};

/// Takes and renews the lease.
pub(super) struct LeaseKeeper {
    board: Share<Board>,
    cx: Arc<Context>,
}

impl LeaseKeeper {
    /// Starts with a look at the row.
    pub fn init(_: CX![], board: Share<Board>, context: Arc<Context>) -> Option<Self> {
        let this = Self { board, cx: context };
        this.read();
        Some(this)
    }

    fn key(context: &Context) -> String {
        format!("lease/orders/{}", context.settings.data_centre)
    }

    fn read(&self) {
        let context = self.cx.clone();
        spawn("lease-read", move || {
            let row = context.platform.get(&Self::key(&context)).map(|row| match row {
                Some(row) => (row.version, serde_json::from_value(row.value).ok()),
                None => (0, None),
            });
            drop(context.tx.send(Event::LeaseRead(row)));
        });
    }

    fn look_again(&mut self, _: CX![]) {
        self.read();
    }

    /// Decides what follows a reading of the row.
    pub fn read_done(&mut self, cx: CX![], read: Result<(u64, Option<LeaseRow>), PlatformError>) {
        let now = cx.now();
        let lease = &mut self.board.rw(cx).lease;
        let action = match read {
            Ok((version, row)) => {
                lease.observe(version, row, now);
                lease.next_action(now)
            }
            Err(e) => {
                log::warn!("the lease cannot be read: {e}");
                LeaseAction::Wait
            }
        };
        match action {
            LeaseAction::Write { row_version, row } => self.write(row_version, row),
            LeaseAction::Wait => {
                after!(self.cx.settings.period, [cx], look_again());
            }
        }
        self.note(cx);
    }

    fn write(&self, row_version: u64, row: LeaseRow) {
        let context = self.cx.clone();
        spawn("lease-write", move || {
            let key = Self::key(&context);
            let txn = Txn {
                checks: vec![Check { key: key.clone(), version: row_version }],
                puts: vec![Put { key, value: json!(row) }],
            };
            let sent = Instant::now();
            let outcome = context.platform.txn(&txn);
            drop(context.tx.send(Event::LeaseWritten { row, sent, outcome }));
        });
    }

    /// Takes note of the end of a write of the row.
    pub fn write_done(
        &mut self,
        cx: CX![],
        row: LeaseRow,
        sent: Instant,
        outcome: Result<TxnOutcome, PlatformError>,
    ) {
        let now = cx.now();
        match outcome {
            Ok(TxnOutcome::Accepted(accepted)) => {
                let fresh = self.board.ro(cx).lease.may_order(now).is_none();
                if fresh {
                    log::info!("lease held by {} with fencing number {}", row.holder, row.fence);
                }
                self.board.rw(cx).lease.written(accepted.version, row, sent, now);
            }
            Ok(TxnOutcome::Refused(_)) => log::info!("another process has the lease"),
            // The write may have taken effect; the next read tells.
            Err(e) => log::warn!("the lease cannot be written: {e}"),
        }
        self.note(cx);
        after!(self.cx.settings.period, [cx], look_again());
    }

    fn note(&self, cx: CX![]) {
        let now = cx.now();
        let lease = &self.board.ro(cx).lease;
        let fence = lease.holder().map_or(0, |row| row.fence);
        self.cx.metrics.fence.set(fence as i64);
        self.cx.metrics.holds_lease.set(lease.may_order(now).is_some().into());
    }
}
