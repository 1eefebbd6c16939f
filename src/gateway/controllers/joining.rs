//! What a process reads and writes in the platform's store once, when it starts.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use stakker::call;
use tokio::time::{sleep, timeout};

use super::{
    duties::LEASE_KEY,
    kept::{KEPT_KEY, QUARANTINE_KEY, restore},
    reading::note,
};
use crate::{
    clock,
    gateway::{context::Gateway, decide::Backoff},
    platform::{PlatformError, RowWrite, StoreRow, Table},
};

/// Longest wait for the list of gateways.
const MEMBERS_WAIT: Duration = Duration::from_secs(3);

/// Row by which gateways find each other.
#[derive(Debug, Serialize, Deserialize)]
struct MemberRow {
    heartbeats: SocketAddr,
}

/// Takes over what earlier processes kept in the store. A process that cannot
/// read it starts with empty quotas.
pub async fn recall(gateway: Rc<Gateway>) {
    let began = clock::now();
    let read = gateway.store.snapshot(Table::Duties).await;
    note(&gateway, "recall", began, read.as_ref().err());
    let was_read = read.is_ok();
    for row in read.map(|s| s.rows).unwrap_or_default() {
        match row.key.as_str() {
            KEPT_KEY => {
                if let Err(e) = restore(&gateway, &row) {
                    log::error!("what earlier processes kept is lost: {e}");
                }
            }
            LEASE_KEY => gateway.tell(|c| call!([c.duties], recalled(row))),
            QUARANTINE_KEY => gateway.tell(|c| call!([c.crashes], recalled(row))),
            _ => {}
        }
    }
    // Otherwise another gateway is asked for the verdicts.
    if was_read {
        gateway.tell(|c| call!([c.crashes], verdicts_known()));
    }
}

fn member_address(row: &StoreRow) -> Option<SocketAddr> {
    let member: Result<MemberRow, _> = serde_json::from_slice(&row.value);
    if let Err(e) = &member {
        log::warn!("the row of gateway {} names no address: {e}", row.key);
    }
    member.ok().map(|m| m.heartbeats)
}

/// Writes this process's address to the store and reads those of the others,
/// until both have succeeded once.
pub async fn announce(gateway: Rc<Gateway>) {
    let (host, heartbeats) = {
        let settings = gateway.settings.borrow();
        (settings.id.clone(), settings.listen.heartbeats)
    };
    let value = serde_json::to_vec(&MemberRow { heartbeats }).expect("an address always encodes");
    let row = RowWrite { table: Table::Members, key: host, value, expected: None };
    let mut backoff = Backoff::default();
    loop {
        let began = clock::now();
        let written = gateway.store.write(std::slice::from_ref(&row)).await;
        note(&gateway, "announce", began, written.as_ref().err());
        if written.is_ok() {
            break;
        }
        sleep(backoff.failed(fastrand::f64())).await;
    }
    backoff.answered();
    loop {
        let began = clock::now();
        let read = timeout(MEMBERS_WAIT, gateway.store.snapshot(Table::Members)).await;
        let read = read.unwrap_or(Err(PlatformError::Timeout));
        note(&gateway, "members", began, read.as_ref().err());
        if let Ok(snapshot) = read {
            let addresses = snapshot.rows.iter().filter_map(member_address).collect();
            gateway.tell(|c| call!([c.peers], found(addresses)));
            return;
        }
        sleep(backoff.failed(fastrand::f64())).await;
    }
}
