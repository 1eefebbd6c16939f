//! The other gateways: what this process hears of them.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use stakker::{CX, call, timer_max};
use tokio::net::UdpSocket;

use super::{ages::Ages, catching_up::CatchUp, telling::Teller};
use crate::{
    control::HeardClaim,
    gateway::{
        board::{HEARTBEAT_PERIOD, PEER_FORGOTTEN, PeerView},
        context::Gateway,
        decide::{PeerTotal, wait_at_start},
        model::Followed,
        net::Phase,
        peering::{Heartbeat, PassedOn, ProcessId},
        telemetry::Event,
    },
    prefix,
};

/// From which difference of age another process counts as older than this one:
/// the time in which processes that were killed together come back.
const OLDER_BY_MS: u64 = 1_500;

/// Controller of the other gateways.
#[derive(Debug)]
pub struct Peers {
    gateway: Rc<Gateway>,
    timer: stakker::MaxTimerKey,
    teller: Teller,
    ages: Ages,
    catch_up: [CatchUp; Followed::ALL.len()],
}

impl Peers {
    /// Starts the controller.
    pub fn init(cx: CX![], gateway: Rc<Gateway>, socket: Rc<UdpSocket>) -> Option<Self> {
        call!([cx], tick());
        let catch_up = Followed::ALL.map(|of| CatchUp::new(gateway.clone(), of));
        let teller = Teller::new(gateway.clone(), socket);
        let timer = stakker::MaxTimerKey::default();
        Some(Self { gateway, timer, teller, ages: Ages::default(), catch_up })
    }

    /// Takes over addresses that were found in the store, and tells all of
    /// them of this process.
    pub fn found(&mut self, cx: CX![], addresses: Vec<SocketAddr>) {
        let own = self.gateway.settings.borrow().listen.heartbeats;
        let place = |a: &SocketAddr| prefix::hash(a.to_string().as_bytes());
        let rank = addresses.iter().filter(|a| place(a) < place(&own)).count();
        let mut board = self.gateway.board.borrow_mut();
        board.announced = addresses.len();
        board.told_until = Some(cx.now() + wait_at_start(rank));
        drop(board);
        self.teller.found(addresses);
        self.teller.send(cx.now());
    }

    /// Takes over a heartbeat from its sender.
    pub fn hear(&mut self, cx: CX![], mut heartbeat: Heartbeat) {
        let now = cx.now();
        let process = heartbeat.process();
        if process == self.gateway.process {
            return;
        }
        let from = heartbeat.heartbeats;
        let recent = std::mem::take(&mut heartbeat.recent);
        self.gateway.tell(|c| call!([c.directory], follow(recent)));
        if let Some(reading) = heartbeat.store_now {
            self.gateway.board.borrow_mut().store_clock.note(reading, now);
        }
        if self.gateway.board.borrow().is_outdated(&process, &heartbeat) {
            return;
        }
        if self.take(heartbeat, now, now) {
            self.teller.greet(from, now);
        }
    }

    /// Takes over a heartbeat that another gateway passes on.
    pub fn overhear(&mut self, cx: CX![], passed_on: PassedOn) {
        let PassedOn { age_ms, mut heartbeat } = passed_on;
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
        self.take(heartbeat, sent, now);
    }

    /// Takes over a heartbeat that was sent at `sent`; returns whether its process is new.
    fn take(&mut self, heartbeat: Heartbeat, sent: Instant, now: Instant) -> bool {
        self.teller.knows(heartbeat.heartbeats);
        self.take_knowledge(&heartbeat);
        self.take_accounts(&heartbeat, now);
        let process = heartbeat.process();
        if let Some(claim) = heartbeat.lease {
            let heard = HeardClaim { holder: process.clone(), claim, at: sent };
            self.gateway.tell(|c| call!([c.duties], claimed(heard)));
        }
        let mut board = self.gateway.board.borrow_mut();
        let before = board.hear(process.clone(), heartbeat, sent);
        let silence = board.peer_silence();
        let limits = board.hear_limits(&process, now);
        let leaving = board.hear_leaving(&process, now);
        drop(board);
        leaving.into_iter().for_each(|upstream| self.gateway.log_leaving(upstream, ""));
        limits.into_iter().for_each(|(of, notice)| self.gateway.log_limit(of, notice, ""));
        if before.is_none_or(|heard| now.saturating_duration_since(heard) >= silence) {
            self.gateway.log(&Event::Peer { process: &process, state: "heard" });
        }
        before.is_none()
    }

    /// Tells the others at once, for example that this process leaves.
    pub fn tell_now(&mut self, cx: CX![]) {
        self.teller.send(cx.now());
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        timer_max!(&mut self.timer, now + HEARTBEAT_PERIOD, [cx], tick());
        self.forget(now);
        self.ages.look(&self.gateway, now);
        let mut board = self.gateway.board.borrow_mut();
        board.average_costs(now);
        board.add_up_outcomes(now);
        let leaving = self.gateway.shutdown.phase() > Phase::Serving;
        board.divide_limits(&self.gateway.settings.borrow().id, leaving, now);
        drop(board);
        self.teller.send(now);
        self.catch_up.iter_mut().for_each(|c| c.look(now));
    }

    fn take_accounts(&self, heartbeat: &Heartbeat, now: Instant) {
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
                    board.quotas.hear(peer, quota, now);
                }
            }
            for prefix in &heartbeat.prefixes {
                // An engine in a lifetime that is not known: its word changes nothing.
                if let Some(capacity) = board.cache_tokens(&configuration, prefix.2) {
                    board.cache.note(prefix.2, prefix.0, prefix.1, capacity, now);
                }
            }
        }
        for report in &heartbeat.rollouts {
            let time = board.store_time(now);
            let has_slack = self.gateway.was_up_at(report.order.started, time, now);
            board.rollouts.hear(&process, report, has_slack, fastrand::f64());
        }
        for report in &heartbeat.speeds {
            board.speed_model(&report.service).adopt(report.speed(), f64::from(report.requests));
        }
        if !heartbeat.orders.is_empty() && board.lease.may_act(now).is_none() {
            board.capacity.orders.clone_from(&heartbeat.orders);
        }
        for (window, counts) in &heartbeat.usage {
            board.usage.hear(&process, *window, counts);
        }
        let corrected = board.clock.hear(&heartbeat.host, heartbeat.time, now);
        drop(guard);
        if let Some(correction_ms) = corrected {
            self.gateway.log(&Event::Clock { correction_ms });
        }
    }

    /// Takes over how new the knowledge of another gateway is, where this one knows as
    /// much: then it is as new here.
    fn take_knowledge(&self, heartbeat: &Heartbeat) {
        let mut board = self.gateway.board.borrow_mut();
        let as_much = heartbeat.configuration <= board.configuration_version();
        if let Some(told) = heartbeat.configuration_knowledge.filter(|_| as_much) {
            board.configuration_knowledge.get_or_insert(told).advance(told);
        }
    }

    fn forget(&mut self, now: Instant) {
        let mut board = self.gateway.board.borrow_mut();
        let old = |p: &PeerView| now.saturating_duration_since(p.heard) >= PEER_FORGOTTEN;
        let gone: Vec<ProcessId> =
            board.peers.iter().filter(|(_, p)| old(p)).map(|(id, _)| id.clone()).collect();
        for id in &gone {
            board.forget_peer(id);
        }
        board.forget_silent_loads(now);
        let heard = board.heard(now).count();
        drop(board);
        for process in &gone {
            self.gateway.log(&Event::Peer { process, state: "forgotten" });
        }
        self.gateway.metrics.peers.set(heard as i64);
    }
}
