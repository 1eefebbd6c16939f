//! Settings of `tackhollow-gateway`.

use std::{
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use log::LevelFilter;

use super::{Section, SettingsError, entry::LOG_LEVELS, load, system};
use crate::{
    gateway::{
        decide::{
            CapacityPolicy, DisabledMechanisms, ExposureTerms, IntakeLimits, Mechanism,
            QuotaPolicy, SystemStart,
        },
        net::DEFAULT_MAX_UNREAD,
    },
    ids::DataCentre,
};

/// Share of the quota slack by which token buckets may exceed the burst. The count
/// over the quota window still enforces rate and burst. The rest of the slack covers
/// restarts, after which the usage within the current window is unknown.
const QUOTA_SLACK_SHARE: f64 = 0.5;

/// Writes a second that the store of the smaller deployments bears.
const DEFAULT_STORE_WRITES: f64 = 400.0;

/// When a process started, as written in the settings.
const SYSTEM_STARTS: [(&str, SystemStart); 2] =
    [("first", SystemStart::First), ("later", SystemStart::Later)];

/// Listen addresses of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Callers' lookups of the gateway addresses to use.
    pub directory: SocketAddr,
    /// Readiness probes of the platform.
    pub readiness: SocketAddr,
    /// Requests of other gateways, metrics and status, over HTTP.
    pub peers: SocketAddr,
    /// Heartbeats of other gateways, over UDP.
    pub heartbeats: SocketAddr,
}

/// Limits and timeouts that the operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Grace period from the stop signal until the process is killed.
    pub grace: Duration,
    /// Retry budget: retries allowed per request.
    pub retry_ratio: f64,
    /// Retries allowed per window on top of `retry_ratio`, over all gateways together.
    pub retry_surplus: f64,
    /// Length of the window over which retries are counted.
    pub retry_window: Duration,
    /// How quotas are counted.
    pub quotas: QuotaPolicy,
    /// Length of one window of the usage report.
    pub usage_window: Duration,
    /// Time within which two lease holders must not act alternately.
    pub lease: Duration,
    /// Limit of the requests that a version may receive that turns out to be bad.
    pub exposure: ExposureTerms,
    /// Longest time for which callers cache a response of the directory.
    pub directory_ttl: Duration,
}

/// How many engines are kept running for a given load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacitySettings {
    /// Spare capacity kept beyond the load.
    pub policy: CapacityPolicy,
    /// Factor of the square-root staffing rule: `safety * sqrt(n)` engines are needed
    /// beyond the `n` that the load keeps busy.
    pub safety: f64,
}

/// When load control takes effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSettings {
    /// Whether load control is enabled.
    pub enabled: bool,
    /// Least [`crate::gateway::model::Configuration::urgency_spread`] for which it takes effect.
    pub min_spread: f64,
    /// What upstreams are compared by.
    pub placement: PlacementPolicy,
    /// Which upstreams are compared by cost.
    pub candidates: CandidatePolicy,
}

/// Which upstreams are compared by cost, where gateways announce large requests to each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CandidatePolicy {
    /// A random sample.
    #[default]
    Sample,
    /// All.
    All,
}

impl CandidatePolicy {
    /// Policies with their names in the settings.
    const NAMES: [(&'static str, Self); 2] = [("sample", Self::Sample), ("all", Self::All)];
}

/// What the upstreams of a service are compared by, where load control takes effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// Predicted time to the first event, with one speed for all upstreams of the service.
    #[default]
    FirstEvent,
    /// Learnt cost of the request, work left and speed of each upstream.
    Cost,
}

impl PlacementPolicy {
    /// Policies with their names in the settings.
    const NAMES: [(&'static str, Self); 2] =
        [("first_event", Self::FirstEvent), ("cost", Self::Cost)];
}

/// What the process may use of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostSettings {
    /// Bytes of memory.
    pub memory: usize,
    /// Open descriptors.
    pub descriptors: usize,
    /// Connections that may hold parts of answers which their callers do not read.
    pub unread_answers: usize,
}

impl HostSettings {
    /// Returns what clients may make the process hold.
    pub fn intake_limits(&self) -> IntakeLimits {
        IntakeLimits::of_host(self.memory, self.descriptors)
    }
}

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Path of the settings file.
    pub file: PathBuf,
    /// Name of the host, unique within the system.
    pub id: String,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Whether the process starts with the whole system, for the first time.
    pub system_start: SystemStart,
    /// Least severe level that is logged as plain text to standard error.
    pub log_level: LevelFilter,
    /// Listen addresses.
    pub listen: ListenSettings,
    /// IP address that connections to upstreams come from; `None` lets the system choose.
    pub outgoing: Option<IpAddr>,
    /// Hosts contacted first to discover the other gateways.
    pub seeds: Vec<IpAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Writes a second that the platform's store bears, from all gateways together.
    pub store_writes: f64,
    /// Address of the platform API for orders and reports.
    pub api: SocketAddr,
    /// Limits and timeouts that the operators set.
    pub bounds: Bounds,
    /// How many engines are kept running for a given load.
    pub capacity: CapacitySettings,
    /// When load control takes effect.
    pub load: LoadSettings,
    /// What the process may use of its host.
    pub host: HostSettings,
    /// Mechanisms that are disabled, for measurements.
    pub off: DisabledMechanisms,
}

impl GatewaySettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is not TOML or holds invalid settings; all of
    /// them are reported together.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load(path, |s| Self::parse(s, path))
    }

    fn parse(s: &mut Section, path: &Path) -> Self {
        let seeds: Vec<SocketAddr> = s.addrs("seeds");
        let (store, api, store_writes) = s.section("platform", |p| {
            (p.addr("store"), p.addr("api"), p.number("writes_per_s", DEFAULT_STORE_WRITES))
        });
        Self {
            file: path.to_owned(),
            id: s.text("id"),
            data_centre: s.text("data_centre"),
            system_start: s.one_of("system_start", &SYSTEM_STARTS, SystemStart::default()),
            log_level: s.one_of("log_level", &LOG_LEVELS, LevelFilter::Warn),
            listen: s.section("listen", listen),
            outgoing: s.optional_ip("outgoing_ip"),
            seeds: seeds.iter().map(SocketAddr::ip).collect(),
            store,
            store_writes,
            api,
            bounds: s.section("bounds", bounds),
            capacity: s.section("capacity", capacity),
            load: s.section("load", load_control),
            host: s.section("host", host),
            off: DisabledMechanisms::new(s.some_of("off", &Mechanism::NAMES)),
        }
    }
}

fn listen(s: &mut Section) -> ListenSettings {
    ListenSettings {
        callers: s.addr("callers"),
        directory: s.addr("directory"),
        readiness: s.addr("readiness"),
        peers: s.addr("peers"),
        heartbeats: s.addr("heartbeats"),
    }
}

/// The defaults are the values of the smaller deployments.
fn bounds(s: &mut Section) -> Bounds {
    let secs = Duration::from_secs;
    Bounds {
        grace: s.seconds("grace_s", secs(8)),
        retry_ratio: s.number("retry_ratio", 0.2),
        retry_surplus: s.number("retry_surplus", 58.0),
        retry_window: s.seconds("retry_window_s", secs(10)),
        quotas: QuotaPolicy {
            window: s.seconds("quota_window_s", secs(8)),
            extra: s.number("quota_slack", 0.0) * QUOTA_SLACK_SHARE,
        },
        usage_window: s.seconds("usage_window_s", secs(5)),
        lease: s.millis("lease_ms", secs(3)),
        exposure: ExposureTerms {
            share: s.number("exposure_share", 0.1),
            slack: s.number("exposure_slack", 0.0),
        },
        directory_ttl: s.seconds("directory_ttl_s", secs(5)),
    }
}

/// The runs behind the defaults are in docs/MEASURED.md.
fn capacity(s: &mut Section) -> CapacitySettings {
    CapacitySettings {
        policy: CapacityPolicy {
            losses: s.number("losses", 1.0) as usize,
            reclaimable_spare: s.number("reclaimable_spare", 1.5),
            needed_floor: s.number("needed_floor", 2.0),
            start_share: s.number("start_share", 0.3),
        },
        safety: s.number("safety", 1.5),
    }
}

/// The defaults are what the system allows the process.
fn host(s: &mut Section) -> HostSettings {
    let memory_mb = s.optional_count("memory_mb");
    let descriptors = s.optional_count("descriptors");
    HostSettings {
        memory: memory_mb.map_or_else(system::memory_bytes, |mb| mb as usize * 1_000_000),
        descriptors: descriptors.map_or_else(system::descriptors, |n| n as usize),
        unread_answers: s.count("unread_answers", DEFAULT_MAX_UNREAD as u32) as usize,
    }
}

/// Whether load control is enabled, as written in the settings.
const SWITCH: [(&str, bool); 2] = [("off", false), ("on", true)];

/// The spread at which short and long requests at one engine delay each other noticeably: a request
/// with a third of another's time cannot wait for it.
const DEFAULT_MIN_SPREAD: f64 = 3.0;

fn load_control(s: &mut Section) -> LoadSettings {
    LoadSettings {
        enabled: s.one_of("control", &SWITCH, false),
        min_spread: s.number("min_spread", DEFAULT_MIN_SPREAD),
        placement: s.one_of("placement", &PlacementPolicy::NAMES, PlacementPolicy::default()),
        candidates: s.one_of("candidates", &CandidatePolicy::NAMES, CandidatePolicy::default()),
    }
}
