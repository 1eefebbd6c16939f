//! Software versions of upstreams, for streams that go on after an interruption: what two versions
//! write does not fit together, and upstreams do not check it.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::{Duration, Instant},
};

use super::{ServiceVersion, ShareHolder};
use crate::{
    gateway::model::{RequestDigest, ServiceName, UpstreamVersion},
    ids::DataCentre,
    prefix,
};

/// Time from the first event of a stream within which it may be taken up. A shorter one refuses
/// callers of long streams; a longer one takes memory, and lets fewer restarted gateways say that
/// only one version has served.
pub const STREAM_LIFETIME: Duration = Duration::from_secs(30);
/// Streams that one gateway remembers. With more, the oldest are forgotten, and refused if callers
/// take them up.
const MAX_STREAMS: usize = 1 << 14;

/// The versions at which streams began.
#[derive(Debug, Default)]
pub struct StreamVersions {
    versions: HashMap<RequestDigest, UpstreamVersion>,
    /// The streams, oldest first, and when each began.
    began: VecDeque<(RequestDigest, Instant)>,
}

impl StreamVersions {
    /// Notes that a stream began at a version.
    pub fn note(&mut self, stream: RequestDigest, version: UpstreamVersion, now: Instant) {
        self.forget_old(now);
        if self.versions.insert(stream, version).is_none() {
            self.began.push_back((stream, now));
        }
    }

    /// Notes that a stream began at a version before a loss of gateways. What is known of it counts more.
    pub fn note_earlier(&mut self, stream: RequestDigest, version: UpstreamVersion, now: Instant) {
        if self.get(stream).is_none() {
            self.note(stream, version, now);
        }
    }

    /// Returns the version at which a stream began, if that is known.
    pub fn get(&self, stream: RequestDigest) -> Option<&UpstreamVersion> {
        self.versions.get(&stream)
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some((stream, at)) = self.began.front() {
            let is_old = now.saturating_duration_since(*at) >= STREAM_LIFETIME;
            if !is_old && self.began.len() < MAX_STREAMS {
                return;
            }
            self.versions.remove(stream);
            self.began.pop_front();
        }
    }
}

/// The versions of a service at which a stream that goes on may have begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServedVersions<'a> {
    /// Only this one.
    Sole(&'a UpstreamVersion),
    /// One of several.
    Several,
    /// The history is too short to know.
    Unknown,
}

/// When each version of each service was last listed.
#[derive(Debug)]
pub struct VersionHistory {
    /// Start of the time in which no version can have been missed.
    since: Instant,
    last_listed: BTreeMap<ServiceName, BTreeMap<UpstreamVersion, Instant>>,
}

impl VersionHistory {
    /// Creates the history of a process that starts now.
    pub fn new(now: Instant) -> Self {
        Self { since: now, last_listed: BTreeMap::new() }
    }

    /// Notes that a version is listed, or was listed until now.
    pub fn note(&mut self, service: &ServiceName, version: &UpstreamVersion, now: Instant) {
        let of_service = self.last_listed.entry(service.clone()).or_default();
        of_service.retain(|_, at| now.saturating_duration_since(*at) < STREAM_LIFETIME);
        of_service.insert(version.clone(), now);
    }

    /// Notes that versions may have come and gone unseen until now.
    pub fn note_gap(&mut self, now: Instant) {
        self.since = now;
    }

    /// Returns whether the history spans the time that a stream lasts.
    pub fn is_long_enough(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) >= STREAM_LIFETIME
    }

    /// Returns the versions of a service that were listed within the time that a stream lasts.
    pub fn recent_of(&self, service: &str, now: Instant) -> impl Iterator<Item = &UpstreamVersion> {
        let versions = self.last_listed.get(service).into_iter().flatten();
        versions.filter(move |(_, at)| is_recent(**at, now)).map(|(version, _)| version)
    }

    /// Returns the versions of all services that were listed within that time.
    pub fn recent(&self, now: Instant) -> impl Iterator<Item = ServiceVersion> {
        self.last_listed.keys().flat_map(move |service| {
            self.recent_of(service, now).map(move |version| (service.clone(), version.clone()))
        })
    }

    /// Returns whether a version was listed within that time.
    pub fn was_listed(&self, service: &str, version: &UpstreamVersion, now: Instant) -> bool {
        self.recent_of(service, now).any(|recent| recent == version)
    }

    /// Returns the versions of a service at which a stream that goes on may have begun. `listed` are
    /// those listed now.
    pub fn served<'a>(
        &'a self,
        service: &ServiceName,
        listed: impl Iterator<Item = &'a UpstreamVersion>,
        now: Instant,
    ) -> ServedVersions<'a> {
        let mut versions: BTreeSet<_> = listed.chain(self.recent_of(service, now)).collect();
        match (versions.pop_first(), versions.is_empty()) {
            (Some(_), false) => ServedVersions::Several,
            (Some(version), true) if self.is_long_enough(now) => ServedVersions::Sole(version),
            _ => ServedVersions::Unknown,
        }
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < STREAM_LIFETIME
}

/// A gateway that may remember the versions of streams for the others.
#[derive(Clone, Debug)]
pub struct VersionKeeper<A> {
    /// The gateway, by its host.
    pub holder: ShareHolder,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its address.
    pub address: A,
}

/// Chooses `count` gateways that remember the version of a stream, by rendezvous hashing, so that
/// those that ask find those that were told. They are in different data centres as far as possible.
pub fn choose_keepers<A>(
    stream: RequestDigest,
    mut gateways: Vec<VersionKeeper<A>>,
    count: usize,
) -> Vec<VersionKeeper<A>> {
    gateways.sort_by_cached_key(|g| prefix::mix(g.holder.seed() ^ stream.seed()));
    let mut used = BTreeSet::new();
    let (first, rest): (Vec<_>, Vec<_>) =
        gateways.into_iter().partition(|g| used.insert(g.data_centre.clone()));
    first.into_iter().chain(rest).take(count).collect()
}
