//! A player of loads: the gateway's decisions against modelled engines, in virtual
//! time, with a seed and without a network. Engines read prompts one after another,
//! produce tokens for all running requests in steps, hold a number of slots, start
//! after a while and are taken back a data centre at a time.

mod engine;

use std::{
    collections::BTreeMap,
    fs,
    time::{Duration, Instant},
};

use tackhollow::{
    gateway::{
        decide::{
            Candidate, CapacityInput, EngineSpeed, FirstToken, Fleet, LoadMeter, Need, NeedMeter,
            OrderBook, OrderKey, OrderState, PaceInput, ServiceLoad, SpeedModel, busy,
            choose_engine, engines_needed, plan_engines,
        },
        model::Scaling,
    },
    ids::DataCentre,
    settings::{CapacitySettings, GatewaySettings},
};
use tempfile::NamedTempFile;

pub use engine::EngineTruth;
use engine::{Engine, Job};

/// Virtual time between two looks at the engines.
const STEP: f64 = 0.005;
/// Time between two looks at their number.
const PLAN_EVERY: f64 = 0.5;
/// Time that an engine takes to start.
const BOOT: Duration = Duration::from_secs(4);
/// The service.
const SERVICE: &str = "chat";
/// Data centres.
const PLACES: [&str; 4] = ["a", "b", "c", "d"];
/// Price of a reclaimable engine against one on demand.
const RECLAIMABLE_PRICE: f64 = 0.22;

/// A load and what happens to it.
#[derive(Clone, Debug)]
pub struct Scene {
    /// How the engines are.
    pub engines: EngineTruth,
    /// Requests a second.
    pub rate: f64,
    /// Tokens of a prompt, on average.
    pub prompt: f64,
    /// Tokens of an answer, on average.
    pub answer: f64,
    /// Latency objective for the first token.
    pub objective: Duration,
    /// Losses of a data centre's reclaimable engines: second and place.
    pub losses: &'static [(f64, usize)],
    /// Engines among the first ones that work so many times as long.
    pub slow: Option<(usize, f64)>,
    /// For how many seconds after a loss there are no others.
    pub dry: f64,
    /// Seconds that are played.
    pub length: f64,
}

/// Where the speed of engines and their need come from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// Learnt from requests; the need follows the load.
    Learnt,
    /// Tokens a second that are taken for granted, and half of an engine's use; the
    /// need follows what runs and what is read at the moment.
    Assumed(f64),
}

/// What callers got, and what it cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Requests.
    pub asked: u32,
    /// First tokens within the objective.
    pub in_time: u32,
    /// Seconds of engines, reclaimable ones at their price.
    pub paid: f64,
}

impl Outcome {
    /// Returns the share of requests with a first token in time.
    pub fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

/// Plays a scene.
pub fn play(scene: &Scene, policy: Policy, seed: u64) -> Outcome {
    let mut player = Player::new(scene, policy, seed);
    while player.now < scene.length {
        player.step();
    }
    player.outcome
}

/// Returns the capacity settings of a gateway whose file names none.
fn capacity_in_service() -> CapacitySettings {
    const REQUIRED: &str = r#"
        id = "g-1"
        data_centre = "a"
        listen = { callers = "127.0.0.1:1", directory = "127.0.0.1:2", readiness = "127.0.0.1:3", peers = "127.0.0.1:4", heartbeats = "127.0.0.1:5" }
        platform = { store = "127.0.0.1:6", api = "127.0.0.1:7" }
    "#;
    let file = NamedTempFile::new().expect("a file");
    fs::write(file.path(), REQUIRED).expect("the file is written");
    GatewaySettings::load(file.path()).expect("no mistakes").capacity
}

struct Player<'a> {
    scene: &'a Scene,
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
    orders: OrderBook,
    outcome: Outcome,
}

impl<'a> Player<'a> {
    fn new(scene: &'a Scene, policy: Policy, seed: u64) -> Self {
        let started = Instant::now();
        // The start's engines, as the settings have them.
        let slowness = |i| scene.slow.filter(|(n, _)| i < *n).map_or(1.0, |(_, times)| times);
        let engines =
            (0..24).map(|i| Engine::new(i % PLACES.len(), true, 0.0).slowed(slowness(i))).collect();
        Self {
            scene,
            policy,
            capacity: capacity_in_service(),
            rng: fastrand::Rng::with_seed(seed),
            started,
            now: 0.0,
            next_plan: 0.0,
            next_arrival: 0.0,
            engines,
            model: SpeedModel::default(),
            meter: LoadMeter::new(started),
            needs: NeedMeter::new(BOOT),
            orders: OrderBook::default(),
            outcome: Outcome::default(),
        }
    }

    fn instant(&self) -> Instant {
        self.started + Duration::from_secs_f64(self.now)
    }

    fn step(&mut self) {
        self.lose();
        while self.next_arrival <= self.now {
            self.arrive();
            let mean = 1.0 / self.scene.rate;
            self.next_arrival += -mean * self.rng.f64().max(1e-9).ln();
        }
        self.run_engines();
        if self.now >= self.next_plan {
            self.next_plan = self.now + PLAN_EVERY;
            self.plan();
        }
        self.now += STEP;
    }

    fn lose(&mut self) {
        for &(at, place) in self.scene.losses {
            if (at..at + STEP).contains(&self.now) {
                let of_place = self.engines.iter_mut().filter(|e| e.place == place);
                of_place.filter(|e| e.reclaimable).for_each(|e| e.leave_at(at + 3.0));
            }
        }
        let now = self.now;
        let gone = |e: &Engine| e.leaves.is_some_and(|t| t <= now);
        let lost: Vec<Job> =
            self.engines.iter_mut().filter(|e| gone(e)).flat_map(Engine::take_jobs).collect();
        self.engines.retain(|e| !gone(e));
        // Streams go on elsewhere and are read anew.
        lost.into_iter().for_each(|job| self.place(Job { sent: now, ..job }));
    }

    fn arrive(&mut self) {
        let size = |rng: &mut fastrand::Rng, mean: f64| mean * (0.2 + 1.6 * rng.f64());
        let job = Job {
            arrived: self.now,
            sent: self.now,
            expected: (0.0, 0.0),
            prompt: size(&mut self.rng, self.scene.prompt),
            unread: 0.0,
            answer: size(&mut self.rng, self.scene.answer),
            first: None,
        };
        self.outcome.asked += 1;
        let now = self.instant();
        self.meter.request(job.prompt as u32, now);
        self.place(job);
    }

    fn speed(&self) -> EngineSpeed {
        match self.policy {
            Policy::Learnt => {
                let cost = self.meter.cost(self.instant());
                let speed = self.model.speed();
                EngineSpeed { held: cost.map_or(speed.held, |c| c.held), ..speed }
            }
            Policy::Assumed(tokens) => {
                EngineSpeed { base: 0.0, per_token: 1.0 / tokens, per_running: 0.002, held: 1.9 }
            }
        }
    }

    fn place(&mut self, mut job: Job) {
        let serving: Vec<usize> =
            (0..self.engines.len()).filter(|i| self.engines[*i].serves(self.now)).collect();
        let candidates: Vec<Candidate> = serving
            .iter()
            .map(|i| Candidate {
                running: self.engines[*i].jobs() as f64,
                pending_tokens: self.engines[*i].unread(),
                slots: self.scene.engines.slots,
                missing_tokens: job.prompt,
                failures: 0.0,
                remote: false,
                connected: true,
                chance: self.rng.f64(),
            })
            .collect();
        if let Some(best) = choose_engine(&candidates, self.speed()) {
            let c = candidates[best];
            job.expected = (c.pending_tokens + c.missing_tokens, c.running);
            job.unread = job.prompt;
            self.engines[serving[best]].take(job);
        }
    }

    fn run_engines(&mut self) {
        let (now, truth) = (self.now, self.scene.engines);
        let mut ended = Vec::new();
        for engine in &mut self.engines {
            if engine.ready <= now {
                ended.extend(engine.run(&truth, now, STEP));
            }
            let price = if engine.reclaimable { RECLAIMABLE_PRICE } else { 1.0 };
            self.outcome.paid += price * STEP;
        }
        let at = self.instant();
        for job in ended {
            let Some(first) = job.first else {
                continue;
            };
            let (tokens, running) = job.expected;
            // One that goes on after a loss had its first token before it was sent here.
            if running < f64::from(truth.slots) && first >= job.sent {
                let took = Duration::from_secs_f64(first - job.sent);
                self.model.note_first_token(FirstToken { tokens, running, took });
            }
            self.meter.ended(now - job.sent, at);
            if first - job.arrived <= self.scene.objective.as_secs_f64() {
                self.outcome.in_time += 1;
            }
        }
    }

    /// Returns the engines that the policy takes to be needed.
    fn need(&mut self) -> Need {
        let (now, speed, slots) = (self.instant(), self.speed(), self.scene.engines.slots);
        if self.policy == Policy::Learnt {
            let cost = self.meter.cost(now).unwrap_or_default();
            let busy = busy(ServiceLoad { rate: self.meter.rate(now), cost }, speed);
            return self.needs.note(engines_needed(busy, slots, self.capacity.safety), now);
        }
        let running: usize = self.engines.iter().map(|e| e.jobs().min(slots as usize)).sum();
        let reading = self.meter.rate(now) * self.scene.prompt * speed.per_token / 0.55;
        self.needs.note(reading + running as f64 / (f64::from(slots) * 0.5), now)
    }

    fn plan(&mut self) {
        let need = self.need();
        let scaling = Scaling {
            min: 1,
            max: 10,
            boot: BOOT,
            reclaimable_price: RECLAIMABLE_PRICE,
            prices: PLACES.iter().map(|p| ((*p).to_owned(), 1.0)).collect(),
        };
        let mut fleets: BTreeMap<DataCentre, Fleet> =
            (0..PLACES.len()).map(|p| (PLACES[p].to_owned(), self.fleet(p))).collect();
        self.orders.expect(SERVICE, &mut fleets, BOOT, self.instant());
        let input = CapacityInput {
            need,
            scaling: &scaling,
            fleets: &fleets,
            losses: 1,
            before_load: false,
        };
        for (place, wish) in plan_engines(&input, &self.capacity.policy).into_values().enumerate() {
            self.order(place, true, wish.reclaimable, &scaling);
            self.order(place, false, wish.on_demand, &scaling);
        }
    }

    fn fleet(&self, place: usize) -> Fleet {
        let serving = self.engines.iter().filter(|e| e.place == place && e.serves(self.now));
        let (reclaimable, on_demand): (Vec<_>, Vec<_>) = serving.partition(|e| e.reclaimable);
        let (reclaimable, on_demand) = (reclaimable.len() as u32, on_demand.len() as u32);
        Fleet { reclaimable, on_demand, ..Fleet::default() }
    }

    fn order(&mut self, place: usize, reclaimable: bool, wished: u32, scaling: &Scaling) {
        let (now, fleet) = (self.instant(), self.fleet(place));
        let serving = if reclaimable { fleet.reclaimable } else { fleet.on_demand };
        let lost = |(at, _): &(f64, usize)| (*at..*at + self.scene.dry).contains(&self.now);
        let dry = self.scene.losses.iter().any(lost);
        let (service, data_centre) = (SERVICE.to_owned(), PLACES[place].to_owned());
        let key = OrderKey { service, data_centre, reclaimable };
        let input = PaceInput {
            wished,
            serving,
            reclaimable,
            dry,
            idle: false,
            load_known: true,
            boot: scaling.boot,
        };
        let Some(count) = self.orders.next(&key, &input, now) else {
            return;
        };
        let accepted = !(dry && reclaimable);
        let state = if accepted { OrderState::Accepted } else { OrderState::Refused };
        self.orders.answered(&key, count, state);
        if accepted {
            self.carry_out(place, reclaimable, count as usize);
        }
    }

    /// Starts engines, or lets some finish what they run.
    fn carry_out(&mut self, place: usize, reclaimable: bool, count: usize) {
        let here = |e: &&mut Engine| {
            e.place == place && e.reclaimable == reclaimable && e.leaves.is_none()
        };
        let now = self.now;
        let have = self.engines.iter_mut().filter(here).count();
        let fewer = self.engines.iter_mut().filter(here).take(have.saturating_sub(count));
        fewer.for_each(|e| e.leave_at(now + 3.0));
        for _ in have..count {
            self.engines.push(Engine::new(place, reclaimable, now + BOOT.as_secs_f64()));
        }
    }
}
