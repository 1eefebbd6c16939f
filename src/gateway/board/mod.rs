//! The blackboard: shared in-memory state of this gateway process. Controllers write it and
//! request tasks read it, all on one thread.

mod admission;
mod brittle;
mod check_reports;
mod demand;
mod departures;
mod hold_off;
mod knowledge;
mod lease;
mod leaving;
mod lifetimes;
mod limits;
mod loads;
mod missing;
mod noticed_work;
mod outcomes;
mod peers;
mod removals;
mod rollouts;
mod store;
mod stream_versions;
mod upstream;
mod upstream_speeds;
mod version_record;
mod work;

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::sync::watch::Receiver;

use super::{
    decide::{
        Candidate, CapacityRecord, CooldownTracker, CostModel, CrashTracker, DisabledMechanisms,
        EngineSpeed, InterruptedAttempts, LeavingTracker, LoadMeter, Mechanism, NoticedWork,
        PeerCorrectedClock, PrefixCacheEstimate, QuotaLimiter, RateLimiter, RequestCost,
        RolloutTracker, RoomGrants, ServiceRetryBudgets, SpeedModel, StoreClock, StoreMillis,
        StoreStability, StreamJournal, StreamVersions, SyncPoint, TrialTurn, TunnelPeers,
        UpstreamPaths, UpstreamSpeeds, UsageCounters, VersionHistory,
    },
    model::{Configuration, Era, Lifetime, Revision, ServiceName, Upstream, WatchedData},
    peering::{PrefixReport, ProcessId, RecentChanges, SpeedReport, UpstreamSnapshot},
};
use crate::ids::{DataCentre, UpstreamId};

use admission::AdmissionState;
use check_reports::CheckReports;
use departures::Departures;
use lifetimes::Lifetimes;
use loads::PeerLoads;
use outcomes::SharedOutcomes;
use removals::Removals;

pub use brittle::RoomOwner;
pub use lease::{LeaseView, OwnLease};
pub use missing::MissingRowChange;
pub use peers::PeerView;
pub use store::StoreState;
pub use upstream::{DescriptionChange, Load, MissingRow, UpstreamView};
pub use version_record::RecordedVersions;

/// Interval between heartbeats. Load figures that are older lead to bad choices of engines.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(150);
/// Number of gateways that each heartbeat reaches within one or two periods, directly or relayed.
/// In a larger fleet a gateway receives only every few heartbeats of each other gateway, so that
/// the cost of a process does not grow with the number of gateways.
pub const HEARTBEAT_REACH: usize = 24;
/// Silence after which a gateway is assumed to have stopped serving. Until then it may only be
/// partitioned from this one and still use its share of quotas.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(12);

/// Longest time for which requests wait after the start until the crash verdicts are known. The
/// store delivers them within some 10 ms, another gateway within two heartbeats; if neither
/// answers, there is no configuration to serve with either.
const CRASH_VERDICTS_TIMEOUT: Duration = Duration::from_secs(2);

/// State of this gateway process, and what it knows of the rest of the fleet.
#[derive(Debug)]
pub struct Board {
    /// The configuration in force; `None` until one is loaded.
    pub configuration: Option<Rc<Configuration>>,
    /// The encoded document from which the configuration was read, served to other gateways.
    pub document: Bytes,
    /// Revision and time up to which the configuration is known; `None` if it was never read.
    pub configuration_knowledge: Option<SyncPoint>,
    /// Estimate of the store's clock.
    pub store_clock: StoreClock,
    /// Known upstreams by id.
    pub upstreams: BTreeMap<UpstreamId, UpstreamView>,
    /// Revision and time up to which the upstreams are known; `None` if they were never read.
    pub upstreams_knowledge: Option<SyncPoint>,
    /// Store time at which the list of upstreams was read again after no gateway had read it for
    /// longer than usual; `None` if that has not happened.
    pub upstreams_reread_at: Option<StoreMillis>,
    /// Revision of the newest known change of an upstream. A gateway that reports a change beyond
    /// this process's position knows more than this process.
    pub upstreams_last_change: Revision,
    /// Recently removed upstreams, for snapshots that contain only changes.
    pub removals: Removals,
    /// Upstreams that left lately.
    pub departures: Departures,
    /// Recent changes of upstreams, sent with heartbeats.
    pub recent_changes: RecentChanges,
    /// Recent results of health checks of upstreams with lapsed rows, to be passed on.
    pub check_reports: CheckReports,
    /// Other gateway processes, as last heard from.
    pub peers: BTreeMap<ProcessId, PeerView>,
    /// Number of hosts that were announced in the store when this process started.
    pub announced_hosts: usize,
    /// Until when this process waits for other gateways to send it the upstreams; `None` while the
    /// number of other gateways is unknown.
    pub peer_snapshot_deadline: Option<Instant>,
    /// Estimate of which engines hold which prompt prefixes in their caches.
    pub cache: PrefixCacheEstimate,
    /// Prefixes sent to engines since the last heartbeat.
    pub sent_prefixes: Vec<PrefixReport>,
    /// Token quotas of customers.
    pub quotas: QuotaLimiter,
    /// Upstreams that announced in their answers that they are leaving.
    pub leaving: LeavingTracker,
    /// Rate limits announced by upstreams.
    pub limits: RateLimiter,
    /// Brittle upstreams, with the rejections in a second that they bear. One gateway holds each.
    pub brittle: RateLimiter,
    /// Room of brittle upstreams that this process grants.
    pub room_grants: RoomGrants,
    /// Upstreams that asked this process to pause requests.
    pub rests: CooldownTracker,
    /// Paths from this process to the upstreams.
    pub paths: UpstreamPaths,
    /// Outcomes of connections through other gateways, by their addresses for other gateways.
    pub tunnel_outcomes: TunnelPeers<SocketAddr>,
    /// Versions at which streams began, here or at gateways that told this one.
    pub stream_versions: StreamVersions,
    /// Streams that began here and are not in the store.
    pub stream_journal: StreamJournal,
    /// Versions of each service that were listed lately.
    pub version_history: VersionHistory,
    /// Versions that the store names as those at which streams may have begun.
    pub recorded_versions: RecordedVersions,
    /// Roll-outs of new upstream versions.
    pub rollouts: RolloutTracker,
    /// Retry budget.
    pub retries: ServiceRetryBudgets,
    /// Requests that crash upstreams, and the evidence for it.
    pub crashes: CrashTracker,
    /// Whether this process may run trials of quarantined requests.
    pub trial_turn: TrialTurn,
    /// Attempts that broke off at upstreams that may have crashed.
    pub breaks: InterruptedAttempts,
    /// Whether the store or another gateway has delivered the crash verdicts.
    pub crash_verdicts_known: bool,
    /// Usage counts by time window.
    pub usage: UsageCounters,
    /// Demand for engines and orders of engines, as reported by the lease holder.
    pub capacity: CapacityRecord,
    /// Demand for engines that an earlier lease holder left in the store, by service.
    pub previous_holder_needs: BTreeMap<ServiceName, f64>,
    /// Estimate of the true time of day.
    pub clock: PeerCorrectedClock,
    /// The lease on the singleton duties, as this process sees it.
    pub lease: LeaseView,
    /// Whether the store answers this process.
    pub store: StoreState,
    /// Highest era in which the store has answered this process; `None` if no answer has named one.
    pub store_era: Option<Era>,
    /// Whether the store has answered this process without interruption.
    pub steadiness: StoreStability,
    /// When the store was last learnt to have returned from a copy.
    pub store_returned_at: Option<Instant>,
    /// Learnt costs of requests.
    pub costs_learnt: CostModel,
    /// Number of requests in progress.
    pub in_progress: usize,
    /// Speeds of single upstreams.
    pub upstream_speeds: UpstreamSpeeds,
    /// Overload of services, and time budgets of callers.
    pub admission: AdmissionState,
    /// Newest lifetime of each upstream.
    lifetimes: Lifetimes,
    peer_load: PeerLoads,
    /// Work that other processes have announced since their last heartbeats.
    noticed_work: NoticedWork,
    shared_outcomes: SharedOutcomes,
    loads: BTreeMap<ServiceName, LoadMeter>,
    /// Average cost of a request to each service, over all processes.
    costs: BTreeMap<ServiceName, RequestCost>,
    speeds: BTreeMap<ServiceName, SpeedModel>,
    started: Instant,
}

impl Board {
    /// Creates a board without any knowledge.
    pub fn new(clock: PeerCorrectedClock, now: Instant) -> Self {
        Self {
            configuration: None,
            document: Bytes::new(),
            configuration_knowledge: None,
            store_clock: StoreClock::default(),
            upstreams: BTreeMap::new(),
            upstreams_knowledge: None,
            upstreams_reread_at: None,
            upstreams_last_change: 0,
            removals: Removals::default(),
            departures: Departures::default(),
            recent_changes: RecentChanges::default(),
            check_reports: CheckReports::default(),
            peers: BTreeMap::new(),
            announced_hosts: 0,
            peer_snapshot_deadline: None,
            cache: PrefixCacheEstimate::default(),
            sent_prefixes: Vec::new(),
            quotas: QuotaLimiter::new(now),
            leaving: LeavingTracker::default(),
            limits: RateLimiter::default(),
            brittle: RateLimiter::with_single_holders(),
            room_grants: RoomGrants::default(),
            rests: CooldownTracker::default(),
            paths: UpstreamPaths::default(),
            tunnel_outcomes: TunnelPeers::default(),
            stream_versions: StreamVersions::default(),
            stream_journal: StreamJournal::default(),
            version_history: VersionHistory::new(now),
            recorded_versions: RecordedVersions::default(),
            rollouts: RolloutTracker::default(),
            retries: ServiceRetryBudgets::default(),
            crashes: CrashTracker::default(),
            trial_turn: TrialTurn::default(),
            breaks: InterruptedAttempts::default(),
            crash_verdicts_known: false,
            usage: UsageCounters::default(),
            capacity: CapacityRecord::default(),
            previous_holder_needs: BTreeMap::new(),
            clock,
            lease: LeaseView::default(),
            store: StoreState::Up,
            store_era: None,
            store_returned_at: None,
            steadiness: StoreStability::default(),
            costs_learnt: CostModel::default(),
            in_progress: 0,
            upstream_speeds: UpstreamSpeeds::new(now),
            admission: AdmissionState::default(),
            lifetimes: Lifetimes::default(),
            peer_load: PeerLoads::default(),
            noticed_work: NoticedWork::default(),
            shared_outcomes: SharedOutcomes::default(),
            loads: BTreeMap::new(),
            costs: BTreeMap::new(),
            speeds: BTreeMap::new(),
            started: now,
        }
    }

    /// Returns the version of the configuration in force; 0 if there is none.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |c| c.version)
    }

    /// Returns the store revision up to which all changes of upstreams are known.
    pub fn upstreams_position(&self) -> Revision {
        self.upstreams_knowledge.map_or(0, |k| k.position)
    }

    /// Returns whether this process may send requests: the crash verdicts are known, or the wait
    /// for them has timed out.
    pub fn crash_verdicts_ready(&self, now: Instant) -> bool {
        self.crash_verdicts_known
            || now.saturating_duration_since(self.started) >= CRASH_VERDICTS_TIMEOUT
    }

    /// Returns when the list of upstreams was last known to be up to date.
    fn upstreams_seen(&self, now: Instant) -> Instant {
        let age = self.age(WatchedData::Upstreams, now).unwrap_or_default();
        now.checked_sub(age).unwrap_or(now)
    }

    /// Returns the upstreams of a service that take new requests.
    pub fn serving<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a UpstreamView> + use<'a> {
        self.of_service(service).filter(|v| v.takes_work())
    }

    /// Returns the upstreams that take new requests but could not be reached last time.
    pub fn unreachable_upstreams(&self) -> impl Iterator<Item = &UpstreamView> {
        self.upstreams.values().filter(|v| v.takes_work() && v.breaker.is_unreachable())
    }

    /// Returns all known upstreams of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a UpstreamView> + use<'a> {
        self.upstreams.values().filter(move |v| v.upstream.service == service)
    }

    /// Returns the upstreams that changed after a revision, or all upstreams if the removals since
    /// then are no longer remembered.
    pub fn upstream_snapshot(&self, after: Revision) -> UpstreamSnapshot {
        let mut gone = self.removals.after(after).filter(|_| after > 0);
        if let Some(gone) = &mut gone {
            // Some have been added again since.
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
            recorded_versions: self.recorded_versions.recorded().collect(),
        }
    }

    /// Applies an upstream's description of itself that was written at a store revision.
    pub fn apply_description_at(
        &mut self,
        upstream: Upstream,
        revision: Revision,
        now: Instant,
    ) -> DescriptionChange {
        let id = upstream.id.clone();
        let described = self.apply_description(upstream, now);
        if let Some(view) = self.upstreams.get_mut(&id) {
            view.changed = view.changed.max(revision);
        }
        described
    }

    /// Applies an upstream's description of itself.
    pub fn apply_description(&mut self, upstream: Upstream, now: Instant) -> DescriptionChange {
        let id = upstream.id.clone();
        let seen = self.upstreams_seen(now);
        self.note_version(&id, now);
        self.version_history.note(&upstream.service, &upstream.version, now);
        self.recorded_versions.note_listed(&upstream.service, &upstream.version);
        let (described, lifetime) = match self.upstreams.get_mut(&id) {
            Some(view) => (view.update(upstream, seen, now), view.lifetime),
            None => {
                let view = UpstreamView::new(upstream, now);
                let lifetime = view.lifetime;
                self.upstreams.insert(id.clone(), view);
                (DescriptionChange::New, lifetime)
            }
        };
        self.lifetimes.note(&id, lifetime);
        self.departures.forget(&id);
        if let Some(view) = self.upstreams.get_mut(&id) {
            view.announced_leaving_since = self.leaving.since(lifetime);
        }
        described
    }

    /// Removes an upstream.
    pub fn remove_upstream(&mut self, id: &UpstreamId, now: Instant) -> Option<UpstreamView> {
        self.note_version(id, now);
        let view = self.upstreams.remove(id)?;
        self.departures.note(id, view.lifetime, now);
        Some(view)
    }

    fn note_version(&mut self, id: &UpstreamId, now: Instant) {
        if let Some(view) = self.upstreams.get(id) {
            self.version_history.note(&view.upstream.service, &view.upstream.version, now);
        }
    }

    /// Returns an upstream if it is still in the given lifetime.
    pub fn in_lifetime(
        &mut self,
        id: &UpstreamId,
        lifetime: Lifetime,
    ) -> Option<&mut UpstreamView> {
        self.upstreams.get_mut(id).filter(|v| v.lifetime == lifetime)
    }

    /// Returns whether a request may still be sent to an upstream that was chosen in the given
    /// lifetime. The upstream may have started to drain while the connection was being opened.
    pub fn may_be_sent_to(&self, id: &UpstreamId, lifetime: Lifetime, now: Instant) -> bool {
        let view = self.upstreams.get(id).filter(|v| v.lifetime == lifetime);
        view.is_some_and(|v| v.takes_work() || v.is_last_resort(now))
    }

    /// Returns the id of the upstream with the given lifetime; empty if it is unknown.
    pub fn upstream_name(&self, lifetime: Lifetime) -> &str {
        self.lifetimes.upstream(lifetime).map_or("", |id| id)
    }

    /// Returns the capacity of an engine's cache in tokens; `None` if the engine is unknown or has
    /// restarted since the given lifetime.
    pub fn cache_tokens(&self, cfg: &Configuration, lifetime: Lifetime) -> Option<u64> {
        let view = self.upstreams.get(self.lifetimes.upstream(lifetime)?)?;
        cfg.services.get(&view.upstream.service)?.engine.map(|e| e.cache_tokens)
    }

    /// Returns a receiver of the upstream's newest lifetime; `None` if the upstream is unknown.
    pub fn subscribe_lifetime(&self, id: &UpstreamId) -> Option<Receiver<Lifetime>> {
        self.lifetimes.follow(id)
    }

    /// Drops state that belongs to removed upstreams and to earlier lifetimes.
    pub fn forget_lifetimes(&mut self, now: Instant) {
        let known: HashSet<Lifetime> = self.upstreams.values().map(|v| v.lifetime).collect();
        self.cache.retain(|lifetime| known.contains(&lifetime));
        self.upstream_speeds.retain(|lifetime| known.contains(&lifetime));
        self.leaving.retain(|lifetime| known.contains(&lifetime), now);
        self.rests.remove_expired(now);
        self.noticed_work.retain(|lifetime| known.contains(&lifetime));
        self.limits.retain(|lifetime| known.contains(&lifetime), now);
        self.brittle.retain(|lifetime| known.contains(&lifetime), now);
        self.room_grants.retain(|lifetime| self.brittle.is_holder(lifetime));
        self.lifetimes.retain(|id| self.upstreams.contains_key(id));
    }

    /// Returns the load that other processes put on an upstream, as last reported.
    pub fn peer_load(&self, view: &UpstreamView) -> Load {
        self.peer_load.on(view.lifetime)
    }

    /// Builds the routing candidate for an upstream; `missing_tokens` is the number of prompt
    /// tokens that it would have to compute for the request.
    pub fn candidate(
        &self,
        view: &UpstreamView,
        missing_tokens: u32,
        own_data_centre: &DataCentre,
        now: Instant,
        chance: f64,
    ) -> Candidate {
        let others = self.peer_load(view);
        Candidate {
            running: f64::from(view.own.running + others.running),
            pending_tokens: f64::from(view.own.pending_tokens + others.pending_tokens)
                + self.noticed_tokens(view.lifetime, now),
            slots: view.upstream.slots,
            missing_tokens: f64::from(missing_tokens),
            failures: view.breaker.recent_failures(now),
            remote: view.upstream.data_centre != *own_data_centre,
            connected: false,
            jitter_sample: chance,
        }
    }

    /// Returns the learnt speed of a service's upstreams, or defaults where nothing is learnt.
    pub fn speed(&self, service: &str, off: &DisabledMechanisms) -> EngineSpeed {
        if !off.is_enabled(Mechanism::LearntSpeed) {
            return EngineSpeed::default();
        }
        let mut speed = self.speeds.get(service).map(SpeedModel::speed).unwrap_or_default();
        speed.slot_seconds = self.costs.get(service).map_or(speed.slot_seconds, |c| c.slot_seconds);
        speed
    }

    /// Returns the model that learns the speed of a service's upstreams.
    pub fn speed_model(&mut self, service: &ServiceName) -> &mut SpeedModel {
        self.speeds.entry(service.clone()).or_default()
    }

    /// Returns the speeds that this process has learnt, to be sent with heartbeats.
    pub fn own_speeds(&self) -> Vec<SpeedReport> {
        let speeds = self.speeds.iter();
        speeds.map(|(service, model)| SpeedReport::new(service, model)).collect()
    }

    /// Returns the largest number of requests that an upstream of the service runs at once.
    pub fn slots(&self, service: &str) -> u32 {
        self.of_service(service).map(|v| v.upstream.slots).max().unwrap_or(1)
    }
}
