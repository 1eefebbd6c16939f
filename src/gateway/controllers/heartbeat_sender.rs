//! Sends this process's heartbeats, with those of other gateways relayed along, to some gateways at
//! a time.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::net::UdpSocket;

use super::peer_requests::sample;
use crate::{
    gateway::{
        board::{HEARTBEAT_REACH, PeerView, StoreState},
        context::Gateway,
        decide::{
            HEARTBEAT_FAN_OUT, MAX_FAR_DATAGRAM_BYTES, MAX_NEAR_DATAGRAM_BYTES, Mechanism,
            ReceiverCount, UsageCounts, WindowNumber, choose_receiver_count, heartbeats_per_report,
            receivers_per_data_centre, rotating_receivers,
        },
        peering::{Heartbeat, PrefixReport, SteadyAnswerAge, datagrams},
    },
    ids::DataCentre,
};

/// Upper bound of the random number of a process's first heartbeat.
const MAX_FIRST_NUMBER: u32 = 1 << 16;
/// One in this many heartbeats also goes to some known addresses from which no heartbeats arrive.
const SILENT_INTERVAL: u32 = 10;
/// Number of heartbeats that a starting process sends to addresses drawn from all that it knows,
/// rather than to the usual recipients. Quotas wait until the others are heard, and datagrams may
/// be lost.
const STARTUP_HEARTBEATS: u32 = 4;
/// Most recipients of each of these heartbeats: more would delay other traffic on a slow link
/// during startup.
const STARTUP_FAN_OUT: usize = 48;
/// One in this many heartbeats carries usage counts to gateways that do not hold the lease.
const USAGE_INTERVAL: u32 = 4;
/// One in this many heartbeats, drawn at random, carries the learnt costs of requests: they change
/// within a minute, and a fixed rhythm could always meet the same recipients.
const COST_INTERVAL: u32 = 8;
/// How long heartbeats carry a change of upstreams: until each gateway has received it from several
/// others.
const CHANGE_RETENTION: Duration = Duration::from_millis(2_500);
/// Most usage windows in a heartbeat: reports are due two windows after the end of a window.
const USAGE_WINDOWS: usize = 4;

/// Recipients of one heartbeat.
#[derive(Debug, Default)]
struct Recipients {
    /// Gateways in this data centre.
    near: Vec<SocketAddr>,
    /// Gateways in other data centres.
    far: Vec<SocketAddr>,
    /// The holder of the lease, if a usage report to it is due.
    holder: Option<SocketAddr>,
    /// Whether some gateways that are heard do not receive this heartbeat directly.
    is_partial: bool,
}

/// Composes heartbeats and chooses their recipients.
#[derive(Debug)]
pub(super) struct HeartbeatSender {
    gateway: Rc<Gateway>,
    socket: Rc<UdpSocket>,
    addresses: BTreeSet<SocketAddr>,
    /// Number of the last heartbeat; wraps.
    number: u32,
    /// How many of the [`STARTUP_HEARTBEATS`] are left.
    startup_left: u32,
    /// Shared prefixes first reported in each of the last heartbeats, newest first.
    recent_prefixes: VecDeque<Vec<PrefixReport>>,
}

impl HeartbeatSender {
    pub(super) fn new(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) -> Self {
        let settings = gateway.settings.borrow();
        let port = settings.listen.heartbeats.port();
        let seeds = settings.seeds.iter().map(|ip| SocketAddr::new(*ip, port));
        let addresses = seeds.filter(|a| *a != settings.listen.heartbeats).collect();
        drop(settings);
        // Random, so that processes that start together rotate through the data centres in
        // different phases.
        let number = fastrand::u32(..MAX_FIRST_NUMBER);
        let (startup_left, recent_prefixes) = (STARTUP_HEARTBEATS, VecDeque::new());
        Self { gateway, socket, addresses, number, startup_left, recent_prefixes }
    }

    /// Adds the addresses of registered gateways, and starts the [`STARTUP_HEARTBEATS`] again so
    /// that these gateways learn of this process.
    pub(super) fn add_members(&mut self, addresses: Vec<SocketAddr>) {
        let own = self.gateway.settings.borrow().listen.heartbeats;
        self.addresses.extend(addresses.into_iter().filter(|a| *a != own));
        self.startup_left = STARTUP_HEARTBEATS;
    }

    /// Adds the address of a gateway from which a heartbeat came.
    pub(super) fn add_address(&mut self, address: SocketAddr) {
        self.addresses.insert(address);
    }

    /// Replies to the first heartbeat of a new process, which waits for heartbeats of the others.
    /// Skipped while this process is starting too: it then sends to everybody anyway.
    pub(super) fn reply_to_new(&self, to: SocketAddr, now: Instant) {
        if self.startup_left == 0 {
            self.send_to(&self.compose(now), &[to], &[], 0);
        }
    }

    /// Sends the next heartbeat.
    pub(super) fn send(&mut self, now: Instant) {
        self.number = self.number.wrapping_add(1);
        self.startup_left = self.startup_left.saturating_sub(1);
        let mut heartbeat = self.compose(now);
        // The holder of the lease adds up usage. The others receive it less often, since one of
        // them may be the next holder.
        let processes = 1 + self.gateway.board.borrow().peers.len();
        heartbeat.prefixes = self.prefix_reports(processes);
        let reports_usage =
            self.number.is_multiple_of(heartbeats_per_report(processes, HEARTBEAT_REACH));
        let recipients = self.recipients(reports_usage, now);
        if self.number.is_multiple_of(USAGE_INTERVAL) {
            heartbeat.usage = self.usage();
        }
        let (near, all) = match recipients.is_partial {
            true => self.relayed_heartbeats(now),
            false => Default::default(),
        };
        self.send_to(&heartbeat, &recipients.near, &all, MAX_NEAR_DATAGRAM_BYTES);
        self.send_to(&heartbeat, &recipients.far, &near, MAX_FAR_DATAGRAM_BYTES);
        if let Some(holder) = recipients.holder {
            heartbeat.usage = self.usage();
            self.send_to(&heartbeat, &[holder], &[], 0);
        }
    }

    /// Returns the shared prefixes of recent requests. Each is repeated in enough heartbeats to
    /// reach most processes.
    fn prefix_reports(&mut self, processes: usize) -> Vec<PrefixReport> {
        let newest = std::mem::take(&mut self.gateway.board.borrow_mut().sent_prefixes);
        self.recent_prefixes.push_front(newest);
        self.recent_prefixes.truncate(processes.div_ceil(HEARTBEAT_REACH));
        self.recent_prefixes.iter().flatten().cloned().collect()
    }

    /// Sends a heartbeat, with as many of the `relayed` ones as fit into `max_bytes`.
    fn send_to(
        &self,
        heartbeat: &Heartbeat,
        to: &[SocketAddr],
        relayed: &[Vec<u8>],
        max_bytes: usize,
    ) {
        let own = match heartbeat.encode() {
            Ok(datagram) => datagram,
            Err(e) => {
                log::error!("own heartbeat cannot be encoded: {e}");
                return;
            }
        };
        for (datagram, address) in datagrams(&own, relayed, to.len(), max_bytes).zip(to) {
            if let Err(e) = self.socket.try_send_to(&datagram, *address) {
                // Not retried: the next heartbeat follows soon.
                log::debug!("sending a heartbeat to {address} failed: {e}");
            }
        }
    }

    /// Returns the encoded heartbeats to relay: those of this data centre, and all of them.
    fn relayed_heartbeats(&self, now: Instant) -> (Vec<Vec<u8>>, Vec<Vec<u8>>) {
        let own = self.gateway.settings.borrow().data_centre.clone();
        let heartbeats = self.gateway.board.borrow_mut().heartbeats_to_relay(&own, now);
        let mut near = Vec::new();
        let mut all = Vec::new();
        for (is_near, heartbeat) in heartbeats {
            match heartbeat.encode() {
                Ok(bytes) => {
                    if is_near {
                        near.push(bytes.clone());
                    }
                    all.push(bytes);
                }
                Err(e) => log::error!("relayed heartbeat cannot be encoded: {e}"),
            }
        }
        (near, all)
    }

    fn usage(&self) -> Vec<(WindowNumber, UsageCounts)> {
        let mut usage = self.gateway.board.borrow().usage.process_windows(&self.gateway.process);
        usage.truncate(USAGE_WINDOWS);
        usage
    }

    /// Returns the recipients of this heartbeat: the holder of the lease if it `reports_usage`,
    /// some of the gateways that are heard, and from time to time some that are not. During
    /// startup, a sample of all known addresses.
    fn recipients(&self, reports_usage: bool, now: Instant) -> Recipients {
        let own = self.gateway.settings.borrow().data_centre.clone();
        let board = self.gateway.board.borrow();
        let holder = board.recently_heard(now).find(|p| p.last.holds_lease());
        let holder = holder.map(|p| p.last.heartbeats).filter(|_| reports_usage);
        if self.startup_left > 0 {
            let others = self.addresses.iter().filter(|a| Some(**a) != holder);
            let all: Vec<SocketAddr> = others.copied().collect();
            let far = sample(&all, STARTUP_FAN_OUT);
            return Recipients { far, holder, ..Recipients::default() };
        }
        let heard: Vec<&PeerView> = board.recently_heard(now).collect();
        let mut near = Vec::new();
        let mut far: BTreeMap<&DataCentre, Vec<SocketAddr>> = BTreeMap::new();
        for last in heard.iter().map(|p| &p.last).filter(|l| Some(l.heartbeats) != holder) {
            match last.data_centre == own {
                true => near.push(last.heartbeats),
                false => far.entry(&last.data_centre).or_default().push(last.heartbeats),
            }
        }
        let sizes: Vec<usize> = far.values().map(Vec::len).collect();
        let all = ReceiverCount { near: near.len(), far: sizes.iter().sum() };
        let most = choose_receiver_count(all.near, all.far);
        let shares = receivers_per_data_centre(&sizes, most.far, self.number);
        let mut chosen = Recipients {
            near: rotating_receivers(near.len(), most.near, self.number).map(|i| near[i]).collect(),
            far: far.values().zip(shares).flat_map(|(a, max)| sample(a, max)).collect(),
            holder,
            is_partial: most != all,
        };
        if heard.is_empty() || self.number.is_multiple_of(SILENT_INTERVAL) {
            let is_heard = |a: &SocketAddr| heard.iter().any(|p| p.last.heartbeats == *a);
            let silent: Vec<SocketAddr> =
                self.addresses.iter().filter(|a| !is_heard(a)).copied().collect();
            chosen.far.extend(sample(&silent, HEARTBEAT_FAN_OUT));
        }
        chosen
    }

    fn compose(&self, now: Instant) -> Heartbeat {
        let uses_speeds = self.gateway.uses(Mechanism::UpstreamSpeeds);
        let settings = self.gateway.settings.borrow();
        let mut board = self.gateway.board.borrow_mut();
        board.recent_changes.forget(now, CHANGE_RETENTION);
        board.check_reports.forget(now, CHANGE_RETENTION);
        Heartbeat {
            host: settings.id.clone(),
            incarnation: self.gateway.incarnation,
            data_centre: settings.data_centre.clone(),
            callers: settings.listen.callers,
            peers: settings.listen.peers,
            heartbeats: settings.listen.heartbeats,
            phase: self.gateway.shutdown.phase(),
            cut_off: board.paths.is_cut_off(),
            configuration: board.configuration_version(),
            configuration_knowledge: board.configuration_knowledge,
            store_now: board.store_clock.now(now),
            upstreams: board.upstreams_last_change,
            recent: board.recent_changes.clone(),
            store_answers: !matches!(board.store, StoreState::OutageSince(_)),
            steady_answer_age: SteadyAnswerAge::new(board.steadiness.steady_answer_age(now)),
            up_ms: now.saturating_duration_since(self.gateway.started).as_millis() as u64,
            time: board.clock.unix_millis(now),
            lease: board.lease.claim(now),
            loads: board.own_loads(now),
            outcomes: board.own_outcomes(now),
            leaving: board.leaving_reports(now),
            limits: board.limits.reports(now),
            brittle: board.brittle.reports(now),
            row_checks: board.check_reports.select_for_heartbeat(),
            prefixes: Vec::new(),
            admitted: board.quotas.own_totals().map(|(c, n)| (c.clone(), n)).collect(),
            usage: Vec::new(),
            stored_windows: board.usage.stored_windows(),
            demand: board.own_demand(now),
            speeds: board.own_speeds(),
            costs: match fastrand::u32(..COST_INTERVAL) {
                0 => board.costs_learnt.reports(now),
                _ => Vec::new(),
            },
            speed_factors: match uses_speeds {
                true => board.speed_factor_reports(now),
                false => Vec::new(),
            },
            rollouts: board.rollouts.reports(),
            orders: match board.lease.may_act(now) {
                Some(_) => board.capacity.orders.clone(),
                None => Vec::new(),
            },
        }
    }
}
