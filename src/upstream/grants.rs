//! Slots given out to the processes that run requests.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::ids::{Customer, GrantId, UpstreamId};

/// For how long a grant holds without renewal.
pub const GRANT_TTL: Duration = Duration::from_secs(15);

/// A slot given out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Peer address of the process that runs the request.
    pub holder: SocketAddr,
    /// When the slot comes back if it is not renewed.
    pub expires: Instant,
    /// Customer, for its share.
    pub customer: Customer,
}

/// The grants of an owner.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    next: GrantId,
    by_id: HashMap<GrantId, Grant>,
}

impl Grants {
    /// Gives a slot out.
    pub fn give(&mut self, grant: Grant) -> GrantId {
        self.next += 1;
        self.by_id.insert(self.next, grant);
        self.next
    }

    /// Takes a slot back.
    pub fn take_back(&mut self, id: GrantId) -> Option<Grant> {
        self.by_id.remove(&id)
    }

    /// Keeps a slot given out.
    pub fn renew(&mut self, id: GrantId, now: Instant) {
        if let Some(grant) = self.by_id.get_mut(&id) {
            grant.expires = now + GRANT_TTL;
        }
    }

    /// Takes back every slot that was not renewed in time.
    pub fn expire(&mut self, now: Instant) {
        self.by_id.retain(|_, g| g.expires > now);
    }

    /// Returns how many slots of an upstream are given out.
    pub fn in_use(&self, upstream: &str) -> u32 {
        self.by_id.values().filter(|g| g.upstream == upstream).count() as u32
    }

    /// Returns how many slots of some upstreams a customer holds.
    pub fn held_by(&self, customer: &str, upstreams: &[&UpstreamId]) -> u32 {
        let held = |g: &&Grant| g.customer == customer && upstreams.contains(&&g.upstream);
        self.by_id.values().filter(held).count() as u32
    }

    /// Returns the grants on an upstream.
    pub fn on(&self, upstream: &str) -> Vec<(GrantId, SocketAddr)> {
        let here = self.by_id.iter().filter(|(_, g)| g.upstream == upstream);
        here.map(|(id, g)| (*id, g.holder)).collect()
    }

    /// Returns the number of slots given out.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether no slot is given out.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
