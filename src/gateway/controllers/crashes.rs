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
    table_reader::record_store_call,
    verdict_rows::{VerdictKind, VerdictRow},
};
use crate::{
    clock,
    gateway::{
        board::{HEARTBEAT_PERIOD, HEARTBEAT_REACH},
        context::Gateway,
        decide::{CrashGossip, HEARTBEAT_FAN_OUT, PartGossip},
        model::era_of,
        peering::CrashNotice,
    },
    platform::{PlatformError, RowWrite, StoreRow, Table, WriteOutcome},
    telemetry::count,
};

/// Gateways that are sent new entries at once. The others hear of them from these within a few
/// heartbeats.
const IMMEDIATE_FAN_OUT: usize = 128;
/// Gateways to which each one passes on at once that a part of prompts is isolated: in a fleet in
/// which [`IMMEDIATE_FAN_OUT`] is a small part, the rest would send requests with it until the next
/// heartbeats.
const RELAY_FAN_OUT: usize = 12;
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

/// Longest gap between two heartbeats of a process that runs; a busy host delays some.
const MAX_TICK_GAP: Duration = Duration::from_millis(400);
/// Interval between reads of the verdicts by a gateway that hears no other.
const ALONE_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Controller for the gossip and the storage of what is known of requests that crash upstreams.
#[derive(Debug)]
pub struct Crashes {
    gateway: Rc<Gateway>,
    socket: Rc<UdpSocket>,
    heartbeat_timer: stakker::MaxTimerKey,
    immediate_timer: stakker::MinTimerKey,
    heartbeats: u32,
    /// When the last heartbeat was due; a longer gap means that the process was suspended.
    last_tick: Option<Instant>,
    number: u64,
    last_sent: Option<Instant>,
    /// By kind of verdicts, as are the two below.
    last_fetch: [Option<Instant>; 2],
    fetching: [Rc<Cell<bool>>; 2],
    stored: [VerdictRow; 2],
    /// Whether another gateway was ever heard.
    has_heard_others: bool,
    /// When the verdicts were last read from the store for want of another gateway.
    last_read: Option<Instant>,
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
            last_tick: None,
            number: 0,
            last_sent: None,
            last_fetch: [None; 2],
            fetching: Default::default(),
            stored: Default::default(),
            has_heard_others: false,
            last_read: None,
        })
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        timer_max!(&mut self.heartbeat_timer, now + HEARTBEAT_PERIOD, [cx], tick());
        self.heartbeats = self.heartbeats.wrapping_add(1);
        let mut board = self.gateway.board.borrow_mut();
        let last_tick = self.last_tick.replace(now);
        if last_tick.is_some_and(|t| now.saturating_duration_since(t) > MAX_TICK_GAP) {
            board.crashes.parts_mut().resumed(now);
        }
        let silence = board.peer_silence();
        board.crashes.expire_copies(silence, now);
        let time = board.clock.unix_millis(now);
        let parts = board.crashes.judge_parts(time, now);
        let requests = board.crashes.judge_suspects(time, now);
        drop(board);
        self.gateway.log_part_verdicts(&parts, "own");
        self.gateway.log_verdicts(&requests, "own");
        self.send(HEARTBEAT_REACH, now);
        VerdictKind::ALL.into_iter().for_each(|kind| self.write_verdicts(kind, now));
        self.grant_turn(now);
        self.fetch_missing_verdicts(now);
        self.read_verdicts_if_alone(now);
    }

    /// Asks a random gateway for the verdicts until the store or a gateway has supplied them; this
    /// process sends no requests to upstreams before.
    fn fetch_missing_verdicts(&mut self, now: Instant) {
        let board = self.gateway.board.borrow();
        let missing = !board.crash_verdicts_known;
        let heard: Vec<SocketAddr> = board.recently_heard(now).map(|p| p.last.peers).collect();
        drop(board);
        if let Some(from) = fastrand::choice(heard).filter(|_| missing) {
            VerdictKind::ALL.into_iter().for_each(|kind| self.fetch(kind, from, now));
        }
    }

    /// Reads the verdicts from the store while no other gateway is heard, though some were. Once all
    /// others count as stopped, the holder of the lease does not: nobody else writes them.
    fn read_verdicts_if_alone(&mut self, now: Instant) {
        let board = self.gateway.board.borrow();
        self.has_heard_others |= !board.peers.is_empty();
        let may_others_serve = !board.peers.is_empty() || board.lease.may_act(now).is_none();
        let is_alone =
            self.has_heard_others && may_others_serve && board.recently_heard(now).next().is_none();
        let is_due =
            self.last_read.is_none_or(|t| now.saturating_duration_since(t) >= ALONE_READ_INTERVAL);
        if !is_alone || !is_due {
            return;
        }
        drop(board);
        self.last_read = Some(now);
        let gateway = self.gateway.clone();
        spawn_local(async move {
            let began = clock::now();
            let read = gateway.store.snapshot(Table::Duties).await;
            record_store_call(&gateway, "verdicts", began, read.as_ref().err());
            for row in read.map(|s| s.rows).unwrap_or_default() {
                if let Some(kind) = VerdictKind::of_row(&row.key) {
                    gateway.send_to_controllers(|c| call!([c.crashes], verdicts_read(kind, row)));
                }
            }
        });
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
        let requests = board.crashes.gossip(now);
        let parts = board.crashes.parts_mut().gossip(now);
        if requests.is_none() && parts == PartGossip::default() {
            return;
        }
        let gossip = requests.unwrap_or_default();
        let heard: Vec<SocketAddr> = board.recently_heard(now).map(|p| p.last.heartbeats).collect();
        drop(board);
        let only_fingerprint =
            CrashGossip { fingerprint: gossip.fingerprint, ..CrashGossip::default() } == gossip
                && PartGossip { fingerprint: parts.fingerprint, ..PartGossip::default() } == parts;
        if only_fingerprint
            && max_receivers == HEARTBEAT_REACH
            && !self.heartbeats.is_multiple_of(HEARTBEATS_PER_FINGERPRINT)
        {
            return;
        }
        let max_receivers = if only_fingerprint { HEARTBEAT_FAN_OUT } else { max_receivers };
        self.send_to(gossip, parts, false, &sample(&heard, max_receivers));
    }

    /// As the holder of the lease, grants the next process its turn to try quarantined requests.
    fn grant_turn(&mut self, now: Instant) {
        let mut board = self.gateway.board.borrow_mut();
        let is_granter = board.lease.may_act(now).is_some()
            && board.crashes.quarantined() + board.crashes.parts().quarantined() > 0;
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
                let requests = board.crashes.gossip(now).unwrap_or_default();
                let parts = board.crashes.parts_mut().gossip(now);
                drop(board);
                self.send_to(requests, parts, true, &[address]);
            }
        }
    }

    fn send_to(
        &mut self,
        gossip: CrashGossip,
        parts: PartGossip,
        your_turn: bool,
        addresses: &[SocketAddr],
    ) {
        self.number += 1;
        let peers = self.gateway.settings.borrow().listen.peers;
        let process = self.gateway.process.clone();
        let notice =
            CrashNotice { process, peers, number: self.number, your_turn, news: gossip, parts };
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
        let fingerprints = [notice.news.fingerprint, notice.parts.fingerprint];
        let mut board = self.gateway.board.borrow_mut();
        let time = board.clock.unix_millis(now);
        let CrashNotice { process, peers, number, your_turn, news: gossip, parts } = notice;
        if your_turn {
            board.trial_turn.start(now);
        }
        let changes = board.crashes.merge_gossip(&process, number, gossip, time, now);
        let part_changes = board.crashes.merge_part_gossip(&process, number, parts, now);
        let to_relay = board.crashes.parts_mut().take_relay();
        let own_fingerprints = VerdictKind::ALL.map(|kind| kind.fingerprint(&board.crashes));
        drop(board);
        self.gateway.log_verdicts(&changes, &process);
        self.gateway.log_part_verdicts(&part_changes, &process);
        if to_relay {
            self.send(RELAY_FAN_OUT, now);
        }
        for kind in VerdictKind::ALL {
            let fingerprint = fingerprints[kind as usize];
            if fingerprint != own_fingerprints[kind as usize] && fingerprint != 0 {
                self.fetch(kind, peers, now);
            }
        }
    }

    /// Fetches all verdicts from another gateway that knows different ones.
    fn fetch(&mut self, kind: VerdictKind, from: SocketAddr, now: Instant) {
        let last_fetch = &mut self.last_fetch[kind as usize];
        let fetched_recently =
            last_fetch.is_some_and(|t| now.saturating_duration_since(t) < FETCH_INTERVAL);
        if fetched_recently || self.fetching[kind as usize].replace(true) {
            return;
        }
        *last_fetch = Some(now);
        let (gateway, fetching) = (self.gateway.clone(), self.fetching[kind as usize].clone());
        spawn_local(async move {
            if let Some(bytes) = get_from_peer(from, kind.peer_path()).await {
                match gateway.merge_verdicts(kind, &bytes, "peer", clock::now()) {
                    Ok(_) if kind == VerdictKind::Requests => {
                        gateway.send_to_controllers(|c| call!([c.crashes], crash_verdicts_known()));
                    }
                    Ok(_) => {}
                    Err(e) => log::error!("verdicts from gateway {from} cannot be decoded: {e}"),
                }
            }
            fetching.set(false);
        });
    }

    /// Handles the store's return from a copy, which may lack the newest verdicts: they are written
    /// again.
    pub fn store_returned(&mut self, _: CX![]) {
        for stored in &mut self.stored {
            *stored = VerdictRow { writing: stored.writing, ..VerdictRow::default() };
        }
    }

    /// Merges the verdicts from the store.
    pub fn verdicts_read(&mut self, cx: CX![], kind: VerdictKind, row: StoreRow) {
        let stored = &mut self.stored[kind as usize];
        match self.gateway.merge_verdicts(kind, &row.value, "store", cx.now()) {
            Ok(fingerprint) => stored.fingerprint = fingerprint,
            // The row is written anew with what is known here.
            Err(e) => log::error!("verdicts in the store cannot be decoded: {e}"),
        }
        stored.revision = row.revision;
    }

    /// Records that the store, or another gateway, has supplied the verdicts.
    pub fn crash_verdicts_known(&mut self, _: CX![]) {
        self.gateway.board.borrow_mut().crash_verdicts_known = true;
    }

    /// Writes the verdicts to the store if they differ from the stored ones. The holder of the lease
    /// does, so that a single gateway writes, and only when a verdict is new; one that hears no
    /// other gateway does too, since the holder does not know its verdicts.
    fn write_verdicts(&mut self, kind: VerdictKind, now: Instant) {
        let board = self.gateway.board.borrow();
        let stored = &mut self.stored[kind as usize];
        let fingerprint = kind.fingerprint(&board.crashes);
        let may_write =
            board.lease.may_act(now).is_some() || board.recently_heard(now).count() == 0;
        let is_due =
            stored.last_attempt.is_none_or(|t| now.saturating_duration_since(t) >= WRITE_INTERVAL);
        if fingerprint == stored.fingerprint || !may_write || stored.writing || !is_due {
            return;
        }
        let value = kind.encode(&board.crashes);
        drop(board);
        let value = match value {
            Ok(value) => value,
            Err(e) => {
                log::error!("crash verdicts cannot be encoded and are not stored: {e}");
                return;
            }
        };
        stored.last_attempt = Some(now);
        stored.writing = true;
        let expected = Some(stored.revision);
        let key = kind.row_key().to_owned();
        let row = RowWrite { table: Table::Duties, key, value, expected };
        let gateway = self.gateway.clone();
        spawn_local(async move {
            let outcome = gateway.store.write(&[row]).await;
            gateway.record_store_outcome(outcome.as_ref().err());
            let call = if outcome.is_ok() { "quarantine" } else { "quarantine_failed" };
            count(&gateway.metrics.platform_calls, call);
            gateway
                .send_to_controllers(|c| call!([c.crashes], written(kind, fingerprint, outcome)));
        });
    }

    /// Handles the outcome of a write.
    pub fn written(
        &mut self,
        cx: CX![],
        kind: VerdictKind,
        fingerprint: u64,
        outcome: Result<WriteOutcome, PlatformError>,
    ) {
        let era = self.gateway.board.borrow().store_era.unwrap_or_default();
        let stored = &mut self.stored[kind as usize];
        stored.writing = false;
        match outcome {
            // The store has returned from a copy since, and may have lost the row.
            Ok(WriteOutcome::Done(revision)) if era_of(revision) < era => {}
            Ok(WriteOutcome::Done(revision)) => {
                stored.revision = revision;
                stored.fingerprint = fingerprint;
            }
            // Another process has written: its verdicts are merged before the next attempt.
            Ok(WriteOutcome::Conflict(rows)) => {
                stored.last_attempt = None;
                match rows.into_iter().find(|r| r.key == kind.row_key()) {
                    Some(row) => self.verdicts_read(cx, kind, row),
                    None => stored.revision = 0,
                }
            }
            // If the write was done after all, the next attempt meets a conflict and gets the row.
            Err(e) => log::debug!("writing the verdicts to the store failed: {e}"),
        }
    }
}
