//! Simulation of gateways that roll out a version: the real decisions, with simulated time,
//! upstreams and messages.

use std::collections::{BTreeMap, VecDeque};

use tackhollow::gateway::decide::{
    ExposureContext, ExposureTerms, GatewayCounts, RolloutBlocker, RolloutEnd, RolloutOrder,
    RolloutReport, RolloutStage, RolloutTracker, RouteKey, VersionGroup,
};

/// Step of simulated time, in milliseconds.
const STEP: u64 = 25;
/// Interval between heartbeats of a gateway, in milliseconds.
const HEARTBEAT: u64 = 150;
/// Gateways that receive each heartbeat, directly or relayed.
const FAN_OUT: usize = 24;
/// Delay of a heartbeat in milliseconds, relaying included.
const HEARTBEAT_DELAY: std::ops::Range<u64> = 5..300;
/// One heartbeat of this many is lost.
const LOST_ONE_IN: u32 = 20;
/// Time in milliseconds for which nothing may be running at the earlier version before it may stop.
const IDLE_BEFORE_COMPLETION: u64 = 900;
/// Time in milliseconds until the store confirms a write.
const CONFIRM_DELAY: u64 = 30;
/// Time in milliseconds after which the upstreams of the new version are ready.
const READY_AT: u64 = 600;
/// Window in milliseconds over which the load of the new version is measured.
const LOAD_WINDOW: u64 = 400;
/// Mean time in milliseconds from which requests are streams, whose length depends on their text.
const STREAM_MEAN: f64 = 200.0;
/// Service that the order is for.
const SERVICE: &str = "llm";

/// Quality of a new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Version {
    /// As good as the earlier version.
    Good,
    /// Bad from the start.
    Bad(Fault),
    /// Bad from this share of the order's duration on.
    Later(Fault, f64),
    /// Bad while it gets at least this share of the traffic.
    UnderLoad(Fault, f64),
    /// Bad on one route only; route 0 has the most requests.
    OnRoute(Fault, usize),
}

/// Fault of a bad version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// This share of its answers are failures.
    Fails(f64),
    /// It takes this many times as long.
    Slow(f64),
}

/// Disturbance that affects the fleet for some seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disturbance {
    /// Nothing.
    None,
    /// The request rate and all answer times double.
    Burst,
    /// This share of the answers of both versions are failures.
    Failing(f64),
    /// All gateways but the first hear none of the others.
    Cut,
}

/// Parameters of a simulated roll-out.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Number of gateways.
    pub gateways: usize,
    /// Requests per second to the service.
    pub rate: f64,
    /// Duration that the order sets, in seconds.
    pub duration: f64,
    /// Quality of the new version.
    pub version: Version,
    /// Disturbance during the roll-out.
    pub disturbance: Disturbance,
    /// Mechanisms that are disabled.
    pub disabled: Disabled,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Mechanisms to disable.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disabled {
    /// Only the first gateway, which holds the lease, rolls a version back.
    pub own_verdicts: bool,
    /// The requests to a version on trial are not bounded.
    pub bound: bool,
    /// No version is rolled back, whatever its answers.
    pub roll_back: bool,
}

/// Result of a simulated roll-out.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests to the service within the order's duration.
    pub arrived: u64,
    /// Requests among them that the new version got.
    pub exposed: u64,
    /// When the fiftieth bad answer arrived, in milliseconds.
    pub fiftieth: Option<u64>,
    /// When the last request was sent to the new version, in milliseconds.
    pub last_sent: u64,
    /// How the roll-out ended, and when in milliseconds.
    pub end: Option<(RolloutEnd, u64)>,
    /// What kept all traffic from moving when the version was rolled back.
    pub blocker: Option<RolloutBlocker>,
    /// Requests still running at the earlier version when it stopped.
    pub cut_off: u64,
}

impl Outcome {
    /// Returns the number of requests that a bad version may get.
    pub fn bound(&self) -> f64 {
        TERMS.share * self.arrived as f64 + TERMS.slack
    }
}

/// The operator's bound.
pub const TERMS: ExposureTerms = ExposureTerms { share: 0.1, slack: 50.0 };

/// Routes: share of the requests, share of failures, mean time in milliseconds.
const ROUTES: [(f64, f64, f64); 3] = [(0.5, 0.004, 70.0), (0.35, 0.01, 300.0), (0.15, 0.14, 70.0)];

struct Answer {
    at: u64,
    gateway: usize,
    route: usize,
    version_group: VersionGroup,
    took: Option<f64>,
}

struct Message {
    at: u64,
    to: usize,
    from: usize,
    reports: Vec<RolloutReport>,
}

/// Simulates a roll-out.
pub fn simulate(scenario: Scenario) -> Outcome {
    Simulation::new(scenario).run()
}

struct Simulation {
    scenario: Scenario,
    rng: fastrand::Rng,
    now: u64,
    trackers: Vec<RolloutTracker>,
    answers: BTreeMap<u64, Vec<Answer>>,
    messages: BTreeMap<u64, Vec<Message>>,
    running_on_earlier_versions: i64,
    idle_since: Option<u64>,
    confirmed_at: Option<u64>,
    /// When requests were recently sent to the new version, and in total.
    recent_new: VecDeque<u64>,
    recent_all: VecDeque<u64>,
    bad: u64,
    outcome: Outcome,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let mut rng = fastrand::Rng::with_seed(scenario.seed);
        let order = RolloutOrder {
            service: SERVICE.to_owned(),
            destination: "v2".to_owned(),
            duration: std::time::Duration::from_secs_f64(scenario.duration),
            revision: 7,
            started: 0,
        };
        let mut trackers = vec![RolloutTracker::default(); scenario.gateways];
        // Typical times were learnt before the order, from requests spread over all gateways.
        for tracker in &mut trackers {
            for (route, (_, _, mean)) in ROUTES.iter().enumerate() {
                for _ in 0..20 {
                    let took = draw_time(&mut rng, *mean) / 1_000.0;
                    tracker.note_answer(&SERVICE.to_owned(), key(route), None, Some(took), 0);
                }
            }
        }
        // Only a few gateways read the order; the others learn of it by heartbeats.
        for tracker in trackers.iter_mut().take(3) {
            tracker.add_order(order.clone(), true, rng.f64());
        }
        Self {
            scenario,
            rng,
            now: 0,
            trackers,
            answers: BTreeMap::new(),
            messages: BTreeMap::new(),
            running_on_earlier_versions: 0,
            idle_since: None,
            confirmed_at: None,
            recent_new: VecDeque::new(),
            recent_all: VecDeque::new(),
            bad: 0,
            outcome: Outcome::default(),
        }
    }

    fn end(&self) -> u64 {
        (self.scenario.duration * 1_000.0) as u64
    }

    fn run(mut self) -> Outcome {
        while self.now < self.end() + 8_000 {
            self.requests();
            self.deliver_answers();
            self.heartbeats();
            self.judge();
            self.now += STEP;
        }
        self.outcome
    }

    fn is_disturbed(&self) -> bool {
        let (from, to) = (self.end() * 30 / 100, self.end() * 55 / 100);
        (from..to).contains(&self.now)
    }

    fn requests(&mut self) {
        let burst = self.scenario.disturbance == Disturbance::Burst && self.is_disturbed();
        let rate = self.scenario.rate * if burst { 2.0 } else { 1.0 };
        let mean = rate * STEP as f64 / 1_000.0;
        let count = mean.floor() as u64 + u64::from(self.rng.f64() < mean.fract());
        for _ in 0..count {
            self.request(burst);
        }
    }

    fn request(&mut self, burst: bool) {
        let gateway = self.rng.usize(..self.scenario.gateways);
        let draw = self.rng.f64();
        let route = if draw < 0.5 { 0 } else { 1 + usize::from(draw >= 0.85) };
        let heard = match self.scenario.disturbance == Disturbance::Cut && self.is_disturbed() {
            true if gateway > 0 => 1,
            _ => self.scenario.gateways,
        };
        let terms = match self.scenario.disabled.bound {
            true => ExposureTerms { share: 1.0, slack: f64::INFINITY },
            false => TERMS,
        };
        let member = GatewayCounts { heard, members: self.scenario.gateways };
        let cx = ExposureContext { terms, member, now: self.now, draw: self.rng.f64() };
        let version_group = self.trackers[gateway].choose_version_group(SERVICE, key(route), &cx);
        let new = version_group == Some(VersionGroup::New) && self.now >= READY_AT;
        let version_group = if new { VersionGroup::New } else { VersionGroup::Earlier };
        self.recent_all.push_back(self.now);
        if self.now < self.end() {
            self.outcome.arrived += 1;
            self.outcome.exposed += u64::from(new);
        }
        if new {
            self.outcome.last_sent = self.now;
            self.recent_new.push_back(self.now);
        } else {
            self.running_on_earlier_versions += 1;
        }
        self.answer(gateway, route, version_group, burst);
    }

    fn share_of_new(&mut self) -> f64 {
        let since = self.now.saturating_sub(LOAD_WINDOW);
        for times in [&mut self.recent_new, &mut self.recent_all] {
            while times.front().is_some_and(|t| *t < since) {
                times.pop_front();
            }
        }
        self.recent_new.len() as f64 / self.recent_all.len().max(1) as f64
    }

    /// Returns the fault that an answer of the new version has.
    fn fault(&mut self, route: usize) -> Option<Fault> {
        let share = self.share_of_new();
        match self.scenario.version {
            Version::Good => None,
            Version::Bad(fault) => Some(fault),
            Version::Later(fault, after) => {
                (self.now as f64 >= after * self.end() as f64).then_some(fault)
            }
            Version::UnderLoad(fault, from) => (share >= from).then_some(fault),
            Version::OnRoute(fault, at) => (route == at).then_some(fault),
        }
    }

    fn answer(&mut self, gateway: usize, route: usize, version_group: VersionGroup, burst: bool) {
        let (_, failing, mean) = ROUTES[route];
        let mut ms = draw_time(&mut self.rng, mean) * if burst { 2.0 } else { 1.0 };
        let mut fails = self.rng.f64() < failing;
        if let Disturbance::Failing(share) = self.scenario.disturbance
            && self.is_disturbed()
        {
            fails |= self.rng.f64() < share;
        }
        let mut faulty = false;
        if version_group == VersionGroup::New {
            match self.fault(route) {
                Some(Fault::Fails(share)) => faulty = self.rng.f64() < share,
                Some(Fault::Slow(times)) => {
                    ms *= times;
                    faulty = true;
                }
                None => {}
            }
        }
        self.bad += u64::from(faulty);
        if faulty && self.bad == 50 {
            self.outcome.fiftieth = Some(self.now + ms as u64);
        }
        fails |= faulty && !matches!(self.fault(route), Some(Fault::Slow(_)));
        let at = self.now + ms as u64;
        let took = (!fails).then_some(ms / 1_000.0);
        self.answers.entry(at).or_default().push(Answer {
            at,
            gateway,
            route,
            version_group,
            took,
        });
    }

    fn deliver_answers(&mut self) {
        let later = self.answers.split_off(&(self.now + 1));
        for answer in std::mem::replace(&mut self.answers, later).into_values().flatten() {
            let Answer { at, gateway, route, version_group, took } = answer;
            if version_group == VersionGroup::Earlier {
                self.running_on_earlier_versions -= 1;
            }
            let service = SERVICE.to_owned();
            self.trackers[gateway].note_answer(&service, key(route), Some(version_group), took, at);
        }
    }

    fn heartbeats(&mut self) {
        let later = self.messages.split_off(&(self.now + 1));
        for message in std::mem::replace(&mut self.messages, later).into_values().flatten() {
            let chance = self.rng.f64();
            for report in &message.reports {
                let process = format!("gateway-{}", message.from);
                self.trackers[message.to].merge_report(
                    &process,
                    report,
                    message.at < 1_000,
                    chance,
                );
            }
        }
        let cut = self.scenario.disturbance == Disturbance::Cut && self.is_disturbed();
        for from in 0..self.scenario.gateways {
            let offset = from as u64 * 37 % HEARTBEAT / STEP * STEP;
            if self.now % HEARTBEAT != offset || cut {
                continue;
            }
            let reports = self.trackers[from].reports();
            if reports.is_empty() {
                continue;
            }
            let others = (0..self.scenario.gateways).filter(|to| *to != from);
            for to in self.rng.choose_multiple(others, FAN_OUT) {
                if self.rng.u32(..LOST_ONE_IN) > 0 {
                    let at = self.now + self.rng.u64(HEARTBEAT_DELAY);
                    let message = Message { at, to, from, reports: reports.clone() };
                    self.messages.entry(at).or_default().push(message);
                }
            }
        }
    }

    fn judge(&mut self) {
        for (i, tracker) in self.trackers.iter_mut().enumerate() {
            let offset = i as u64 * 53 % HEARTBEAT / STEP * STEP;
            if self.now % HEARTBEAT != offset || (self.scenario.disabled.own_verdicts && i > 0) {
                continue;
            }
            if !self.scenario.disabled.roll_back {
                tracker.roll_back(self.now, |_| true);
            }
        }
        if self.now.is_multiple_of(HEARTBEAT) {
            self.act_as_holder();
        }
    }

    /// Acts as the holder of the lease, which is the first gateway.
    fn act_as_holder(&mut self) {
        let (now, holder) = (self.now, &mut self.trackers[0]);
        holder.start_moving(now);
        let Some(view) = holder.views(now).next() else {
            return;
        };
        if let Some(at) = self.confirmed_at.filter(|at| now >= *at) {
            holder.end(SERVICE, 7, RolloutEnd::Completed);
            if self.outcome.end.is_none() {
                self.outcome.end = Some((RolloutEnd::Completed, at));
                self.outcome.cut_off = self.running_on_earlier_versions.max(0) as u64;
            }
            return;
        }
        match view.stage {
            RolloutStage::Ended(RolloutEnd::RolledBack) => {
                self.outcome.end.get_or_insert((RolloutEnd::RolledBack, now));
                self.outcome.blocker.get_or_insert(view.blocker);
            }
            RolloutStage::Moving(1.0) if self.running_on_earlier_versions == 0 => {
                let since = *self.idle_since.get_or_insert(now);
                if now - since >= IDLE_BEFORE_COMPLETION && self.confirmed_at.is_none() {
                    self.confirmed_at = Some(now + CONFIRM_DELAY);
                }
            }
            _ => self.idle_since = None,
        }
    }
}

fn key(route: usize) -> RouteKey {
    RouteKey::new(["confirm", "plan", "check"][route])
}

/// Draws a time with a mean of about `mean`; short calls have a long tail.
fn draw_time(rng: &mut fastrand::Rng, mean: f64) -> f64 {
    let spread = (0..6).map(|_| rng.f64()).sum::<f64>() - 3.0;
    let tail = if mean < STREAM_MEAN && rng.f64() < 0.01 { 5.0 } else { 1.0 };
    mean * (0.6 * spread).exp() * tail
}
