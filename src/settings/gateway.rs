//! Settings of `tackhollow-gateway`.

use std::{
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use log::LevelFilter;

use super::{Section, SettingsError, entry::LEVELS, load};
use crate::{
    gateway::decide::{CapacityPolicy, DisabledMechanisms, ExposureTerms, Mechanism, QuotaPolicy},
    ids::DataCentre,
};

/// Share of the quotas' slack by which buckets exceed the burst. The sum over
/// the window keeps rate and burst; after a restart, whose window is not known,
/// the rest of the slack is left.
const QUOTA_SLACK_USED: f64 = 0.5;

/// Addresses on which the process serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Callers' questions which addresses to use.
    pub directory: SocketAddr,
    /// The platform's question whether the process is ready.
    pub readiness: SocketAddr,
    /// Other gateways' questions, metrics and status, over HTTP.
    pub peers: SocketAddr,
    /// Heartbeats of other gateways, over UDP.
    pub heartbeats: SocketAddr,
}

/// Bounds that the operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from the stop signal until the process is killed.
    pub grace: Duration,
    /// Second attempts for each request.
    pub retry_ratio: f64,
    /// Second attempts in a window beyond that, all processes together.
    pub retry_surplus: f64,
    /// Length of the window in which second attempts are counted.
    pub retry_window: Duration,
    /// How the operator counts quotas.
    pub quotas: QuotaPolicy,
    /// Length of a window of the usage report.
    pub usage_window: Duration,
    /// Time in which two holders may not act in turns.
    pub lease: Duration,
    /// What a version may get that turns out to be bad.
    pub exposure: ExposureTerms,
    /// Longest time for which callers keep an answer to their question.
    pub directory_ttl: Duration,
}

/// How many engines are kept for the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacitySettings {
    /// What is kept beyond the load.
    pub policy: CapacityPolicy,
    /// Engines needed beyond those that the load keeps busy, for each square root
    /// of their number.
    pub safety: f64,
}

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// File that the settings were read from.
    pub file: PathBuf,
    /// Name of the host, unique in the system.
    pub id: String,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Level of the plain log lines on standard error.
    pub log_level: LevelFilter,
    /// Addresses on which the process serves.
    pub listen: ListenSettings,
    /// Hosts that are asked first for the others.
    pub seeds: Vec<IpAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the platform's API for orders and reports.
    pub api: SocketAddr,
    /// Bounds that the operators set.
    pub bounds: Bounds,
    /// How many engines are kept for the load.
    pub capacity: CapacitySettings,
    /// Mechanisms that are switched off, for measurements.
    pub off: DisabledMechanisms,
}

impl GatewaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails with every mistake in the file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load(path, |s| Self::parse(s, path))
    }

    fn parse(s: &mut Section, path: &Path) -> Self {
        let seeds: Vec<SocketAddr> = s.addrs("seeds");
        let (store, api) = s.section("platform", |p| (p.addr("store"), p.addr("api")));
        Self {
            file: path.to_owned(),
            id: s.text("id"),
            data_centre: s.text("data_centre"),
            log_level: s.one_of("log_level", &LEVELS, LevelFilter::Warn),
            listen: s.section("listen", listen),
            seeds: seeds.iter().map(SocketAddr::ip).collect(),
            store,
            api,
            bounds: s.section("bounds", bounds),
            capacity: s.section("capacity", capacity),
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

/// Defaults are the figures of the smaller deployments.
fn bounds(s: &mut Section) -> Bounds {
    let secs = Duration::from_secs;
    Bounds {
        grace: s.seconds("grace_s", secs(8)),
        retry_ratio: s.number("retry_ratio", 0.2),
        retry_surplus: s.number("retry_surplus", 58.0),
        retry_window: s.seconds("retry_window_s", secs(10)),
        quotas: QuotaPolicy {
            window: s.seconds("quota_window_s", secs(8)),
            extra: s.number("quota_slack", 0.0) * QUOTA_SLACK_USED,
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

/// Defaults were chosen by the runs in docs/MEASURED.md.
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
