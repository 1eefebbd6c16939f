//! Rows of the store in which quarantine verdicts are kept, one for whole requests and one for parts
//! of prompts.

use std::time::Instant;

use super::persisted_state::{PART_QUARANTINE_KEY, QUARANTINE_KEY};
use crate::{
    gateway::{
        context::Gateway,
        decide::CrashTracker,
        model::Revision,
        peering::{WireError, decode_verdicts, encode_verdicts},
    },
    time::UnixMillis,
};

/// What verdicts are about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerdictKind {
    /// Whole requests.
    Requests,
    /// Parts of prompts.
    Parts,
}

impl VerdictKind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [Self; 2] = [Self::Requests, Self::Parts];

    /// Returns the kind of verdicts in the row with this key; `None` if it is another row.
    pub fn of_row(key: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.row_key() == key)
    }

    /// Returns the key of the row.
    pub fn row_key(self) -> &'static str {
        match self {
            Self::Requests => QUARANTINE_KEY,
            Self::Parts => PART_QUARANTINE_KEY,
        }
    }

    /// Returns the path under which a gateway serves its verdicts to others.
    pub fn peer_path(self) -> &'static str {
        match self {
            Self::Requests => "/peer/quarantine",
            Self::Parts => "/peer/quarantined-parts",
        }
    }

    /// Returns the kind of verdicts that are served under a path.
    pub fn of_path(path: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.peer_path() == path)
    }

    /// Returns the fingerprint of the verdicts that a process knows.
    pub fn fingerprint(self, crashes: &CrashTracker) -> u64 {
        match self {
            Self::Requests => crashes.fingerprint(),
            Self::Parts => crashes.parts().fingerprint(),
        }
    }

    /// Encodes the verdicts that a process knows.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be encoded.
    pub fn encode(self, crashes: &CrashTracker) -> Result<Vec<u8>, WireError> {
        match self {
            Self::Requests => encode_verdicts(&crashes.verdicts()),
            Self::Parts => encode_verdicts(&crashes.parts().verdicts()),
        }
    }
}

/// A row of verdicts in the store, as this process last read or wrote it.
#[derive(Clone, Copy, Debug, Default)]
pub struct VerdictRow {
    /// Revision of the row; 0 if there is none.
    pub revision: Revision,
    /// Fingerprint of the verdicts in it.
    pub fingerprint: u64,
    /// When a write was last attempted.
    pub last_attempt: Option<Instant>,
    /// Whether a write is in progress.
    pub writing: bool,
}

impl Gateway {
    /// Merges encoded verdicts and returns their fingerprint; `source` names their origin in the
    /// log.
    ///
    /// # Errors
    ///
    /// Fails if the bytes cannot be decoded.
    pub fn merge_verdicts(
        &self,
        kind: VerdictKind,
        bytes: &[u8],
        source: &str,
        now: Instant,
    ) -> Result<u64, WireError> {
        let mut merged = CrashTracker::default();
        let mut board = self.board.borrow_mut();
        let time: UnixMillis = board.clock.unix_millis(now);
        match kind {
            VerdictKind::Requests => {
                let verdicts = decode_verdicts(bytes)?;
                merged.merge(Vec::clone(&verdicts), time, now);
                let changes = board.crashes.merge(verdicts, time, now);
                drop(board);
                self.log_verdicts(&changes, source);
            }
            VerdictKind::Parts => {
                let verdicts = decode_verdicts(bytes)?;
                merged.parts_mut().merge(Vec::clone(&verdicts), now);
                let changes = board.crashes.parts_mut().merge(verdicts, now);
                drop(board);
                self.log_part_verdicts(&changes, source);
            }
        }
        Ok(kind.fingerprint(&merged))
    }
}
