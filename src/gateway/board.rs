//! The blackboard: what this process believes. Controllers write it, request
//! tasks read it, all on one thread.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;

use super::{
    decide::{
        Breaker, CacheBelief, Candidate, QuotaBook, QuotaShare, RetryBook, Steadiness, TrueClock,
        UsageBook,
    },
    model::{Configuration, Revision, ServiceName, Upstream, UpstreamPhase},
    net::Phase,
    peering::{Demand, Heartbeat, LoadReport, PrefixReport, ProcessId, RecentChanges},
};
use crate::{
    control::LeaseClaim,
    ids::{DataCentre, UpstreamId},
};

/// Between heartbeats: load that is older misleads the choice of engines.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(150);
/// Gateways that get each heartbeat. With more, each gets every few, and the
/// cost of a process does not grow with their number.
pub const HEARTBEAT_FAN_OUT: usize = 24;
/// Silence after which a gateway is no longer named to callers: five
/// heartbeats, so that a few lost datagrams change nothing.
const SHORTEST_SILENCE: Duration = Duration::from_millis(800);
/// The same where each gateway is heard less often, in mean intervals.
const SILENT_INTERVALS: f64 = 3.0;
/// Silence after which a gateway is taken not to serve any more. Until then it
/// counts as one that may be cut off and use its part of quotas.
pub const PEER_FORGOTTEN: Duration = Duration::from_secs(12);

/// Time after the start in which the hosts that have announced themselves in
/// the store count as serving, whether they were heard or not: with some
/// hundred of them, a few heartbeats pass until most are.
const ANNOUNCED_COUNT: Duration = Duration::from_secs(3);

/// Time after the store's return in which rows that lapsed while it was away
/// are back, if their upstreams live; the platform's figure.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_000);
/// Time after the store's return in which a row that disappears may have
/// lapsed while it was away: such rows show with the first answers.
const LAPSE_SEEN: Duration = Duration::from_millis(700);

/// Processes that read the store and tell the others. Each call is paid for;
/// three leave one when two are cut off.
pub const WATCHERS: usize = 3;

/// Load on one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests running or waiting.
    pub running: u32,
    /// Prompt tokens that are not read yet.
    pub pending_tokens: u32,
}

/// An upstream as this process knows it.
#[derive(Clone, Debug)]
pub struct UpstreamView {
    /// Its own description.
    pub upstream: Upstream,
    /// Load that this process puts on it.
    pub own: Load,
    /// Load that the other processes put on it, as last heard.
    pub others: Load,
    /// Its health as requests saw it.
    pub breaker: Breaker,
    /// Until when its row may be missing: that may be the store's fault.
    pub missing_until: Option<Instant>,
    /// Since when it is known to leave.
    pub leaving_since: Option<Instant>,
}

/// For how long an upstream that leaves gets requests that nobody else takes.
/// It serves on for two seconds or more, and much of its work ends within one.
const LAST_RESORT: Duration = Duration::from_millis(1_000);

impl UpstreamView {
    /// Creates the view of an upstream that was just heard of.
    pub fn new(upstream: Upstream, now: Instant) -> Self {
        Self {
            upstream,
            own: Load::default(),
            others: Load::default(),
            breaker: Breaker::new(now),
            missing_until: None,
            leaving_since: None,
        }
    }

    /// Returns whether it takes new work.
    pub fn takes_work(&self) -> bool {
        self.upstream.phase == UpstreamPhase::Ready
    }

    /// Takes over its newer description. Returns whether its phase changed.
    pub fn update(&mut self, upstream: Upstream, now: Instant) -> bool {
        let changed = self.upstream.phase != upstream.phase;
        if changed {
            self.leaving_since = (upstream.phase == UpstreamPhase::Draining).then_some(now);
        }
        self.upstream = upstream;
        self.missing_until = None;
        changed
    }

    /// Returns whether it still takes requests that no other upstream takes.
    pub fn is_last_resort(&self, now: Instant) -> bool {
        let recent = |t: Instant| now.saturating_duration_since(t) < LAST_RESORT;
        self.leaving_since.is_some_and(recent)
    }
}

/// Whether the store answers this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreState {
    /// It has answered all along.
    #[default]
    Up,
    /// It has not answered since then.
    Away(Instant),
    /// It answers again since then.
    Returned(Instant),
}

/// Another gateway as last heard.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// What it last told.
    pub last: Heartbeat,
    /// When.
    pub heard: Instant,
}

/// For how long after its end a lease is told of: until another holds it.
const CLAIM_TOLD: Duration = Duration::from_secs(10);

/// A lease that this process holds, or held last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnLease {
    /// Fencing number.
    pub fence: u64,
    /// Number of the renewal that it rests on.
    pub renewal: u64,
    /// When that renewal was sent.
    pub sent: Instant,
    /// Until when this process may act.
    pub until: Instant,
    /// Whether this process has given it up.
    pub given_up: bool,
}

/// The lease on the duties as this process sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseView {
    /// The lease that this process holds, or held last.
    pub own: Option<OwnLease>,
}

impl LeaseView {
    /// Returns the fencing number with which this process may act at `now`.
    pub fn may_act(&self, now: Instant) -> Option<u64> {
        self.own.filter(|own| !own.given_up && now < own.until).map(|own| own.fence)
    }

    /// Stops acting under the lease for good.
    pub fn give_up(&mut self) {
        if let Some(own) = &mut self.own {
            own.given_up = true;
        }
    }

    /// Returns what the others are told.
    pub fn claim(&self, now: Instant) -> Option<LeaseClaim> {
        let own = self.own.filter(|own| now < own.until + CLAIM_TOLD)?;
        Some(LeaseClaim {
            fence: own.fence,
            renewal: own.renewal,
            age_ms: now.saturating_duration_since(own.sent).as_millis() as u64,
            given_up: own.given_up,
        })
    }
}

/// Prompt tokens that callers bring, smoothed.
#[derive(Clone, Copy, Debug)]
struct Rate {
    per_second: f64,
    at: Instant,
}

/// Time over which the rate of prompt tokens is smoothed.
const RATE_SPAN: f64 = 3.0;

impl Rate {
    fn decayed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_second * (-age / RATE_SPAN).exp()
    }

    fn add(&mut self, tokens: f64, now: Instant) {
        self.per_second = self.decayed(now) + tokens / RATE_SPAN;
        self.at = now;
    }
}

/// What this process believes.
#[derive(Debug)]
pub struct Board {
    /// The configuration in force.
    pub configuration: Option<Rc<Configuration>>,
    /// The document that it was read from, for other gateways.
    pub document: Bytes,
    /// Upstreams by id.
    pub upstreams: BTreeMap<UpstreamId, UpstreamView>,
    /// Revision of the store up to which all changes of upstreams are known.
    pub upstreams_position: Revision,
    /// Revision of the newest change of an upstream that is known. Another
    /// gateway that knows a change beyond our position is ahead of us.
    pub upstreams_last_change: Revision,
    /// Changes of late, for other gateways.
    pub recent_changes: RecentChanges,
    /// Whether the upstreams were read at least once.
    pub upstreams_known: bool,
    /// Other gateways.
    pub peers: BTreeMap<ProcessId, PeerView>,
    /// Hosts that had announced themselves in the store when this one started.
    pub announced: usize,
    /// Which engines hold which prompt prefixes.
    pub cache: CacheBelief,
    /// Prefixes sent since the last heartbeat.
    pub sent_prefixes: Vec<PrefixReport>,
    /// Quotas of customers.
    pub quotas: QuotaBook,
    /// Budget of second attempts.
    pub retries: RetryBook,
    /// Usage by window.
    pub usage: UsageBook,
    /// True time.
    pub clock: TrueClock,
    /// Lease on the duties.
    pub lease: LeaseView,
    /// Whether the store answers this process.
    pub store: StoreState,
    /// Whether the store has answered this process all along.
    pub steadiness: Steadiness,
    /// Requests in progress.
    pub in_progress: usize,
    demand: BTreeMap<ServiceName, Rate>,
    started: Instant,
}

impl Board {
    /// Creates a board that knows nothing.
    pub fn new(clock: TrueClock, now: Instant) -> Self {
        Self {
            configuration: None,
            document: Bytes::new(),
            upstreams: BTreeMap::new(),
            upstreams_position: 0,
            upstreams_last_change: 0,
            recent_changes: RecentChanges::default(),
            upstreams_known: false,
            peers: BTreeMap::new(),
            announced: 0,
            cache: CacheBelief::default(),
            sent_prefixes: Vec::new(),
            quotas: QuotaBook::new(now),
            retries: RetryBook::default(),
            usage: UsageBook::default(),
            clock,
            lease: LeaseView::default(),
            store: StoreState::Up,
            steadiness: Steadiness::default(),
            in_progress: 0,
            demand: BTreeMap::new(),
            started: now,
        }
    }

    /// Returns the version of the configuration in force; 0 for none.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |c| c.version)
    }

    /// Returns the silence after which a gateway counts as gone.
    pub fn peer_silence(&self) -> Duration {
        let beats = self.peers.len() as f64 / HEARTBEAT_FAN_OUT as f64;
        HEARTBEAT_PERIOD.mul_f64(beats * SILENT_INTERVALS).max(SHORTEST_SILENCE)
    }

    /// Returns the gateways that were heard of late.
    pub fn heard(&self, now: Instant) -> impl Iterator<Item = &PeerView> {
        let silence = self.peer_silence();
        let recent = move |p: &&PeerView| now.saturating_duration_since(p.heard) < silence;
        self.peers.values().filter(recent)
    }

    /// Returns which part of quotas this process may count on.
    pub fn quota_share(&self, now: Instant) -> QuotaShare {
        let heard = 1 + self.heard(now).count();
        let young = now.saturating_duration_since(self.started) < ANNOUNCED_COUNT;
        let announced = if young { self.announced } else { 0 };
        QuotaShare { heard, members: announced.max(1 + self.peers.len()) }
    }

    /// Returns whether this process reads the store: the first few processes
    /// that the store answers do, and tell the others. A process that the store
    /// does not answer goes on trying.
    pub fn watches_store(&self, process: &str, now: Instant) -> bool {
        if matches!(self.store, StoreState::Away(_)) || self.configuration.is_none() {
            return true;
        }
        let before = self
            .heard(now)
            .filter(|p| p.last.store_answers && p.last.phase == Phase::Serving)
            .filter(|p| p.last.process().as_str() < process);
        before.count() < WATCHERS
    }

    /// Returns whether some process knows that the store has answered all
    /// along: then a row that is gone is gone for good.
    pub fn store_was_there(&self, now: Instant) -> bool {
        self.steadiness.is_steady(now) || self.heard(now).any(|p| p.last.store_steady)
    }

    /// Returns until when a row that disappears may come back: it may have
    /// lapsed while the store was away.
    pub fn lapse_ends(&self, now: Instant) -> Option<Instant> {
        match self.store {
            _ if self.store_was_there(now) => None,
            StoreState::Up => None,
            StoreState::Away(_) => Some(now + LAPSE_GRACE),
            StoreState::Returned(at) if now < at + LAPSE_SEEN => Some(at + LAPSE_GRACE),
            StoreState::Returned(_) => None,
        }
    }

    /// Returns whether another gateway has a newer configuration.
    pub fn configuration_is_behind(&self, now: Instant) -> bool {
        let own = self.configuration_version();
        self.heard(now).any(|p| p.last.configuration > own)
    }

    /// Returns the upstreams of a service that take new work.
    pub fn serving<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a UpstreamView> + use<'a> {
        self.of_service(service).filter(|v| v.takes_work())
    }

    /// Returns the upstreams of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a UpstreamView> + use<'a> {
        self.upstreams.values().filter(move |v| v.upstream.service == service)
    }

    /// Describes an upstream as a candidate for a request that would have to
    /// read `missing_tokens` there.
    pub fn candidate(
        view: &UpstreamView,
        missing_tokens: u32,
        own_data_centre: &DataCentre,
        now: Instant,
        chance: f64,
    ) -> Candidate {
        Candidate {
            running: f64::from(view.own.running + view.others.running),
            pending_tokens: f64::from(view.own.pending_tokens + view.others.pending_tokens),
            slots: view.upstream.slots,
            missing_tokens: f64::from(missing_tokens),
            slowness: view.breaker.slowness(),
            failures: view.breaker.recent_failures(now),
            remote: view.upstream.data_centre != *own_data_centre,
            chance,
        }
    }

    /// Counts prompt tokens that the engines of a service have to read.
    pub fn add_demand(&mut self, service: &ServiceName, tokens: u32, now: Instant) {
        let rate = self.demand.entry(service.clone()).or_insert(Rate { per_second: 0.0, at: now });
        rate.add(f64::from(tokens), now);
    }

    /// Returns the demand of this process's callers.
    pub fn own_demand(&self, now: Instant) -> Vec<Demand> {
        let demand = self.demand.iter();
        demand
            .map(|(s, r)| Demand { service: s.clone(), prompt_rate: r.decayed(now) as f32 })
            .collect()
    }

    /// Returns the prompt tokens a second that all callers bring to a service.
    pub fn total_demand(&self, service: &str, now: Instant) -> f64 {
        let own = self.demand.get(service).map_or(0.0, |r| r.decayed(now));
        let others = self.heard(now).flat_map(|p| &p.last.demand);
        let others = others.filter(|d| d.service == service).map(|d| f64::from(d.prompt_rate));
        own + others.sum::<f64>()
    }

    /// Returns the load that this process puts on upstreams.
    pub fn own_loads(&self) -> Vec<LoadReport> {
        let loaded = self.upstreams.iter().filter(|(_, v)| v.own != Load::default());
        loaded.map(|(id, v)| LoadReport(id.clone(), v.own.running, v.own.pending_tokens)).collect()
    }

    /// Sums up the load that the other processes put on upstreams.
    pub fn sum_loads(&mut self, now: Instant) {
        let mut sums: BTreeMap<UpstreamId, Load> = BTreeMap::new();
        for LoadReport(id, running, pending) in self.heard(now).flat_map(|p| &p.last.loads) {
            let sum = sums.entry(id.clone()).or_default();
            sum.running += running;
            sum.pending_tokens += pending;
        }
        for (id, view) in &mut self.upstreams {
            view.others = sums.get(id).copied().unwrap_or_default();
        }
    }

    /// Returns the gateways that callers may use, as heard of late.
    pub fn serving_peers(&self, now: Instant) -> impl Iterator<Item = &PeerView> {
        let serves = |p: &&PeerView| p.last.phase == Phase::Serving && p.last.configuration > 0;
        self.heard(now).filter(serves)
    }
}
