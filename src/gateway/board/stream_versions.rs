//! What this gateway knows of the versions at which streams began, and who else may know.

use std::{net::SocketAddr, time::Instant};

use super::Board;
use crate::{
    gateway::{
        decide::{ShareHolder, VersionKeeper, choose_keepers},
        model::{RequestDigest, ServiceName},
        net::Phase,
        peering::KnownVersion,
    },
    settings::GatewaySettings,
};

impl Board {
    /// Returns what this gateway knows of the version at which a stream of a service began.
    pub fn known_version(
        &self,
        stream: RequestDigest,
        service: &ServiceName,
        now: Instant,
    ) -> KnownVersion {
        if let Some(version) = self.stream_versions.get(stream) {
            return KnownVersion::Recorded(version.clone());
        }
        let listed = self.of_service(service).map(|v| &v.upstream.version);
        let sole = self.version_history.sole(service, listed, now);
        sole.map_or(KnownVersion::Unknown, |version| KnownVersion::Sole(version.clone()))
    }

    /// Returns the heartbeat addresses of other gateways among the first `count` that remember the
    /// version of a stream.
    pub fn version_keepers(
        &self,
        stream: RequestDigest,
        settings: &GatewaySettings,
        count: usize,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let others = self.recently_heard(now).filter(|p| p.last.phase == Phase::Serving);
        let others = others.map(|p| VersionKeeper {
            holder: p.holder,
            data_centre: p.last.data_centre.clone(),
            address: Some(p.last.heartbeats),
        });
        let own = VersionKeeper {
            holder: ShareHolder::new(&settings.id),
            data_centre: settings.data_centre.clone(),
            address: None,
        };
        let gateways = others.chain([own]).collect();
        choose_keepers(stream, gateways, count).into_iter().filter_map(|k| k.address).collect()
    }
}
