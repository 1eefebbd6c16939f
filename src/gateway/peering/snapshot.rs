//! The upstreams as one gateway knows them, for others that do not read the store.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::WireError;
use crate::{
    gateway::{
        decide::{Knowledge, Removal},
        model::{Revision, Upstream},
    },
    ids::UpstreamId,
};

/// The upstreams that a gateway knows, or what has changed among them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamSnapshot {
    /// Revision after which it tells of changes; 0 if it names all upstreams.
    pub after: Revision,
    /// Up to where the store is in it.
    pub knowledge: Knowledge,
    /// Revision of the newest change.
    pub last_change: Revision,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// Those among them whose rows are missing and may be back soon.
    pub missing: Vec<(UpstreamId, Removal)>,
    /// Upstreams that are gone, in a snapshot of changes.
    pub gone: Vec<UpstreamId>,
}

/// First byte of a snapshot; see the one of heartbeats.
const SNAPSHOT_FORMAT: u8 = 0x54;

impl UpstreamSnapshot {
    /// Encodes the snapshot by places: of thousands of upstreams, names of fields would be
    /// the larger part.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        let mut buf = Vec::with_capacity(4_096);
        buf.push(SNAPSHOT_FORMAT);
        Ok(postcard::to_extend(self, buf)?)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        match bytes.split_first() {
            Some((&SNAPSHOT_FORMAT, snapshot)) => Ok(postcard::from_bytes(snapshot)?),
            other => Err(WireError::Format(other.map(|(format, _)| *format))),
        }
    }
}

/// What became of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamChange {
    /// It described itself anew.
    Written(Upstream),
    /// Its row is missing and may be back soon.
    Missing(UpstreamId, Removal),
    /// It is gone.
    Gone(UpstreamId),
}

impl UpstreamChange {
    /// Returns the upstream.
    pub fn upstream(&self) -> &UpstreamId {
        match self {
            Self::Written(upstream) => &upstream.id,
            Self::Missing(id, _) | Self::Gone(id) => id,
        }
    }
}

/// All changes of upstreams after one revision of the store, up to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentChanges {
    /// Revision after which the changes begin.
    pub after: Revision,
    /// Up to where they go.
    pub knowledge: Knowledge,
    /// The changes, in order, each with its revision.
    pub changes: Vec<(Revision, UpstreamChange)>,
    /// When each change was noted here.
    #[serde(skip)]
    noted: VecDeque<Instant>,
}

/// Changes that are kept for other gateways at most: more do not fit into a
/// datagram, and whoever lacks them asks for a snapshot.
const MOST_RECENT: usize = 24;

impl RecentChanges {
    /// Begins anew after a snapshot.
    pub fn reset(&mut self, knowledge: Knowledge) {
        *self = Self { after: knowledge.position, knowledge, ..Self::default() };
    }

    /// Adds a change.
    pub fn push(&mut self, revision: Revision, change: UpstreamChange, now: Instant) {
        self.knowledge.position = self.knowledge.position.max(revision);
        self.changes.push((revision, change));
        self.noted.push_back(now);
        if self.changes.len() > MOST_RECENT {
            self.drop_oldest();
        }
    }

    /// Replaces what was told of a missing row by what is known of it now.
    pub fn amend(&mut self, upstream: &UpstreamId, known: UpstreamChange) {
        let told = self.changes.iter_mut().rev().map(|(_, change)| change);
        let newest = told.into_iter().find(|change| change.upstream() == upstream);
        if let Some(change @ UpstreamChange::Missing(..)) = newest {
            *change = known;
        }
    }

    /// Forgets changes that have been told for long enough.
    pub fn forget(&mut self, now: Instant, told: Duration) {
        while self.noted.front().is_some_and(|t| now.saturating_duration_since(*t) > told) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        self.noted.pop_front();
        if !self.changes.is_empty() {
            self.after = self.changes.remove(0).0;
        }
    }

    /// Notes that there are no further changes up to there.
    pub fn advance(&mut self, knowledge: Knowledge) {
        self.knowledge.advance(knowledge);
    }
}
