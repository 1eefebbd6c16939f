//! What a process reads from and writes to the platform's store once, at startup: persisted state,
//! and the membership of the gateways.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use stakker::call;
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use super::{
    duties::LEASE_KEY,
    persisted_state::{QUARANTINE_KEY, STATE_KEY, restore},
    table_reader::record_store_call,
};
use crate::{
    clock,
    gateway::{
        context::Gateway,
        decide::{Backoff, FIRST_CONTACT_TIME, READ_ATTEMPT_INTERVAL, reads_store_at_start},
    },
    platform::{PlatformError, RowWrite, StoreRow, Table},
};

/// Shortest interval between checks of whether to read the store.
const RECHECK: Duration = Duration::from_millis(5);
/// Timeout of reading the list of gateways.
const MEMBERS_TIMEOUT: Duration = Duration::from_secs(3);

/// Row of one gateway in the members table, from which the others learn its address.
#[derive(Debug, Serialize, Deserialize)]
struct MemberRow {
    heartbeats: SocketAddr,
}

/// Decides whether this process reads the store, as long as it lacks something that it needs to
/// serve. If so, restores what earlier processes persisted and registers this process.
pub async fn start_reading(gateway: Rc<Gateway>) {
    while !gateway.board.borrow().is_informed() {
        let waited = clock::now().saturating_duration_since(gateway.started);
        let fleet = gateway.board.borrow().fleet_size(clock::now());
        if reads_store_at_start(fleet, waited, fastrand::f64()) {
            read_at_start(gateway).await;
            return;
        }
        sleep(next_attempt(waited)).await;
    }
}

/// Returns the time until the next decision whether to read the store.
fn next_attempt(waited: Duration) -> Duration {
    match FIRST_CONTACT_TIME.checked_sub(waited) {
        Some(left) => left.clamp(RECHECK, READ_ATTEMPT_INTERVAL),
        None => READ_ATTEMPT_INTERVAL,
    }
}

async fn read_at_start(gateway: Rc<Gateway>) {
    gateway.board.borrow_mut().reads_store_at_start = true;
    spawn_local(register_member(gateway.clone()));
    restore_state(gateway).await;
}

/// Restores the state that earlier processes persisted in the store. A process that cannot read it
/// starts with empty quotas.
async fn restore_state(gateway: Rc<Gateway>) {
    let began = clock::now();
    let read = gateway.store.snapshot(Table::Duties).await;
    record_store_call(&gateway, "recall", began, read.as_ref().err());
    // If the read fails, the quarantine verdicts are fetched from another gateway instead.
    if let Ok(snapshot) = read {
        apply_duty_rows(&gateway, snapshot.rows);
        gateway.send_to_controllers(|c| call!([c.crashes], crash_verdicts_known()));
    }
}

/// Applies the rows of the duties, as they are when this process first reads them.
pub(super) fn apply_duty_rows(gateway: &Gateway, rows: Vec<StoreRow>) {
    gateway.board.borrow_mut().state_restored = true;
    for row in rows {
        match row.key.as_str() {
            STATE_KEY => {
                if let Err(e) = restore(gateway, &row) {
                    log::error!(
                        "persisted quotas, usage and engine orders cannot be restored: {e}"
                    );
                }
            }
            LEASE_KEY => gateway.send_to_controllers(|c| call!([c.duties], row_restored(row))),
            QUARANTINE_KEY => {
                gateway.send_to_controllers(|c| call!([c.crashes], verdicts_read(row)))
            }
            _ => {}
        }
    }
}

fn member_address(row: &StoreRow) -> Option<SocketAddr> {
    let member: Result<MemberRow, _> = serde_json::from_slice(&row.value);
    if let Err(e) = &member {
        log::warn!("the member row of gateway {} cannot be decoded: {e}", row.key);
    }
    member.ok().map(|m| m.heartbeats)
}

/// Registers this process's address in the store, then reads the addresses of the other gateways.
/// Retries each with backoff until it has succeeded once.
async fn register_member(gateway: Rc<Gateway>) {
    let (host, heartbeats) = {
        let settings = gateway.settings.borrow();
        (settings.id.clone(), settings.listen.heartbeats)
    };
    let value =
        serde_json::to_vec(&MemberRow { heartbeats }).expect("an address always encodes as JSON");
    let row = RowWrite { table: Table::Members, key: host, value, expected: None };
    let mut backoff = Backoff::default();
    loop {
        let began = clock::now();
        let written = gateway.store.write(std::slice::from_ref(&row)).await;
        record_store_call(&gateway, "announce", began, written.as_ref().err());
        if written.is_ok() {
            break;
        }
        sleep(backoff.record_failure(fastrand::f64())).await;
    }
    backoff.record_success();
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
