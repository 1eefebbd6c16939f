//! Rows of the store in which gateways keep the versions at which streams began, while their services
//! have several.
//!
//! Each gateway writes batches to a ring of rows of its own. The next process of its host reads them and
//! tells the gateways that callers' next gateways will ask. So after a loss of all, each reads only as
//! much as it wrote.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use super::table_reader::record_store_call;
use crate::{
    clock,
    gateway::{
        context::Gateway,
        decide::{Backoff, BegunStream, Mechanism, STREAM_LIFETIME, StreamBatch, batch_interval},
        model::{RequestDigest, UpstreamVersion},
        peering::StreamVersionMessage,
        request::KEEPERS,
        telemetry::Event,
    },
    platform::{PlatformError, RowWrite, Snapshot, Table},
    telemetry::count,
};

/// Rows of a gateway. At the shortest interval between batches they are overwritten when their streams
/// cannot be taken up any more.
const RING_ROWS: usize = 320;
/// Interval between checks of whether streams are to be stored as they begin.
const CHECK_PERIOD: Duration = Duration::from_millis(300);
/// When a starting gateway tells others of the streams of its host's earlier process: it learns of the
/// other gateways within some heartbeats, later in a large fleet, and some may start after it.
const ANNOUNCE_AFTER: [Duration; 6] = [
    Duration::from_millis(100),
    Duration::from_millis(250),
    Duration::from_millis(500),
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(4),
];
/// Streams in a message to another gateway. More do not fit into a datagram.
const MAX_ANNOUNCED: usize = 40;

/// A stream with the version at which it began.
type VersionedStream = (RequestDigest, UpstreamVersion);

/// Tells other gateways of the streams that the host's earlier process stored, then stores those that
/// begin here.
pub async fn keep_stream_rows(gateway: Rc<Gateway>) {
    if !gateway.settings.borrow().off.is_enabled(Mechanism::StreamVersions) {
        return;
    }
    let mut ring = match recall(&gateway).await {
        Some(snapshot) => take_over(&gateway, &snapshot),
        None => Ring::default(),
    };
    let mut backoff = Backoff::default();
    loop {
        await_streams(&gateway).await;
        match store_batch(&gateway, &mut ring).await {
            Ok(()) => {
                backoff.record_success();
                sleep(interval(&gateway)).await;
            }
            Err(_) => sleep(backoff.record_failure(fastrand::f64())).await,
        }
    }
}

/// Waits for a stream that is to be stored as it begins, or for the next check.
async fn await_streams(gateway: &Gateway) {
    let stores_streams = gateway.board.borrow().stores_streams(clock::now());
    if !stores_streams {
        return sleep(CHECK_PERIOD).await;
    }
    let noted = gateway.board.borrow().stream_journal.noted();
    // Streams that could not be stored wait for the end of the time.
    drop(timeout(CHECK_PERIOD, noted.notified()).await);
}

/// The rows of a host, which are written in turn.
#[derive(Debug, Default)]
struct Ring {
    next: usize,
}

impl Ring {
    /// Returns the key of the row to write next. A row whose write failed is not written again at once:
    /// that write may still be applied, after the later one.
    fn advance(&mut self, host: &str) -> String {
        let row = self.next;
        self.next = (row + 1) % RING_ROWS;
        format!("{host}/{row:03}")
    }

    /// Returns the ring of a host whose newest row has this key.
    fn after(newest: &str) -> Self {
        let row = newest.rsplit('/').next().and_then(|row| row.parse::<usize>().ok());
        Self { next: row.map_or(0, |row| (row + 1) % RING_ROWS) }
    }
}

fn interval(gateway: &Gateway) -> Duration {
    let gateways = 1 + gateway.board.borrow().peers.len();
    batch_interval(gateways, gateway.settings.borrow().store_writes)
}

/// Stores the streams that began here while their services have several versions.
async fn store_batch(gateway: &Gateway, ring: &mut Ring) -> Result<(), PlatformError> {
    let now = clock::now();
    let streams = gateway.board.borrow_mut().streams_to_store(now);
    if streams.is_empty() {
        return Ok(());
    }
    let written = write(gateway, ring, &streams).await;
    let outcome = if written.is_ok() { "store_streams_ok" } else { "store_streams_failed" };
    count(&gateway.metrics.platform_calls, outcome);
    match &written {
        Ok(()) => gateway.log(&Event::StreamsStored { streams: streams.len() }),
        Err(error) => {
            let after_ms = clock::now().saturating_duration_since(now).as_millis() as u64;
            let error = error.to_string();
            gateway.log(&Event::StoreCallFailed { call: "store_streams", after_ms, error: &error });
            gateway.board.borrow_mut().stream_journal.put_back(streams);
        }
    }
    written
}

async fn write(
    gateway: &Gateway,
    ring: &mut Ring,
    streams: &[BegunStream],
) -> Result<(), PlatformError> {
    let written = gateway.board.borrow().store_time(clock::now());
    let batch = StreamBatch::new(streams.iter().map(|s| (s.stream, &s.version)), written);
    let value = match batch.encode() {
        Ok(value) => value,
        Err(e) => {
            log::error!("the versions of streams cannot be encoded: {e}");
            return Ok(());
        }
    };
    let key = ring.advance(&gateway.settings.borrow().id);
    let row = RowWrite { table: Table::Streams, key, value, expected: None };
    gateway.store.write(&[row]).await.map(drop)
}

/// Reads the rows of this host. Retries with backoff; `None` if the streams could not be taken up any
/// more.
async fn recall(gateway: &Gateway) -> Option<Snapshot> {
    let host = gateway.settings.borrow().id.clone();
    let mut backoff = Backoff::default();
    while clock::now().saturating_duration_since(gateway.started) < STREAM_LIFETIME {
        let began = clock::now();
        let read = gateway.store.rows_of(Table::Streams, &host).await;
        record_store_call(gateway, "recall_streams", began, read.as_ref().err());
        match read {
            Ok(snapshot) => return Some(snapshot),
            Err(_) => sleep(backoff.record_failure(fastrand::f64())).await,
        }
    }
    None
}

/// Takes over the streams in the rows that may still be taken up; returns where the ring goes on.
fn take_over(gateway: &Rc<Gateway>, snapshot: &Snapshot) -> Ring {
    let decoded = snapshot.rows.iter().filter_map(|row| match StreamBatch::decode(&row.value) {
        Ok(batch) => Some((row, batch)),
        Err(e) => {
            log::error!("the versions of streams in row {:?} cannot be decoded: {e}", row.key);
            None
        }
    });
    let mut batches: Vec<_> = decoded.collect();
    // Later rows hold what is newer.
    batches.sort_by_key(|(row, _)| row.revision);
    let ring = batches.last().map_or_else(Ring::default, |(row, _)| Ring::after(&row.key));
    let current = batches.iter().filter(|(_, batch)| batch.is_current(snapshot.as_of));
    let streams: Vec<VersionedStream> = current
        .flat_map(|(_, batch)| batch.streams().map(|(stream, version)| (stream, version.clone())))
        .collect();
    if !streams.is_empty() {
        let now = clock::now();
        let mut board = gateway.board.borrow_mut();
        for (stream, version) in &streams {
            board.stream_versions.note_earlier(*stream, version.clone(), now);
        }
        drop(board);
        gateway.log(&Event::StreamsRecalled { streams: streams.len(), rows: snapshot.rows.len() });
        spawn_local(announce(gateway.clone(), streams));
    }
    ring
}

/// Tells the gateways that will be asked about the streams, and those that join them later.
async fn announce(gateway: Rc<Gateway>, streams: Vec<VersionedStream>) {
    let began = clock::now();
    let mut told: HashMap<RequestDigest, Vec<SocketAddr>> = HashMap::new();
    for after in ANNOUNCE_AFTER {
        clock::sleep_until(began + after).await;
        let mut messages: BTreeMap<(SocketAddr, &UpstreamVersion), Vec<RequestDigest>> =
            BTreeMap::new();
        {
            let (board, settings) = (gateway.board.borrow(), gateway.settings.borrow());
            for (stream, version) in &streams {
                let told = told.entry(*stream).or_default();
                for keeper in board.version_keepers(*stream, &settings, KEEPERS, clock::now()) {
                    if !told.contains(&keeper) {
                        told.push(keeper);
                        messages.entry((keeper, version)).or_default().push(*stream);
                    }
                }
            }
        }
        for ((keeper, version), streams) in messages {
            for part in streams.chunks(MAX_ANNOUNCED) {
                let (streams, version) = (part.to_vec(), version.clone());
                let message = StreamVersionMessage::BeganEarlier { streams, version };
                gateway.stream_version_questions.send(&message, &[keeper]);
            }
        }
    }
}
