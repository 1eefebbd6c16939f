//! Injects faults from outside, drawn from a seed. Faults follow one another and may overlap.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::json;
use tackhollow::time::unix_millis;

use super::{
    proxy::{Link, Proxy},
    signals::{Disturbances, SignalPeriod, UpstreamSignal},
};
use crate::support::gateways::{Site, configuration};

/// Faulty behaviours of an upstream that a fault sets for a while.
const BEHAVIOURS: [&str; 5] = ["full", "fail", "lose", "break_midway", "crossed"];

/// Mixed into the seed so that each optional kind of fault has an independent random sequence.
const RESTARTS: u64 = 0x7265_7374_6172_7473;
const STORE_STALLS: u64 = 0x7369_6c65_6e63_6573;
const SIGNALS: u64 = 0x7369_676e_616c_7300;
const CUTS: u64 = 0x6375_7473_0000_0000;
const UNFRAMED: u64 = 0x756e_6672_616d_6564;
const STORE_RETURNS: u64 = 0x7265_7475_726e_7300;
/// Ways in which an upstream ends an answer without framing early.
const EARLY_ENDS: [&str; 3] = ["end_midway", "end_after_event", "break_midway"];
/// Cuts between some gateways and all upstreams.
const CUT_KINDS: [&str; 3] = ["hang", "reset", "hang_new"];

/// The action that ends a fault.
#[derive(Clone, Copy, Debug)]
enum FaultEnd {
    /// Starts a gateway that was killed or stopped.
    Start(usize),
    /// Resumes a paused gateway.
    Resume(usize),
    /// Restores normal forwarding of a proxy link.
    Link(usize),
    /// Makes the store answer again.
    Store,
    /// Makes an upstream serve normally again.
    Behave(usize),
    /// Writes an upstream's row back to the store.
    Row(usize),
    /// Makes the store return from its last copy, in which nobody writes again for this time.
    StoreReturn(Duration),
    /// Ends the signal that an upstream sends.
    Signal(usize),
    /// Ends the cuts between gateways and upstreams.
    Cuts,
    /// Makes all upstreams frame their answers again, and this one serve normally.
    Unframed(usize),
}

/// Injects faults into a site and ends them when they are due.
pub struct Faults<'a> {
    site: &'a mut Site,
    /// The proxies to the store and to the API for each gateway, then those to upstreams.
    links: &'a [Proxy],
    upstreams: &'a [String],
    rng: fastrand::Rng,
    due: Vec<(Instant, FaultEnd)>,
    version: u64,
    /// Draws which upstreams restart under the same id; `None` if none do.
    restarts: Option<fastrand::Rng>,
    /// Draws when the store stops answering all gateways; `None` if it never does.
    store_stalls: Option<fastrand::Rng>,
    /// Draws when the store returns from copies; `None` if it never does.
    store_returns: Option<fastrand::Rng>,
    /// Draws the signals that upstreams send in responses; `None` if they send none.
    signals: Option<fastrand::Rng>,
    /// Draws cuts between gateways and upstreams; `None` if there are none.
    cuts: Option<fastrand::Rng>,
    /// Draws answers without framing; `None` if there are none.
    unframed: Option<fastrand::Rng>,
    /// The signals that upstreams sent, with their times.
    pub periods: Vec<SignalPeriod>,
    /// When gateways were killed, stopped, paused, resumed or restarted.
    pub disturbances: Disturbances,
    /// Number of injected faults by kind.
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
            store_stalls: None,
            store_returns: None,
            signals: None,
            cuts: None,
            unframed: None,
            periods: Vec::new(),
            disturbances: Vec::new(),
            counts,
        }
    }

    /// Adds upstreams that announce rate limits, leaving and cooldowns in their responses. The
    /// draws of the other faults of a seed stay the same.
    pub fn with_signals(mut self, seed: u64) -> Self {
        self.signals = Some(fastrand::Rng::with_seed(seed ^ SIGNALS));
        self
    }

    /// Adds cuts between some or all gateways and all upstreams. The draws of the other faults of a
    /// seed stay the same.
    pub fn with_cuts(mut self, seed: u64) -> Self {
        self.cuts = Some(fastrand::Rng::with_seed(seed ^ CUTS));
        self
    }

    /// Adds answers without framing, some of which end early. The draws of the other faults of a
    /// seed stay the same.
    pub fn with_unframed_answers(mut self, seed: u64) -> Self {
        self.unframed = Some(fastrand::Rng::with_seed(seed ^ UNFRAMED));
        self
    }

    /// Adds upstreams that restart under the same id. The draws of the other faults of a seed
    /// stay the same.
    pub fn with_upstream_restarts(mut self, seed: u64) -> Self {
        self.restarts = Some(fastrand::Rng::with_seed(seed ^ RESTARTS));
        self
    }

    /// Adds periods in which the store stops answering, also on open connections. The draws of
    /// the other faults of a seed stay the same.
    pub fn with_store_stalls(mut self, seed: u64) -> Self {
        self.store_stalls = Some(fastrand::Rng::with_seed(seed ^ STORE_STALLS));
        self
    }

    /// Adds returns of the store from copies, after which what was lost is written again. The draws
    /// of the other faults of a seed stay the same.
    pub fn with_store_returns(mut self, seed: u64) -> Self {
        self.store_returns = Some(fastrand::Rng::with_seed(seed ^ STORE_RETURNS));
        self
    }

    /// Returns a configuration version newer than all that were written.
    pub fn next_version(&self) -> u64 {
        self.version + 1
    }

    /// Injects faults for `time`, then waits until all of them have ended.
    pub fn inject_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            std::thread::sleep(Duration::from_millis(self.rng.u64(40..400)));
            self.end_due_faults(Instant::now());
            self.inject_next();
            self.restart_upstream();
            self.stall_store();
            self.copy_store();
            self.signal_upstream();
            self.cut_gateways();
            self.unframe_answers();
        }
        while !self.due.is_empty() {
            std::thread::sleep(Duration::from_millis(20));
            self.end_due_faults(Instant::now());
        }
    }

    fn inject_next(&mut self) {
        let gateway = self.rng.usize(..self.site.gateways.len());
        let upstream = self.rng.usize(..self.upstreams.len());
        let link = self.rng.usize(..self.links.len());
        let kind = match self.rng.u8(..12) {
            0 => self.kill(gateway),
            1 => self.signal(gateway, Signal::SIGTERM, "stop"),
            2 => self.signal(gateway, Signal::SIGHUP, "reload"),
            3 => self.pause(gateway),
            4 | 5 => self.degrade_link(link),
            6 => {
                self.links[link].reset();
                Some("reset")
            }
            7 => self.store(),
            8 | 9 => self.set_faulty_behaviour(upstream),
            10 => self.remove_row(upstream),
            _ => self.configure(),
        };
        if let Some(kind) = kind {
            *self.counts.entry(kind).or_default() += 1;
        }
    }

    /// Occasionally restarts an upstream, whose clock may have been set back.
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

    /// Occasionally makes the store stop answering: either only on the connections that are
    /// open at that moment, or for up to 2.5 s.
    fn stall_store(&mut self) {
        let Some(rng) = &mut self.store_stalls else {
            return;
        };
        if rng.u8(..6) > 0 {
            return;
        }
        let lasts = Duration::from_millis(if rng.bool() { rng.u64(..2_500) } else { 0 });
        self.site.store("silent");
        self.due.push((Instant::now() + lasts, FaultEnd::Store));
        *self.counts.entry("store_falls_silent").or_default() += 1;
    }

    /// Occasionally copies the store, which returns from the copy up to 4 s later.
    fn copy_store(&mut self) {
        let Some(rng) = &mut self.store_returns else {
            return;
        };
        let is_copied = self.due.iter().any(|(_, end)| matches!(end, FaultEnd::StoreReturn(_)));
        if is_copied || rng.u8(..3) > 0 {
            return;
        }
        let age = Duration::from_millis(rng.u64(300..4_000));
        let rewrite = Duration::from_millis(rng.u64(50..1_500));
        self.site.control("/copy-store", &json!({}));
        self.due.push((Instant::now() + age, FaultEnd::StoreReturn(rewrite)));
        *self.counts.entry("store_returns").or_default() += 1;
    }

    /// Occasionally cuts gateways off from all upstreams, one, some or all of them, for up to 4 s, or
    /// for about a second.
    fn cut_gateways(&mut self) {
        let Some(rng) = &mut self.cuts else {
            return;
        };
        let is_cut = self.due.iter().any(|(_, end)| matches!(end, FaultEnd::Cuts));
        if is_cut || rng.u8(..4) > 0 {
            return;
        }
        let count = rng.usize(1..=self.site.gateways.len());
        let cut_off = rng.choose_multiple(0..self.site.gateways.len(), count);
        let cut = CUT_KINDS[rng.usize(..CUT_KINDS.len())];
        let lasts = if rng.bool() { rng.u64(800..1_200) } else { rng.u64(1_500..4_000) };
        self.site.cut_off(&cut_off, cut);
        self.due.push((Instant::now() + Duration::from_millis(lasts), FaultEnd::Cuts));
        *self.counts.entry("cut_off").or_default() += 1;
    }

    /// Occasionally lets the answers of all upstreams end with their connections for up to 2 s, and
    /// one of the upstreams end them early.
    fn unframe_answers(&mut self) {
        let Some(rng) = &mut self.unframed else {
            return;
        };
        let is_unframed = self.due.iter().any(|(_, end)| matches!(end, FaultEnd::Unframed(_)));
        if is_unframed || rng.bool() {
            return;
        }
        let upstream = rng.usize(..self.upstreams.len());
        let early_end = EARLY_ENDS[rng.usize(..EARLY_ENDS.len())];
        let lasts = Duration::from_millis(rng.u64(500..2_000));
        self.site.frame("until_close");
        self.site.behave(Some(&self.upstreams[upstream]), early_end);
        self.due.push((Instant::now() + lasts, FaultEnd::Unframed(upstream)));
        *self.counts.entry("unframed").or_default() += 1;
    }

    /// Occasionally makes an upstream send a signal in its responses.
    fn signal_upstream(&mut self) {
        let Some(rng) = &mut self.signals else {
            return;
        };
        let n = rng.usize(..self.upstreams.len());
        let is_signalling =
            self.due.iter().any(|(_, m)| matches!(m, FaultEnd::Signal(of) if *of == n));
        if rng.u8(..3) > 0 || is_signalling {
            return;
        }
        let cooldown = Duration::from_millis(rng.u64(800..3_000));
        let (signal, kind) = match rng.u8(..4) {
            0 => (UpstreamSignal::Leaving, "says_leaving"),
            1 => (UpstreamSignal::Cooldown(cooldown), "asks_for_rest"),
            _ => (UpstreamSignal::RateLimit(rng.u64(1..4) as f64), "names_limit"),
        };
        let lasts = Duration::from_millis(rng.u64(2_000..9_000));
        let upstream = self.upstreams[n].clone();
        match signal {
            UpstreamSignal::RateLimit(rate) => {
                self.site.signal(&upstream, &[("server-limit", &rate.to_string())]);
            }
            UpstreamSignal::Leaving => self.site.signal(&upstream, &[("server-leaving", "1")]),
            UpstreamSignal::Cooldown(cooldown) => {
                let seconds = cooldown.as_secs_f64().to_string();
                self.site.signal(&upstream, &[("retry-after", &seconds)]);
                self.site.behave(Some(&upstream), "full");
            }
        }
        let from = self.site.emulator_now();
        self.periods.push(SignalPeriod { upstream, signal, from, until: None });
        self.due.push((Instant::now() + lasts, FaultEnd::Signal(n)));
        *self.counts.entry(kind).or_default() += 1;
    }

    fn end_signal(&mut self, n: usize) {
        let upstream = &self.upstreams[n];
        let until = self.site.emulator_now();
        self.site.signal(upstream, &[]);
        let period = self.periods.iter_mut().rev().find(|s| s.upstream == *upstream);
        let Some(period) = period else {
            return;
        };
        period.until = Some(until);
        match period.signal {
            // Leaving is final for a process: a restarted one serves from now on.
            UpstreamSignal::Leaving => self.site.restart_upstream(upstream, unix_millis()),
            UpstreamSignal::Cooldown(_) => self.site.behave(Some(upstream), "serve"),
            UpstreamSignal::RateLimit(_) => {}
        }
    }

    fn record_disturbance(&mut self, gateway: usize) {
        let at = self.site.emulator_now();
        self.disturbances.push((gateway, at));
    }

    fn end_after(&mut self, max_ms: u64, fault_end: FaultEnd) {
        let time = Duration::from_millis(self.rng.u64(100..max_ms));
        self.due.push((Instant::now() + time, fault_end));
    }

    /// Returns whether a gateway runs normally. One that is down, starting, paused or draining
    /// gets no second fault.
    fn runs_normally(&self, gateway: usize) -> bool {
        let of_gateway = |fault_end: &FaultEnd| match fault_end {
            FaultEnd::Start(n) | FaultEnd::Resume(n) => *n == gateway,
            _ => false,
        };
        let has_no_fault = !self.due.iter().any(|(_, fault_end)| of_gateway(fault_end));
        has_no_fault && self.site.gateways[gateway].has_started()
    }

    fn kill(&mut self, gateway: usize) -> Option<&'static str> {
        if !self.runs_normally(gateway) {
            return None;
        }
        self.site.gateways[gateway].kill();
        self.record_disturbance(gateway);
        self.end_after(1_500, FaultEnd::Start(gateway));
        Some("kill")
    }

    fn signal(
        &mut self,
        gateway: usize,
        signal: Signal,
        kind: &'static str,
    ) -> Option<&'static str> {
        if !self.runs_normally(gateway) {
            return None;
        }
        self.site.gateways[gateway].signal(signal);
        if signal == Signal::SIGTERM {
            self.record_disturbance(gateway);
            self.end_after(500, FaultEnd::Start(gateway));
        }
        Some(kind)
    }

    fn pause(&mut self, gateway: usize) -> Option<&'static str> {
        if !self.runs_normally(gateway) {
            return None;
        }
        self.site.gateways[gateway].signal(Signal::SIGSTOP);
        self.record_disturbance(gateway);
        self.end_after(2_500, FaultEnd::Resume(gateway));
        Some("pause")
    }

    fn degrade_link(&mut self, link: usize) -> Option<&'static str> {
        let delay = Duration::from_millis(self.rng.u64(5..300));
        let (state, kind) = match self.rng.u8(..3) {
            0 => (Link::Delay(delay), "delay"),
            1 => (Link::Silent, "silence"),
            _ => (Link::OneWay, "one_way"),
        };
        self.links[link].set_link(state);
        self.end_after(3_000, FaultEnd::Link(link));
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
        self.end_after(2_500, FaultEnd::Store);
        Some(kind)
    }

    fn set_faulty_behaviour(&mut self, upstream: usize) -> Option<&'static str> {
        let behaviour = BEHAVIOURS[self.rng.usize(..BEHAVIOURS.len())];
        self.site.behave(Some(&self.upstreams[upstream]), behaviour);
        self.end_after(2_000, FaultEnd::Behave(upstream));
        Some(behaviour)
    }

    fn remove_row(&mut self, upstream: usize) -> Option<&'static str> {
        self.site.control("/remove", &json!({ "id": self.upstreams[upstream] }));
        self.end_after(1_500, FaultEnd::Row(upstream));
        Some("lapse")
    }

    fn configure(&mut self) -> Option<&'static str> {
        self.version += self.rng.u64(1..9);
        self.site.configure(&configuration(self.version));
        Some("configuration")
    }

    fn end_due_faults(&mut self, now: Instant) {
        let due = std::mem::take(&mut self.due);
        let (over, later): (Vec<_>, Vec<_>) = due.into_iter().partition(|(at, _)| *at <= now);
        self.due = later;
        for (_, fault_end) in over {
            self.end_fault(fault_end);
        }
    }

    fn end_fault(&mut self, fault_end: FaultEnd) {
        match fault_end {
            FaultEnd::Start(n) if self.site.gateways[n].has_ended() => {
                self.site.gateways[n].restart();
                self.record_disturbance(n);
            }
            // The process is still draining.
            FaultEnd::Start(_) => {
                self.due.push((Instant::now() + Duration::from_millis(100), fault_end))
            }
            FaultEnd::Resume(n) => {
                self.site.gateways[n].signal(Signal::SIGCONT);
                self.record_disturbance(n);
            }
            FaultEnd::Link(n) => self.links[n].set_link(Link::Pass),
            FaultEnd::Store => self.site.store("up"),
            FaultEnd::StoreReturn(rewrite) => {
                let ms = rewrite.as_millis() as u64;
                self.site.control("/return-store", &json!({ "rewriteMs": ms }));
            }
            FaultEnd::Behave(n) => self.site.behave(Some(&self.upstreams[n]), "serve"),
            FaultEnd::Signal(n) => self.end_signal(n),
            FaultEnd::Cuts => self.site.end_cuts(),
            FaultEnd::Unframed(n) => {
                self.site.behave(Some(&self.upstreams[n]), "serve");
                self.site.frame("usual");
            }
            FaultEnd::Row(n) => {
                let row = json!({ "id": self.upstreams[n], "back": true });
                self.site.control("/remove", &row);
            }
        }
    }
}
