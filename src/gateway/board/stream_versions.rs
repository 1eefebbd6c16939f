//! What this gateway knows of the versions at which streams began, and who else may know.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::Board;
use crate::{
    gateway::{
        decide::{
            KNOWLEDGE_OLD_AFTER, ServedVersions, ShareHolder, StoreMillis, SyncPoint,
            VersionKeeper, choose_keepers,
        },
        model::{RequestDigest, ServiceName, WatchedData},
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
        match self.version_history.served(service, listed, now) {
            // Another one may have joined since the list was read.
            ServedVersions::Sole(_) if self.is_old(WatchedData::Upstreams, now) => {
                KnownVersion::Unknown
            }
            ServedVersions::Sole(version) => KnownVersion::Sole(version.clone()),
            ServedVersions::Several => KnownVersion::Several,
            ServedVersions::Unknown => KnownVersion::Unknown,
        }
    }

    /// Returns whether the list of upstreams includes all that joined before `at`.
    pub fn lists_upstreams_as_of(&self, at: StoreMillis) -> bool {
        self.knowledge(WatchedData::Upstreams).is_some_and(|known| known.as_of >= at)
    }

    /// Notes before a whole list is applied that versions may have come and gone since the list before.
    pub fn note_unseen_versions(&mut self, as_of: StoreMillis, now: Instant) {
        let unseen = |k: SyncPoint| Duration::from_millis(as_of.saturating_sub(k.as_of));
        let known = self.knowledge(WatchedData::Upstreams);
        if known.is_some_and(|k| unseen(k) >= KNOWLEDGE_OLD_AFTER) {
            self.version_history.note_gap(now);
        }
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
