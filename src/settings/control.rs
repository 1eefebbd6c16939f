//! Settings of `tackhollow-control`.

use std::{net::SocketAddr, path::Path, time::Duration};

use log::LevelFilter;

use super::{Section, SettingsError, entry::LEVELS, load};
use crate::ids::DataCentre;

/// Settings of a control process.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Name of the process.
    pub id: String,
    /// Data centre whose engines it gives orders to.
    pub data_centre: DataCentre,
    /// Level of logs.
    pub log_level: LevelFilter,
    /// Address for metrics and health.
    pub http: SocketAddr,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Longest wait for one call of the platform.
    pub platform_timeout: Duration,
    /// For how long a lease holds without renewal.
    pub lease_ttl: Duration,
    /// Time before the end of a lease from which no order is given.
    pub lease_margin: Duration,
    /// Between rounds of the controllers.
    pub period: Duration,
}

impl ControlSettings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load(path, Self::parse)
    }

    fn parse(s: &mut Section) -> Self {
        let secs = Duration::from_secs;
        let (platform, platform_timeout) = s.section("platform", |p| {
            (p.addr("address"), p.millis("timeout_ms", Duration::from_millis(1_500)))
        });
        let lease = |l: &mut Section| {
            (
                l.millis("ttl_ms", secs(10)),
                l.millis("margin_ms", secs(4)),
                l.millis("period_ms", secs(1)),
            )
        };
        let (lease_ttl, lease_margin, period) = s.section("lease", lease);
        if lease_margin + platform_timeout >= lease_ttl {
            let found = format!("{} ms", lease_margin.as_millis());
            s.mistake("lease.margin_ms", "less than ttl_ms without platform.timeout_ms", &found);
        }
        Self {
            id: s.text("id"),
            data_centre: s.text("data_centre"),
            log_level: s.one_of("log_level", &LEVELS, LevelFilter::Info),
            http: s.section("listen", |l| l.addr("http")),
            platform,
            platform_timeout,
            lease_ttl,
            lease_margin,
            period,
        }
    }
}
