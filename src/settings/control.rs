//! Settings of `tackhollow-control`.

use std::{net::SocketAddr, path::Path, time::Duration};

use log::LevelFilter;

use super::{Section, SettingsError, entry::LOG_LEVELS, load};
use crate::ids::DataCentre;

/// Settings of a control process.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Name of this process.
    pub id: String,
    /// Data centre whose engines this process controls.
    pub data_centre: DataCentre,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
    /// Listen address of the metrics and health endpoints.
    pub http: SocketAddr,
    /// Address of the platform API.
    pub platform: SocketAddr,
    /// Timeout of one call to the platform.
    pub platform_timeout: Duration,
    /// Time after which a lease expires unless it is renewed.
    pub lease_ttl: Duration,
    /// Time before lease expiry during which no more orders are sent.
    pub lease_margin: Duration,
    /// Interval between controller runs.
    pub period: Duration,
}

impl ControlSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is not TOML or holds invalid settings; all of
    /// them are reported together.
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
            log_level: s.one_of("log_level", &LOG_LEVELS, LevelFilter::Info),
            http: s.section("listen", |l| l.addr("http")),
            platform,
            platform_timeout,
            lease_ttl,
            lease_margin,
            period,
        }
    }
}
