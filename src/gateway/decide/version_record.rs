//! The record in the store of the software versions at which streams may have begun.
//!
//! A version is recorded before the first stream begins at it, by whichever gateway. So a service for
//! which one version is recorded has no streams of others, whoever served them and whether or not any
//! gateway still remembers. The record lists versions beyond their use: a gateway that was cut off may have
//! used one after its last upstream was removed.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{STREAM_LIFETIME, ServedVersions, StateError, StoreMillis};
use crate::gateway::model::{Era, ServiceName, UpstreamVersion};

/// Time for which a version stays recorded after it was found unused. A gateway that is cut off from the
/// store for longer, together with upstreams of that version, may begin streams that the record denies;
/// a longer time makes gateways record single streams for longer after each release.
pub const UNUSED_VERSION_RETENTION: Duration = Duration::from_secs(90);
/// First byte of the encoded record, to be changed with its format.
const RECORD_FORMAT: u8 = 1;

/// When a process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SystemStart {
    /// With the whole system, for the first time.
    First,
    /// Later, or again.
    Later,
    /// The platform does not say so.
    #[default]
    Unstated,
}

/// Time after the first start of the whole system in which no stream can have begun that the store has
/// forgotten. A process that reaches the store later may have missed the store's return from a copy.
pub const FIRST_START_TIME: Duration = Duration::from_secs(5);

impl SystemStart {
    /// Returns whether a store that holds no record never held one, for a process that has been up for
    /// this long. `era` is that of the store, 0 if it names none or has never returned from a copy.
    fn proves_no_record(self, up: Duration, era: Era) -> bool {
        match self {
            Self::First => era == 0 || up < FIRST_START_TIME,
            Self::Later => false,
            Self::Unstated => era == 0,
        }
    }
}

/// A version of the upstreams of a service.
pub type ServiceVersion = (ServiceName, UpstreamVersion);

/// The versions of each service at which streams may have begun.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// Era of the store in which it was written.
    era: Era,
    /// Store time from which on it is complete. Versions used before may be missing.
    complete_since: StoreMillis,
    /// Since when each version is unused, by the store's clock; `None` while it is in use.
    services: BTreeMap<ServiceName, BTreeMap<UpstreamVersion, Option<StoreMillis>>>,
}

impl VersionRecord {
    /// Creates the record of a store that holds none, by a process that started at `start` and has been
    /// up for some time. Unless the system starts for the first time, the store may have returned from a
    /// copy that is older than the first record.
    pub fn first((start, up): (SystemStart, Duration), era: Era, now: StoreMillis) -> Self {
        match start.proves_no_record(up, era) {
            true => Self { era, ..Self::default() },
            false => Self::incomplete(era, now),
        }
    }

    /// Creates the record in place of one that is lost: versions used before `now` are unknown.
    pub fn incomplete(era: Era, now: StoreMillis) -> Self {
        // Zero stands for a record that was never lost.
        Self { era, complete_since: now.max(1), ..Self::default() }
    }

    /// Continues the record in a later era of the store. Versions that were recorded after the copy was
    /// taken from which the store returned may be missing.
    pub fn enter_era(&mut self, era: Era, now: StoreMillis) {
        if self.era < era {
            (self.era, self.complete_since) = (era, now.max(1));
        }
    }

    /// Returns whether it was written before an era.
    pub fn is_from_before(&self, era: Era) -> bool {
        self.era < era
    }

    /// Records that a version is in use.
    pub fn include(&mut self, (service, version): &ServiceVersion) {
        self.services.entry(service.clone()).or_default().insert(version.clone(), None);
    }

    /// Marks versions that are not in use any more, and drops those that have been unused for
    /// [`UNUSED_VERSION_RETENTION`]; returns whether anything changed.
    pub fn retire(
        &mut self,
        is_used: impl Fn(&ServiceName, &UpstreamVersion) -> bool,
        now: StoreMillis,
    ) -> bool {
        let before = self.clone();
        for (service, versions) in &mut self.services {
            for (version, unused) in versions.iter_mut() {
                if unused.is_none() && !is_used(service, version) {
                    *unused = Some(now);
                }
            }
            versions.retain(|_, unused| !is_expired(*unused, now));
        }
        self.services.retain(|_, versions| !versions.is_empty());
        *self != before
    }

    /// Returns the versions that are recorded as in use.
    pub fn in_use(&self) -> impl Iterator<Item = ServiceVersion> {
        self.services.iter().flat_map(|(service, versions)| {
            let used = versions.iter().filter(|(_, unused)| unused.is_none());
            used.map(|(version, _)| (service.clone(), version.clone()))
        })
    }

    /// Returns the versions of a service at which a stream may have begun that callers take up.
    pub fn versions(&self, service: &str, now: StoreMillis) -> BTreeSet<&UpstreamVersion> {
        let versions = self.services.get(service).into_iter().flatten();
        versions.filter(|(_, unused)| !is_expired(**unused, now)).map(|(v, _)| v).collect()
    }

    /// Returns the versions of a service at which a stream that goes on may have begun, as of `now`, in
    /// the store's era. `others` are versions that are known besides.
    pub fn served<'a>(
        &'a self,
        service: &str,
        others: impl Iterator<Item = &'a UpstreamVersion>,
        era: Era,
        now: StoreMillis,
    ) -> ServedVersions<'a> {
        let mut versions = self.versions(service, now);
        // Without a record no stream of the service has begun, whatever is listed.
        let is_recorded = !versions.is_empty();
        versions.extend(others);
        let complete_for = Duration::from_millis(now.saturating_sub(self.complete_since));
        // A gateway that is cut off goes on by what it knew of the record that was lost.
        let rewritten_after = UNUSED_VERSION_RETENTION + STREAM_LIFETIME;
        let is_complete = self.complete_since == 0 || complete_for >= rewritten_after;
        match (versions.pop_first(), versions.is_empty()) {
            (Some(_), false) => ServedVersions::Several,
            (Some(version), true) if is_recorded && is_complete && self.era >= era => {
                ServedVersions::Sole(version)
            }
            _ => ServedVersions::Unknown,
        }
    }

    /// Encodes the record.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, StateError> {
        Ok(postcard::to_extend(self, vec![RECORD_FORMAT])?)
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a record in this format.
    pub fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        match bytes.split_first() {
            Some((&RECORD_FORMAT, record)) => Ok(postcard::from_bytes(record)?),
            other => Err(StateError::Format(other.map(|(format, _)| *format))),
        }
    }
}

fn is_expired(unused: Option<StoreMillis>, now: StoreMillis) -> bool {
    let age = unused.map(|since| Duration::from_millis(now.saturating_sub(since)));
    age.is_some_and(|age| age >= UNUSED_VERSION_RETENTION)
}
