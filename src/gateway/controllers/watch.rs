//! Tasks that read the platform's store and follow its changes.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use stakker::call;
use tokio::time::{sleep, timeout};

use super::{
    Controllers,
    duties::LEASE_KEY,
    kept::{KEPT_KEY, QUARANTINE_KEY, restore},
};
use crate::{
    clock,
    gateway::{context::Gateway, decide::Backoff, model::Revision, telemetry::Event},
    platform::{Feed, PlatformError, RowWrite, Snapshot, StoreRow, Table},
    telemetry::count,
};

/// How long one call waits for changes. Each call is paid for; a longer wait
/// would find a store that has fallen silent too late.
const FEED_WAIT: Duration = Duration::from_secs(4);
/// Between looks at whether this process should read the store.
const TURN_PERIOD: Duration = Duration::from_millis(200);
/// Longest wait for the list of gateways.
const MEMBERS_WAIT: Duration = Duration::from_secs(3);
/// Pause after changes of upstreams: they come in groups, and each call is
/// paid for.
const GROUP_PAUSE: Duration = Duration::from_millis(60);

/// Follows the upstreams.
pub async fn watch_upstreams(gateway: Rc<Gateway>) {
    let on_snapshot = |gateway: &Gateway, snapshot: Snapshot| {
        gateway.tell(|c| call!([c.directory], snapshot(snapshot)))
    };
    let on_feed = |gateway: &Gateway, feed: Feed| {
        let Feed { changes, revision, .. } = feed;
        gateway.tell(|c: &Controllers| call!([c.directory], changes(changes, revision)));
    };
    watch(&gateway, Table::Upstreams, GROUP_PAUSE, on_snapshot, on_feed).await;
}

async fn watch(
    gateway: &Gateway,
    table: Table,
    group_pause: Duration,
    on_snapshot: impl Fn(&Gateway, Snapshot),
    on_feed: impl Fn(&Gateway, Feed),
) {
    let mut known: Revision = 0;
    let mut backoff = Backoff::default();
    loop {
        wait_for_turn(gateway).await;
        let Some(snapshot) = read(gateway, table, known).await else {
            sleep(backoff.failed(fastrand::f64())).await;
            continue;
        };
        backoff.answered();
        known = snapshot.revision;
        on_snapshot(gateway, snapshot);
        while watches(gateway) {
            let behind = gateway.resync(table).notified();
            let began = clock::now();
            let fed = tokio::select! {
                fed = gateway.store.feed(table, known, FEED_WAIT) => fed,
                () = behind => break,
            };
            note(gateway, "feed_upstreams", began, fed.as_ref().err());
            match fed {
                Ok(feed) => {
                    backoff.answered();
                    known = feed.revision;
                    let changed = !feed.changes.is_empty();
                    on_feed(gateway, feed);
                    if changed {
                        sleep(group_pause).await;
                    }
                }
                Err(PlatformError::HistoryLost) => break,
                Err(_) => sleep(backoff.failed(fastrand::f64())).await,
            }
        }
    }
}

fn watches(gateway: &Gateway) -> bool {
    gateway.board.borrow().watches_store(&gateway.process, clock::now())
}

async fn wait_for_turn(gateway: &Gateway) {
    while !watches(gateway) {
        sleep(TURN_PERIOD).await;
    }
}

/// Reads a table. A store that has lost its history may answer from an older
/// state than what is known; such an answer is of no use.
async fn read(gateway: &Gateway, table: Table, known: Revision) -> Option<Snapshot> {
    let began = clock::now();
    let read = gateway.store.snapshot(table).await;
    note(gateway, "snapshot", began, read.as_ref().err());
    read.ok().filter(|snapshot| snapshot.revision >= known)
}

/// Notes how a call that began at `began` ended.
pub(super) fn note(gateway: &Gateway, call: &str, began: Instant, error: Option<&PlatformError>) {
    let outcome = if error.is_some() { "failed" } else { "ok" };
    count(&gateway.metrics.platform_calls, &format!("{call}_{outcome}"));
    if let Some(error) = error {
        let after_ms = clock::now().saturating_duration_since(began).as_millis() as u64;
        gateway.log(&Event::StoreCallFailed { call, after_ms, error: &error.to_string() });
    }
    gateway.note_store(error);
}

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
