//! The newest lifetime of each upstream, for requests that wait for a restart.

use std::collections::HashMap;

use tokio::sync::watch::{Receiver, Sender};

use crate::{gateway::model::Lifetime, ids::UpstreamId};

/// The newest lifetime of each upstream. Entries outlive the upstream's row: an upstream that
/// crashes behind a network partition may lose its row before it restarts, and only the new
/// lifetime shows that requests of the old one will never be answered.
#[derive(Debug, Default)]
pub struct Lifetimes {
    newest: HashMap<UpstreamId, Sender<Lifetime>>,
    ids: HashMap<Lifetime, UpstreamId>,
}

impl Lifetimes {
    /// Records the newest lifetime of an upstream and notifies requests that wait for it.
    pub fn note(&mut self, id: &UpstreamId, lifetime: Lifetime) {
        self.ids.entry(lifetime).or_insert_with(|| id.clone());
        match self.newest.get(id) {
            Some(newest) => {
                newest.send_if_modified(|known| std::mem::replace(known, lifetime) != lifetime);
            }
            None => drop(self.newest.insert(id.clone(), Sender::new(lifetime))),
        }
    }

    /// Returns the upstream whose newest lifetime is the given one.
    pub fn upstream(&self, lifetime: Lifetime) -> Option<&UpstreamId> {
        let id = self.ids.get(&lifetime)?;
        self.newest.get(id).filter(|newest| *newest.borrow() == lifetime).map(|_| id)
    }

    /// Returns a receiver of an upstream's newest lifetime; `None` if the upstream is unknown.
    pub fn follow(&self, id: &UpstreamId) -> Option<Receiver<Lifetime>> {
        self.newest.get(id).map(Sender::subscribe)
    }

    /// Drops upstreams that are not `known` and that no request waits for.
    pub fn retain(&mut self, known: impl Fn(&UpstreamId) -> bool) {
        self.newest.retain(|id, newest| known(id) || newest.receiver_count() > 0);
        let newest = &self.newest;
        let is_newest =
            |l: &Lifetime, id: &UpstreamId| newest.get(id).map(|n| *n.borrow()) == Some(*l);
        self.ids.retain(|lifetime, id| is_newest(lifetime, id));
    }
}
