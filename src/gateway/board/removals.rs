//! Recently removed upstreams, for gateways that ask for changes.

use std::collections::VecDeque;

use crate::{gateway::model::Revision, ids::UpstreamId};

/// Maximum number of remembered removals. A gateway that lacks more gets the full list.
const MAX_REMOVALS: usize = 4_096;

/// Removed upstreams, each with the store revision at which its removal was known.
#[derive(Clone, Debug, Default)]
pub struct Removals {
    /// Revision up to which removals are no longer remembered.
    forgotten_up_to: Revision,
    removed: VecDeque<(Revision, UpstreamId)>,
}

impl Removals {
    /// Forgets all removals; those up to `position` count as no longer remembered.
    pub fn reset(&mut self, position: Revision) {
        *self = Self { forgotten_up_to: position, removed: VecDeque::new() };
    }

    /// Records the removal of an upstream.
    pub fn note(&mut self, revision: Revision, upstream: UpstreamId) {
        self.removed.push_back((revision, upstream));
        if self.removed.len() > MAX_REMOVALS
            && let Some((revision, _)) = self.removed.pop_front()
        {
            self.forgotten_up_to = self.forgotten_up_to.max(revision);
        }
    }

    /// Returns the upstreams removed after a revision; `None` if some of them are forgotten.
    pub fn after(&self, revision: Revision) -> Option<Vec<UpstreamId>> {
        let later = self.removed.iter().filter(|(r, _)| *r > revision);
        (revision >= self.forgotten_up_to).then(|| later.map(|(_, id)| id.clone()).collect())
    }
}
