//! Exchanges what is known of requests that crash upstreams with the other gateways, and keeps the
//! verdicts in the store, from which all gateways restore them after a loss of power.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use stakker::{CX, call, timer_max, timer_min};
use tokio::{net::UdpSocket, task::spawn_local};

use super::{
    peer_requests::{get_from_peer, sample},
    persisted_state::QUARANTINE_KEY,
};
use crate::{
    gateway::{
        board::{HEARTBEAT_PERIOD, HEARTBEAT_REACH},
        context::Gateway,
        decide::{CrashGossip, HEARTBEAT_FAN_OUT, VerdictReport},
        model::Revision,
        peering::{CrashNotice, decode_verdicts, encode_verdicts},
    },
    platform::{PlatformError, RowWrite, StoreRow, Table, WriteOutcome},
    telemetry::count,
};

/// Gateways that are sent new entries at once. The others hear of them from these within a few
/// heartbeats.
const IMMEDIATE_FAN_OUT: usize = 128;
/// Shortest interval between two such messages, so that twenty requests that break off together
/// make one.
const MIN_IMMEDIATE_INTERVAL: Duration = Duration::from_millis(5);
/// Heartbeats between two messages that carry only the fingerprint of the verdicts: a gateway that
/// was cut off learns within a second that it lacks some.
const HEARTBEATS_PER_FINGERPRINT: u32 = 6;
/// Interval between requests for the verdicts that this process lacks.
const FETCH_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between attempts to write the verdicts to the store.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Controller for the gossip and the storage of what is known of requests that crash upstreams.
#[derive(Debug)]
pub struct Crashes {
    gateway: Rc<Gateway>,
    socket: Rc<UdpSocket>,
    heartbeat_timer: stakker::MaxTimerKey,
    immediate_timer: stakker::MinTimerKey,
    heartbeats: u32,
    number: u64,
    last_sent: Option<Instant>,
    last_fetch: Option<Instant>,
    fetching: Rc<Cell<bool>>,
    stored: Stored,
}

/// The row of verdicts in the store, as this process last read or wrote it.
#[derive(Clone, Copy, Debug, Default)]
struct Stored {
    /// Revision of the row; 0 if there is none.
    revision: Revision,
    /// Fingerprint of the verdicts in it.
    fingerprint: u64,
    /// When a write was last attempted.
    last_attempt: Option<Instant>,
    writing: bool,
}

impl Crashes {
    /// Starts the controller.
    pub fn init(cx: CX![], gateway: Rc<Gateway>, socket: Rc<UdpSocket>) -> Option<Self> {
        call!([cx], tick());
        Some(Self {
            gateway,
            socket,
            heartbeat_timer: stakker::MaxTimerKey::default(),
            immediate_timer: stakker::MinTimerKey::default(),
            heartbeats: 0,
            number: 0,
            last_sent: None,
            last_fetch: None,
            fetching: Rc::default(),
            stored: Stored::default(),
        })
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        timer_max!(&mut self.heartbeat_timer, now + HEARTBEAT_PERIOD, [cx], tick());
        self.heartbeats = self.heartbeats.wrapping_add(1);
        let mut board = self.gateway.board.borrow_mut();
        let silence = board.peer_silence();
        board.crashes.expire_copies(silence, now);
        let time = board.clock.unix_millis(now);
        let changes = board.crashes.judge_suspects(time, now);
        drop(board);
        self.gateway.log_verdicts(&changes, "own");
        self.send(HEARTBEAT_REACH, now);
        self.write_verdicts(now);
        self.grant_turn(now);
        self.fetch_missing_verdicts(now);
    }

    /// Asks a random gateway for the verdicts until the store or a gateway has supplied them; this
    /// process sends no requests to upstreams before.
    fn fetch_missing_verdicts(&mut self, now: Instant) {
        let board = self.gateway.board.borrow();
        let missing = !board.crash_verdicts_known;
        let heard: Vec<SocketAddr> = board.recently_heard(now).map(|p| p.last.peers).collect();
        drop(board);
        if let Some(from) = fastrand::choice(heard).filter(|_| missing) {
            self.fetch(from, now);
        }
    }

    /// Sends what is new to other gateways at once.
    pub fn send_now(&mut self, cx: CX![]) {
        let now = cx.now();
        let due = self.last_sent.map_or(now, |sent| sent + MIN_IMMEDIATE_INTERVAL);
        if due > now {
            timer_min!(&mut self.immediate_timer, due, [cx], send_now());
            return;
        }
        self.last_sent = Some(now);
        self.send(IMMEDIATE_FAN_OUT, now);
    }

    fn send(&mut self, max_receivers: usize, now: Instant) {
        let mut board = self.gateway.board.borrow_mut();
        let gossip = board.crashes.gossip(now);
        let Some(gossip) = gossip else {
            return;
        };
        let heard: Vec<SocketAddr> = board.recently_heard(now).map(|p| p.last.heartbeats).collect();
        drop(board);
        let only_fingerprint =
            CrashGossip { fingerprint: gossip.fingerprint, ..CrashGossip::default() } == gossip;
        if only_fingerprint
            && max_receivers == HEARTBEAT_REACH
            && !self.heartbeats.is_multiple_of(HEARTBEATS_PER_FINGERPRINT)
        {
            return;
        }
        let max_receivers = if only_fingerprint { HEARTBEAT_FAN_OUT } else { max_receivers };
        self.send_to(gossip, false, &sample(&heard, max_receivers));
    }

    /// As the holder of the lease, grants the next process its turn to try quarantined requests.
    fn grant_turn(&mut self, now: Instant) {
        let mut board = self.gateway.board.borrow_mut();
        let is_granter = board.lease.may_act(now).is_some() && board.crashes.quarantined() > 0;
        if !board.trial_turn.is_grant_due(is_granter, now) {
            return;
        }
        let mut all: Vec<Option<SocketAddr>> =
            board.recently_heard(now).map(|p| Some(p.last.heartbeats)).collect();
        // `None` stands for this process, which gets turns as well.
        all.push(None);
        match fastrand::choice(all).flatten() {
            None => board.trial_turn.start(now),
            Some(address) => {
                let gossip = board.crashes.gossip(now).unwrap_or_default();
                drop(board);
                self.send_to(gossip, true, &[address]);
            }
        }
    }

    fn send_to(&mut self, gossip: CrashGossip, your_turn: bool, addresses: &[SocketAddr]) {
        self.number += 1;
        let peers = self.gateway.settings.borrow().listen.peers;
        let process = self.gateway.process.clone();
        let notice = CrashNotice { process, peers, number: self.number, your_turn, news: gossip };
        let datagram = match notice.encode() {
            Ok(datagram) => datagram,
            Err(e) => {
                log::error!(
                    "gossip about crashing requests cannot be encoded and is not sent: {e}"
                );
                return;
            }
        };
        for address in addresses {
            if let Err(e) = self.socket.try_send_to(&datagram, *address) {
                // It is sent again with the next heartbeats.
                log::debug!("sending gossip about crashing requests to {address} failed: {e}");
            }
        }
    }

    /// Merges a message from another gateway.
    pub fn hear(&mut self, cx: CX![], notice: CrashNotice) {
        if notice.process == self.gateway.process {
            return;
        }
        let now = cx.now();
        let fingerprint = notice.news.fingerprint;
        let mut board = self.gateway.board.borrow_mut();
        let time = board.clock.unix_millis(now);
        let CrashNotice { process, peers, number, your_turn, news: gossip } = notice;
        if your_turn {
            board.trial_turn.start(now);
        }
        let changes = board.crashes.merge_gossip(&process, number, gossip, time, now);
        let own_fingerprint = board.crashes.fingerprint();
        drop(board);
        self.gateway.log_verdicts(&changes, &process);
        if fingerprint != own_fingerprint && fingerprint != 0 {
            self.fetch(peers, now);
        }
    }

    /// Fetches all verdicts from another gateway that knows different ones.
    fn fetch(&mut self, from: SocketAddr, now: Instant) {
        let fetched_recently =
            self.last_fetch.is_some_and(|t| now.saturating_duration_since(t) < FETCH_INTERVAL);
        if fetched_recently || self.fetching.replace(true) {
            return;
        }
        self.last_fetch = Some(now);
        let (gateway, fetching) = (self.gateway.clone(), self.fetching.clone());
        spawn_local(async move {
            if let Some(bytes) = get_from_peer(from, "/peer/quarantine").await {
                match decode_verdicts(&bytes) {
                    Ok(verdicts) => {
                        gateway.send_to_controllers(|c| {
                            call!([c.crashes], merge_verdicts(verdicts, "peer"));
                            call!([c.crashes], crash_verdicts_known());
                        });
                    }
                    Err(e) => log::error!("verdicts from gateway {from} cannot be decoded: {e}"),
                }
            }
            fetching.set(false);
        });
    }

    /// Merges verdicts; `source` says in the log where they come from.
    pub fn merge_verdicts(
        &mut self,
        cx: CX![],
        verdicts: Vec<VerdictReport>,
        source: &'static str,
    ) {
        let mut board = self.gateway.board.borrow_mut();
        let time = board.clock.unix_millis(cx.now());
        let changes = board.crashes.merge(verdicts, time, cx.now());
        drop(board);
        self.gateway.log_verdicts(&changes, source);
    }

    /// Merges the verdicts from the store.
    pub fn verdicts_read(&mut self, cx: CX![], row: StoreRow) {
        match decode_verdicts(&row.value) {
            Ok(verdicts) => {
                self.stored.fingerprint = fingerprint_of(&verdicts, cx.now());
                self.merge_verdicts(cx, verdicts, "store");
            }
            // The row is written anew with what is known here.
            Err(e) => log::error!("verdicts in the store cannot be decoded: {e}"),
        }
        self.stored.revision = row.revision;
    }

    /// Records that the store, or another gateway, has supplied the verdicts.
    pub fn crash_verdicts_known(&mut self, _: CX![]) {
        self.gateway.board.borrow_mut().crash_verdicts_known = true;
    }

    /// Writes the verdicts to the store if they differ from the stored ones, as the holder of the
    /// lease: a single gateway writes, and only when a verdict is new.
    fn write_verdicts(&mut self, now: Instant) {
        let board = self.gateway.board.borrow();
        let fingerprint = board.crashes.fingerprint();
        let may_write = board.lease.may_act(now).is_some();
        let is_due = self
            .stored
            .last_attempt
            .is_none_or(|t| now.saturating_duration_since(t) >= WRITE_INTERVAL);
        if fingerprint == self.stored.fingerprint || !may_write || self.stored.writing || !is_due {
            return;
        }
        let value = encode_verdicts(&board.crashes.verdicts());
        drop(board);
        let value = match value {
            Ok(value) => value,
            Err(e) => {
                log::error!(
                    "verdicts on crashing requests cannot be encoded and are not stored: {e}"
                );
                return;
            }
        };
        self.stored.last_attempt = Some(now);
        self.stored.writing = true;
        let expected = Some(self.stored.revision);
        let key = QUARANTINE_KEY.to_owned();
        let row = RowWrite { table: Table::Duties, key, value, expected };
        let gateway = self.gateway.clone();
        spawn_local(async move {
            let outcome = gateway.store.write(&[row]).await;
            gateway.record_store_outcome(outcome.as_ref().err());
            let call = if outcome.is_ok() { "quarantine" } else { "quarantine_failed" };
            count(&gateway.metrics.platform_calls, call);
            gateway.send_to_controllers(|c| call!([c.crashes], written(fingerprint, outcome)));
        });
    }

    /// Handles the outcome of a write.
    pub fn written(
        &mut self,
        cx: CX![],
        fingerprint: u64,
        outcome: Result<WriteOutcome, PlatformError>,
    ) {
        self.stored.writing = false;
        match outcome {
            Ok(WriteOutcome::Done(revision)) => {
                self.stored.revision = revision;
                self.stored.fingerprint = fingerprint;
            }
            // Another holder has written: its verdicts are merged before the next attempt.
            Ok(WriteOutcome::Conflict(rows)) => {
                match rows.into_iter().find(|r| r.key == QUARANTINE_KEY) {
                    Some(row) => self.verdicts_read(cx, row),
                    None => self.stored.revision = 0,
                }
                self.stored.last_attempt = None;
            }
            // If the write was done after all, the next attempt meets a conflict and gets the row.
            Err(e) => log::debug!("writing the verdicts to the store failed: {e}"),
        }
    }
}

/// Returns the fingerprint of these verdicts.
fn fingerprint_of(verdicts: &[VerdictReport], now: Instant) -> u64 {
    let mut tracker = crate::gateway::decide::CrashTracker::default();
    tracker.merge(verdicts.to_vec(), 0, now);
    tracker.fingerprint()
}
