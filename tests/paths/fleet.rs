//! Simulation of gateways of which some are cut off from all upstreams: callers look gateways up and
//! call them, gateways open connections and report with late heartbeats that they are cut off.

use std::time::{Duration, Instant};

use tackhollow::gateway::{
    decide::{PathChange, TunnelPeers, UpstreamPaths, choose_listed_gateways},
    model::Lifetime,
};

/// Time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(50);
/// Time for which callers keep an answer of the directory; some keep it three times as long.
const DIRECTORY_TTL: Duration = Duration::from_secs(2);
/// Share of the callers that keep an answer longer.
const SLOW_CALLERS: f64 = 0.2;
/// Time from the beginning of the cut from which calls count.
const GRACE: Duration = Duration::from_secs(3);
/// Length of the cut.
const CUT: Duration = Duration::from_secs(9);
/// Times of the product: a direct attempt that hangs, the delay until another gateway is asked, and
/// how long that one tries to reach the upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
const TUNNEL_DELAY: Duration = Duration::from_millis(150);
const PEER_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay until the next gateway is asked if one does not answer.
const NEXT_PEER_DELAY: Duration = Duration::from_millis(50);
/// Time in which another gateway opens a connection.
const TUNNEL_TIME: Duration = Duration::from_millis(4);
/// Gateways asked for one connection, while the upstream may have failed and while the own paths are
/// suspect.
const MAX_PEERS: (usize, usize) = (3, 8);

/// How gateways that are cut off deal with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// As in the product: connections through other gateways, and callers are sent elsewhere.
    Both,
    /// Connections through other gateways only.
    Tunnels,
    /// Callers are sent elsewhere as soon as an attempt has failed; requests fail meanwhile.
    Directory,
    /// Nothing.
    Neither,
}

impl Strategy {
    pub const ALL: [Self; 4] = [Self::Both, Self::Tunnels, Self::Directory, Self::Neither];

    fn has_tunnels(self) -> bool {
        matches!(self, Self::Both | Self::Tunnels)
    }

    fn leaves_directory(self) -> bool {
        matches!(self, Self::Both | Self::Directory)
    }
}

/// A fleet, its load and the cut.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub gateways: usize,
    pub data_centres: usize,
    pub upstreams: usize,
    /// Calls a second of all callers.
    pub calls: f64,
    /// Share of the gateways that are cut off, data centre by data centre; at least one is, and at
    /// least one is not.
    pub cut_off: f64,
    /// Whether connections hang, rather than fail at once.
    pub hangs: bool,
    /// Share of all pairs of a gateway and an upstream that cannot reach each other all the time.
    pub broken_pairs: f64,
}

/// Result of a simulation, of the calls that count.
#[derive(Clone, Copy, Debug, Default)]
#[expect(dead_code, reason = "some figures are only printed")]
pub struct Outcome {
    /// Share of the calls at gateways that are cut off that were served.
    pub served_there: f64,
    /// Share of the calls at the others that were served.
    pub served_elsewhere: f64,
    /// Share of all calls that arrived at gateways that are cut off.
    pub arrived_there: f64,
    /// Mean delay of the calls served through other gateways.
    pub mean_delay: Duration,
    /// Connections a second through the busiest gateway, as a multiple of a gateway's calls.
    pub busiest: f64,
    /// Gateways that took themselves to be cut off although they were not.
    pub wrong: usize,
}

struct Gateway {
    data_centre: usize,
    is_cut: bool,
    paths: UpstreamPaths,
    outcomes: TunnelPeers<usize>,
    /// When it reported that it is cut off.
    reported: Option<Instant>,
}

pub struct Fleet {
    load: Load,
    strategy: Strategy,
    rng: fastrand::Rng,
    start: Instant,
    gateways: Vec<Gateway>,
    upstreams: Vec<Lifetime>,
    /// Answers of the directory that callers keep, with their ends.
    answers: Vec<(Instant, Vec<usize>)>,
    /// Connections opened through each gateway.
    tunnels: Vec<usize>,
    /// Calls that count: whether at a gateway that is cut off, and the delay if served.
    calls: Vec<(bool, Option<Duration>)>,
}

impl Fleet {
    pub fn new(load: Load, strategy: Strategy, seed: u64) -> Self {
        let start = Instant::now();
        let in_data_centre = load.gateways.div_ceil(load.data_centres);
        let cut = (load.gateways as f64 * load.cut_off).round() as usize;
        let cut = cut.clamp(1, load.gateways - 1);
        let gateways = (0..load.gateways).map(|n| Gateway {
            data_centre: n / in_data_centre,
            is_cut: n < cut,
            paths: UpstreamPaths::default(),
            outcomes: TunnelPeers::default(),
            reported: None,
        });
        let upstreams = (0..load.upstreams).map(|u| Lifetime::new(&format!("i-{u}"), None));
        Self {
            load,
            strategy,
            rng: fastrand::Rng::with_seed(seed),
            start,
            gateways: gateways.collect(),
            upstreams: upstreams.collect(),
            answers: vec![(start, Vec::new()); 40],
            tunnels: vec![0; load.gateways],
            calls: Vec::new(),
        }
    }

    /// Runs the simulation, which begins with the cut.
    pub fn run(mut self) -> Outcome {
        for step in 0..CUT.as_millis() / STEP.as_millis() {
            let now = self.start + STEP * step as u32;
            let mut expected = self.load.calls * STEP.as_secs_f64();
            while expected > 0.0 {
                if self.rng.f64() < expected {
                    self.call(now);
                }
                expected -= 1.0;
            }
        }
        self.outcome()
    }

    /// Returns whether gateway `own` has heard that `other` is cut off.
    fn knows_cut_off(&self, own: usize, other: usize, now: Instant) -> bool {
        let propagation = 150.0 + 150.0 * self.load.gateways as f64 / 24.0;
        let drawn = ((own * 31 + other * 17) % 100) as f64 / 100.0;
        let delay = if own == other { 0.0 } else { propagation * (0.2 + drawn) };
        let heard = |at: Instant| at + Duration::from_secs_f64(delay / 1_000.0) <= now;
        self.gateways[other].reported.is_some_and(heard)
    }

    fn call(&mut self, now: Instant) {
        let caller = self.rng.usize(..self.answers.len());
        if self.answers[caller].0 <= now {
            self.look_up(caller, now);
        }
        let listed = &self.answers[caller].1;
        let gateway = listed[self.rng.usize(..listed.len())];
        let delay = self.connect(gateway, now);
        if now >= self.start + GRACE {
            self.calls.push((self.gateways[gateway].is_cut, delay));
        }
    }

    fn look_up(&mut self, caller: usize, now: Instant) {
        let asked = self.rng.usize(..self.gateways.len());
        let leaves = self.strategy.leaves_directory();
        let serving: Vec<(usize, bool)> = (0..self.gateways.len())
            .map(|other| (other, leaves && self.knows_cut_off(asked, other, now)))
            .collect();
        let kept = if self.rng.f64() < SLOW_CALLERS { DIRECTORY_TTL * 3 } else { DIRECTORY_TTL };
        // In the beginning callers have answers of different ages.
        let age = if now == self.start { kept.mul_f64(self.rng.f64()) } else { Duration::ZERO };
        self.answers[caller] = (now + kept - age, choose_listed_gateways(&serving));
    }

    fn is_reachable(&self, gateway: usize, upstream: usize) -> bool {
        let drawn = (gateway * 7_919 + upstream * 104_729) % 10_000;
        let is_broken = (drawn as f64) < self.load.broken_pairs * 10_000.0;
        !self.gateways[gateway].is_cut && !is_broken
    }

    /// Opens a connection to an upstream; returns how long that took, or `None` if it failed.
    fn connect(&mut self, own: usize, now: Instant) -> Option<Duration> {
        let upstream = self.rng.usize(..self.upstreams.len());
        let lifetime = self.upstreams[upstream];
        if self.is_reachable(own, upstream) {
            let change = self.gateways[own].paths.note_reached(lifetime, now);
            self.report(own, change, now);
            return Some(Duration::ZERO);
        }
        if !self.strategy.has_tunnels() {
            self.gateways[own].reported.get_or_insert(now + CONNECT_TIMEOUT);
            return None;
        }
        let is_bypassed = self.gateways[own].paths.is_bypassed(lifetime, now);
        let mut delay = if self.load.hangs && !is_bypassed { TUNNEL_DELAY } else { Duration::ZERO };
        for peer in self.peers(own, is_bypassed, now) {
            let reaches = self.is_reachable(peer, upstream);
            // One that knows that it is cut off says so at once.
            let answer = match reaches || self.gateways[peer].paths.is_cut_off() {
                true => TUNNEL_TIME,
                false if self.load.hangs => PEER_TIMEOUT,
                false => TUNNEL_TIME,
            };
            self.gateways[own].outcomes.note(peer, reaches, now + delay + answer);
            if !reaches {
                delay += answer.min(NEXT_PEER_DELAY);
            } else {
                self.tunnels[peer] += 1;
                let known = self.upstreams.len();
                let at = now + delay + answer;
                let change = self.gateways[own].paths.note_bypassed(lifetime, known, at);
                self.report(own, change, at);
                return Some(delay + answer);
            }
            if self.load.hangs && delay >= CONNECT_TIMEOUT {
                return None;
            }
        }
        None
    }

    fn peers(&mut self, own: usize, is_bypassed: bool, now: Instant) -> Vec<usize> {
        let others = (0..self.gateways.len()).filter(|o| *o != own);
        let all: Vec<usize> = others.filter(|o| !self.knows_cut_off(own, *o, now)).collect();
        let is_near = |o: &&usize| self.gateways[**o].data_centre == self.gateways[own].data_centre;
        let near: Vec<usize> = all.iter().filter(is_near).copied().collect();
        let max = if is_bypassed { MAX_PEERS.1 } else { MAX_PEERS.0 };
        self.gateways[own].outcomes.choose(&near, &all, max, now, &mut self.rng)
    }

    fn report(&mut self, gateway: usize, change: Option<PathChange>, at: Instant) {
        match change {
            Some(PathChange::CutOff) => self.gateways[gateway].reported = Some(at),
            Some(PathChange::Restored(_)) => self.gateways[gateway].reported = None,
            None => {}
        }
    }

    fn outcome(&self) -> Outcome {
        let share = |there: bool| {
            let of = self.calls.iter().filter(|c| c.0 == there);
            let served = of.clone().filter(|c| c.1.is_some()).count();
            served as f64 / of.count().max(1) as f64
        };
        let there = self.calls.iter().filter(|c| c.0).count();
        let delays: Vec<Duration> =
            self.calls.iter().filter_map(|c| c.1).filter(|d| !d.is_zero()).collect();
        let mean_calls = self.load.calls * CUT.as_secs_f64() / self.gateways.len() as f64;
        let busiest = self.tunnels.iter().max().copied().unwrap_or_default();
        let wrong = self.gateways.iter().filter(|g| !g.is_cut && g.paths.is_cut_off()).count();
        Outcome {
            served_there: share(true),
            served_elsewhere: share(false),
            arrived_there: there as f64 / self.calls.len().max(1) as f64,
            mean_delay: delays.iter().sum::<Duration>() / delays.len().max(1) as u32,
            busiest: busiest as f64 / mean_calls,
            wrong,
        }
    }
}
