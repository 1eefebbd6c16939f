//! The slots that this process's requests hold, and notices about them.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use crate::{
    edge::peer_link::PeerClient,
    ids::GrantId,
    wire::{PeerRequest, Release, ReleaseOutcome},
};

use super::event::{BoardHandle, Event};

/// What an attempt in progress is told.
#[derive(Debug, Default)]
pub struct AttemptControl {
    leaves_at: Mutex<Option<Instant>>,
}

impl AttemptControl {
    /// Tells the attempt that its upstream leaves.
    pub fn notify(&self, leaves_at: Instant) {
        *lock(&self.leaves_at) = Some(leaves_at);
    }

    /// Returns when the upstream leaves, once that is known.
    pub fn leaves_at(&self) -> Option<Instant> {
        *lock(&self.leaves_at)
    }
}

type SlotKey = (SocketAddr, GrantId);

/// The slots that this process's requests hold.
#[derive(Debug)]
pub struct HeldSlots {
    own_peer: SocketAddr,
    board: BoardHandle,
    peer: PeerClient,
    slots: Mutex<HashMap<SlotKey, Arc<AttemptControl>>>,
}

impl HeldSlots {
    /// Creates the list; `own_peer` tells own grants from others'.
    pub fn new(own_peer: SocketAddr, board: BoardHandle, peer: PeerClient) -> Self {
        Self { own_peer, board, peer, slots: Mutex::default() }
    }

    /// Notes a slot; it is given back when the guard is dropped.
    pub fn hold(self: &Arc<Self>, owner: SocketAddr, grant: GrantId) -> SlotGuard {
        let control = Arc::new(AttemptControl::default());
        lock(&self.slots).insert((owner, grant), control.clone());
        let outcome = ReleaseOutcome::Withdrawn;
        SlotGuard { held: self.clone(), owner, grant, control, outcome }
    }

    /// Passes a notice on to the attempts concerned.
    pub fn notify(&self, owner: SocketAddr, grants: &[GrantId], notice: Duration) {
        let leaves_at = Instant::now() + notice;
        let slots = lock(&self.slots);
        for grant in grants {
            if let Some(control) = slots.get(&(owner, *grant)) {
                control.notify(leaves_at);
            }
        }
    }

    /// Renews every slot with its owner. Returns the own grants.
    pub fn renew(&self) -> Vec<GrantId> {
        let mut by_owner: HashMap<SocketAddr, Vec<GrantId>> = HashMap::new();
        for (owner, grant) in lock(&self.slots).keys() {
            by_owner.entry(*owner).or_default().push(*grant);
        }
        let own = by_owner.remove(&self.own_peer).unwrap_or_default();
        for (owner, grants) in by_owner {
            self.peer.cast(owner, PeerRequest::Renew(grants));
        }
        own
    }

    fn release(&self, owner: SocketAddr, release: Release) {
        lock(&self.slots).remove(&(owner, release.grant));
        if owner == self.own_peer {
            self.board.send(Event::Release(release));
        } else {
            self.peer.cast(owner, PeerRequest::Release(release));
        }
    }
}

/// A slot; dropping it gives the slot back.
#[derive(Debug)]
pub struct SlotGuard {
    held: Arc<HeldSlots>,
    owner: SocketAddr,
    grant: GrantId,
    /// What the attempt is told.
    pub control: Arc<AttemptControl>,
    /// What the owner is told when the slot is given back.
    pub outcome: ReleaseOutcome,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let release = Release { grant: self.grant, outcome: self.outcome };
        self.held.release(self.owner, release);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
