//! The blackboard: what this process believes. Controllers write it, request
//! tasks read it, all on one thread.

mod demand;
mod hold_off;
mod knowledge;
mod lease;
mod leaving;
mod lifetimes;
mod limits;
mod loads;
mod missing;
mod outcomes;
mod peers;
mod removals;
mod rollouts;
mod store;
mod upstream;

use std::{
    collections::{BTreeMap, HashSet},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::sync::watch::Receiver;

use super::{
    decide::{
        Breaks, CacheBelief, Candidate, CapacityRecord, CrashBook, EngineSpeed, Knowledge,
        LeavingBook, LimitBook, LoadMeter, Mechanism, QuotaBook, RequestCost, RestBook, RetryBook,
        RolloutBook, SpeedModel, Steadiness, StoreClock, StoreMillis, SwitchedOff, TrialTurn,
        TrueClock, UsageBook,
    },
    model::{Configuration, Followed, Lifetime, Revision, ServiceName, Upstream},
    peering::{LoadReport, PrefixReport, ProcessId, RecentChanges, SpeedReport, UpstreamSnapshot},
};
use crate::ids::{DataCentre, UpstreamId};

use lifetimes::Lifetimes;
use loads::OthersLoad;
use outcomes::SharedOutcomes;
use removals::Removals;

pub use lease::{LeaseView, OwnLease};
pub use missing::Noted;
pub use peers::PeerView;
pub use store::StoreState;
pub use upstream::{Described, Load, MissingRow, UpstreamView};

/// Between heartbeats: load that is older misleads the choice of engines.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(150);
/// Gateways that hear of each heartbeat within a period or two, directly or as it is passed
/// on. With more, each hears of every few, and the cost of a process does not grow with
/// their number.
pub const HEARD_A_PERIOD: usize = 24;
/// Silence after which a gateway is taken not to serve any more. Until then it
/// counts as one that may be cut off and use its part of quotas.
pub const PEER_FORGOTTEN: Duration = Duration::from_secs(12);

/// Longest wait for the requests that crash upstreams before any is sent. The store tells
/// them within some ten milliseconds, another gateway within two heartbeats; where neither
/// answers, there is no configuration to serve with either.
const RECALL_WAIT: Duration = Duration::from_secs(2);

/// What this process believes.
#[derive(Debug)]
pub struct Board {
    /// The configuration in force.
    pub configuration: Option<Rc<Configuration>>,
    /// The document that it was read from, for other gateways.
    pub document: Bytes,
    /// Up to where the configuration is known; `None` if the store was never read.
    pub configuration_knowledge: Option<Knowledge>,
    /// The store's clock.
    pub store_clock: StoreClock,
    /// Upstreams by id.
    pub upstreams: BTreeMap<UpstreamId, UpstreamView>,
    /// Up to where the upstreams are known; `None` if they were never read.
    pub upstreams_knowledge: Option<Knowledge>,
    /// When the list of upstreams was read again, by the store's clock, after a time in which
    /// nobody read it; `None` if there was none.
    pub upstreams_read_again: Option<StoreMillis>,
    /// Revision of the newest change of an upstream that is known. Another
    /// gateway that knows a change beyond our position is ahead of us.
    pub upstreams_last_change: Revision,
    /// Upstreams that are gone, for gateways that ask what has changed.
    pub removals: Removals,
    /// Changes of late, for other gateways.
    pub recent_changes: RecentChanges,
    /// Other gateways.
    pub peers: BTreeMap<ProcessId, PeerView>,
    /// Hosts that had announced themselves in the store when this one started.
    pub announced: usize,
    /// Until when this process waits for others to tell it the upstreams; `None` while it is
    /// not known how many others there are.
    pub told_until: Option<Instant>,
    /// Which engines hold which prompt prefixes.
    pub cache: CacheBelief,
    /// Prefixes sent since the last heartbeat.
    pub sent_prefixes: Vec<PrefixReport>,
    /// Quotas of customers.
    pub quotas: QuotaBook,
    /// Upstreams that said in their answers that they leave.
    pub leaving: LeavingBook,
    /// Rate limits that upstreams name.
    pub limits: LimitBook,
    /// Upstreams that asked this process for rest.
    pub rests: RestBook,
    /// Roll-outs of versions.
    pub rollouts: RolloutBook,
    /// Budget of second attempts.
    pub retries: RetryBook,
    /// Requests that crash upstreams.
    pub crashes: CrashBook,
    /// Whether this process may try requests that are quarantined.
    pub trial_turn: TrialTurn,
    /// Runs that broke off at upstreams that may have ended.
    pub breaks: Breaks,
    /// Whether the store or another gateway has told which requests crash upstreams.
    pub verdicts_known: bool,
    /// Usage by window.
    pub usage: UsageBook,
    /// Need and orders of engines as the holder of the lease tells them.
    pub capacity: CapacityRecord,
    /// Need of engines that an earlier holder left in the store.
    pub kept_needs: BTreeMap<ServiceName, f64>,
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
    /// Newest lifetimes of upstreams.
    lifetimes: Lifetimes,
    others_load: OthersLoad,
    shared_outcomes: SharedOutcomes,
    loads: BTreeMap<ServiceName, LoadMeter>,
    /// What a request to each service costs on average, over all processes.
    costs: BTreeMap<ServiceName, RequestCost>,
    speeds: BTreeMap<ServiceName, SpeedModel>,
    started: Instant,
}

impl Board {
    /// Creates a board that knows nothing.
    pub fn new(clock: TrueClock, now: Instant) -> Self {
        Self {
            configuration: None,
            document: Bytes::new(),
            configuration_knowledge: None,
            store_clock: StoreClock::default(),
            upstreams: BTreeMap::new(),
            upstreams_knowledge: None,
            upstreams_read_again: None,
            upstreams_last_change: 0,
            removals: Removals::default(),
            recent_changes: RecentChanges::default(),
            peers: BTreeMap::new(),
            announced: 0,
            told_until: None,
            cache: CacheBelief::default(),
            sent_prefixes: Vec::new(),
            quotas: QuotaBook::new(now),
            leaving: LeavingBook::default(),
            limits: LimitBook::default(),
            rests: RestBook::default(),
            rollouts: RolloutBook::default(),
            retries: RetryBook::default(),
            crashes: CrashBook::default(),
            trial_turn: TrialTurn::default(),
            breaks: Breaks::default(),
            verdicts_known: false,
            usage: UsageBook::default(),
            capacity: CapacityRecord::default(),
            kept_needs: BTreeMap::new(),
            clock,
            lease: LeaseView::default(),
            store: StoreState::Up,
            steadiness: Steadiness::default(),
            in_progress: 0,
            lifetimes: Lifetimes::default(),
            others_load: OthersLoad::default(),
            shared_outcomes: SharedOutcomes::default(),
            loads: BTreeMap::new(),
            costs: BTreeMap::new(),
            speeds: BTreeMap::new(),
            started: now,
        }
    }

    /// Returns the version of the configuration in force; 0 for none.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |c| c.version)
    }

    /// Returns the revision of the store up to which all changes of upstreams are known.
    pub fn upstreams_position(&self) -> Revision {
        self.upstreams_knowledge.map_or(0, |k| k.position)
    }

    /// Returns whether this process may send requests: it knows those that crash
    /// upstreams, or has waited for long enough to learn of them.
    pub fn knows_crashes(&self, now: Instant) -> bool {
        self.verdicts_known || now.saturating_duration_since(self.started) >= RECALL_WAIT
    }

    /// Returns when the list of upstreams was last known to be the newest.
    fn upstreams_seen(&self, now: Instant) -> Instant {
        let age = self.age(Followed::Upstreams, now).unwrap_or_default();
        now.checked_sub(age).unwrap_or(now)
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

    /// Returns what has changed among the upstreams after a revision, or all of them if that
    /// is not known any more.
    pub fn upstream_snapshot(&self, after: Revision) -> UpstreamSnapshot {
        let mut gone = self.removals.after(after).filter(|_| after > 0);
        if let Some(gone) = &mut gone {
            // Some are back.
            gone.retain(|id| !self.upstreams.contains_key(id));
        }
        let after = if gone.is_some() { after } else { 0 };
        let changed = || self.upstreams.values().filter(move |v| after == 0 || v.changed > after);
        let missing = changed().filter_map(|v| Some((v.upstream.id.clone(), v.missing?.removal)));
        UpstreamSnapshot {
            after,
            knowledge: self.upstreams_knowledge.unwrap_or_default(),
            last_change: self.upstreams_last_change,
            upstreams: changed().map(|v| v.upstream.clone()).collect(),
            missing: missing.collect(),
            gone: gone.unwrap_or_default(),
        }
    }

    /// Takes over what an upstream says of itself, as written at a revision.
    pub fn describe_at(
        &mut self,
        upstream: Upstream,
        revision: Revision,
        now: Instant,
    ) -> Described {
        let id = upstream.id.clone();
        let described = self.describe(upstream, now);
        if let Some(view) = self.upstreams.get_mut(&id) {
            view.changed = view.changed.max(revision);
        }
        described
    }

    /// Takes over what an upstream says of itself.
    pub fn describe(&mut self, upstream: Upstream, now: Instant) -> Described {
        let id = upstream.id.clone();
        let seen = self.upstreams_seen(now);
        let (described, lifetime) = match self.upstreams.get_mut(&id) {
            Some(view) => (view.update(upstream, seen, now), view.lifetime),
            None => {
                let view = UpstreamView::new(upstream, now);
                let lifetime = view.lifetime;
                self.upstreams.insert(id.clone(), view);
                (Described::New, lifetime)
            }
        };
        self.lifetimes.note(&id, lifetime);
        if let Some(view) = self.upstreams.get_mut(&id) {
            view.said_leaving = self.leaving.since(lifetime);
        }
        described
    }

    /// Returns an upstream, if it is still in the lifetime that is meant.
    pub fn in_lifetime(
        &mut self,
        id: &UpstreamId,
        lifetime: Lifetime,
    ) -> Option<&mut UpstreamView> {
        self.upstreams.get_mut(id).filter(|v| v.lifetime == lifetime)
    }

    /// Returns whether a request may go out to an upstream that was chosen in the lifetime
    /// that is meant: it may have begun to leave since, while a connection was opened.
    pub fn may_be_sent_to(&self, id: &UpstreamId, lifetime: Lifetime, now: Instant) -> bool {
        let view = self.upstreams.get(id).filter(|v| v.lifetime == lifetime);
        view.is_some_and(|v| v.takes_work() || v.is_last_resort(now))
    }

    /// Returns the name of an upstream in one lifetime; empty if it is not known.
    pub fn upstream_name(&self, lifetime: Lifetime) -> &str {
        self.lifetimes.upstream(lifetime).map_or("", |id| id)
    }

    /// Returns how many tokens the cache of an engine holds; `None` for one that is
    /// not known, or not in this lifetime.
    pub fn cache_tokens(&self, cfg: &Configuration, lifetime: Lifetime) -> Option<u64> {
        let view = self.upstreams.get(self.lifetimes.upstream(lifetime)?)?;
        cfg.services.get(&view.upstream.service)?.engine.map(|e| e.cache_tokens)
    }

    /// Returns what tells of each newer lifetime of an upstream.
    pub fn follow_lifetime(&self, id: &UpstreamId) -> Option<Receiver<Lifetime>> {
        self.lifetimes.follow(id)
    }

    /// Forgets what belongs to upstreams that are gone and to earlier lifetimes.
    pub fn forget_lifetimes(&mut self, now: Instant) {
        let known: HashSet<Lifetime> = self.upstreams.values().map(|v| v.lifetime).collect();
        self.cache.retain(|lifetime| known.contains(&lifetime));
        self.leaving.retain(|lifetime| known.contains(&lifetime), now);
        self.rests.forget(now);
        self.limits.retain(|lifetime| known.contains(&lifetime), now);
        self.lifetimes.retain(|id| self.upstreams.contains_key(id));
    }

    /// Returns the load that the other processes put on an upstream, as last heard.
    pub fn others_load(&self, view: &UpstreamView) -> Load {
        self.others_load.on(view.lifetime)
    }

    /// Describes an upstream as a candidate for a request that would have to
    /// read `missing_tokens` there.
    pub fn candidate(
        &self,
        view: &UpstreamView,
        missing_tokens: u32,
        own_data_centre: &DataCentre,
        now: Instant,
        chance: f64,
    ) -> Candidate {
        let others = self.others_load(view);
        Candidate {
            running: f64::from(view.own.running + others.running),
            pending_tokens: f64::from(view.own.pending_tokens + others.pending_tokens),
            slots: view.upstream.slots,
            missing_tokens: f64::from(missing_tokens),
            failures: view.breaker.recent_failures(now),
            remote: view.upstream.data_centre != *own_data_centre,
            connected: false,
            chance,
        }
    }

    /// Returns how fast the upstreams of a service are, as far as is known.
    pub fn speed(&self, service: &str, off: &SwitchedOff) -> EngineSpeed {
        if !off.is_on(Mechanism::LearntSpeed) {
            return EngineSpeed::default();
        }
        let mut speed = self.speeds.get(service).map(SpeedModel::speed).unwrap_or_default();
        speed.held = self.costs.get(service).map_or(speed.held, |c| c.held);
        speed
    }

    /// Returns what learns how fast the upstreams of a service are.
    pub fn speed_model(&mut self, service: &ServiceName) -> &mut SpeedModel {
        self.speeds.entry(service.clone()).or_default()
    }

    /// Returns what this process has learnt of the speed of upstreams.
    pub fn own_speeds(&self) -> Vec<SpeedReport> {
        let speeds = self.speeds.iter();
        speeds.map(|(service, model)| SpeedReport::new(service, model)).collect()
    }

    /// Returns how many requests an upstream of the service runs at once.
    pub fn slots(&self, service: &str) -> u32 {
        self.of_service(service).map(|v| v.upstream.slots).max().unwrap_or(1)
    }

    /// Returns the load that this process puts on upstreams.
    pub fn own_loads(&self) -> Vec<LoadReport> {
        let loaded = self.upstreams.values().filter(|v| v.own != Load::default());
        loaded.map(|v| LoadReport(v.lifetime, v.own.running, v.own.pending_tokens)).collect()
    }
}
