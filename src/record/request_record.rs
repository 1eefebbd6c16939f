//! One request's record, shared by the thread that runs it and the threads
//! that write it to callers.

use std::{
    sync::{Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{Outcome, TokenText, Work};
use crate::{
    ids::{Customer, RequestId},
    wire::Contact,
};

/// One request's record.
#[derive(Debug)]
pub struct Record {
    /// Identifier; names the home.
    pub id: RequestId,
    /// Customer; no other may read the answer.
    pub customer: Customer,
    /// The caller's key.
    pub key: Option<String>,
    /// What was asked.
    pub work: Work,
    /// When to give up.
    pub deadline: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug)]
struct State {
    tokens: TokenText,
    outcome: Option<Outcome>,
    finished_at: Option<Instant>,
    moved_to: Option<Contact>,
    frozen: bool,
    trail: Vec<String>,
    batch: Option<String>,
}

/// What follows an offset of a record's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Tail {
    /// Tokens from the offset on.
    pub tokens: Vec<String>,
    /// The outcome, where the request ended.
    pub outcome: Option<Outcome>,
    /// The process that goes on with the request, where it was handed over.
    pub moved_to: Option<Contact>,
}

/// A record as it is handed over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordSnapshot {
    /// Identifier.
    pub id: RequestId,
    /// Customer.
    pub customer: Customer,
    /// The caller's key.
    pub key: Option<String>,
    /// What was asked.
    pub work: Work,
    /// Tokens so far.
    pub tokens: TokenText,
    /// The outcome, where it ended.
    pub outcome: Option<Outcome>,
    /// Time left until its deadline.
    pub time_left: Duration,
    /// What happened to it.
    pub trail: Vec<String>,
}

impl Record {
    /// Creates the record of a request that begins.
    pub fn new(
        id: RequestId,
        customer: Customer,
        key: Option<String>,
        work: Work,
        deadline: Instant,
    ) -> Self {
        let state = State {
            tokens: TokenText::default(),
            outcome: None,
            finished_at: None,
            moved_to: None,
            frozen: false,
            trail: Vec::new(),
            batch: None,
        };
        let state = Mutex::new(state);
        Self { id, customer, key, work, deadline, state, changed: Condvar::new() }
    }

    /// Creates a record from one that was handed over.
    pub fn from_snapshot(snapshot: RecordSnapshot, now: Instant) -> Self {
        let state = State {
            tokens: snapshot.tokens,
            finished_at: snapshot.outcome.is_some().then_some(now),
            outcome: snapshot.outcome,
            moved_to: None,
            frozen: false,
            trail: snapshot.trail,
            batch: None,
        };
        Self {
            id: snapshot.id,
            customer: snapshot.customer,
            key: snapshot.key,
            work: snapshot.work,
            deadline: now + snapshot.time_left,
            state: Mutex::new(state),
            changed: Condvar::new(),
        }
    }

    /// Returns the record as it is handed over.
    pub fn snapshot(&self, now: Instant) -> RecordSnapshot {
        let state = self.lock();
        RecordSnapshot {
            id: self.id.clone(),
            customer: self.customer.clone(),
            key: self.key.clone(),
            work: self.work.clone(),
            tokens: state.tokens.clone(),
            outcome: state.outcome.clone(),
            time_left: self.deadline.saturating_duration_since(now),
            trail: state.trail.clone(),
        }
    }

    /// Appends the token at `offset`. Returns `false`, and changes nothing,
    /// where the answer does not continue there: the token is a duplicate,
    /// out of order, or comes after the end or a hand-over.
    pub fn push(&self, offset: usize, token: &str) -> bool {
        let mut state = self.lock_unfrozen();
        if state.is_closed() || state.tokens.len() != offset {
            return false;
        }
        state.tokens.push(token);
        self.changed.notify_all();
        true
    }

    /// Sets the outcome, once. Returns whether it was set.
    pub fn finish(&self, outcome: Outcome) -> bool {
        let mut state = self.lock_unfrozen();
        if state.is_closed() {
            return false;
        }
        state.outcome = Some(outcome);
        state.tokens.shrink();
        state.finished_at = Some(Instant::now());
        self.changed.notify_all();
        true
    }

    /// Makes [`Record::push`] and [`Record::finish`] wait, so that what is
    /// handed over is all that any caller has seen.
    pub fn freeze(&self) {
        self.lock().frozen = true;
    }

    /// Ends a freeze after a hand-over that did not succeed.
    pub fn unfreeze(&self) {
        self.lock().frozen = false;
        self.changed.notify_all();
    }

    /// Notes that another process goes on with the request; nothing more is
    /// appended here.
    pub fn move_to(&self, contact: Contact) {
        let mut state = self.lock();
        state.frozen = false;
        state.moved_to = Some(contact);
        self.changed.notify_all();
    }

    /// Notes the batch in which the request is recorded at the platform.
    pub fn set_batch(&self, batch: &str) {
        self.lock().batch = Some(batch.to_owned());
    }

    /// Returns the batch in which the request is recorded at the platform.
    pub fn batch(&self) -> Option<String> {
        self.lock().batch.clone()
    }

    /// Notes a step, for `explain`.
    pub fn note(&self, step: String) {
        self.lock().trail.push(step);
    }

    /// Returns the steps noted so far.
    pub fn trail(&self) -> Vec<String> {
        self.lock().trail.clone()
    }

    /// Returns the number of tokens so far.
    pub fn len(&self) -> usize {
        self.lock().tokens.len()
    }

    /// Returns whether there are no tokens yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the answer so far as one text.
    pub fn text(&self) -> String {
        self.lock().tokens.text().to_owned()
    }

    /// Returns the outcome, where the request ended.
    pub fn outcome(&self) -> Option<Outcome> {
        self.lock().outcome.clone()
    }

    /// Returns whether another process goes on with the request.
    pub fn is_moved(&self) -> bool {
        self.lock().moved_to.is_some()
    }

    /// Returns when the request ended.
    pub fn finished_at(&self) -> Option<Instant> {
        self.lock().finished_at
    }

    /// Waits until there is something after `offset`, or until `timeout`.
    pub fn wait_after(&self, offset: usize, timeout: Duration) -> Tail {
        let state = self.lock();
        let idle = |s: &mut State| s.tokens.len() <= offset && !s.is_closed();
        let (state, _) = self
            .changed
            .wait_timeout_while(state, timeout, idle)
            .unwrap_or_else(PoisonError::into_inner);
        Tail {
            tokens: state.tokens.from(offset),
            outcome: state.outcome.clone(),
            moved_to: state.moved_to.clone(),
        }
    }

    fn lock_unfrozen(&self) -> MutexGuard<'_, State> {
        let frozen = |s: &mut State| s.frozen;
        self.changed.wait_while(self.lock(), frozen).unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn is_closed(&self) -> bool {
        self.outcome.is_some() || self.moved_to.is_some()
    }
}
