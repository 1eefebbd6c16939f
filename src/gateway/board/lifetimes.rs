//! Which lifetime of each upstream is the newest, for requests that wait for one.

use std::collections::HashMap;

use tokio::sync::watch::{Receiver, Sender};

use crate::{gateway::model::Lifetime, ids::UpstreamId};

/// The newest lifetime of each upstream. It outlives the upstream's row: one that
/// crashed behind a cut may lose its row before it starts again, and only the new
/// lifetime shows that the requests of the old one will never be answered.
#[derive(Debug, Default)]
pub struct Lifetimes {
    newest: HashMap<UpstreamId, Sender<Lifetime>>,
    ids: HashMap<Lifetime, UpstreamId>,
}

impl Lifetimes {
    /// Notes the newest lifetime of an upstream, and tells those that wait for an
    /// earlier one.
    pub fn note(&mut self, id: &UpstreamId, lifetime: Lifetime) {
        self.ids.entry(lifetime).or_insert_with(|| id.clone());
        match self.newest.get(id) {
            Some(newest) => {
                newest.send_if_modified(|known| std::mem::replace(known, lifetime) != lifetime);
            }
            None => drop(self.newest.insert(id.clone(), Sender::new(lifetime))),
        }
    }

    /// Returns the upstream whose newest lifetime this is.
    pub fn upstream(&self, lifetime: Lifetime) -> Option<&UpstreamId> {
        let id = self.ids.get(&lifetime)?;
        self.newest.get(id).filter(|newest| *newest.borrow() == lifetime).map(|_| id)
    }

    /// Returns what tells of each newer lifetime of an upstream that is known.
    pub fn follow(&self, id: &UpstreamId) -> Option<Receiver<Lifetime>> {
        self.newest.get(id).map(Sender::subscribe)
    }

    /// Forgets upstreams that are not `known`, and that no request waits for.
    pub fn retain(&mut self, known: impl Fn(&UpstreamId) -> bool) {
        self.newest.retain(|id, newest| known(id) || newest.receiver_count() > 0);
        let newest = &self.newest;
        let is_newest =
            |l: &Lifetime, id: &UpstreamId| newest.get(id).map(|n| *n.borrow()) == Some(*l);
        self.ids.retain(|lifetime, id| is_newest(lifetime, id));
    }
}
