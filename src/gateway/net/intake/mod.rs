//! What clients make the process hold: connections, and bytes that are received and not yet handed on.

mod body;
mod connection;

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::{Rc, Weak},
};

use prometheus_client::metrics::{counter::Counter, family::Family, gauge::Gauge};

pub use body::{BodyLease, ReadBodyError, read_body};
pub use connection::{IntakeConnection, RequestGuard};

use crate::{
    clock,
    gateway::{
        decide::{HolderId, IntakeAccount, IntakeLimits},
        model::EndpointKind,
    },
    telemetry::{Labels, count},
};

/// Cause of an eviction: another connection of the same kind was opened.
const CAUSE_CONNECTIONS: &str = "connections";
/// Cause of an eviction: the process is out of descriptors.
const CAUSE_DESCRIPTORS: &str = "descriptors";
/// Cause of an eviction: another connection needed memory.
const CAUSE_MEMORY: &str = "memory";

/// Metrics of an [`Intake`].
#[derive(Clone, Debug, Default)]
pub struct IntakeMetrics {
    /// Bytes that all connections hold.
    pub bytes: Gauge,
    /// Number of open connections.
    pub connections: Gauge,
    /// Number of connections that were told to give way, by cause.
    pub evictions: Family<Labels, Counter>,
}

/// The connections of clients to a process, and what they may make it hold.
#[derive(Clone, Debug)]
pub struct Intake {
    shared: Rc<RefCell<Shared>>,
}

#[derive(Debug)]
struct Shared {
    account: IntakeAccount,
    connections: HashMap<HolderId, Weak<IntakeConnection>>,
    metrics: IntakeMetrics,
}

impl Default for Intake {
    fn default() -> Self {
        Self::new(IntakeLimits::NONE, IntakeMetrics::default())
    }
}

impl Intake {
    /// Creates an intake without connections.
    pub fn new(limits: IntakeLimits, metrics: IntakeMetrics) -> Self {
        let account = IntakeAccount::new(limits);
        let shared = Shared { account, connections: HashMap::new(), metrics };
        Self { shared: Rc::new(RefCell::new(shared)) }
    }

    /// Replaces the limits.
    pub fn set_limits(&self, limits: IntakeLimits) {
        self.shared.borrow_mut().account.set_limits(limits);
    }

    /// Adds an open connection. If there are too many of its kind, another one gives way; `None` if
    /// none can, so that the new one has to be closed.
    pub fn open(&self, kind: EndpointKind) -> Option<Rc<IntakeConnection>> {
        let now = clock::now();
        let id = self.shared.borrow_mut().account.open(kind, now);
        let connection = Rc::new(IntakeConnection::new(self.clone(), id));
        self.shared.borrow_mut().connections.insert(id, Rc::downgrade(&connection));
        if self.shared.borrow().account.over_connections(kind) {
            let oldest = self.shared.borrow().account.choose_by_age(Some(kind), now);
            self.evict(oldest?, CAUSE_CONNECTIONS);
        }
        let has_room = self.make_room(id);
        self.publish();
        has_room.then_some(connection)
    }

    /// Tells the connection that has been without progress for longest to give way, so that its
    /// descriptor becomes free.
    pub fn free_descriptor(&self) {
        let oldest = self.shared.borrow().account.choose_by_age(None, clock::now());
        if let Some(oldest) = oldest {
            self.evict(oldest, CAUSE_DESCRIPTORS);
        }
    }

    /// Makes room for what a connection holds; returns whether it has room.
    fn make_room(&self, id: HolderId) -> bool {
        let now = clock::now();
        while self.shared.borrow().account.over_bytes(id) {
            let costliest = self.shared.borrow().account.choose_by_cost(id, now);
            match costliest {
                Some(costliest) => self.evict(costliest, CAUSE_MEMORY),
                None => return false,
            }
        }
        true
    }

    fn evict(&self, id: HolderId, cause: &'static str) {
        let connection = {
            let mut shared = self.shared.borrow_mut();
            shared.account.evict(id);
            count(&shared.metrics.evictions, cause);
            shared.connections.get(&id).and_then(Weak::upgrade)
        };
        if let Some(connection) = connection {
            connection.evict();
        }
    }

    fn change<T>(&self, change: impl FnOnce(&mut IntakeAccount) -> T) -> T {
        let changed = change(&mut self.shared.borrow_mut().account);
        self.publish();
        changed
    }

    fn publish(&self) {
        let shared = self.shared.borrow();
        shared.metrics.bytes.set(shared.account.held() as i64);
        shared.metrics.connections.set(shared.connections.len() as i64);
    }
}
