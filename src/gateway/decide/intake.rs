//! Account of what clients make the process hold: bytes that are received and not yet handed on, and
//! connections. Where the room is used up, the client that holds most for the least progress gives way.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::gateway::model::EndpointKind;

/// Memory of an open connection without its buffers.
const CONNECTION_BYTES: usize = 20 << 10;
/// Memory of a request in hand: its decoded head, and the state of its handling.
const REQUEST_BYTES: usize = 12 << 10;
/// Factor of the memory for bytes that are received and not yet handed on, since buffers grow by
/// doubling.
const BUFFER_FACTOR: usize = 2;
/// Size above which a body may take only [`LARGE_BODY_SHARE`] of the room, so that small requests find
/// room beside large ones.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// Part of the room that bodies above [`SMALL_BODY_BYTES`] may take, as a numerator and a denominator.
const LARGE_BODY_SHARE: (usize, usize) = (3, 4);
/// Rate of a client that makes progress, in bytes per second. It only orders the clients where the
/// room is used up.
const PROGRESS_RATE: f64 = 65_536.0;

/// Identifies a connection in an [`IntakeAccount`].
pub type HolderId = u64;

/// What clients may make a process hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntakeLimits {
    /// Bytes of all connections together.
    pub bytes: usize,
    /// Descriptors of the process, of which each kind of endpoint has a share.
    pub descriptors: usize,
}

impl IntakeLimits {
    /// No limits.
    pub const NONE: Self = Self { bytes: usize::MAX, descriptors: usize::MAX };

    /// Part of the host's memory that clients may take. The rest is for answers, the process itself
    /// and memory that the allocator does not give back.
    const MEMORY_DIVISOR: usize = 3;

    /// Returns the limits of a process that may use `memory` bytes and `descriptors` descriptors.
    pub fn of_host(memory: usize, descriptors: usize) -> Self {
        Self { bytes: memory / Self::MEMORY_DIVISOR, descriptors }
    }

    /// Returns the number of connections that one kind of endpoint may have. What is left over is for
    /// connections to upstreams, the store and other gateways.
    pub fn connections(&self, kind: EndpointKind) -> usize {
        let divisor = match kind {
            EndpointKind::Callers => 2,
            EndpointKind::Directory | EndpointKind::Peers => 8,
            EndpointKind::Readiness => 32,
        };
        (self.descriptors / divisor).max(1)
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// It waits for a request, or receives the head of one.
    Waiting,
    /// It receives the body of a request.
    Body,
    /// A request is being handled.
    Busy,
    /// It was told to give way, or is closed.
    Ended,
}

#[derive(Debug)]
struct Holder {
    kind: EndpointKind,
    stage: Stage,
    /// Whether the connection is open.
    is_open: bool,
    /// Whether a part of an answer waits for its client to read.
    is_unread: bool,
    /// Received and not yet handed on.
    received: usize,
    /// Received at the latest read.
    latest_read: usize,
    /// Most bytes that were received at once; its buffer stays as large.
    largest_read: usize,
    /// Memory of the body that it receives.
    body: usize,
    /// Memory of complete bodies of its requests that are in use.
    complete_bodies: usize,
    /// Up to when its progress makes up for the time it has taken.
    progress_until: Instant,
}

impl Holder {
    fn bytes(&self) -> usize {
        let buffers = BUFFER_FACTOR * self.received.max(self.largest_read);
        let connection = match (self.is_open, self.stage) {
            (false, _) => 0,
            (true, Stage::Waiting) => CONNECTION_BYTES + buffers,
            (true, Stage::Body | Stage::Busy | Stage::Ended) => {
                CONNECTION_BYTES + REQUEST_BYTES + buffers
            }
        };
        connection + self.body + self.complete_bodies
    }

    fn lateness(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.progress_until)
    }

    /// Returns whether its client lets others wait for what it has yet to send.
    fn may_give_way(&self, now: Instant) -> bool {
        self.stage <= Stage::Body && !self.is_unread && !self.lateness(now).is_zero()
    }

    /// Returns what the connection costs: bytes held times seconds without progress.
    fn cost(&self, now: Instant) -> f64 {
        self.bytes() as f64 * self.lateness(now).as_secs_f64()
    }
}

/// Account of what the connections of a process hold.
#[derive(Debug)]
pub struct IntakeAccount {
    limits: IntakeLimits,
    held: usize,
    holders: BTreeMap<HolderId, Holder>,
    next: HolderId,
}

impl IntakeAccount {
    /// Creates an account without connections.
    pub fn new(limits: IntakeLimits) -> Self {
        Self { limits, held: 0, holders: BTreeMap::new(), next: 0 }
    }

    /// Replaces the limits. Connections that exceed them give way to later ones.
    pub fn set_limits(&mut self, limits: IntakeLimits) {
        self.limits = limits;
    }

    /// Returns the bytes that all connections hold.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.holders.values().filter(|h| h.is_open).count()
    }

    /// Adds a connection. It may exceed the limits, see [`Self::over_connections`] and
    /// [`Self::over_bytes`].
    pub fn open(&mut self, kind: EndpointKind, now: Instant) -> HolderId {
        let id = self.next;
        self.next += 1;
        let holder = Holder {
            kind,
            stage: Stage::Waiting,
            is_open: true,
            is_unread: false,
            received: 0,
            latest_read: 0,
            largest_read: 0,
            body: 0,
            complete_bodies: 0,
            progress_until: now,
        };
        self.held += holder.bytes();
        self.holders.insert(id, holder);
        id
    }

    /// Removes a connection. Complete bodies of its requests stay until [`Self::release_body`].
    pub fn close(&mut self, id: HolderId) {
        self.change(id, |holder| {
            holder.is_open = false;
            holder.stage = Stage::Ended;
            holder.body = 0;
        });
        self.remove_unused(id);
    }

    /// Notes bytes that a connection received.
    pub fn receive(&mut self, id: HolderId, bytes: usize, now: Instant) {
        self.change(id, |holder| {
            holder.received += bytes;
            holder.latest_read = bytes;
            holder.largest_read = holder.largest_read.max(bytes);
            let progress = Duration::from_secs_f64(bytes as f64 / PROGRESS_RATE);
            holder.progress_until = (holder.progress_until + progress).min(now);
        });
    }

    /// Notes that the head of a request is complete.
    pub fn begin_request(&mut self, id: HolderId) {
        self.change(id, |holder| {
            if holder.stage == Stage::Waiting {
                holder.stage = Stage::Busy;
            }
        });
    }

    /// Notes that the answer to a request is complete.
    pub fn end_request(&mut self, id: HolderId, now: Instant) {
        self.change(id, |holder| {
            holder.received = holder.latest_read;
            if holder.stage == Stage::Busy {
                holder.stage = Stage::Waiting;
                holder.progress_until = now;
            }
        });
    }

    /// Notes whether a part of an answer waits for the client to read. Until then the connection does
    /// not give way, which would cut the answer.
    pub fn set_unread(&mut self, id: HolderId, is_unread: bool, now: Instant) {
        self.change(id, |holder| {
            holder.is_unread = is_unread;
            holder.progress_until = now;
        });
    }

    /// Notes that the body of a request is awaited.
    pub fn begin_body(&mut self, id: HolderId, now: Instant) {
        self.change(id, |holder| {
            if holder.stage == Stage::Busy {
                holder.stage = Stage::Body;
                holder.progress_until = now;
            }
        });
    }

    /// Notes that a part of what was received has been handed on, which may be all but the latest read.
    pub fn hand_on(&mut self, id: HolderId) {
        self.change(id, |holder| holder.received = holder.latest_read);
    }

    /// Notes that the body of a request needs `bytes` bytes of memory. It may exceed the limits, see
    /// [`Self::over_bytes`].
    pub fn hold_body(&mut self, id: HolderId, bytes: usize) {
        self.change(id, |holder| holder.body = bytes);
    }

    /// Notes that the body of a request is complete. Returns its bytes of memory.
    pub fn complete_body(&mut self, id: HolderId) -> usize {
        let bytes = self.holders.get(&id).map_or(0, |holder| holder.body);
        self.change(id, |holder| holder.complete_bodies += bytes);
        self.end_body(id);
        bytes
    }

    /// Notes that the body of a request is no longer awaited, and that what came of it was dropped.
    pub fn end_body(&mut self, id: HolderId) {
        self.change(id, |holder| {
            holder.body = 0;
            if holder.stage == Stage::Body {
                holder.stage = Stage::Busy;
            }
        });
    }

    /// Notes that a complete body of `bytes` bytes of memory was dropped.
    pub fn release_body(&mut self, id: HolderId, bytes: usize) {
        self.change(id, |holder| holder.complete_bodies -= bytes);
        self.remove_unused(id);
    }

    /// Notes that a connection was told to give way, and that its incomplete body was dropped.
    pub fn evict(&mut self, id: HolderId) {
        self.change(id, |holder| {
            holder.stage = Stage::Ended;
            holder.body = 0;
        });
    }

    /// Returns whether a kind of endpoint has more connections than it may.
    pub fn over_connections(&self, kind: EndpointKind) -> bool {
        let open = self.holders.values().filter(|h| h.kind == kind && h.stage != Stage::Ended);
        open.count() > self.limits.connections(kind)
    }

    /// Returns whether there is no room for what a connection holds already.
    pub fn over_bytes(&self, id: HolderId) -> bool {
        let is_large = self.holders.get(&id).is_some_and(|h| h.body > SMALL_BODY_BYTES);
        let (part, whole) = if is_large { LARGE_BODY_SHARE } else { (1, 1) };
        self.held > self.limits.bytes / whole * part
    }

    /// Returns the connection that gives way to another one of its kind: one without a request before
    /// one with a body that is not complete, and the one longest without progress among them. `None`
    /// if none can.
    pub fn choose_by_age(&self, kind: Option<EndpointKind>, now: Instant) -> Option<HolderId> {
        let is_candidate = |h: &Holder| kind.is_none_or(|k| k == h.kind) && h.may_give_way(now);
        // The last of several equal ones is chosen, which is the oldest.
        let candidates = self.holders.iter().rev().filter(|(_, h)| is_candidate(h));
        let first = candidates.max_by_key(|(_, h)| (Reverse(h.stage), h.lateness(now)));
        first.map(|(id, _)| *id)
    }

    /// Returns the connection that gives way for memory: the one that costs most, other than `id`.
    /// `None` if none can.
    pub fn choose_by_cost(&self, id: HolderId, now: Instant) -> Option<HolderId> {
        let others = self.holders.iter().rev().filter(|(other, _)| **other != id);
        let candidates = others.filter(|(_, h)| h.may_give_way(now));
        let first = candidates.max_by(|(_, a), (_, b)| a.cost(now).total_cmp(&b.cost(now)));
        first.map(|(id, _)| *id)
    }

    fn change(&mut self, id: HolderId, change: impl FnOnce(&mut Holder)) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let before = holder.bytes();
            change(holder);
            self.held = self.held - before + holder.bytes();
        }
    }

    fn remove_unused(&mut self, id: HolderId) {
        if self.holders.get(&id).is_some_and(|h| !h.is_open && h.complete_bodies == 0) {
            self.holders.remove(&id);
        }
    }
}
