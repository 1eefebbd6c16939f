//! Faults from outside, drawn from a seed. They come in series and overlap.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::json;
use tackhollow::time::unix_millis;

use super::{
    proxy::{Link, Proxy},
    signals::{Asked, Disturbed, Spell},
};
use crate::support::gateways::{Site, configuration};

/// Upstreams' behaviours that a fault sets for a while.
const BEHAVIOURS: [&str; 5] = ["full", "fail", "lose", "break_midway", "crossed"];

/// Tell draws from the other draws of a seed.
const RESTARTS: u64 = 0x7265_7374_6172_7473;
const SILENCES: u64 = 0x7369_6c65_6e63_6573;
const SIGNALS: u64 = 0x7369_676e_616c_7300;

/// What ends a fault.
#[derive(Clone, Copy, Debug)]
enum Mend {
    /// Starts a gateway that was killed or has left.
    Start(usize),
    /// Lets a gateway go on.
    Resume(usize),
    /// Lets a link pass everything.
    Link(usize),
    /// Lets the store answer.
    Store,
    /// Lets an upstream serve.
    Behave(usize),
    /// Writes an upstream's row again.
    Row(usize),
    /// Ends what an upstream asks for.
    Signal(usize),
}

/// What the faults have at hand.
pub struct Faults<'a> {
    site: &'a mut Site,
    /// Links to the store and the API by gateway, then those to upstreams.
    links: &'a [Proxy],
    upstreams: &'a [String],
    rng: fastrand::Rng,
    due: Vec<(Instant, Mend)>,
    version: u64,
    /// Draws which upstreams start again under their ids; `None` if none do.
    restarts: Option<fastrand::Rng>,
    /// Draws when the store falls silent for all; `None` if it does not.
    silences: Option<fastrand::Rng>,
    /// Draws what upstreams ask for in their answers; `None` if they ask for nothing.
    signals: Option<fastrand::Rng>,
    /// What upstreams asked for.
    pub spells: Vec<Spell>,
    /// When gateways were killed, stopped or paused, or went on.
    pub disturbed: Disturbed,
    /// How often each kind came.
    pub counts: std::collections::BTreeMap<&'static str, usize>,
}

impl<'a> Faults<'a> {
    pub fn new(seed: u64, site: &'a mut Site, links: &'a [Proxy], upstreams: &'a [String]) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        let counts = std::collections::BTreeMap::new();
        let (due, version) = (Vec::new(), 7);
        Self {
            site,
            links,
            upstreams,
            rng,
            due,
            version,
            restarts: None,
            silences: None,
            signals: None,
            spells: Vec::new(),
            disturbed: Vec::new(),
            counts,
        }
    }

    /// Lets upstreams name limits, leave and ask for rest in their answers now and then,
    /// beside the other faults and without a change to which of those a seed draws.
    pub fn with_signals(mut self, seed: u64) -> Self {
        self.signals = Some(fastrand::Rng::with_seed(seed ^ SIGNALS));
        self
    }

    /// Lets upstreams start again under their ids, beside the other faults and
    /// without a change to which of those a seed draws.
    pub fn with_upstream_restarts(mut self, seed: u64) -> Self {
        self.restarts = Some(fastrand::Rng::with_seed(seed ^ RESTARTS));
        self
    }

    /// Lets the store fall silent now and then, open connections included, beside the
    /// other faults and without a change to which of those a seed draws.
    pub fn with_silences(mut self, seed: u64) -> Self {
        self.silences = Some(fastrand::Rng::with_seed(seed ^ SILENCES));
        self
    }

    /// Returns a version that is newer than all that were written.
    pub fn next_version(&self) -> u64 {
        self.version + 1
    }

    /// Brings faults for a while, then mends all of them.
    pub fn play(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            std::thread::sleep(Duration::from_millis(self.rng.u64(40..400)));
            self.mend(Instant::now());
            self.next();
            self.restart_upstream();
            self.silence_store();
            self.signal_upstream();
        }
        while !self.due.is_empty() {
            std::thread::sleep(Duration::from_millis(20));
            self.mend(Instant::now());
        }
    }

    fn next(&mut self) {
        let gateway = self.rng.usize(..self.site.gateways.len());
        let upstream = self.rng.usize(..self.upstreams.len());
        let link = self.rng.usize(..self.links.len());
        let kind = match self.rng.u8(..12) {
            0 => self.kill(gateway),
            1 => self.signal(gateway, Signal::SIGTERM, "stop"),
            2 => self.signal(gateway, Signal::SIGHUP, "reload"),
            3 => self.pause(gateway),
            4 | 5 => self.harm(link),
            6 => {
                self.links[link].reset();
                Some("reset")
            }
            7 => self.store(),
            8 | 9 => self.misbehave(upstream),
            10 => self.lapse(upstream),
            _ => self.configure(),
        };
        if let Some(kind) = kind {
            *self.counts.entry(kind).or_default() += 1;
        }
    }

    /// Starts an upstream again now and then, by a clock that may have been set back.
    fn restart_upstream(&mut self) {
        let Some(rng) = &mut self.restarts else {
            return;
        };
        if rng.u8(..4) > 0 {
            return;
        }
        let upstream = &self.upstreams[rng.usize(..self.upstreams.len())];
        let born = unix_millis() - rng.u64(..5_000);
        self.site.restart_upstream(upstream, born);
        *self.counts.entry("started_again").or_default() += 1;
    }

    /// Lets the store fall silent now and then, for nothing but the connections that are
    /// open or for up to two and a half seconds.
    fn silence_store(&mut self) {
        let Some(rng) = &mut self.silences else {
            return;
        };
        if rng.u8(..6) > 0 {
            return;
        }
        let lasts = Duration::from_millis(if rng.bool() { rng.u64(..2_500) } else { 0 });
        self.site.store("silent");
        self.due.push((Instant::now() + lasts, Mend::Store));
        *self.counts.entry("store_falls_silent").or_default() += 1;
    }

    /// Lets an upstream ask for something now and then.
    fn signal_upstream(&mut self) {
        let Some(rng) = &mut self.signals else {
            return;
        };
        let n = rng.usize(..self.upstreams.len());
        let is_asking = self.due.iter().any(|(_, m)| matches!(m, Mend::Signal(of) if *of == n));
        if rng.u8(..3) > 0 || is_asking {
            return;
        }
        let rest = Duration::from_millis(rng.u64(800..3_000));
        let (asked, kind) = match rng.u8(..4) {
            0 => (Asked::Leaving, "says_leaving"),
            1 => (Asked::Rest(rest), "asks_for_rest"),
            _ => (Asked::Limit(rng.u64(1..4) as f64), "names_limit"),
        };
        let lasts = Duration::from_millis(rng.u64(2_000..9_000));
        let upstream = self.upstreams[n].clone();
        match asked {
            Asked::Limit(rate) => {
                self.site.signal(&upstream, &[("server-limit", &rate.to_string())]);
            }
            Asked::Leaving => self.site.signal(&upstream, &[("server-leaving", "1")]),
            Asked::Rest(rest) => {
                let seconds = rest.as_secs_f64().to_string();
                self.site.signal(&upstream, &[("retry-after", &seconds)]);
                self.site.behave(Some(&upstream), "full");
            }
        }
        let from = self.site.emulator_now();
        self.spells.push(Spell { upstream, asked, from, until: None });
        self.due.push((Instant::now() + lasts, Mend::Signal(n)));
        *self.counts.entry(kind).or_default() += 1;
    }

    fn end_signal(&mut self, n: usize) {
        let upstream = &self.upstreams[n];
        let until = self.site.emulator_now();
        self.site.signal(upstream, &[]);
        let spell = self.spells.iter_mut().rev().find(|s| s.upstream == *upstream);
        let Some(spell) = spell else {
            return;
        };
        spell.until = Some(until);
        match spell.asked {
            // It leaves for good: what serves from now on is a later start of it.
            Asked::Leaving => self.site.restart_upstream(upstream, unix_millis()),
            Asked::Rest(_) => self.site.behave(Some(upstream), "serve"),
            Asked::Limit(_) => {}
        }
    }

    fn disturb(&mut self, gateway: usize) {
        let at = self.site.emulator_now();
        self.disturbed.push((gateway, at));
    }

    fn after(&mut self, most_ms: u64, mend: Mend) {
        let time = Duration::from_millis(self.rng.u64(100..most_ms));
        self.due.push((Instant::now() + time, mend));
    }

    /// Returns whether a gateway is whole: one that is down, starting, paused or
    /// leaving is left to its present fault.
    fn is_whole(&self, gateway: usize) -> bool {
        let of_gateway = |mend: &Mend| match mend {
            Mend::Start(n) | Mend::Resume(n) => *n == gateway,
            _ => false,
        };
        let mended = !self.due.iter().any(|(_, mend)| of_gateway(mend));
        mended && self.site.gateways[gateway].has_started()
    }

    fn kill(&mut self, gateway: usize) -> Option<&'static str> {
        if !self.is_whole(gateway) {
            return None;
        }
        self.site.gateways[gateway].kill();
        self.disturb(gateway);
        self.after(1_500, Mend::Start(gateway));
        Some("kill")
    }

    fn signal(
        &mut self,
        gateway: usize,
        signal: Signal,
        kind: &'static str,
    ) -> Option<&'static str> {
        if !self.is_whole(gateway) {
            return None;
        }
        self.site.gateways[gateway].signal(signal);
        if signal == Signal::SIGTERM {
            self.disturb(gateway);
            self.after(500, Mend::Start(gateway));
        }
        Some(kind)
    }

    fn pause(&mut self, gateway: usize) -> Option<&'static str> {
        if !self.is_whole(gateway) {
            return None;
        }
        self.site.gateways[gateway].signal(Signal::SIGSTOP);
        self.disturb(gateway);
        self.after(2_500, Mend::Resume(gateway));
        Some("pause")
    }

    fn harm(&mut self, link: usize) -> Option<&'static str> {
        let delay = Duration::from_millis(self.rng.u64(5..300));
        let (state, kind) = match self.rng.u8(..3) {
            0 => (Link::Delay(delay), "delay"),
            1 => (Link::Silent, "silence"),
            _ => (Link::OneWay, "one_way"),
        };
        self.links[link].set_link(state);
        self.after(3_000, Mend::Link(link));
        Some(kind)
    }

    fn store(&mut self) -> Option<&'static str> {
        let (mode, kind) = match self.rng.u8(..3) {
            0 => ("refusing", "store_refuses"),
            1 => ("losing", "store_loses_answers"),
            _ => {
                self.site.control("/forget", &json!({}));
                return Some("store_forgets");
            }
        };
        self.site.store(mode);
        self.after(2_500, Mend::Store);
        Some(kind)
    }

    fn misbehave(&mut self, upstream: usize) -> Option<&'static str> {
        let behaviour = BEHAVIOURS[self.rng.usize(..BEHAVIOURS.len())];
        self.site.behave(Some(&self.upstreams[upstream]), behaviour);
        self.after(2_000, Mend::Behave(upstream));
        Some(behaviour)
    }

    fn lapse(&mut self, upstream: usize) -> Option<&'static str> {
        self.site.control("/remove", &json!({ "id": self.upstreams[upstream] }));
        self.after(1_500, Mend::Row(upstream));
        Some("lapse")
    }

    fn configure(&mut self) -> Option<&'static str> {
        self.version += self.rng.u64(1..9);
        self.site.configure(&configuration(self.version));
        Some("configuration")
    }

    fn mend(&mut self, now: Instant) {
        let due = std::mem::take(&mut self.due);
        let (over, later): (Vec<_>, Vec<_>) = due.into_iter().partition(|(at, _)| *at <= now);
        self.due = later;
        for (_, mend) in over {
            self.end(mend);
        }
    }

    fn end(&mut self, mend: Mend) {
        match mend {
            Mend::Start(n) if self.site.gateways[n].has_ended() => {
                self.site.gateways[n].restart();
                self.disturb(n);
            }
            // It is still leaving.
            Mend::Start(_) => self.due.push((Instant::now() + Duration::from_millis(100), mend)),
            Mend::Resume(n) => {
                self.site.gateways[n].signal(Signal::SIGCONT);
                self.disturb(n);
            }
            Mend::Link(n) => self.links[n].set_link(Link::Pass),
            Mend::Store => self.site.store("up"),
            Mend::Behave(n) => self.site.behave(Some(&self.upstreams[n]), "serve"),
            Mend::Signal(n) => self.end_signal(n),
            Mend::Row(n) => {
                let row = json!({ "id": self.upstreams[n], "back": true });
                self.site.control("/remove", &row);
            }
        }
    }
}
