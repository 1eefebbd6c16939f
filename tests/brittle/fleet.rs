//! Simulation of gateways in front of upstreams that fall over when they have to reject too many
//! requests in a second.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tackhollow::gateway::{
    decide::{GrantId, RoomGrants},
    model::Lifetime,
};

/// Time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(10);
/// Length of the simulation.
const DURATION: Duration = Duration::from_secs(8);
/// Requests that an upstream runs at once, and those that it lets wait.
const SLOTS: usize = 6;
const WAITING: usize = 1;
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(300);
/// Time for which an upstream is down after a fall.
const DOWN: Duration = Duration::from_secs(3);
/// Window over which an upstream counts rejections.
const WINDOW: Duration = Duration::from_secs(1);
/// Upstreams that a gateway tries for one request.
const MAX_TRIES: usize = 5;
/// Share of the slots that [`Strategy::Parts`] divides.
const DIVIDED_SHARE: f64 = 0.5;
/// How long a gateway sends nothing to an upstream that rejected its request.
const PAUSE: Duration = Duration::from_secs(1);

/// How gateways take care of the upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// As in the product: one gateway grants the room of each upstream.
    Owners,
    /// Half of each upstream's room is divided among the gateways.
    Parts,
    /// Requests go where the reported load leaves a slot.
    ReportedLoad,
    /// Requests go anywhere.
    Neither,
}

impl Strategy {
    pub const ALL: [Self; 4] = [Self::Owners, Self::Parts, Self::ReportedLoad, Self::Neither];
}

/// A fleet and its load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub gateways: usize,
    pub upstreams: usize,
    /// Rejections in a second that an upstream bears.
    pub max_rejections: usize,
    /// Requests of callers, as a multiple of what the upstreams can run.
    pub demand: f64,
    /// Slots of each upstream that are taken up by something else than requests.
    pub occupied: usize,
}

/// Result of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub falls: usize,
    /// Requests served, as a share of the demand or of what the upstreams can run, whichever is
    /// less.
    pub utilization: f64,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    gateway: usize,
    number: u64,
}

#[derive(Default)]
struct Upstream {
    /// Running requests with their ends.
    running: VecDeque<(Instant, Request)>,
    waiting: VecDeque<Request>,
    rejections: VecDeque<Instant>,
    down_until: Option<Instant>,
    /// Number of requests at the upstream after each step.
    history: Vec<usize>,
}

struct Gateway {
    /// Room that it grants.
    grants: RoomGrants,
    /// Requests of this gateway at each upstream.
    running: Vec<usize>,
    paused_until: Vec<Option<Instant>>,
}

pub struct Fleet {
    load: Load,
    strategy: Strategy,
    rng: fastrand::Rng,
    start: Instant,
    gateways: Vec<Gateway>,
    upstreams: Vec<Upstream>,
    lifetimes: Vec<Lifetime>,
    served: usize,
    demanded: usize,
    falls: usize,
}

impl Fleet {
    pub fn new(load: Load, strategy: Strategy, seed: u64) -> Self {
        let start = Instant::now();
        let lifetimes: Vec<Lifetime> =
            (0..load.upstreams).map(|u| Lifetime::new(&format!("i-{u}"), None)).collect();
        let gateway = |_| Gateway {
            grants: RoomGrants::default(),
            running: vec![0; load.upstreams],
            paused_until: vec![None; load.upstreams],
        };
        Self {
            load,
            strategy,
            rng: fastrand::Rng::with_seed(seed),
            start,
            gateways: (0..load.gateways).map(gateway).collect(),
            upstreams: (0..load.upstreams).map(|_| Upstream::default()).collect(),
            lifetimes,
            served: 0,
            demanded: 0,
            falls: 0,
        }
    }

    /// Requests a second that all upstreams can run.
    fn capacity(&self) -> f64 {
        ((SLOTS - self.load.occupied) * self.load.upstreams) as f64 / WORK.as_secs_f64()
    }

    /// Runs the simulation.
    pub fn run(mut self) -> Outcome {
        for step in 0..(DURATION.as_millis() / STEP.as_millis()) as u32 {
            let now = self.start + STEP * step;
            self.end_requests(now);
            let mut expected = self.load.demand * self.capacity() * STEP.as_secs_f64();
            while expected > 0.0 {
                if self.rng.f64() < expected {
                    self.demanded += 1;
                    let gateway = self.rng.usize(..self.gateways.len());
                    self.call(Request { gateway, number: self.demanded as u64 }, now);
                }
                expected -= 1.0;
            }
            for upstream in &mut self.upstreams {
                upstream.history.push(upstream.running.len() + upstream.waiting.len());
            }
        }
        let possible = (self.capacity() * DURATION.as_secs_f64()).min(self.demanded as f64);
        Outcome { falls: self.falls, utilization: self.served as f64 / possible }
    }

    fn end_requests(&mut self, now: Instant) {
        for n in 0..self.upstreams.len() {
            while self.upstreams[n].running.front().is_some_and(|(end, _)| *end <= now) {
                let upstream = &mut self.upstreams[n];
                let ended = upstream.running.pop_front();
                if let Some(next) = upstream.waiting.pop_front() {
                    upstream.running.push_back((now + WORK, next));
                }
                if let Some((_, request)) = ended {
                    self.gateways[request.gateway].running[n] -= 1;
                    self.served += 1;
                    self.give_back(request, n, false, now);
                }
            }
        }
    }

    fn call(&mut self, request: Request, now: Instant) {
        let upstreams = self.upstreams.len();
        let first = self.rng.usize(..upstreams);
        for upstream in (0..upstreams.min(MAX_TRIES)).map(|i| (first + i) % upstreams) {
            if self.may_send(request, upstream, now) && self.send(request, upstream, now) {
                return;
            }
        }
    }

    fn may_send(&mut self, request: Request, upstream: usize, now: Instant) -> bool {
        let gateway = request.gateway;
        let is_paused = self.gateways[gateway].paused_until[upstream].is_some_and(|at| now < at);
        if is_paused && self.strategy != Strategy::Neither {
            return false;
        }
        let own = self.gateways[gateway].running[upstream];
        match self.strategy {
            Strategy::Owners => self.ask_for_room(request, upstream, now),
            Strategy::Parts => own < self.part(gateway, upstream),
            Strategy::ReportedLoad => {
                let propagation = 150 + 150 * self.load.gateways / 24;
                let age = propagation / STEP.as_millis() as usize;
                let history = &self.upstreams[upstream].history;
                let known = history.len().checked_sub(age + 1).map_or(0, |at| history[at]);
                known.max(own) < SLOTS
            }
            Strategy::Neither => true,
        }
    }

    /// Returns the gateway that grants the room of an upstream.
    fn owner(&self, upstream: usize) -> usize {
        upstream * 7 % self.gateways.len()
    }

    fn grant_id(&self, request: Request) -> GrantId {
        let Request { gateway, number } = request;
        let address = SocketAddr::from(([10, 0, (gateway >> 8) as u8, gateway as u8], 1));
        GrantId { grantee: Some(address), number }
    }

    fn ask_for_room(&mut self, request: Request, upstream: usize, now: Instant) -> bool {
        let (owner, id) = (self.owner(upstream), self.grant_id(request));
        let reported = self.upstreams[upstream].history.last().copied().unwrap_or_default() as u32;
        let grants = &mut self.gateways[owner].grants;
        let lifetime = self.lifetimes[upstream];
        match grants.grant(lifetime, id, SLOTS as u32, reported, now) {
            Ok(()) => true,
            Err(wait) => {
                self.gateways[request.gateway].paused_until[upstream] = Some(now + wait);
                false
            }
        }
    }

    fn give_back(&mut self, request: Request, upstream: usize, rejected: bool, now: Instant) {
        if self.strategy == Strategy::Owners {
            let (owner, id) = (self.owner(upstream), self.grant_id(request));
            let lifetime = self.lifetimes[upstream];
            self.gateways[owner].grants.give_back(lifetime, id, rejected, now);
        }
    }

    fn part(&self, gateway: usize, upstream: usize) -> usize {
        let units = (SLOTS as f64 * DIVIDED_SHARE).ceil() as usize;
        let gateways = self.gateways.len();
        let rank = (gateway + upstream * 7) % gateways;
        units / gateways + usize::from(rank < units % gateways)
    }

    /// Sends a request; returns whether the upstream takes it.
    fn send(&mut self, request: Request, n: usize, now: Instant) -> bool {
        let upstream = &mut self.upstreams[n];
        if upstream.down_until.is_some_and(|until| now < until) {
            self.give_back(request, n, false, now);
            return false;
        }
        if upstream.running.len() < SLOTS - self.load.occupied {
            upstream.running.push_back((now + WORK, request));
        } else if upstream.waiting.len() < WAITING {
            upstream.waiting.push_back(request);
        } else {
            self.gateways[request.gateway].paused_until[n] = Some(now + PAUSE);
            upstream.rejections.retain(|at| now.duration_since(*at) < WINDOW);
            upstream.rejections.push_back(now);
            let falls = upstream.rejections.len() > self.load.max_rejections;
            self.give_back(request, n, true, now);
            if falls {
                self.fall(n, now);
            }
            return false;
        }
        self.gateways[request.gateway].running[n] += 1;
        true
    }

    fn fall(&mut self, n: usize, now: Instant) {
        self.falls += 1;
        let upstream = &mut self.upstreams[n];
        let lost = upstream.running.drain(..).map(|(_, request)| request);
        let lost: Vec<Request> = lost.chain(upstream.waiting.drain(..)).collect();
        upstream.rejections.clear();
        upstream.down_until = Some(now + DOWN);
        for request in lost {
            self.gateways[request.gateway].running[n] -= 1;
            self.give_back(request, n, false, now);
        }
    }
}
