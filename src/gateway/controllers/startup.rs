//! What a process reads from and writes to the platform's store once, at startup: persisted state,
//! and the membership of the gateways.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use stakker::call;
use tokio::time::{sleep, timeout};

use super::{
    duties::LEASE_KEY,
    persisted_state::{STATE_KEY, restore},
    table_reader::record_store_call,
    verdict_rows::VerdictKind,
    version_rows::VERSIONS_KEY,
};
use crate::{
    clock,
    gateway::{context::Gateway, decide::Backoff},
    platform::{PlatformError, RowWrite, StoreRow, Table},
};

/// Timeout of reading the list of gateways.
const MEMBERS_TIMEOUT: Duration = Duration::from_secs(3);

/// Mean time between two gateways that register again. The store bears a limited rate of writes, and
/// a gateway that starts meanwhile learns of the others from those whose rows are there.
const REGISTRATION_SPACING: Duration = Duration::from_millis(5);

/// Row of one gateway in the members table, from which the others learn its address.
#[derive(Debug, Serialize, Deserialize)]
struct MemberRow {
    heartbeats: SocketAddr,
}

/// Restores the state that earlier processes persisted in the store. A process that cannot read it
/// starts with empty quotas.
pub async fn restore_state(gateway: Rc<Gateway>) {
    let began = clock::now();
    let read = gateway.store.snapshot(Table::Duties).await;
    record_store_call(&gateway, "recall", began, read.as_ref().err());
    let was_read = read.is_ok();
    let mut versions = None;
    for row in read.map(|s| s.rows).unwrap_or_default() {
        match row.key.as_str() {
            STATE_KEY => {
                if let Err(e) = restore(&gateway, &row) {
                    log::error!(
                        "persisted quotas, usage and engine orders cannot be restored: {e}"
                    );
                }
            }
            VERSIONS_KEY => versions = Some(row),
            LEASE_KEY => gateway.send_to_controllers(|c| call!([c.duties], row_restored(row))),
            key => {
                if let Some(kind) = VerdictKind::of_row(key) {
                    gateway.send_to_controllers(|c| call!([c.crashes], verdicts_read(kind, row)));
                }
            }
        }
    }
    if was_read {
        gateway.apply_version_row(versions, began);
    }
    // If the read failed, the quarantine verdicts are fetched from another gateway instead.
    if was_read {
        gateway.send_to_controllers(|c| call!([c.crashes], crash_verdicts_known()));
    }
}

fn member_address(row: &StoreRow) -> Option<SocketAddr> {
    let member: Result<MemberRow, _> = serde_json::from_slice(&row.value);
    if let Err(e) = &member {
        log::warn!("the member row of gateway {:?} cannot be decoded: {e}", row.key);
    }
    member.ok().map(|m| m.heartbeats)
}

/// Returns the row under which this process is registered.
fn member_row(gateway: &Gateway) -> RowWrite {
    let settings = gateway.settings.borrow();
    let member = MemberRow { heartbeats: settings.listen.heartbeats };
    let value = serde_json::to_vec(&member).expect("an address always encodes as JSON");
    RowWrite { table: Table::Members, key: settings.id.clone(), value, expected: None }
}

/// Writes this process's row. Retries with backoff until it has succeeded once.
async fn write_member_row(gateway: &Gateway) {
    let row = member_row(gateway);
    let mut backoff = Backoff::default();
    loop {
        let began = clock::now();
        let written = gateway.store.write(std::slice::from_ref(&row)).await;
        record_store_call(gateway, "announce", began, written.as_ref().err());
        if written.is_ok() {
            return;
        }
        sleep(backoff.record_failure(fastrand::f64())).await;
    }
}

/// Registers this process's address again, at a random time that keeps the rate of such writes by
/// all `gateways` low.
pub async fn register_again(gateway: Rc<Gateway>, gateways: usize) {
    sleep(REGISTRATION_SPACING.mul_f64(gateways as f64 * fastrand::f64())).await;
    write_member_row(&gateway).await;
}

/// Registers this process's address in the store, then reads the addresses of the other gateways.
/// Retries each with backoff until it has succeeded once.
pub async fn register_member(gateway: Rc<Gateway>) {
    write_member_row(&gateway).await;
    let mut backoff = Backoff::default();
    loop {
        let began = clock::now();
        let read = timeout(MEMBERS_TIMEOUT, gateway.store.snapshot(Table::Members)).await;
        let read = read.unwrap_or(Err(PlatformError::Timeout));
        record_store_call(&gateway, "members", began, read.as_ref().err());
        if let Ok(snapshot) = read {
            let addresses = snapshot.rows.iter().filter_map(member_address).collect();
            gateway.send_to_controllers(|c| call!([c.peers], members_read(addresses)));
            return;
        }
        sleep(backoff.record_failure(fastrand::f64())).await;
    }
}
