//! Heartbeats: what this process tells the others, and what it hears.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use stakker::{CX, call, timer_max};
use tokio::net::UdpSocket;

use super::{ages::Ages, asking::sample, catching_up::CatchUp};
use crate::{
    control::HeardClaim,
    gateway::{
        board::{HEARTBEAT_FAN_OUT, HEARTBEAT_PERIOD, PEER_FORGOTTEN, PeerView, StoreState},
        context::Gateway,
        decide::{Counts, PeerTotal, Window, beats_a_report},
        model::Followed,
        peering::{Heartbeat, ProcessId},
        telemetry::Event,
    },
};

/// Every how many heartbeats addresses that are silent are tried.
const SILENT_EVERY: u32 = 10;
/// Heartbeats that a process sends to every address it knows when it starts:
/// quotas wait until the others are heard, and a datagram may be lost.
const FIRST_BEATS: u32 = 4;
/// Gateways that get each of the first heartbeats: more would hold up whatever else
/// leaves a slow link at the start.
const FIRST_FAN_OUT: usize = 128;
/// Every how many heartbeats usage is told to those that do not report it.
const USAGE_EVERY: u32 = 4;
/// For how long changes of upstreams are told: until each gateway has heard
/// them from several others.
const CHANGES_TOLD: Duration = Duration::from_millis(2_500);
/// Windows of usage that are told: reports are due two windows after the end.
const USAGE_WINDOWS: usize = 4;
/// From which difference of age another process counts as older than this one:
/// the time in which processes that were killed together come back.
const OLDER_BY_MS: u64 = 1_500;

/// Controller of the other gateways.
#[derive(Debug)]
pub struct Peers {
    gateway: Rc<Gateway>,
    socket: Rc<UdpSocket>,
    timer: stakker::MaxTimerKey,
    addresses: BTreeSet<SocketAddr>,
    beats: u32,
    first_beats: u32,
    ages: Ages,
    catch_up: [CatchUp; Followed::ALL.len()],
}

impl Peers {
    /// Starts the controller.
    pub fn init(cx: CX![], gateway: Rc<Gateway>, socket: Rc<UdpSocket>) -> Option<Self> {
        call!([cx], tick());
        let settings = gateway.settings.borrow();
        let port = settings.listen.heartbeats.port();
        let seeds = settings.seeds.iter().map(|ip| SocketAddr::new(*ip, port));
        let addresses = seeds.filter(|a| *a != settings.listen.heartbeats).collect();
        drop(settings);
        let catch_up = Followed::ALL.map(|of| CatchUp::new(gateway.clone(), of));
        Some(Self {
            gateway,
            socket,
            timer: stakker::MaxTimerKey::default(),
            addresses,
            beats: 0,
            first_beats: FIRST_BEATS,
            ages: Ages::default(),
            catch_up,
        })
    }

    /// Takes over addresses that were found in the store, and tells all of
    /// them of this process.
    pub fn found(&mut self, cx: CX![], addresses: Vec<SocketAddr>) {
        let own = self.gateway.settings.borrow().listen.heartbeats;
        self.gateway.board.borrow_mut().announced = addresses.len();
        self.addresses.extend(addresses.into_iter().filter(|a| *a != own));
        self.first_beats = FIRST_BEATS;
        self.send(cx.now());
    }

    /// Takes over a heartbeat.
    pub fn hear(&mut self, cx: CX![], mut heartbeat: Heartbeat) {
        let now = cx.now();
        if heartbeat.process() == self.gateway.process {
            return;
        }
        let from = heartbeat.heartbeats;
        self.addresses.insert(from);
        let recent = std::mem::take(&mut heartbeat.recent);
        self.gateway.tell(|c| call!([c.directory], follow(recent)));
        self.take_knowledge(&heartbeat, now);
        self.take_accounts(&heartbeat, now);
        let process = heartbeat.process();
        if let Some(claim) = heartbeat.lease {
            let heard = HeardClaim { holder: process.clone(), claim, at: now };
            self.gateway.tell(|c| call!([c.duties], claimed(heard)));
        }
        let mut board = self.gateway.board.borrow_mut();
        let before = board.hear(process.clone(), heartbeat, now);
        let silence = board.peer_silence();
        drop(board);
        if before.is_none() {
            self.greet(from, now);
        }
        if before.is_none_or(|heard| now.saturating_duration_since(heard) >= silence) {
            self.gateway.log(&Event::Peer { process: &process, state: "heard" });
        }
    }

    /// Answers a process that is new, which waits to hear the others. One that
    /// has just started itself tells everybody anyway.
    fn greet(&self, to: SocketAddr, now: Instant) {
        if self.first_beats == 0 {
            self.send_to(&self.compose(now), &[to]);
        }
    }

    /// Tells the others at once, for example that this process leaves.
    pub fn tell_now(&mut self, cx: CX![]) {
        self.send(cx.now());
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        timer_max!(&mut self.timer, now + HEARTBEAT_PERIOD, [cx], tick());
        self.forget(now);
        self.ages.look(&self.gateway, now);
        self.gateway.board.borrow_mut().average_costs(now);
        self.send(now);
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
    fn take_knowledge(&self, heartbeat: &Heartbeat, now: Instant) {
        let mut board = self.gateway.board.borrow_mut();
        if let Some(reading) = heartbeat.store_now {
            board.store_clock.note(reading, now);
        }
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

    fn send(&mut self, now: Instant) {
        self.beats = self.beats.wrapping_add(1);
        self.first_beats = self.first_beats.saturating_sub(1);
        let mut heartbeat = self.compose(now);
        heartbeat.prefixes = std::mem::take(&mut self.gateway.board.borrow_mut().sent_prefixes);
        // The holder of the lease sums usage up; the others get it now and then, since
        // one of them may be the next holder.
        let processes = 1 + self.gateway.board.borrow().peers.len();
        let every = beats_a_report(processes, HEARTBEAT_FAN_OUT);
        let tells_holder = self.beats.is_multiple_of(every);
        let (holder, others) = self.receivers(tells_holder, now);
        if self.beats.is_multiple_of(USAGE_EVERY) {
            heartbeat.usage = self.usage();
        }
        self.send_to(&heartbeat, &others);
        if tells_holder {
            heartbeat.usage = self.usage();
            self.send_to(&heartbeat, holder.as_slice());
        }
    }

    fn send_to(&self, heartbeat: &Heartbeat, addresses: &[SocketAddr]) {
        let datagram = match heartbeat.encode() {
            Ok(datagram) => datagram,
            Err(e) => {
                log::error!("the heartbeat cannot be encoded: {e}");
                return;
            }
        };
        for address in addresses {
            if let Err(e) = self.socket.try_send_to(&datagram, *address) {
                // The next one follows soon.
                log::debug!("heartbeat to {address}: {e}");
            }
        }
    }

    fn usage(&self) -> Vec<(Window, Counts)> {
        let mut usage = self.gateway.board.borrow().usage.of_process(&self.gateway.process);
        usage.truncate(USAGE_WINDOWS);
        usage
    }

    /// Returns who gets this heartbeat: the holder of the lease, if it is due a report;
    /// gateways that are heard, up to the fan-out; and at times, and at first, those
    /// that are silent.
    fn receivers(&self, reports: bool, now: Instant) -> (Option<SocketAddr>, Vec<SocketAddr>) {
        let board = self.gateway.board.borrow();
        let heard: Vec<SocketAddr> = board.heard(now).map(|p| p.last.heartbeats).collect();
        let holder = board.heard(now).find(|p| p.last.holds_lease());
        let holder = holder.map(|p| p.last.heartbeats).filter(|_| reports);
        if self.first_beats > 0 {
            let all: Vec<SocketAddr> =
                self.addresses.iter().filter(|a| Some(**a) != holder).copied().collect();
            return (holder, sample(&all, FIRST_FAN_OUT));
        }
        let others: Vec<SocketAddr> =
            heard.iter().filter(|a| Some(**a) != holder).copied().collect();
        let mut chosen = sample(&others, HEARTBEAT_FAN_OUT);
        if heard.is_empty() || self.beats.is_multiple_of(SILENT_EVERY) {
            let silent: Vec<SocketAddr> =
                self.addresses.iter().filter(|a| !heard.contains(a)).copied().collect();
            chosen.extend(sample(&silent, HEARTBEAT_FAN_OUT));
        }
        (holder, chosen)
    }

    fn compose(&self, now: Instant) -> Heartbeat {
        let settings = self.gateway.settings.borrow();
        let mut board = self.gateway.board.borrow_mut();
        board.recent_changes.forget(now, CHANGES_TOLD);
        Heartbeat {
            host: settings.id.clone(),
            incarnation: self.gateway.incarnation,
            data_centre: settings.data_centre.clone(),
            callers: settings.listen.callers,
            peers: settings.listen.peers,
            heartbeats: settings.listen.heartbeats,
            phase: self.gateway.shutdown.phase(),
            configuration: board.configuration_version(),
            configuration_knowledge: board.configuration_knowledge,
            store_now: board.store_clock.now(now),
            upstreams: board.upstreams_last_change,
            recent: board.recent_changes.clone(),
            store_answers: !matches!(board.store, StoreState::Away(_)),
            store_steady: board.steadiness.is_steady(now),
            up_ms: now.saturating_duration_since(self.gateway.started).as_millis() as u64,
            time: board.clock.unix_millis(now),
            lease: board.lease.claim(now),
            loads: board.own_loads(),
            prefixes: Vec::new(),
            admitted: board.quotas.own_totals().map(|(c, n)| (c.clone(), n)).collect(),
            usage: Vec::new(),
            demand: board.own_demand(now),
            speeds: board.own_speeds(),
            orders: match board.lease.may_act(now) {
                Some(_) => board.capacity.orders.clone(),
                None => Vec::new(),
            },
        }
    }
}
