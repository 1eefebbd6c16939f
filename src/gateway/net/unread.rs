//! Answers that their callers have not read, which hold memory and connections until they do or their
//! time is over.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use prometheus_client::metrics::gauge::Gauge;

use super::window::Output;
use crate::clock;

/// Maximum number of connections whose kernel takes no more. Each holds up to some 200 KiB in the
/// process; with more, the one that has been so for longest is ended. Fewer would cut callers off that
/// read, slowly.
const MAX_UNREAD: usize = 250;
/// Time after its deadline at which an unread answer ends its connection. Until then its end, which
/// says that the time was over, may be on its way.
const DEADLINE_GRACE: Duration = Duration::from_secs(1);
/// Time without progress after which an answer that has no deadline ends its connection. Tunnels and
/// lists of upstreams for other gateways have none.
const MAX_STALL: Duration = Duration::from_secs(15);

/// When the caller of an answer stops waiting; an extension of the answer.
#[derive(Clone, Copy, Debug)]
pub struct ReadDeadline(pub Instant);

/// The connections of a process that hold parts of answers, since their callers do not read and their
/// kernel's buffer is full.
#[derive(Clone, Debug, Default)]
pub struct UnreadAnswers {
    shared: Rc<RefCell<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    /// By the order in which they became so.
    connections: BTreeMap<u64, Weak<ReadTime>>,
    next: u64,
    gauge: Gauge,
}

impl UnreadAnswers {
    /// Creates the registry; its size is published as `gauge`.
    pub fn new(gauge: Gauge) -> Self {
        Self { shared: Rc::new(RefCell::new(Shared { gauge, ..Shared::default() })) }
    }

    /// Adds a connection until the guard is dropped. If there are too many, the oldest is ended.
    pub(super) fn add(&self, connection: &Rc<ReadTime>) -> UnreadGuard {
        let mut shared = self.shared.borrow_mut();
        let number = shared.next;
        shared.next += 1;
        shared.connections.insert(number, Rc::downgrade(connection));
        shared.gauge.set(shared.connections.len() as i64);
        if shared.connections.len() > MAX_UNREAD
            && let Some((_, oldest)) = shared.connections.pop_first()
            && let Some(oldest) = oldest.upgrade()
        {
            log::warn!("more than {MAX_UNREAD} callers do not read: the oldest is cut off");
            oldest.evict();
        }
        UnreadGuard { shared: self.shared.clone(), number }
    }

    /// Returns whether no answer waits for its caller to read.
    pub fn is_empty(&self) -> bool {
        self.shared.borrow().connections.is_empty()
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
        shared.gauge.set(shared.connections.len() as i64);
    }
}

/// Until when the answers on a connection may stay unread.
#[derive(Debug, Default)]
pub(super) struct ReadTime {
    deadline: Cell<Option<Instant>>,
    is_evicted: Cell<bool>,
    output: Rc<Output>,
}

impl ReadTime {
    pub(super) fn new(output: Rc<Output>) -> Self {
        Self { output, ..Self::default() }
    }

    /// Notes that an answer begins, which has to be read by `deadline` if it has one.
    pub(super) fn begin(&self, deadline: Option<ReadDeadline>) {
        self.deadline.set(deadline.map(|d| d.0));
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
