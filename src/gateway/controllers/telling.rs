//! What this process tells the other gateways, and whom.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::net::UdpSocket;

use super::asking::sample;
use crate::{
    gateway::{
        board::{HEARD_A_PERIOD, PeerView, StoreState},
        context::Gateway,
        decide::{
            Counts, DIRECT, FAR_BYTES, NEAR_BYTES, Receivers, Window, beats_a_report, far_shares,
            receivers, turns,
        },
        peering::{Heartbeat, PrefixReport, datagrams},
    },
    ids::DataCentre,
};

/// Number below which the first heartbeat of a process gets its number.
const FIRST_BEAT_BELOW: u32 = 1 << 16;
/// Every how many heartbeats addresses that are silent are tried.
const SILENT_EVERY: u32 = 10;
/// Heartbeats that a process sends to every address it knows when it starts:
/// quotas wait until the others are heard, and a datagram may be lost.
const FIRST_BEATS: u32 = 4;
/// Gateways that get each of the first heartbeats: more would hold up whatever else
/// leaves a slow link at the start.
const FIRST_FAN_OUT: usize = 48;
/// Every how many heartbeats usage is told to those that do not report it.
const USAGE_EVERY: u32 = 4;
/// For how long changes of upstreams are told: until each gateway has heard
/// them from several others.
const CHANGES_TOLD: Duration = Duration::from_millis(2_500);
/// Windows of usage that are told: reports are due two windows after the end.
const USAGE_WINDOWS: usize = 4;

/// Whom a heartbeat goes to.
#[derive(Debug, Default)]
struct Addressed {
    /// In this data centre.
    near: Vec<SocketAddr>,
    /// In the others.
    far: Vec<SocketAddr>,
    /// The holder of the lease, if it is due a report.
    holder: Option<SocketAddr>,
    /// Whether there are gateways that this heartbeat does not go to.
    some_left_out: bool,
}

/// Sends heartbeats.
#[derive(Debug)]
pub(super) struct Teller {
    gateway: Rc<Gateway>,
    socket: Rc<UdpSocket>,
    addresses: BTreeSet<SocketAddr>,
    beats: u32,
    first_beats: u32,
    /// Shared prefixes by heartbeat, the newest first.
    prefixes: VecDeque<Vec<PrefixReport>>,
}

impl Teller {
    pub(super) fn new(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) -> Self {
        let settings = gateway.settings.borrow();
        let port = settings.listen.heartbeats.port();
        let seeds = settings.seeds.iter().map(|ip| SocketAddr::new(*ip, port));
        let addresses = seeds.filter(|a| *a != settings.listen.heartbeats).collect();
        drop(settings);
        // Processes that start together do not turn to the same data centre together.
        let beats = fastrand::u32(..FIRST_BEAT_BELOW);
        let (first_beats, prefixes) = (FIRST_BEATS, VecDeque::new());
        Self { gateway, socket, addresses, beats, first_beats, prefixes }
    }

    /// Takes over addresses that were found in the store, all of which are to be told of
    /// this process.
    pub(super) fn found(&mut self, addresses: Vec<SocketAddr>) {
        let own = self.gateway.settings.borrow().listen.heartbeats;
        self.addresses.extend(addresses.into_iter().filter(|a| *a != own));
        self.first_beats = FIRST_BEATS;
    }

    /// Notes an address of another gateway.
    pub(super) fn knows(&mut self, address: SocketAddr) {
        self.addresses.insert(address);
    }

    /// Answers a process that is new, which waits to hear the others. One that
    /// has just started itself tells everybody anyway.
    pub(super) fn greet(&self, to: SocketAddr, now: Instant) {
        if self.first_beats == 0 {
            self.send_to(&self.compose(now), &[to], &[], 0);
        }
    }

    /// Tells the others.
    pub(super) fn send(&mut self, now: Instant) {
        self.beats = self.beats.wrapping_add(1);
        self.first_beats = self.first_beats.saturating_sub(1);
        let mut heartbeat = self.compose(now);
        // The holder of the lease sums usage up; the others get it now and then, since
        // one of them may be the next holder.
        let processes = 1 + self.gateway.board.borrow().peers.len();
        heartbeat.prefixes = self.prefixes(processes);
        let reports = self.beats.is_multiple_of(beats_a_report(processes, HEARD_A_PERIOD));
        let addressed = self.receivers(reports, now);
        if self.beats.is_multiple_of(USAGE_EVERY) {
            heartbeat.usage = self.usage();
        }
        let (near, all) = match addressed.some_left_out {
            true => self.to_pass_on(now),
            false => Default::default(),
        };
        self.send_to(&heartbeat, &addressed.near, &all, NEAR_BYTES);
        self.send_to(&heartbeat, &addressed.far, &near, FAR_BYTES);
        if let Some(holder) = addressed.holder {
            heartbeat.usage = self.usage();
            self.send_to(&heartbeat, &[holder], &[], 0);
        }
    }

    /// Returns the shared prefixes that were sent of late: each is told for so many heartbeats
    /// that most of the processes hear of it.
    fn prefixes(&mut self, processes: usize) -> Vec<PrefixReport> {
        let newest = std::mem::take(&mut self.gateway.board.borrow_mut().sent_prefixes);
        self.prefixes.push_front(newest);
        self.prefixes.truncate(processes.div_ceil(HEARD_A_PERIOD));
        self.prefixes.iter().flatten().cloned().collect()
    }

    /// Sends a heartbeat, and with it as many of `passed_on` as fit into `most_bytes`.
    fn send_to(
        &self,
        heartbeat: &Heartbeat,
        to: &[SocketAddr],
        passed_on: &[Vec<u8>],
        most_bytes: usize,
    ) {
        let own = match heartbeat.encode() {
            Ok(datagram) => datagram,
            Err(e) => {
                log::error!("the heartbeat cannot be encoded: {e}");
                return;
            }
        };
        for (datagram, address) in datagrams(&own, passed_on, to.len(), most_bytes).zip(to) {
            if let Err(e) = self.socket.try_send_to(&datagram, *address) {
                // The next one follows soon.
                log::debug!("heartbeat to {address}: {e}");
            }
        }
    }

    /// Returns the heartbeats that are passed on: those of this data centre, and all.
    fn to_pass_on(&self, now: Instant) -> (Vec<Vec<u8>>, Vec<Vec<u8>>) {
        let own = self.gateway.settings.borrow().data_centre.clone();
        let heartbeats = self.gateway.board.borrow_mut().to_pass_on(&own, now);
        let mut near = Vec::new();
        let mut all = Vec::new();
        for (is_near, passed_on) in heartbeats {
            match passed_on.encode() {
                Ok(bytes) => {
                    if is_near {
                        near.push(bytes.clone());
                    }
                    all.push(bytes);
                }
                Err(e) => log::error!("a heartbeat cannot be passed on: {e}"),
            }
        }
        (near, all)
    }

    fn usage(&self) -> Vec<(Window, Counts)> {
        let mut usage = self.gateway.board.borrow().usage.of_process(&self.gateway.process);
        usage.truncate(USAGE_WINDOWS);
        usage
    }

    /// Returns who gets this heartbeat: the holder of the lease, if it is due a report; some
    /// of the gateways that are heard; and at times, and at first, those that are silent.
    fn receivers(&self, reports: bool, now: Instant) -> Addressed {
        let own = self.gateway.settings.borrow().data_centre.clone();
        let board = self.gateway.board.borrow();
        let holder = board.heard(now).find(|p| p.last.holds_lease());
        let holder = holder.map(|p| p.last.heartbeats).filter(|_| reports);
        if self.first_beats > 0 {
            let others = self.addresses.iter().filter(|a| Some(**a) != holder);
            let all: Vec<SocketAddr> = others.copied().collect();
            let far = sample(&all, FIRST_FAN_OUT);
            return Addressed { far, holder, ..Addressed::default() };
        }
        let heard: Vec<&PeerView> = board.heard(now).collect();
        let mut near = Vec::new();
        let mut far: BTreeMap<&DataCentre, Vec<SocketAddr>> = BTreeMap::new();
        for last in heard.iter().map(|p| &p.last).filter(|l| Some(l.heartbeats) != holder) {
            match last.data_centre == own {
                true => near.push(last.heartbeats),
                false => far.entry(&last.data_centre).or_default().push(last.heartbeats),
            }
        }
        let sizes: Vec<usize> = far.values().map(Vec::len).collect();
        let all = Receivers { near: near.len(), far: sizes.iter().sum() };
        let most = receivers(all.near, all.far);
        let shares = far_shares(&sizes, most.far, self.beats);
        let mut chosen = Addressed {
            near: turns(near.len(), most.near, self.beats).map(|i| near[i]).collect(),
            far: far.values().zip(shares).flat_map(|(a, most)| sample(a, most)).collect(),
            holder,
            some_left_out: most != all,
        };
        if heard.is_empty() || self.beats.is_multiple_of(SILENT_EVERY) {
            let is_heard = |a: &SocketAddr| heard.iter().any(|p| p.last.heartbeats == *a);
            let silent: Vec<SocketAddr> =
                self.addresses.iter().filter(|a| !is_heard(a)).copied().collect();
            chosen.far.extend(sample(&silent, DIRECT));
        }
        chosen
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
            outcomes: board.own_outcomes(now),
            leaving: board.leaving_reports(now),
            limits: board.limits.reports(now),
            prefixes: Vec::new(),
            admitted: board.quotas.own_totals().map(|(c, n)| (c.clone(), n)).collect(),
            usage: Vec::new(),
            demand: board.own_demand(now),
            speeds: board.own_speeds(),
            rollouts: board.rollouts.reports(),
            orders: match board.lease.may_act(now) {
                Some(_) => board.capacity.orders.clone(),
                None => Vec::new(),
            },
        }
    }
}
