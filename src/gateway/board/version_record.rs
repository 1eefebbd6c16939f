//! The record of the versions at which streams may have begun, as this gateway last read or wrote it.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::sync::Notify;

use super::{Board, UpstreamView};
use crate::gateway::{
    decide::{BegunStream, ServedVersions, ServiceVersion, SystemStart, VersionRecord},
    model::{Revision, ServiceName, UpstreamVersion, WatchedData},
    peering::KnownVersion,
};

/// What this gateway knows of the record in the store.
#[derive(Debug, Default)]
pub struct RecordedVersions {
    /// The record; `None` before it was first read or written.
    record: Option<VersionRecord>,
    /// Revision of its row; 0 if there is none.
    revision: Revision,
    /// Beginning of the newest call that returned it; `None` before one did.
    known_as_of: Option<Instant>,
    /// Versions of each service that are in the record, as this gateway or another one has seen.
    recorded: BTreeMap<ServiceName, BTreeSet<UpstreamVersion>>,
    /// Listed versions that are not known to be in the record.
    missing: BTreeSet<ServiceVersion>,
    /// Notified when one is added.
    added: Rc<Notify>,
}

impl RecordedVersions {
    /// Returns the versions of a service that are in the record, so that streams may begin at them; `None`
    /// if there are none.
    pub fn of_service(&self, service: &str) -> Option<&BTreeSet<UpstreamVersion>> {
        self.recorded.get(service)
    }

    /// Returns the versions that are in the record, for other gateways.
    pub fn recorded(&self) -> impl Iterator<Item = ServiceVersion> {
        self.recorded.iter().flat_map(|(service, versions)| {
            versions.iter().map(|version| (service.clone(), version.clone()))
        })
    }

    /// Returns whether listed versions are missing in the record.
    pub fn lacks_listed(&self) -> bool {
        !self.missing.is_empty()
    }

    /// Returns the beginning of the newest call that returned the record.
    pub fn known_as_of(&self) -> Option<Instant> {
        self.known_as_of
    }

    /// Returns the revision of the row; 0 if there is none.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the handle that is notified when a listed version has to be recorded.
    pub fn added(&self) -> Rc<Notify> {
        self.added.clone()
    }

    /// Notes that a version is listed.
    pub fn note_listed(&mut self, service: &ServiceName, version: &UpstreamVersion) {
        let is_recorded = self.of_service(service).is_some_and(|v| v.contains(version));
        if !is_recorded && self.missing.insert((service.clone(), version.clone())) {
            self.added.notify_one();
        }
    }

    /// Takes over what another gateway has seen in the record.
    pub fn note_recorded(&mut self, versions: impl IntoIterator<Item = ServiceVersion>) {
        for version in versions {
            self.missing.remove(&version);
            let (service, version) = version;
            self.recorded.entry(service).or_default().insert(version);
        }
    }
}

impl Board {
    /// Takes over the record as a call returned it that began at `as_of`: its row, or `None` if there is
    /// none.
    pub fn apply_version_record(
        &mut self,
        record: Option<VersionRecord>,
        revision: Revision,
        as_of: Instant,
    ) {
        let known = &mut self.recorded_versions;
        if known.known_as_of.is_some_and(|known| as_of < known) {
            return;
        }
        (known.revision, known.known_as_of) = (revision, Some(as_of));
        // Without a row, what is known of an earlier one is written again.
        if record.is_some() {
            known.record = record;
        }
        known.recorded.clear();
        if revision > 0 {
            let recorded: Vec<_> = known.record.iter().flat_map(VersionRecord::in_use).collect();
            known.note_recorded(recorded);
        }
        for upstream in self.upstreams.values().map(|v| &v.upstream) {
            known.note_listed(&upstream.service, &upstream.version);
        }
    }

    /// Returns the record with the versions that are missing in it. `start` says when this process started.
    pub fn next_version_record(&self, start: SystemStart, now: Instant) -> VersionRecord {
        let up = now.saturating_duration_since(self.started);
        // Other gateways name era 0 where the store names none.
        let era = self.store_era.unwrap_or_default();
        let (known, now) = (&self.recorded_versions, self.store_time(now));
        let first = || VersionRecord::first((start, up), era, now);
        let mut record = known.record.clone().unwrap_or_else(first);
        record.enter_era(era, now);
        known.missing.iter().for_each(|version| record.include(version));
        record
    }

    /// Marks versions in the record as unused that no upstream has had for longer than a stream lasts;
    /// returns the record if that changes it.
    pub fn retire_versions(&self, now: Instant) -> Option<VersionRecord> {
        if self.is_old(WatchedData::Upstreams, now) || !self.version_history.is_long_enough(now) {
            return None;
        }
        let mut record = self.recorded_versions.record.clone()?;
        let listed = self.listed_versions();
        let is_used = |service: &ServiceName, version: &UpstreamVersion| {
            let used = (service.clone(), version.clone());
            listed.contains(&used) || self.version_history.was_listed(service, version, now)
        };
        record.retire(is_used, self.store_time(now)).then_some(record)
    }

    /// Has all listed versions, and those listed lately, recorded again: the store may have lost the
    /// record of some.
    pub fn record_versions_again(&mut self, now: Instant) {
        let listed = self.listed_versions();
        let earlier: Vec<ServiceVersion> = self.version_history.recent(now).collect();
        let known = &mut self.recorded_versions;
        known.missing.extend(listed.into_iter().chain(earlier));
        known.added.notify_one();
    }

    /// Returns whether the record was written before the store last returned from a copy.
    pub fn version_record_is_outdated(&self) -> bool {
        let era = self.store_era.unwrap_or_default();
        self.recorded_versions.record.as_ref().is_some_and(|record| record.is_from_before(era))
    }

    /// Returns the age of the record as it is known here; `None` before it was read.
    pub fn version_record_age(&self, now: Instant) -> Option<Duration> {
        self.recorded_versions.known_as_of.map(|at| now.saturating_duration_since(at))
    }

    /// Returns what the record says of the versions at which streams of a service may have begun, if
    /// it is known as of a time.
    pub fn recorded_version(
        &self,
        service: &ServiceName,
        as_of: Instant,
        now: Instant,
    ) -> KnownVersion {
        let known = &self.recorded_versions;
        let is_current = known.known_as_of.is_some_and(|at| at >= as_of) && known.revision > 0;
        let Some(record) = known.record.as_ref().filter(|_| is_current) else {
            return KnownVersion::Unknown;
        };
        let listed = self.of_service(service).map(|v| &v.upstream.version);
        let others = listed.chain(self.version_history.recent_of(service, now));
        let era = self.store_era.unwrap_or_default();
        match record.served(service, others, era, self.store_time(now)) {
            ServedVersions::Sole(version) => KnownVersion::Sole(version.clone()),
            ServedVersions::Several => KnownVersion::Several,
            ServedVersions::Unknown => KnownVersion::Unknown,
        }
    }

    /// Takes the streams that began here and are to be stored: those of services that have several
    /// versions, as far as is known.
    pub fn streams_to_store(&mut self, now: Instant) -> Vec<BegunStream> {
        let services = self.services_of_several_versions(now);
        match services.is_empty() {
            true => Vec::new(),
            false => self.stream_journal.take(|service| services.contains(service), now),
        }
    }

    /// Returns whether streams are to be stored as they begin: a service has several versions.
    pub fn stores_streams(&self, now: Instant) -> bool {
        !self.services_of_several_versions(now).is_empty()
    }

    fn services_of_several_versions(&self, now: Instant) -> BTreeSet<ServiceName> {
        let (known, now) = (&self.recorded_versions, self.store_time(now));
        let recorded = known.recorded.iter();
        let several = recorded.filter(|(service, recorded)| {
            let mut versions: BTreeSet<_> = recorded.iter().collect();
            versions.extend(known.record.iter().flat_map(|r| r.versions(service, now)));
            versions.len() > 1
        });
        several.map(|(service, _)| service.clone()).collect()
    }

    /// Returns whether upstreams of a service are listed, and none of them has a version that is recorded.
    pub fn awaits_version_record(&self, service: &str) -> bool {
        let recorded = self.recorded_versions.of_service(service);
        let mut upstreams = self.of_service(service).peekable();
        let is_listed = upstreams.peek().is_some();
        let is_recorded =
            |v: &UpstreamView| recorded.is_some_and(|r| r.contains(&v.upstream.version));
        is_listed && !upstreams.any(is_recorded)
    }

    fn listed_versions(&self) -> BTreeSet<ServiceVersion> {
        let upstreams = self.upstreams.values().map(|v| &v.upstream);
        upstreams.map(|u| (u.service.clone(), u.version.clone())).collect()
    }
}
