//! Guards that count requests in progress and in flight, and undo the count when dropped.

use std::{
    cell::RefCell,
    future::pending,
    rc::Rc,
    time::{Duration, Instant},
};

use stakker::call;
use tokio::sync::watch::Receiver;

use super::room::RoomLease;
use crate::{
    clock,
    gateway::{
        context::Gateway,
        decide::{CostPrediction, PROVEN_WRITING, RunningId},
        model::{Lifetime, PartKey, RequestDigest},
    },
    ids::UpstreamId,
};

/// Guard that counts a request in this process from arrival to the end of its answer.
#[derive(Debug)]
pub struct InProgress {
    gateway: Rc<Gateway>,
}

impl InProgress {
    /// Counts a request until the guard is dropped.
    pub fn begin(gateway: &Rc<Gateway>) -> Self {
        gateway.board.borrow_mut().in_progress += 1;
        gateway.metrics.in_progress.inc();
        Self { gateway: gateway.clone() }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.gateway.board.borrow_mut().in_progress -= 1;
        self.gateway.metrics.in_progress.dec();
    }
}

/// Guard that counts a request in flight at one lifetime of an upstream.
#[derive(Debug)]
pub struct InFlight {
    gateway: Rc<Gateway>,
    digest: RequestDigest,
    parts: Rc<[PartKey]>,
    /// Whether it is the trial of a quarantined request, or of a quarantined part of its prompt.
    is_trial: bool,
    upstream: UpstreamId,
    lifetime: Lifetime,
    newest: Option<Receiver<Lifetime>>,
    pending_tokens: u32,
    /// When the first and the latest data of the answer arrived.
    written: Option<(Instant, Instant)>,
    /// Room granted for it, if the upstream is brittle.
    room: RefCell<Option<RoomLease>>,
    /// Its predicted cost, and by which the upstream's work is known; `None` without a prediction.
    work: Option<(RunningId, CostPrediction)>,
}

impl InFlight {
    /// Counts a request with `pending_tokens` prompt tokens that the upstream has yet to process.
    pub fn begin(
        gateway: &Rc<Gateway>,
        digest: RequestDigest,
        parts: &Rc<[PartKey]>,
        upstream: &UpstreamId,
        lifetime: Lifetime,
        pending_tokens: u32,
    ) -> Self {
        let now = clock::now();
        let mut board = gateway.board.borrow_mut();
        if let Some(view) = board.in_lifetime(upstream, lifetime) {
            view.own.running += 1;
            view.own.pending_tokens += pending_tokens;
        }
        let newest = board.subscribe_lifetime(upstream);
        let time = board.clock.unix_millis(now);
        let is_trial = board.crashes.is_quarantined(digest, parts);
        let of_request = board.crashes.copy_started(digest, lifetime, time, now);
        let of_parts = board.crashes.parts_mut().copy_started(parts, lifetime, time, now);
        drop(board);
        gateway.announce_work(lifetime, pending_tokens, now);
        let in_flight = Self {
            gateway: gateway.clone(),
            digest,
            parts: parts.clone(),
            is_trial,
            upstream: upstream.clone(),
            lifetime,
            newest,
            pending_tokens,
            written: None,
            room: RefCell::new(None),
            work: None,
        };
        in_flight.announce_copy(of_request || of_parts);
        in_flight
    }

    /// Counts the predicted work of the request at the upstream until the request ends.
    pub(super) fn with_work(mut self, prediction: Option<CostPrediction>) -> Self {
        let mut board = self.gateway.board.borrow_mut();
        if let Some(view) = board.in_lifetime(&self.upstream, self.lifetime) {
            self.work = prediction.map(|p| (view.own_work.begin(p, clock::now()), p));
        }
        drop(board);
        self
    }

    /// Returns what the request was predicted to cost.
    pub(super) fn prediction(&self) -> Option<&CostPrediction> {
        self.work.as_ref().map(|(_, prediction)| prediction)
    }

    /// Notes that output tokens arrived, which reduces the work that the upstream has left.
    pub(super) fn note_output(&self, tokens: f64) {
        let mut board = self.gateway.board.borrow_mut();
        let view = board.in_lifetime(&self.upstream, self.lifetime);
        if let Some((view, (id, _))) = view.zip(self.work) {
            view.own_work.note_output(id, tokens, clock::now());
        }
    }

    /// Returns whether the request has been quarantined, by itself or for a part of its prompt,
    /// since it was counted.
    pub(super) fn is_quarantined(&self) -> bool {
        !self.is_trial
            && self.gateway.board.borrow().crashes.is_quarantined(self.digest, &self.parts)
    }

    /// Keeps the room that was granted for the request until the request ends.
    pub(super) fn hold_room(&self, lease: RoomLease) {
        *self.room.borrow_mut() = Some(lease);
    }

    /// Notes that the upstream rejected the request for want of room.
    pub(super) fn note_rejected(&self) {
        if let Some(lease) = self.room.borrow_mut().as_mut() {
            lease.note_rejected();
        }
    }

    /// Informs the other gateways if a copy of a suspected request began or ended.
    fn announce_copy(&self, matters: bool) {
        if matters {
            self.gateway.send_to_controllers(|c| call!([c.crashes], send_now()));
        }
    }

    /// Waits until the upstream is known to have restarted, after which this request gets no
    /// answer, even if its connection stays open without data.
    pub fn lifetime_end(&self) -> impl Future<Output = ()> + use<> {
        let (newest, lifetime) = (self.newest.clone(), self.lifetime);
        async move {
            let Some(mut newest) = newest else {
                return pending().await;
            };
            // The sender is gone, so no further lifetime will be reported.
            if newest.wait_for(|l| *l != lifetime).await.is_err() {
                pending().await
            }
        }
    }

    /// Notes that data of the answer arrived, so that the upstream has processed the prompt.
    pub(super) fn note_data(&mut self) {
        self.prompt_read();
        let (now, had_proof) = (clock::now(), self.has_written_on());
        let (began, _) = *self.written.get_or_insert((now, now));
        self.written = Some((began, now));
        if !had_proof && self.has_written_on() {
            let mut board = self.gateway.board.borrow_mut();
            board.crashes.parts_mut().copy_proven(&self.parts, self.lifetime, began, now);
        }
    }

    /// Returns when the first data of the answer arrived.
    pub(super) fn began(&self) -> Option<Instant> {
        self.written.map(|(first, _)| first)
    }

    /// Returns the time from the first to the latest data of the answer.
    pub(super) fn writing_time(&self) -> Option<Duration> {
        self.written.map(|(first, latest)| latest - first)
    }

    /// Returns whether the upstream has written for so long that the parts of the prompt do not
    /// crash it.
    pub(super) fn has_written_on(&self) -> bool {
        self.written.is_some_and(|(first, latest)| latest - first >= PROVEN_WRITING)
    }

    /// Notes that the upstream has processed the prompt.
    fn prompt_read(&mut self) {
        let tokens = std::mem::take(&mut self.pending_tokens);
        let mut board = self.gateway.board.borrow_mut();
        if let Some(view) = board.in_lifetime(&self.upstream, self.lifetime) {
            view.own.pending_tokens = view.own.pending_tokens.saturating_sub(tokens);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.prompt_read();
        let mut board = self.gateway.board.borrow_mut();
        if let Some(view) = board.in_lifetime(&self.upstream, self.lifetime) {
            view.own.running = view.own.running.saturating_sub(1);
            if let Some((id, _)) = self.work {
                view.own_work.end(id);
            }
        }
        let of_request = board.crashes.copy_ended(self.digest, self.lifetime);
        let of_parts = match self.has_written_on() {
            true => false,
            false => board.crashes.parts_mut().copy_ended(&self.parts, self.lifetime, clock::now()),
        };
        drop(board);
        self.announce_copy(of_request || of_parts);
    }
}
