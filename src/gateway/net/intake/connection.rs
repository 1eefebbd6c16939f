//! A connection in the account of what clients hold.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use tokio_util::sync::CancellationToken;

use super::Intake;
use crate::{clock, gateway::decide::HolderId};

/// A connection in an [`Intake`], until it is dropped.
#[derive(Debug)]
pub struct IntakeConnection {
    pub(super) intake: Intake,
    pub(super) id: HolderId,
    evicted: CancellationToken,
    has_request: Cell<bool>,
    /// Whether bytes were received since [`Self::hand_on`].
    has_received: Cell<bool>,
    /// What came of the body of the current request. It is dropped here when the connection has to
    /// give way, so that its memory is free at once.
    pub(super) body: RefCell<Vec<u8>>,
}

impl IntakeConnection {
    pub(super) fn new(intake: Intake, id: HolderId) -> Self {
        Self {
            intake,
            id,
            evicted: CancellationToken::new(),
            has_request: Cell::default(),
            has_received: Cell::default(),
            body: RefCell::default(),
        }
    }

    /// Notes bytes that were received.
    pub fn receive(&self, bytes: usize) {
        self.has_received.set(true);
        self.intake.change(|account| account.receive(self.id, bytes, clock::now()));
        self.intake.make_room(self.id);
    }

    /// Notes that a part of what was received has been handed on.
    pub(super) fn hand_on(&self) {
        if self.has_received.replace(false) {
            self.intake.change(|account| account.hand_on(self.id));
        }
    }

    /// Notes that the head of a request is complete. The answer is complete when the guard is dropped.
    pub fn begin_request(self: &Rc<Self>) -> RequestGuard {
        self.has_request.set(true);
        self.intake.change(|account| account.begin_request(self.id));
        RequestGuard { connection: self.clone() }
    }

    /// Notes whether a part of an answer waits for the client to read.
    pub fn set_unread(&self, is_unread: bool) {
        self.intake.change(|account| account.set_unread(self.id, is_unread, clock::now()));
    }

    /// Returns whether a request is being handled.
    pub fn has_request(&self) -> bool {
        self.has_request.get()
    }

    /// Waits until the connection has to give way.
    pub async fn evicted(&self) {
        self.evicted.cancelled().await;
    }

    pub(super) fn is_evicted(&self) -> bool {
        self.evicted.is_cancelled()
    }

    pub(super) fn evict(&self) {
        drop(self.body.take());
        self.evicted.cancel();
    }
}

impl Drop for IntakeConnection {
    fn drop(&mut self) {
        self.intake.shared.borrow_mut().connections.remove(&self.id);
        self.intake.change(|account| account.close(self.id));
    }
}

/// A request of an [`IntakeConnection`], until its answer is complete.
#[derive(Debug)]
pub struct RequestGuard {
    connection: Rc<IntakeConnection>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let connection = &self.connection;
        connection.has_request.set(false);
        connection.intake.change(|account| account.end_request(connection.id, clock::now()));
    }
}
