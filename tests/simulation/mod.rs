//! Simulation of loads: the gateway's decisions against modelled engines, in virtual time, with
//! a seed and without a network. Engines read prompts one after another, produce tokens for all
//! running requests in steps, have a number of slots, take a while to start and are reclaimed
//! one data centre at a time.

mod engine;

use std::{
    collections::BTreeMap,
    fs,
    time::{Duration, Instant},
};

use tackhollow::{
    gateway::{
        decide::{
            Candidate, CapacityInput, EngineOrders, EngineSpeed, FirstTokenSample, Fleet,
            LoadMeter, Need, NeedMeter, OrderKey, OrderPacerInput, OrderState, ServiceLoad,
            SpeedModel, choose_engine, engines_needed, occupancy, plan_engines,
        },
        model::Scaling,
    },
    ids::DataCentre,
    settings::{CapacitySettings, GatewaySettings},
};
use tempfile::NamedTempFile;

pub use engine::EngineProperties;
use engine::{Engine, Request};

/// Virtual time between two updates of the engines, in seconds.
const TIME_STEP: f64 = 0.005;
/// Virtual time between two capacity plans, in seconds.
const PLAN_INTERVAL: f64 = 0.5;
/// Time that an engine takes to start.
const BOOT: Duration = Duration::from_secs(4);
/// Name of the service.
const SERVICE: &str = "chat";
/// Names of the data centres.
const DATA_CENTRES: [&str; 4] = ["a", "b", "c", "d"];
/// Price of a reclaimable engine relative to one on demand.
const RECLAIMABLE_PRICE: f64 = 0.22;

/// A load and the events that affect it.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Properties of the engines.
    pub engines: EngineProperties,
    /// Requests per second.
    pub rate: f64,
    /// Average length of a prompt, in tokens.
    pub prompt_tokens: f64,
    /// Average length of an answer, in tokens.
    pub answer_tokens: f64,
    /// Latency objective for the first token.
    pub objective: Duration,
    /// Reclaims of a data centre's reclaimable engines: time in seconds, and index of the data
    /// centre.
    pub reclaims: &'static [(f64, usize)],
    /// Number of initial engines that are slow, and the factor by which they are slower.
    pub slow_engines: Option<(usize, f64)>,
    /// Time after a reclaim in which no reclaimable engines are available, in seconds.
    pub outage_seconds: f64,
    /// Simulated time, in seconds.
    pub duration_seconds: f64,
}

/// Source of the engine speed and of the required number of engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The speed is learnt from requests, and the requirement follows the load.
    LearntSpeed,
    /// The reading speed is fixed, in tokens per second, and engines are planned to be half
    /// used; the requirement follows the requests that run and are read at the moment.
    FixedSpeed(f64),
}

/// Result for callers, and its cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Number of requests.
    pub requests: u32,
    /// Number of first tokens within the objective.
    pub in_time: u32,
    /// Engine-seconds, with reclaimable engines weighted by their price.
    pub cost: f64,
}

impl Outcome {
    /// Returns the share of requests with a first token in time.
    pub fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests.max(1))
    }
}

/// Simulates a scenario.
pub fn simulate(scenario: &Scenario, policy: Policy, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(scenario, policy, seed);
    while simulation.now < scenario.duration_seconds {
        simulation.step();
    }
    simulation.outcome
}

/// Returns the capacity settings of a gateway whose settings file has none.
fn default_capacity_settings() -> CapacitySettings {
    const REQUIRED: &str = r#"
        id = "g-1"
        data_centre = "a"
        listen = { callers = "127.0.0.1:1", directory = "127.0.0.1:2", readiness = "127.0.0.1:3", peers = "127.0.0.1:4", heartbeats = "127.0.0.1:5" }
        platform = { store = "127.0.0.1:6", api = "127.0.0.1:7" }
    "#;
    let file = NamedTempFile::new().expect("temporary file");
    fs::write(file.path(), REQUIRED).expect("settings written");
    GatewaySettings::load(file.path()).expect("valid settings").capacity
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    capacity: CapacitySettings,
    rng: fastrand::Rng,
    started: Instant,
    now: f64,
    next_plan: f64,
    next_arrival: f64,
    engines: Vec<Engine>,
    model: SpeedModel,
    meter: LoadMeter,
    needs: NeedMeter,
    orders: EngineOrders,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
        let started = Instant::now();
        // The initial engines, as in the settings.
        let slowdown =
            |i| scenario.slow_engines.filter(|(n, _)| i < *n).map_or(1.0, |(_, times)| times);
        let engines = (0..24)
            .map(|i| Engine::new(i % DATA_CENTRES.len(), true, 0.0).slowed(slowdown(i)))
            .collect();
        Self {
            scenario,
            policy,
            capacity: default_capacity_settings(),
            rng: fastrand::Rng::with_seed(seed),
            started,
            now: 0.0,
            next_plan: 0.0,
            next_arrival: 0.0,
            engines,
            model: SpeedModel::default(),
            meter: LoadMeter::new(started),
            needs: NeedMeter::new(BOOT),
            orders: EngineOrders::default(),
            outcome: Outcome::default(),
        }
    }

    fn instant(&self) -> Instant {
        self.started + Duration::from_secs_f64(self.now)
    }

    fn step(&mut self) {
        self.reclaim();
        while self.next_arrival <= self.now {
            self.add_request();
            let mean = 1.0 / self.scenario.rate;
            self.next_arrival += -mean * self.rng.f64().max(1e-9).ln();
        }
        self.run_engines();
        if self.now >= self.next_plan {
            self.next_plan = self.now + PLAN_INTERVAL;
            self.plan();
        }
        self.now += TIME_STEP;
    }

    fn reclaim(&mut self) {
        for &(at, data_centre) in self.scenario.reclaims {
            if (at..at + TIME_STEP).contains(&self.now) {
                let in_data_centre =
                    self.engines.iter_mut().filter(|e| e.data_centre == data_centre);
                in_data_centre.filter(|e| e.reclaimable).for_each(|e| e.end_at(at + 3.0));
            }
        }
        let now = self.now;
        let ended = |e: &Engine| e.ends_at.is_some_and(|t| t <= now);
        let in_flight: Vec<Request> =
            self.engines.iter_mut().filter(|e| ended(e)).flat_map(Engine::take_requests).collect();
        self.engines.retain(|e| !ended(e));
        // Streams continue at another engine, which reads the prompt again.
        in_flight.into_iter().for_each(|request| self.send(Request { sent: now, ..request }));
    }

    fn add_request(&mut self) {
        let size = |rng: &mut fastrand::Rng, mean: f64| mean * (0.2 + 1.6 * rng.f64());
        let request = Request {
            arrived: self.now,
            sent: self.now,
            load_when_sent: (0.0, 0.0),
            prompt_tokens: size(&mut self.rng, self.scenario.prompt_tokens),
            unread_tokens: 0.0,
            answer_tokens: size(&mut self.rng, self.scenario.answer_tokens),
            first_token_at: None,
        };
        self.outcome.requests += 1;
        let now = self.instant();
        self.meter.request(request.prompt_tokens as u32, now);
        self.send(request);
    }

    fn speed(&self) -> EngineSpeed {
        match self.policy {
            Policy::LearntSpeed => {
                let cost = self.meter.cost(self.instant());
                let speed = self.model.speed();
                EngineSpeed {
                    slot_seconds: cost.map_or(speed.slot_seconds, |c| c.slot_seconds),
                    ..speed
                }
            }
            Policy::FixedSpeed(tokens) => EngineSpeed {
                base: 0.0,
                per_token: 1.0 / tokens,
                per_running: 0.002,
                slot_seconds: 1.9,
            },
        }
    }

    fn send(&mut self, mut request: Request) {
        let serving: Vec<usize> =
            (0..self.engines.len()).filter(|i| self.engines[*i].serves(self.now)).collect();
        let candidates: Vec<Candidate> = serving
            .iter()
            .map(|i| Candidate {
                running: self.engines[*i].request_count() as f64,
                pending_tokens: self.engines[*i].unread_tokens(),
                slots: self.scenario.engines.slots,
                missing_tokens: request.prompt_tokens,
                failures: 0.0,
                remote: false,
                connected: true,
                jitter_sample: self.rng.f64(),
            })
            .collect();
        if let Some(best) = choose_engine(&candidates, self.speed()) {
            let c = candidates[best];
            request.load_when_sent = (c.pending_tokens + c.missing_tokens, c.running);
            request.unread_tokens = request.prompt_tokens;
            self.engines[serving[best]].accept(request);
        }
    }

    fn run_engines(&mut self) {
        let (now, properties) = (self.now, self.scenario.engines);
        let mut finished = Vec::new();
        for engine in &mut self.engines {
            if engine.serves_from <= now {
                finished.extend(engine.run(&properties, now, TIME_STEP));
            }
            let price = if engine.reclaimable { RECLAIMABLE_PRICE } else { 1.0 };
            self.outcome.cost += price * TIME_STEP;
        }
        let at = self.instant();
        for request in finished {
            let Some(first_token_at) = request.first_token_at else {
                continue;
            };
            let (tokens, running) = request.load_when_sent;
            // A request that continues after a loss had its first token before it was sent
            // here.
            if running < f64::from(properties.slots) && first_token_at >= request.sent {
                let took = Duration::from_secs_f64(first_token_at - request.sent);
                self.model.note_first_token(FirstTokenSample { tokens, running, took });
            }
            self.meter.ended(now - request.sent, at);
            if first_token_at - request.arrived <= self.scenario.objective.as_secs_f64() {
                self.outcome.in_time += 1;
            }
        }
    }

    /// Returns the number of engines that the policy requires.
    fn need(&mut self) -> Need {
        let (now, speed, slots) = (self.instant(), self.speed(), self.scenario.engines.slots);
        if self.policy == Policy::LearntSpeed {
            let cost = self.meter.cost(now).unwrap_or_default();
            let busy = occupancy(ServiceLoad { rate: self.meter.rate(now), cost }, speed);
            return self.needs.record_need(engines_needed(busy, slots, self.capacity.safety), now);
        }
        let running: usize =
            self.engines.iter().map(|e| e.request_count().min(slots as usize)).sum();
        let reading = self.meter.rate(now) * self.scenario.prompt_tokens * speed.per_token / 0.55;
        self.needs.record_need(reading + running as f64 / (f64::from(slots) * 0.5), now)
    }

    fn plan(&mut self) {
        let need = self.need();
        let scaling = Scaling {
            min: 1,
            max: 10,
            boot: BOOT,
            reclaimable_price: RECLAIMABLE_PRICE,
            prices: DATA_CENTRES.iter().map(|p| ((*p).to_owned(), 1.0)).collect(),
        };
        let mut fleets: BTreeMap<DataCentre, Fleet> =
            (0..DATA_CENTRES.len()).map(|p| (DATA_CENTRES[p].to_owned(), self.fleet(p))).collect();
        self.orders.add_expected_engines(SERVICE, &mut fleets, BOOT, self.instant());
        let input = CapacityInput {
            need,
            scaling: &scaling,
            fleets: &fleets,
            losses: 1,
            before_load: false,
        };
        for (data_centre, planned) in
            plan_engines(&input, &self.capacity.policy).into_values().enumerate()
        {
            self.order(data_centre, true, planned.reclaimable, &scaling);
            self.order(data_centre, false, planned.on_demand, &scaling);
        }
    }

    fn fleet(&self, data_centre: usize) -> Fleet {
        let serving =
            self.engines.iter().filter(|e| e.data_centre == data_centre && e.serves(self.now));
        let (reclaimable, on_demand): (Vec<_>, Vec<_>) = serving.partition(|e| e.reclaimable);
        let (reclaimable, on_demand) = (reclaimable.len() as u32, on_demand.len() as u32);
        Fleet { reclaimable, on_demand, ..Fleet::default() }
    }

    fn order(
        &mut self,
        data_centre_index: usize,
        reclaimable: bool,
        desired: u32,
        scaling: &Scaling,
    ) {
        let (now, fleet) = (self.instant(), self.fleet(data_centre_index));
        let serving = if reclaimable { fleet.reclaimable } else { fleet.on_demand };
        let in_outage =
            |(at, _): &(f64, usize)| (*at..*at + self.scenario.outage_seconds).contains(&self.now);
        let dry = self.scenario.reclaims.iter().any(in_outage);
        let (service, data_centre) =
            (SERVICE.to_owned(), DATA_CENTRES[data_centre_index].to_owned());
        let key = OrderKey { service, data_centre, reclaimable };
        let input = OrderPacerInput {
            target_count: desired,
            serving,
            reclaimable,
            reclaimable_unavailable: dry,
            idle: false,
            load_known: true,
            boot: scaling.boot,
        };
        let Some(count) = self.orders.next_order_count(&key, &input, now) else {
            return;
        };
        let accepted = !(dry && reclaimable);
        let state = if accepted { OrderState::Accepted } else { OrderState::Refused };
        self.orders.record_order_result(&key, count, state);
        if accepted {
            self.apply_order(data_centre_index, reclaimable, count as usize);
        }
    }

    /// Starts engines, or lets some finish their requests and end.
    fn apply_order(&mut self, data_centre: usize, reclaimable: bool, count: usize) {
        let here = |e: &&mut Engine| {
            e.data_centre == data_centre && e.reclaimable == reclaimable && e.ends_at.is_none()
        };
        let now = self.now;
        let present = self.engines.iter_mut().filter(here).count();
        let surplus = self.engines.iter_mut().filter(here).take(present.saturating_sub(count));
        surplus.for_each(|e| e.end_at(now + 3.0));
        for _ in present..count {
            self.engines.push(Engine::new(data_centre, reclaimable, now + BOOT.as_secs_f64()));
        }
    }
}
