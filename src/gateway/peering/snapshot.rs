//! Upstreams as known to one gateway, for gateways that do not read the store themselves.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::WireError;
use crate::{
    gateway::{
        decide::{Removal, ServiceVersion, SyncPoint},
        model::{Revision, Upstream},
    },
    ids::UpstreamId,
};

/// The upstreams that a gateway knows, or those that have changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamSnapshot {
    /// Revision after which changes are included; 0 if all upstreams are.
    pub after: Revision,
    /// Revision and time up to which the store's contents are included.
    pub knowledge: SyncPoint,
    /// Revision of the newest known change.
    pub last_change: Revision,
    /// Descriptions of the upstreams.
    pub upstreams: Vec<Upstream>,
    /// Those of the upstreams whose rows are missing and may return.
    pub missing: Vec<(UpstreamId, Removal)>,
    /// Removed upstreams, if the snapshot contains only changes.
    pub gone: Vec<UpstreamId>,
    /// Versions of services that are in the store's record, so that streams may begin at them.
    pub recorded_versions: Vec<ServiceVersion>,
}

/// First byte of a snapshot, to be changed with its format.
const SNAPSHOT_FORMAT: u8 = 0x57;

impl UpstreamSnapshot {
    /// Encodes the snapshot by field position: with thousands of upstreams, field names would make
    /// up the larger part of it.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        let mut buf = Vec::with_capacity(4_096);
        buf.push(SNAPSHOT_FORMAT);
        Ok(postcard::to_extend(self, buf)?)
    }

    /// Decodes a snapshot, including its first byte.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a snapshot in this format.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        match bytes.split_first() {
            Some((&SNAPSHOT_FORMAT, snapshot)) => Ok(postcard::from_bytes(snapshot)?),
            other => Err(WireError::Format(other.map(|(format, _)| *format))),
        }
    }
}

/// A change of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamChange {
    /// The upstream has written a new description of itself.
    Written(Upstream),
    /// The upstream's row is missing and may return.
    Missing(UpstreamId, Removal),
    /// The upstream is gone.
    Gone(UpstreamId),
}

impl UpstreamChange {
    /// Returns the id of the changed upstream.
    pub fn upstream(&self) -> &UpstreamId {
        match self {
            Self::Written(upstream) => &upstream.id,
            Self::Missing(id, _) | Self::Gone(id) => id,
        }
    }
}

/// All changes of upstreams between two revisions of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentChanges {
    /// Revision after which the changes begin.
    pub after: Revision,
    /// Revision and time up to which the changes are complete.
    pub knowledge: SyncPoint,
    /// The changes in order, each with its revision.
    pub changes: Vec<(Revision, UpstreamChange)>,
    /// When this process recorded each change.
    #[serde(skip)]
    recorded_at: VecDeque<Instant>,
}

/// Maximum number of changes kept for other gateways. More do not fit into a datagram; a gateway
/// that lacks older ones asks for a snapshot.
const MAX_RECENT_CHANGES: usize = 24;

impl RecentChanges {
    /// Starts over from a complete list, without changes.
    pub fn reset(&mut self, knowledge: SyncPoint) {
        *self = Self { after: knowledge.position, knowledge, ..Self::default() };
    }

    /// Appends a change.
    pub fn push(&mut self, revision: Revision, change: UpstreamChange, now: Instant) {
        self.knowledge.position = self.knowledge.position.max(revision);
        self.changes.push((revision, change));
        self.recorded_at.push_back(now);
        if self.changes.len() > MAX_RECENT_CHANGES {
            self.drop_oldest();
        }
    }

    /// Replaces the latest change of an upstream by `known`, if it reported a missing row.
    pub fn amend(&mut self, upstream: &UpstreamId, known: UpstreamChange) {
        let newest_first = self.changes.iter_mut().rev().map(|(_, change)| change);
        let newest = newest_first.into_iter().find(|change| change.upstream() == upstream);
        if let Some(change @ UpstreamChange::Missing(..)) = newest {
            *change = known;
        }
    }

    /// Drops changes that have been reported for longer than `retention`.
    pub fn forget(&mut self, now: Instant, retention: Duration) {
        while self
            .recorded_at
            .front()
            .is_some_and(|t| now.saturating_duration_since(*t) > retention)
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        self.recorded_at.pop_front();
        if !self.changes.is_empty() {
            self.after = self.changes.remove(0).0;
        }
    }

    /// Records that there are no further changes up to `knowledge`.
    pub fn advance(&mut self, knowledge: SyncPoint) {
        self.knowledge.advance(knowledge);
    }
}
