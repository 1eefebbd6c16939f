//! Answers that their callers have not read, which hold memory and connections until they do or their
//! time is over.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use prometheus_client::metrics::{counter::Counter, gauge::Gauge};

use super::window::Output;
use crate::{
    clock,
    gateway::{decide::choose_unread, model::CustomerName},
};

/// Default of the maximum number of connections whose kernel takes no more. Each holds up to some
/// 200 KiB in the process. Fewer would cut callers off that read, slowly.
pub const DEFAULT_MAX_UNREAD: usize = 250;
/// Time after its deadline at which an unread answer ends its connection. Until then its end, which
/// says that the time was over, may be on its way.
const DEADLINE_GRACE: Duration = Duration::from_secs(1);
/// Time without progress after which an answer that has no deadline ends its connection. Tunnels and
/// lists of upstreams for other gateways have none.
const MAX_STALL: Duration = Duration::from_secs(15);

/// Who reads an answer, and until when; an extension of the answer.
#[derive(Clone, Debug)]
pub struct Reader {
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The caller's customer; empty for callers without a key.
    pub customer: CustomerName,
}

/// The connections of a process that hold parts of answers, since their callers do not read and their
/// kernel's buffer is full.
#[derive(Clone, Debug)]
pub struct UnreadAnswers {
    shared: Rc<RefCell<Shared>>,
}

#[derive(Debug)]
struct Shared {
    /// By the order in which they became so.
    connections: BTreeMap<u64, Weak<ReadTime>>,
    next: u64,
    max: usize,
    metrics: UnreadMetrics,
}

/// Metrics of [`UnreadAnswers`].
#[derive(Clone, Debug, Default)]
pub struct UnreadMetrics {
    /// Number of connections that hold parts of answers which the kernel does not take.
    pub answers: Gauge,
    /// Number of connections that were ended since there were too many.
    pub evictions: Counter,
}

impl Default for UnreadAnswers {
    fn default() -> Self {
        Self::new(DEFAULT_MAX_UNREAD, UnreadMetrics::default())
    }
}

impl UnreadAnswers {
    /// Creates the registry of at most `max` connections.
    pub fn new(max: usize, metrics: UnreadMetrics) -> Self {
        let shared = Shared { connections: BTreeMap::new(), next: 0, max, metrics };
        Self { shared: Rc::new(RefCell::new(shared)) }
    }

    /// Replaces the maximum number of connections.
    pub fn set_max(&self, max: usize) {
        self.shared.borrow_mut().max = max;
    }

    /// Adds a connection until the guard is dropped. If there are too many, the oldest one of the
    /// customer that has most of them is ended.
    pub(super) fn add(&self, connection: &Rc<ReadTime>) -> UnreadGuard {
        let mut shared = self.shared.borrow_mut();
        let number = shared.next;
        shared.next += 1;
        shared.connections.insert(number, Rc::downgrade(connection));
        if shared.connections.len() > shared.max {
            shared.evict();
        }
        shared.publish();
        UnreadGuard { shared: self.shared.clone(), number }
    }

    /// Returns whether no answer waits for its caller to read.
    pub fn is_empty(&self) -> bool {
        self.shared.borrow().connections.is_empty()
    }
}

impl Shared {
    /// Ends the oldest connection of the customer that has most of them.
    fn evict(&mut self) {
        let living: Vec<(u64, Rc<ReadTime>)> =
            self.connections.iter().filter_map(|(n, c)| Some((*n, c.upgrade()?))).collect();
        let customers: Vec<_> = living.iter().map(|(n, c)| (*n, c.customer.borrow())).collect();
        let Some((oldest, count)) = choose_unread(customers.iter().map(|(n, c)| (*n, c.as_str())))
        else {
            return;
        };
        drop(customers);
        let Some(connection) = self.connections.remove(&oldest).and_then(|c| c.upgrade()) else {
            return;
        };
        log::warn!(
            "more than {} callers do not read, {count} of them of customer {:?}: its oldest is cut off",
            self.max,
            connection.customer.borrow()
        );
        self.metrics.evictions.inc();
        connection.evict();
    }

    fn publish(&self) {
        self.metrics.answers.set(self.connections.len() as i64);
    }
}

/// A connection in [`UnreadAnswers`].
#[derive(Debug)]
pub(super) struct UnreadGuard {
    shared: Rc<RefCell<Shared>>,
    number: u64,
}

impl Drop for UnreadGuard {
    fn drop(&mut self) {
        let mut shared = self.shared.borrow_mut();
        shared.connections.remove(&self.number);
        shared.publish();
    }
}

/// Until when the answers on a connection may stay unread.
#[derive(Debug, Default)]
pub(super) struct ReadTime {
    deadline: Cell<Option<Instant>>,
    customer: RefCell<CustomerName>,
    is_evicted: Cell<bool>,
    output: Rc<Output>,
}

impl ReadTime {
    pub(super) fn new(output: Rc<Output>) -> Self {
        Self { output, ..Self::default() }
    }

    /// Notes that an answer begins, which has to be read by its reader's deadline if one is known.
    pub(super) fn begin(&self, reader: Option<Reader>) {
        self.deadline.set(reader.as_ref().map(|r| r.deadline));
        self.customer.replace(reader.map(|r| r.customer).unwrap_or_default());
    }

    fn evict(&self) {
        self.is_evicted.set(true);
        self.output.check_now();
    }

    /// Returns whether the peer, which has read nothing for the time `stalled`, had its time to read.
    pub(super) fn is_over(&self, stalled: Duration) -> bool {
        let is_late = match self.deadline.get() {
            Some(deadline) => clock::now() > deadline + DEADLINE_GRACE,
            None => stalled > MAX_STALL,
        };
        self.is_evicted.get() || is_late
    }
}
