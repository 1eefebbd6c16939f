//! Reading of a request's body into one buffer.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use thiserror::Error;
use tokio::pin;

use super::{Intake, IntakeConnection};
use crate::{clock, gateway::decide::HolderId};

/// Smallest buffer for a body that comes in parts.
const MIN_BUFFER_BYTES: usize = 1 << 10;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReadBodyError {
    /// It exceeds the maximum size.
    #[error("the body is too large")]
    TooLarge,
    /// It ended before it was complete.
    #[error("the body is incomplete")]
    Incomplete,
    /// The process has no memory for it.
    #[error("no memory for the body")]
    NoMemory,
}

/// Memory of a complete body, until it is dropped.
#[derive(Debug)]
pub struct BodyLease {
    intake: Intake,
    holder: HolderId,
    bytes: usize,
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        self.intake.change(|account| account.release_body(self.holder, self.bytes));
    }
}

/// Ends the reading of a body when dropped.
struct Reading<'a>(&'a IntakeConnection);

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        drop(self.0.body.take());
        self.0.intake.change(|account| account.end_body(self.0.id));
    }
}

/// Reads the body of the current request of a connection.
///
/// # Errors
///
/// Fails if the body is larger than `limit` bytes or incomplete, or if there is no memory for it.
pub async fn read_body(
    connection: &Rc<IntakeConnection>,
    mut body: Incoming,
    limit: usize,
) -> Result<(Bytes, BodyLease), ReadBodyError> {
    if body.size_hint().lower() > limit as u64 {
        return Err(ReadBodyError::TooLarge);
    }
    let largest = body.size_hint().upper().map_or(limit, |upper| limit.min(upper as usize));
    connection.intake.change(|account| account.begin_body(connection.id, clock::now()));
    let _reading = Reading(connection);
    let evicted = connection.evicted();
    pin!(evicted);
    loop {
        let frame = tokio::select! {
            biased;
            () = &mut evicted => return Err(ReadBodyError::NoMemory),
            frame = body.frame() => frame,
        };
        let frame = match frame {
            None => break,
            Some(Err(_)) => return Err(ReadBodyError::Incomplete),
            Some(Ok(frame)) => frame,
        };
        connection.hand_on();
        // Trailers are not passed on.
        if let Ok(data) = frame.into_data() {
            connection.append(&data, largest)?;
        }
    }
    Ok(connection.take_body())
}

impl IntakeConnection {
    /// Appends to the body, which may have `largest` bytes.
    fn append(&self, data: &[u8], largest: usize) -> Result<(), ReadBodyError> {
        let (length, capacity) = {
            let buf = self.body.borrow();
            (buf.len() + data.len(), buf.capacity())
        };
        if length > largest {
            return Err(ReadBodyError::TooLarge);
        }
        if length > capacity {
            let grown = (2 * capacity).max(MIN_BUFFER_BYTES).min(largest).max(length);
            self.intake.change(|account| account.hold_body(self.id, grown));
            if !self.intake.make_room(self.id) || self.is_evicted() {
                return Err(ReadBodyError::NoMemory);
            }
            let mut buf = self.body.borrow_mut();
            let more = grown - buf.len();
            buf.reserve_exact(more);
        }
        self.body.borrow_mut().extend_from_slice(data);
        Ok(())
    }

    fn take_body(&self) -> (Bytes, BodyLease) {
        let buf = self.body.take();
        let bytes = self.intake.change(|account| account.complete_body(self.id));
        let lease = BodyLease { intake: self.intake.clone(), holder: self.id, bytes };
        (Bytes::from(buf), lease)
    }
}
