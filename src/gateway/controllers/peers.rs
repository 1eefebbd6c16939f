//! Heartbeats between the gateways: applies what the others send, and sends this process's own.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use stakker::{CX, call, timer_max};
use tokio::{net::UdpSocket, task::spawn_local};

use super::{
    heartbeat_sender::HeartbeatSender, knowledge_age::KnowledgeAges, peer_sync::PeerSync,
    startup::register_again,
};
use crate::{
    control::HeardClaim,
    gateway::{
        board::{HEARTBEAT_PERIOD, PEER_TIMEOUT, PeerView},
        context::Gateway,
        decide::{Mechanism, PeerTotal, startup_read_delay},
        model::{WatchedData, era_of},
        net::Phase,
        peering::{Heartbeat, ProcessId, RelayedHeartbeat},
        telemetry::Event,
    },
    prefix,
};

/// Difference of uptime above which another process counts as older than this one. Processes that
/// were killed together restart within this time.
const OLDER_BY_MS: u64 = 1_500;

/// Controller of the heartbeats between gateways.
#[derive(Debug)]
pub struct Peers {
    gateway: Rc<Gateway>,
    timer: stakker::MaxTimerKey,
    sender: HeartbeatSender,
    knowledge_ages: KnowledgeAges,
    syncs: [PeerSync; WatchedData::ALL.len()],
}

impl Peers {
    /// Creates the controller and starts its periodic heartbeats on `socket`.
    pub fn init(cx: CX![], gateway: Rc<Gateway>, socket: Rc<UdpSocket>) -> Option<Self> {
        call!([cx], tick());
        let syncs = WatchedData::ALL.map(|of| PeerSync::new(gateway.clone(), of));
        let sender = HeartbeatSender::new(gateway.clone(), socket);
        let timer = stakker::MaxTimerKey::default();
        Some(Self { gateway, timer, sender, knowledge_ages: KnowledgeAges::default(), syncs })
    }

    /// Handles the addresses of the registered gateways, as read from the store, and announces this
    /// process to them.
    pub fn members_read(&mut self, cx: CX![], addresses: Vec<SocketAddr>) {
        let own = self.gateway.settings.borrow().listen.heartbeats;
        let order = |a: &SocketAddr| prefix::hash(a.to_string().as_bytes());
        let rank = addresses.iter().filter(|a| order(a) < order(&own)).count();
        let mut board = self.gateway.board.borrow_mut();
        board.announced_hosts = addresses.len();
        board.peer_snapshot_deadline = Some(cx.now() + startup_read_delay(rank));
        drop(board);
        self.sender.add_members(addresses);
        self.sender.send(cx.now());
    }

    /// Handles a heartbeat that came directly from its sender.
    pub fn heartbeat_received(&mut self, cx: CX![], mut heartbeat: Heartbeat) {
        let now = cx.now();
        let process = heartbeat.process();
        if process == self.gateway.process {
            return;
        }
        let from = heartbeat.heartbeats;
        let recent = std::mem::take(&mut heartbeat.recent);
        self.gateway.send_to_controllers(|c| call!([c.directory], apply_peer_changes(recent)));
        if let Some(reading) = heartbeat.store_now {
            self.gateway.board.borrow_mut().store_clock.note(reading, now);
        }
        if self.gateway.board.borrow().is_outdated(&process, &heartbeat) {
            return;
        }
        if self.apply(heartbeat, now, now) {
            self.sender.reply_to_new(from, now);
        }
    }

    /// Handles a heartbeat that another gateway relays.
    pub fn relayed_heartbeat_received(&mut self, cx: CX![], relayed: RelayedHeartbeat) {
        let RelayedHeartbeat { age_ms, mut heartbeat } = relayed;
        let process = heartbeat.process();
        let board = self.gateway.board.borrow();
        let known = board.peers.get(&process);
        let is_known = known.is_some_and(|p| p.last.up_ms == heartbeat.up_ms);
        if process == self.gateway.process || is_known || board.is_outdated(&process, &heartbeat) {
            return;
        }
        drop(board);
        let now = cx.now();
        let sent = now.checked_sub(Duration::from_millis(age_ms)).unwrap_or(now);
        heartbeat.time = heartbeat.time.saturating_add(age_ms);
        self.apply(heartbeat, sent, now);
    }

    /// Applies a heartbeat that was sent at `sent`; returns whether its process was unknown.
    fn apply(&mut self, heartbeat: Heartbeat, sent: Instant, now: Instant) -> bool {
        self.sender.add_address(heartbeat.heartbeats);
        if !heartbeat.row_checks.is_empty() {
            // Kept in the heartbeat too, which is relayed.
            let checks = heartbeat.row_checks.clone();
            self.gateway.send_to_controllers(|c| call!([c.directory], apply_row_checks(checks)));
        }
        self.adopt_knowledge(&heartbeat);
        self.apply_reports(&heartbeat, now);
        let process = heartbeat.process();
        if let Some(claim) = heartbeat.lease {
            let heard = HeardClaim { holder: process.clone(), claim, at: sent };
            self.gateway.send_to_controllers(|c| call!([c.duties], claim_received(heard)));
        }
        let uses_speeds = self.gateway.uses(Mechanism::UpstreamSpeeds);
        let mut board = self.gateway.board.borrow_mut();
        if uses_speeds {
            board.merge_speed_factors(&process, &heartbeat, sent);
        }
        let before = board.record_heartbeat(process.clone(), heartbeat, sent);
        let silence = board.peer_silence();
        let limits = board.merge_limit_reports(&process, now);
        board.merge_brittle_reports(&process, now);
        let leaving = board.merge_leaving_reports(&process, now);
        drop(board);
        leaving.into_iter().for_each(|upstream| self.gateway.log_upstream_leaving(upstream, ""));
        limits.into_iter().for_each(|(of, notice)| self.gateway.log_rate_limit(of, notice, ""));
        if before.is_none_or(|heard| now.saturating_duration_since(heard) >= silence) {
            self.gateway.log(&Event::Peer { process: &process, state: "heard" });
        }
        before.is_none()
    }

    /// Handles the store's return from a copy, which may lack this process's row.
    pub fn store_returned(&mut self, _: CX![]) {
        let gateways = 1 + self.gateway.board.borrow().peers.len();
        spawn_local(register_again(self.gateway.clone(), gateways));
    }

    /// Sends a heartbeat at once, for example when this process begins to shut down.
    pub fn send_now(&mut self, cx: CX![]) {
        self.sender.send(cx.now());
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        timer_max!(&mut self.timer, now + HEARTBEAT_PERIOD, [cx], tick());
        self.forget_silent(now);
        self.knowledge_ages.update(&self.gateway, now);
        let uses_notices = self.gateway.uses(Mechanism::WorkNotices);
        let mut board = self.gateway.board.borrow_mut();
        board.update_noticed_work(uses_notices, now);
        board.update_average_costs(now);
        board.update_shared_outcomes(now);
        let leaving = self.gateway.shutdown.phase() > Phase::Serving;
        board.divide_limits(&self.gateway.settings.borrow().id, leaving, now);
        drop(board);
        self.sender.send(now);
        self.syncs.iter_mut().for_each(|sync| sync.check(now));
    }

    fn apply_reports(&self, heartbeat: &Heartbeat, now: Instant) {
        let process: ProcessId = heartbeat.process();
        let mut guard = self.gateway.board.borrow_mut();
        let board = &mut *guard;
        if let Some(configuration) = board.configuration.clone() {
            let up_ms = now.saturating_duration_since(self.gateway.started).as_millis() as u64;
            let older = heartbeat.up_ms > up_ms + OLDER_BY_MS;
            for (customer, total) in &heartbeat.admitted {
                let known = configuration.customers.iter().find(|c| c.name == *customer);
                if let Some(quota) = known.and_then(|c| c.quota) {
                    let total = *total;
                    let peer = PeerTotal { process: &process, older, customer, total };
                    board.quotas.record_peer_total(peer, quota, now);
                }
            }
            for prefix in &heartbeat.prefixes {
                // `None` for an upstream lifetime that is not known here; the report is ignored.
                if let Some(capacity) = board.cache_tokens(&configuration, prefix.2) {
                    board.cache.note(prefix.2, prefix.0, prefix.1, capacity, now);
                }
            }
        }
        for report in &heartbeat.rollouts {
            let time = board.store_time(now);
            let has_slack = self.gateway.was_up_at(report.order.started, time, now);
            board.rollouts.merge_report(&process, report, has_slack, fastrand::f64());
        }
        for report in &heartbeat.speeds {
            board.speed_model(&report.service).adopt(report.speed(), f64::from(report.requests));
        }
        board.costs_learnt.merge_reports(&process, &heartbeat.costs, now);
        if !heartbeat.orders.is_empty() && board.lease.may_act(now).is_none() {
            board.capacity.orders.clone_from(&heartbeat.orders);
        }
        for (window, counts) in &heartbeat.usage {
            board.usage.merge_counts(&process, *window, counts);
        }
        board.usage.merge_stored(heartbeat.stored_windows);
        let corrected = board.clock.record_peer_time(&heartbeat.host, heartbeat.time, now);
        drop(guard);
        if let Some(correction_ms) = corrected {
            self.gateway.log(&Event::Clock { correction_ms });
        }
    }

    /// Adopts the store position up to which another gateway knows the configuration, if this one
    /// has at least the same version: it is then known up to there here too.
    fn adopt_knowledge(&self, heartbeat: &Heartbeat) {
        if let Some(known) = heartbeat.configuration_knowledge {
            self.gateway.note_store_era(era_of(known.position));
        }
        let mut board = self.gateway.board.borrow_mut();
        let is_current = heartbeat.configuration <= board.configuration_version();
        if let Some(known) = heartbeat.configuration_knowledge.filter(|_| is_current) {
            board.configuration_knowledge.get_or_insert(known).advance(known);
        }
    }

    fn forget_silent(&mut self, now: Instant) {
        let mut board = self.gateway.board.borrow_mut();
        let old = |p: &PeerView| now.saturating_duration_since(p.last_heard) >= PEER_TIMEOUT;
        let gone: Vec<ProcessId> =
            board.peers.iter().filter(|(_, p)| old(p)).map(|(id, _)| id.clone()).collect();
        for id in &gone {
            board.forget_peer(id);
        }
        board.subtract_silent_loads(now);
        let heard = board.recently_heard(now).count();
        drop(board);
        for process in &gone {
            self.gateway.log(&Event::Peer { process, state: "forgotten" });
        }
        self.gateway.metrics.peers.set(heard as i64);
    }
}
