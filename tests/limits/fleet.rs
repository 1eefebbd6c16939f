//! Gateways before upstreams with rate limits, in simulated time: callers come at random,
//! heartbeats are late and lost, gateways start again and are cut off.

use std::time::{Duration, Instant};

use tackhollow::gateway::{
    decide::{GRANT_RETRY, Holder, HolderAnswer, LimitBook, LimitMembers, LimitNotice},
    model::Lifetime,
};

/// Between two steps of the simulation.
const STEP: Duration = Duration::from_millis(50);
/// Span over which an upstream counts requests.
const SPAN: Duration = Duration::from_secs(4);
/// Moments at which the gateways look whom they have heard, after a start.
const HEARING_STEPS: u32 = 3;
/// Share of the others that a gateway knows before it takes a part, as in the product.
const KNOWN_SHARE: f64 = 0.75;
/// Time after which a gateway that is not heard is taken to be gone.
const FORGOTTEN: Duration = Duration::from_secs(12);

/// How the gateways keep a limit together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// The product's: few gateways have a part each, and the others ask them.
    Asking,
    /// Few gateways have a part each.
    FewHolders,
    /// Each gateway has an equal part and sends whole requests.
    EqualParts,
    /// Each gateway takes off what the others say that they sent.
    Heard,
}

impl Way {
    pub const ALL: [Self; 4] = [Self::Asking, Self::FewHolders, Self::EqualParts, Self::Heard];
}

/// A fleet and its load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub gateways: usize,
    pub upstreams: usize,
    /// Requests a second that each upstream takes.
    pub rate: f64,
    /// Requests a second of all callers.
    pub demand: f64,
    /// Gateways that start again each second.
    pub restarts: f64,
    /// How many times as late as usual heartbeats are at most: each pair of gateways draws.
    pub late: f64,
    /// Share of questions, and of answers to them, that are lost.
    pub lost: f64,
    /// For how long a fifth of the gateways is cut off from the others, in the middle.
    pub cut: Duration,
    pub lasts: Duration,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Played {
    /// Most requests that an upstream got in any four seconds.
    pub most: usize,
    /// Share that was sent, of what callers asked for or upstreams take, whichever is less.
    pub used: f64,
}

/// What a gateway of [`Way::Heard`] knows of an upstream's level.
#[derive(Clone, Copy, Debug)]
struct Level {
    tokens: f64,
    at: Instant,
}

struct Gateway {
    name: Holder,
    book: LimitBook,
    levels: Vec<Level>,
    started: Instant,
}

pub struct Fleet {
    load: Load,
    way: Way,
    /// Draws callers, the same for each way.
    rng: fastrand::Rng,
    /// Draws restarts, the same for each way.
    restarts: fastrand::Rng,
    /// Draws which questions are lost.
    losses: fastrand::Rng,
    start: Instant,
    gateways: Vec<Gateway>,
    upstreams: Vec<Lifetime>,
    /// What was sent: when, by whom, and where it went.
    sent: Vec<(Instant, usize, usize)>,
    callers: usize,
}

impl Fleet {
    pub fn new(load: Load, way: Way, seed: u64) -> Self {
        let start = Instant::now();
        let mut fleet = Self {
            load,
            way,
            rng: fastrand::Rng::with_seed(seed),
            restarts: fastrand::Rng::with_seed(seed + 1_000),
            losses: fastrand::Rng::with_seed(seed + 2_000),
            start,
            gateways: Vec::new(),
            upstreams: (0..load.upstreams)
                .map(|u| Lifetime::new(&format!("i-{u}"), None))
                .collect(),
            sent: Vec::new(),
            callers: 0,
        };
        for n in 0..load.gateways {
            let gateway = fleet.gateway(n, start);
            fleet.gateways.push(gateway);
        }
        fleet
    }

    fn gateway(&self, n: usize, now: Instant) -> Gateway {
        let mut book = LimitBook::default();
        for upstream in &self.upstreams {
            book.learn(*upstream, LimitNotice { rate: Some(self.load.rate), at: 1 }, now);
        }
        let levels = vec![Level { tokens: 0.0, at: now }; self.upstreams.len()];
        Gateway { name: Holder::new(&format!("host-{n}")), book, levels, started: now }
    }

    /// Plays the load.
    pub fn play(mut self) -> Played {
        let steps = (self.load.lasts.as_secs_f64() / STEP.as_secs_f64()) as u32;
        let cut = self.start + self.load.lasts / 2;
        let latest = self.heard_after().mul_f64(self.load.late);
        // Gateways hear of each other at different times.
        let hears =
            |from: Instant| (0..=HEARING_STEPS).map(move |n| from + latest * n / HEARING_STEPS);
        let mut divide_at: Vec<Instant> = hears(self.start).collect();
        if !self.load.cut.is_zero() {
            divide_at.extend([cut + FORGOTTEN, cut + self.load.cut]);
        }
        for step in 0..steps {
            let now = self.start + STEP * step;
            if self.restart(now) {
                divide_at.extend(hears(now));
            }
            if divide_at.iter().any(|at| *at <= now) {
                divide_at.retain(|at| *at > now);
                self.divide(now);
            }
            self.call(now);
        }
        self.played()
    }

    /// Time in which a heartbeat reaches the others: with more gateways it is passed on more
    /// often.
    fn heard_after(&self) -> Duration {
        Duration::from_millis(150 + 150 * self.load.gateways as u64 / 24)
    }

    fn is_cut(&self, gateway: usize, now: Instant) -> bool {
        let begin = self.start + self.load.lasts / 2;
        gateway.is_multiple_of(5) && (begin..begin + self.load.cut).contains(&now)
    }

    /// Time in which the heartbeats of one gateway reach another.
    fn heard_by(&self, own: usize, other: usize) -> Duration {
        let drawn = (own * 31 + other * 17) % 100;
        self.heard_after().mul_f64(1.0 + drawn as f64 / 100.0 * (self.load.late - 1.0))
    }

    /// Returns whether one gateway counts another among the fleet.
    fn knows(&self, own: usize, other: usize, now: Instant) -> bool {
        let up = now.saturating_duration_since(self.gateways[own].started);
        let other_up = now.saturating_duration_since(self.gateways[other].started);
        let heard = up.min(other_up) >= self.heard_by(own, other);
        let begin = self.start + self.load.lasts / 2;
        let forgotten =
            now >= begin + FORGOTTEN && (self.is_cut(own, now) != self.is_cut(other, now));
        heard && !forgotten
    }

    fn divide(&mut self, now: Instant) {
        for n in 0..self.gateways.len() {
            let known = (0..self.gateways.len()).filter(|o| *o != n && self.knows(n, *o, now));
            let known: Vec<Holder> = known.map(|o| self.gateways[o].name).collect();
            let up = now.saturating_duration_since(self.gateways[n].started);
            let share = (known.len() + 1) as f64 / self.gateways.len() as f64;
            let knows_most = up >= FORGOTTEN || share >= KNOWN_SHARE;
            let members = LimitMembers::new(self.gateways[n].name, known.into_iter(), knows_most);
            self.gateways[n].book.divide(members, now);
        }
    }

    fn restart(&mut self, now: Instant) -> bool {
        let restarts = self.restarts.f64() < self.load.restarts * STEP.as_secs_f64();
        if restarts {
            let n = self.restarts.usize(..self.gateways.len());
            self.gateways[n] = self.gateway(n, now);
        }
        restarts
    }

    fn call(&mut self, now: Instant) {
        let mut expected = self.load.demand * STEP.as_secs_f64();
        while expected > 0.0 {
            if self.rng.f64() < expected {
                let n = self.rng.usize(..self.gateways.len());
                self.callers += 1;
                self.send(n, now);
            }
            expected -= 1.0;
        }
    }

    /// Sends a caller's request to the first upstream that takes it.
    fn send(&mut self, n: usize, now: Instant) {
        let first = self.rng.usize(..self.upstreams.len());
        for i in 0..self.upstreams.len() {
            let upstream = (first + i) % self.upstreams.len();
            let taken = match self.way {
                Way::FewHolders => self.gateways[n].book.take(self.upstreams[upstream], now),
                Way::Asking => self.take_or_ask(n, self.upstreams[upstream], now),
                Way::EqualParts => self.take_part(n, upstream, now),
                Way::Heard => self.take_heard(n, upstream, now),
            };
            if taken {
                self.sent.push((now, n, upstream));
                return;
            }
        }
    }

    /// Takes a request from the gateway's own part, or asks one of the holders.
    fn take_or_ask(&mut self, n: usize, upstream: Lifetime, now: Instant) -> bool {
        if self.gateways[n].book.take(upstream, now) {
            return true;
        }
        let by_holder = |holder: &Holder| self.gateways.iter().position(|g| g.name == *holder);
        let holders: Vec<Holder> = self.gateways[n].book.holders_to_ask(upstream, now).collect();
        let is_heard = |other: usize| self.is_cut(n, now) == self.is_cut(other, now);
        let found = holders.iter().find_map(|h| Some((*h, by_holder(h).filter(|o| is_heard(*o))?)));
        let Some((holder, other)) = found else {
            return false;
        };
        let [question_lost, answer_lost] = [(); 2].map(|()| self.losses.f64() < self.load.lost);
        let granted = (!question_lost).then(|| self.gateways[other].book.grant(upstream, now));
        let answer = match granted.filter(|_| !answer_lost) {
            Some(Ok(())) => HolderAnswer::Granted,
            Some(Err(wait)) => HolderAnswer::Denied(wait),
            None => HolderAnswer::Denied(GRANT_RETRY),
        };
        self.gateways[n].book.note_answer(upstream, holder, answer, now);
        answer == HolderAnswer::Granted
    }

    fn take_part(&mut self, n: usize, upstream: usize, now: Instant) -> bool {
        let part = self.load.rate / self.gateways.len() as f64;
        let level = &mut self.gateways[n].levels[upstream];
        let elapsed = now.saturating_duration_since(level.at).as_secs_f64();
        *level = Level { tokens: (level.tokens + part * elapsed).min(1.0), at: now };
        let taken = level.tokens >= 1.0;
        level.tokens -= f64::from(u8::from(taken));
        taken
    }

    fn take_heard(&mut self, n: usize, upstream: usize, now: Instant) -> bool {
        let late = self.heard_after();
        let known = |s: &&(Instant, usize, usize)| {
            let own = s.1 == n;
            let heard = s.0 + late <= now && self.is_cut(n, now) == self.is_cut(s.1, now);
            s.2 == upstream && now.saturating_duration_since(s.0) < SPAN && (own || heard)
        };
        let sent = self.sent.iter().rev().take(4_000).filter(known).count();
        (sent as f64) < self.load.rate * SPAN.as_secs_f64()
    }

    fn played(&self) -> Played {
        let mut most = 0;
        for upstream in 0..self.upstreams.len() {
            let at: Vec<Instant> =
                self.sent.iter().filter(|s| s.2 == upstream).map(|s| s.0).collect();
            let mut first = 0;
            for last in 0..at.len() {
                while at[last] - at[first] >= SPAN {
                    first += 1;
                }
                most = most.max(last + 1 - first);
            }
        }
        let taken = self.load.rate * self.upstreams.len() as f64 * self.load.lasts.as_secs_f64();
        let used = self.sent.len() as f64 / taken.min(self.callers as f64);
        Played { most, used }
    }
}
