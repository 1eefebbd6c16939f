//! Simulation of gateways that read a store and tell each other what they know. The gateways make
//! the product's decisions; the store and the network are simple models.

#![allow(dead_code, reason = "not every test lets the store return")]

use std::time::{Duration, Instant};

use tackhollow::gateway::{
    decide::{ReadAction, ReaderCandidate, StoreClock, SyncPoint, next_read_action},
    model::{era_of, revision_in_era},
};

/// Step of simulated time, in milliseconds.
const STEP_MS: u64 = 10;
/// Interval between heartbeats of a gateway, in milliseconds.
const HEARTBEAT_MS: u64 = 150;
/// Gateways that receive each heartbeat.
const FAN_OUT: usize = 24;
/// One in this many heartbeats is lost.
const LOST_ONE_IN: u32 = 50;
/// Silence after which a gateway counts as gone, in milliseconds, if there are so few that each
/// heartbeat reaches all.
const MIN_SILENCE_MS: u64 = 800;
/// Time that the store takes to answer, in milliseconds.
const ANSWER_MS: u64 = 10;
/// Time for an answer, beyond the wait of a long poll, before the next call begins, in
/// milliseconds.
const NEXT_CALL_MARGIN_MS: u64 = 100;
/// Time for an answer, beyond the wait of a long poll, before the store counts as not answering,
/// in milliseconds.
const TIMEOUT_MARGIN_MS: u64 = 1_500;

/// A span of simulated time, in milliseconds.
pub type Span = std::ops::Range<u64>;

/// Failures of a gateway.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Time in which its calls to the store are lost, including those in flight.
    pub cut: Option<Span>,
    /// Time from which it is gone, in milliseconds.
    pub dies: Option<u64>,
    /// Time in which it does nothing.
    pub frozen: Option<Span>,
}

/// Outages of the store.
#[derive(Clone, Debug, Default)]
pub struct Outages {
    /// Calls are lost, including those in flight.
    pub silent: Vec<Span>,
    /// Calls are refused at once.
    pub refusing: Vec<Span>,
}

/// Return of the store from a copy, in simulated milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Return {
    /// When the copy was taken. Changes between it and the return are lost.
    pub copied: u64,
    /// When the store is back.
    pub back: u64,
    /// How gateways tell that revisions are given out again.
    pub way: Way,
}

/// How gateways tell that revisions are given out again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// A revision belongs to an era; those of a later one are higher.
    Eras,
    /// A whole table is accepted at any revision once a read of changes is refused.
    Refusals,
}

/// A message that reached a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The store returned all changes up to a revision.
    Answer { upto: u64 },
    /// A call to the store failed.
    Failure,
    /// A heartbeat of another gateway.
    Heartbeat { from: usize },
}

#[derive(Clone, Copy, Debug)]
struct Call {
    began: u64,
    /// When the store answers even if nothing has changed.
    until: u64,
    /// Revision after which changes are requested.
    after: u64,
    lost: bool,
}

#[derive(Debug)]
struct Gateway {
    id: String,
    plan: Plan,
    knowledge: SyncPoint,
    clock: StoreClock,
    store_unreachable: bool,
    calls: Vec<Call>,
    next_call: u64,
    /// When each gateway was last heard, and whether the store did not answer it then.
    heard: Vec<Option<(u64, bool)>>,
    next_heartbeat: u64,
    /// Whether it knows what the last change was about.
    knows_last: bool,
}

/// The store, the gateways and the network between them.
#[derive(Debug)]
pub struct World {
    start: Instant,
    now: u64,
    gateways: Vec<Gateway>,
    outages: Outages,
    /// Times at which changes are confirmed, in ascending order.
    changes: Vec<u64>,
    returned: Option<Return>,
    rng: fastrand::Rng,
    /// Number of calls to the store.
    pub calls: usize,
    /// Messages in the order of arrival: time, receiving gateway and content.
    pub deliveries: Vec<(u64, usize, Delivery)>,
}

fn within(spans: &[Span], now: u64) -> bool {
    spans.iter().any(|s| s.contains(&now))
}

/// Returns whether calls in flight are lost: one of the spans contains `now`, or began since the
/// last step.
fn loses_calls(spans: &[Span], now: u64) -> bool {
    spans.iter().any(|s| s.contains(&now) || (now - STEP_MS.min(now)..=now).contains(&s.start))
}

impl World {
    /// Creates gateways that all know the store as of time 0.
    pub fn new(seed: u64, plans: Vec<Plan>, outages: Outages, changes: Vec<u64>) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let start = Instant::now();
        let count = plans.len();
        let gateway = |(i, plan): (usize, Plan)| {
            let mut clock = StoreClock::default();
            clock.note(0, start);
            Gateway {
                id: format!("gateway-{i:03}"),
                plan,
                knowledge: SyncPoint { position: 1, as_of: 0 },
                clock,
                store_unreachable: false,
                calls: Vec::new(),
                next_call: rng.u64(..200),
                heard: vec![Some((0, false)); count],
                next_heartbeat: rng.u64(..HEARTBEAT_MS),
                knows_last: false,
            }
        };
        let gateways = plans.into_iter().enumerate().map(gateway).collect();
        let (deliveries, returned) = (Vec::new(), None);
        Self { start, now: 0, gateways, outages, changes, returned, rng, calls: 0, deliveries }
    }

    /// Lets the store return from a copy before the last change.
    pub fn returning(self, returned: Return) -> Self {
        Self { returned: Some(returned), ..self }
    }

    /// Runs the simulation until a time; returns when each gateway first knew the last change in
    /// this run, `None` for those that did not.
    pub fn play(&mut self, until: u64) -> Vec<Option<u64>> {
        let mut knew = vec![None; self.gateways.len()];
        while self.now < until {
            for (i, knew) in knew.iter_mut().enumerate() {
                if !self.is_running(i) {
                    continue;
                }
                self.answer(i);
                self.call(i);
                self.send_heartbeat(i);
                if self.gateways[i].knows_last && knew.is_none() {
                    *knew = Some(self.now);
                }
            }
            self.now += STEP_MS;
        }
        knew
    }

    /// Returns the age of a gateway's knowledge, as it estimates it, and the true age.
    pub fn ages(&self, i: usize) -> (Duration, Duration) {
        let gateway = &self.gateways[i];
        let as_of = gateway.knowledge.as_of;
        let believed = gateway.clock.age(as_of, self.instant()).unwrap_or_default();
        (believed, Duration::from_millis(self.now - as_of))
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    /// Returns whether a gateway has not been killed.
    pub fn lives(&self, i: usize) -> bool {
        self.gateways[i].plan.dies.is_none_or(|t| self.now < t)
    }

    fn is_running(&self, i: usize) -> bool {
        self.lives(i) && !within(self.gateways[i].plan.frozen.as_slice(), self.now)
    }

    /// Returns the revision of the store at a time, as gateways compare it.
    fn revision(&self, now: u64) -> u64 {
        let returned = self.returned.filter(|r| now >= r.back);
        let is_lost = |t: u64| returned.is_some_and(|r| (r.copied..r.back).contains(&t));
        let number = 1 + self.changes.iter().filter(|t| **t <= now && !is_lost(**t)).count() as u64;
        match returned.map(|r| r.way) {
            Some(Way::Eras) => revision_in_era(1, number).expect("a small number"),
            Some(Way::Refusals) | None => number,
        }
    }

    /// Returns the revision of the last change, once it is confirmed.
    fn last_change(&self) -> Option<u64> {
        let last = *self.changes.last()?;
        (self.now >= last).then(|| self.revision(last))
    }

    /// Delivers the answers that are due, and fails the calls that timed out.
    fn answer(&mut self, i: usize) {
        let (now, revision) = (self.now, self.revision(self.now));
        let last_change = self.last_change();
        let in_flight_lost = loses_calls(&self.outages.silent, now)
            || loses_calls(self.gateways[i].plan.cut.as_slice(), now);
        let instant = self.instant();
        let gateway = &mut self.gateways[i];
        gateway.calls.iter_mut().for_each(|c| c.lost |= in_flight_lost);
        let due = |c: &Call| {
            // A revision that the store does not have is refused, and the whole table is read.
            !c.lost && now >= c.began + ANSWER_MS && (revision != c.after || now >= c.until)
        };
        let (answered, open): (Vec<Call>, Vec<Call>) = gateway.calls.iter().partition(|c| due(c));
        let (overdue, open): (Vec<Call>, Vec<Call>) =
            open.into_iter().partition(|c| now > c.until + TIMEOUT_MARGIN_MS);
        gateway.calls = open;
        gateway.store_unreachable |= !overdue.is_empty();
        self.deliveries.extend(overdue.iter().map(|_| (now, i, Delivery::Failure)));
        for call in answered {
            self.deliveries.push((now, i, Delivery::Answer { upto: revision }));
            gateway.store_unreachable = false;
            let is_whole = era_of(call.after) < era_of(revision) || revision < call.after;
            gateway.knows_last |= last_change.is_some_and(|last| is_whole || call.after < last);
            if revision < gateway.knowledge.position {
                gateway.knowledge = SyncPoint::default();
            }
            gateway.knowledge.advance(SyncPoint { position: revision, as_of: now });
            gateway.clock.note(now, instant);
            if revision != call.after {
                gateway.next_call = now;
            }
        }
    }

    /// Makes a call to the store, if the gateway decides so.
    fn call(&mut self, i: usize) {
        let now = self.now;
        if now < self.gateways[i].next_call {
            return;
        }
        let gateway = &self.gateways[i];
        let own =
            ReaderCandidate { store_unreachable: gateway.store_unreachable, process: &gateway.id };
        let silence = self.silence();
        let others = || {
            let heard = gateway.heard.iter().enumerate().filter(move |(n, _)| *n != i);
            let heard = heard.filter_map(|(n, heard)| heard.map(|h| (n, h)));
            let recent = heard.filter(move |(_, (at, _))| now - at < silence);
            recent.map(|(n, (_, store_unreachable))| ReaderCandidate {
                store_unreachable,
                process: &self.gateways[n].id,
            })
        };
        let believed =
            gateway.clock.now(self.instant()).expect("every gateway has a clock reading");
        let age = self.ages(i).0;
        let (wait, next) = match next_read_action(own, others, age, believed) {
            ReadAction::LongPoll(wait) => {
                let wait = wait.as_millis() as u64;
                (Some(wait), now + wait + NEXT_CALL_MARGIN_MS)
            }
            ReadAction::FallbackRead(pause) => (Some(0), now + pause.as_millis() as u64),
            ReadAction::Recheck(pause) => (None, now + pause.as_millis() as u64),
        };
        let refused = within(&self.outages.refusing, now);
        let gateway = &mut self.gateways[i];
        gateway.next_call = next.max(now + STEP_MS);
        let Some(wait) = wait else {
            return;
        };
        self.calls += 1;
        if refused {
            gateway.store_unreachable = true;
            self.deliveries.push((now, i, Delivery::Failure));
            return;
        }
        let lost = within(&self.outages.silent, now) || within(gateway.plan.cut.as_slice(), now);
        let after = gateway.knowledge.position;
        gateway.calls.push(Call { began: now, until: now + wait, after, lost });
    }

    /// Returns the silence after which a gateway counts as gone.
    fn silence(&self) -> u64 {
        let heartbeats = self.gateways.len() as f64 / FAN_OUT as f64;
        MIN_SILENCE_MS.max((HEARTBEAT_MS as f64 * heartbeats * 3.0) as u64)
    }

    /// Sends a heartbeat, if one is due.
    fn send_heartbeat(&mut self, i: usize) {
        if self.now < self.gateways[i].next_heartbeat {
            return;
        }
        self.gateways[i].next_heartbeat = self.now + HEARTBEAT_MS;
        let instant = self.instant();
        let last_change = self.last_change();
        let gateway = &self.gateways[i];
        let knows_last = gateway.knows_last;
        let (sent, store_unreachable) = (gateway.knowledge, gateway.store_unreachable);
        let reading = gateway.clock.now(instant).expect("every gateway has a clock reading");
        let others: Vec<usize> = (0..self.gateways.len()).filter(|n| *n != i).collect();
        for n in self.rng.choose_multiple(others, FAN_OUT) {
            if !self.is_running(n) || self.rng.u32(..LOST_ONE_IN) == 0 {
                continue;
            }
            self.deliveries.push((self.now, n, Delivery::Heartbeat { from: i }));
            let other = &mut self.gateways[n];
            other.heard[i] = Some((self.now, store_unreachable));
            other.clock.note(reading, instant);
            // It asks for a change that is beyond its own revision.
            let asks = last_change.is_some_and(|last| other.knowledge.position < last);
            other.knows_last |= knows_last && asks;
            other.knowledge.advance(sent);
        }
    }
}
