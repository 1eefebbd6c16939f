//! Interrupted runs: finds out whether the upstream process ended, and attributes its end to the
//! requests that ran there. Requests that crash upstreams are quarantined.

use std::{
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use stakker::call;

use super::{
    Refusal,
    attempt::UPSTREAM_RESTARTED,
    forward::Forwarding,
    select::Selected,
    upstream_probe::{ProbeResult, ProbeTarget},
};
use crate::{
    clock,
    gateway::{
        context::Gateway,
        decide::{AttemptOutcome, InterruptedAttempt, Permission},
        model::{Lifetime, PartKey, RequestDigest},
        telemetry::Event,
    },
    ids::UpstreamId,
    telemetry::count,
};

/// Times that a request waits for other gateways' reports about upstream ends attributed to it. A
/// verdict on another request of its customer may cause a second wait; nothing should cause more.
const MAX_VERDICT_WAITS: u32 = 2;
/// Parts of prompts that a line of the log about the end of an upstream names.
const MAX_LOGGED_PARTS: usize = 64;

/// Whether an upstream has ended, as far as it could be found out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UpstreamLife {
    /// It has ended.
    Ended,
    /// It is alive.
    Alive,
    /// It could not be found out.
    Unknown,
}

impl Gateway {
    /// Attributes the end of an upstream to the requests that were interrupted there, and informs
    /// the other gateways.
    pub fn upstream_ended(&self, upstream: &UpstreamId, lifetime: Lifetime) {
        let now = clock::now();
        let mut guard = self.board.borrow_mut();
        let board = &mut *guard;
        let breaks = board.breaks.take(lifetime);
        if breaks.is_empty() {
            return;
        }
        if let Some(view) = board.in_lifetime(upstream, lifetime) {
            view.breaker.record(AttemptOutcome::Unreachable, now);
        }
        let under: Vec<String> = breaks.iter().map(|b| b.digest.to_string()).collect();
        let parts: BTreeSet<PartKey> =
            breaks.iter().flat_map(|b| b.parts.iter().copied()).collect();
        let parts: Vec<String> =
            parts.iter().take(MAX_LOGGED_PARTS).map(PartKey::to_string).collect();
        breaks.into_iter().for_each(|broken| board.crashes.record_crash(broken, now));
        drop(guard);
        self.metrics.upstream_ends.inc();
        self.log(&Event::UpstreamEnded { upstream, under: &under, parts: &parts });
        self.send_to_controllers(|c| call!([c.crashes], send_now()));
    }

    /// Releases a request from quarantine on an operator's order; returns whether it was
    /// quarantined.
    pub fn release(&self, digest: RequestDigest) -> bool {
        let now = clock::now();
        let mut board = self.board.borrow_mut();
        let time = board.clock.unix_millis(now);
        let changes = board.crashes.release(digest, time, now);
        drop(board);
        self.log_verdicts(&changes, "operator");
        self.send_to_controllers(|c| call!([c.crashes], send_now()));
        !changes.is_empty()
    }

    /// Releases a part of prompts from quarantine on an operator's order; returns whether it was
    /// quarantined.
    pub fn release_part(&self, part: PartKey) -> bool {
        let now = clock::now();
        let mut board = self.board.borrow_mut();
        let time = board.clock.unix_millis(now);
        let changes = board.crashes.parts_mut().release(part, time, now);
        drop(board);
        self.log_part_verdicts(&changes, "operator");
        self.send_to_controllers(|c| call!([c.crashes], send_now()));
        !changes.is_empty()
    }
}

impl Forwarding {
    /// Handles an interrupted run and finds out whether its upstream ended.
    pub(super) async fn handle_interrupted(&self, selected: &Selected, cause: &'static str) {
        let (id, lifetime) = (&selected.id, selected.lifetime);
        let restarted = cause == UPSTREAM_RESTARTED;
        if !restarted && !self.serves(id, lifetime) {
            // It had announced that it leaves, so its end says nothing about the request.
            self.verdict(id, lifetime, AttemptOutcome::Failed);
            return;
        }
        self.note_interruption(selected);
        let gateway = &self.gateway;
        let result = match restarted {
            true => ProbeResult::Ended,
            false => self.probe(selected).await,
        };
        if result != ProbeResult::OwnPathLost {
            self.verdict(id, lifetime, AttemptOutcome::Failed);
        }
        match result {
            ProbeResult::Ended => gateway.upstream_ended(id, lifetime),
            ProbeResult::Alive
            | ProbeResult::OwnPathLost
            | ProbeResult::Unreachable
            | ProbeResult::Unproven => {
                if result != ProbeResult::OwnPathLost {
                    self.note_failure(selected.version_group);
                }
                // The run counts as usage although its answer reaches nobody.
                self.count_usage(clock::now());
                // The runs were interrupted for another reason than an end of the upstream. They are
                // forgotten, lest a later restart of an upstream with faulty answers be attributed
                // to them. Where nothing was found out a later probe decides.
                if result != ProbeResult::Unproven {
                    gateway.board.borrow_mut().breaks.take(lifetime);
                }
            }
        }
    }

    /// Finds out whether the upstream of a run has ended. Its connections may then have been closed
    /// in the middle of an answer, without an error. The connection of the run should have been
    /// dropped: it may take the place of the probe's.
    pub(super) async fn upstream_life(&self, selected: &Selected) -> UpstreamLife {
        match self.probe(selected).await {
            ProbeResult::Ended => UpstreamLife::Ended,
            ProbeResult::Alive | ProbeResult::OwnPathLost => UpstreamLife::Alive,
            ProbeResult::Unreachable | ProbeResult::Unproven => UpstreamLife::Unknown,
        }
    }

    async fn probe(&self, selected: &Selected) -> ProbeResult {
        let configuration = &self.admitted.configuration;
        let service = configuration.services.get(&self.admitted.service);
        let health_path = service.and_then(|service| service.health_path.as_ref());
        let target = ProbeTarget::new(selected, health_path);
        let result = self.gateway.upstream_probes.probe(&self.gateway, target).await;
        self.gateway.log(&Event::UpstreamProbed {
            request: &self.outgoing.head.id,
            upstream: &selected.id,
            result: result.name(),
        });
        result
    }

    fn serves(&self, upstream: &UpstreamId, lifetime: Lifetime) -> bool {
        let mut board = self.gateway.board.borrow_mut();
        board.in_lifetime(upstream, lifetime).is_some_and(|view| view.takes_work())
    }

    fn note_interruption(&self, selected: &Selected) {
        let lifetime = selected.lifetime;
        let parts = match selected.in_flight.has_written_on() {
            true => Rc::default(),
            false => self.parts.clone(),
        };
        let customer = self.admitted.customer.clone().unwrap_or_default();
        let broken = InterruptedAttempt { digest: self.digest, parts, customer, lifetime };
        self.gateway.board.borrow_mut().breaks.note(broken, clock::now());
    }

    /// Notes that an upstream completed the request, which shows that the request does not crash
    /// upstreams and that this upstream is alive.
    ///
    /// `began` is when the upstream began to write the answer.
    pub(super) fn note_completed(&self, lifetime: Lifetime, began: Instant) {
        let now = clock::now();
        let mut board = self.gateway.board.borrow_mut();
        let time = board.clock.unix_millis(now);
        board.crashes.retract_crashes(lifetime, now);
        let of_request = board.crashes.completed(self.digest, time, now);
        let of_parts = board.crashes.parts_mut().completed(&self.parts, began, time, now);
        drop(board);
        self.gateway.log_verdicts(&of_request, "own");
        self.gateway.log_part_verdicts(&of_parts, "own");
    }

    /// Notes that an answer ended without showing whether it is complete, while its upstream lived
    /// on.
    pub(super) fn note_ended_unframed(&self, lifetime: Lifetime, began: Instant) {
        let now = clock::now();
        let mut board = self.gateway.board.borrow_mut();
        let time = board.clock.unix_millis(now);
        board.crashes.retract_crashes(lifetime, now);
        let changes = board.crashes.completed(self.digest, time, now);
        board.crashes.parts_mut().note_sign(&self.parts, began, now);
        drop(board);
        self.gateway.log_verdicts(&changes, "own");
    }

    /// Waits until the request may be sent, if reports of other gateways may still settle that.
    /// Returns whether it must run isolated from other requests suspected of crashing upstreams.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that is not sent, because it crashes upstreams or because
    /// a copy is running that may show whether it does.
    pub(super) async fn await_send_permission(&self) -> Result<bool, Refusal> {
        let mut waits = 0;
        let refusal = loop {
            match self.permission() {
                Permission::Unrestricted => return Ok(false),
                Permission::Isolated => return Ok(true),
                Permission::NotBefore(at) if waits < MAX_VERDICT_WAITS => {
                    clock::sleep_until(at).await
                }
                Permission::Never => break Refusal::CrashesUpstreams,
                Permission::NotBefore(_) | Permission::AfterRunningCopy => break self.copy_runs(),
            }
            waits += 1;
        };
        self.log_not_sent(refusal);
        Err(if self.has_run() { Refusal::Broken } else { refusal })
    }

    fn log_not_sent(&self, refusal: Refusal) {
        let part = self.strictest_part();
        let board = self.gateway.board.borrow();
        let part_ends = part.map_or(0, |part| board.crashes.parts().crashes_under(part));
        let ends = board.crashes.crashes_under(self.digest).len();
        drop(board);
        if part.is_some() {
            count(&self.gateway.metrics.held_for_parts, refusal.cause());
        }
        self.gateway.log(&Event::NotSent {
            request: &self.outgoing.head.id,
            digest: &self.digest.to_string(),
            customer: self.admitted.customer.as_deref().unwrap_or_default(),
            ends,
            part: &part.map(|part| part.to_string()).unwrap_or_default(),
            part_ends,
            state: refusal.cause(),
        });
    }

    fn permission(&self) -> Permission {
        let now = clock::now();
        let board = self.gateway.board.borrow();
        let (may_try, time) = (board.trial_turn.may_try(now), board.clock.unix_millis(now));
        let of_request = board.crashes.permission(self.digest, may_try, time, now);
        let of_parts = board.crashes.part_permission(&self.parts, may_try, time, now);
        of_request.max(of_parts)
    }

    /// Returns the part of the prompt for which the request is not sent; `None` if it is not sent
    /// for itself.
    fn strictest_part(&self) -> Option<PartKey> {
        let now = clock::now();
        let board = self.gateway.board.borrow();
        let (may_try, time) = (board.trial_turn.may_try(now), board.clock.unix_millis(now));
        let of_request = board.crashes.permission(self.digest, may_try, time, now);
        let permission =
            |part: &PartKey| board.crashes.part_permission(&[*part], may_try, time, now);
        let strictest = self.parts.iter().max_by_key(|part| permission(part))?;
        (permission(strictest) > of_request).then_some(*strictest)
    }

    /// Returns the refusal for a request of which a copy is running. Its retry delay is the average
    /// duration of a request to the service.
    fn copy_runs(&self) -> Refusal {
        let off = &self.gateway.settings.borrow().off;
        let speed = self.gateway.board.borrow().speed(&self.admitted.service, off);
        Refusal::CopyRuns(Duration::from_secs_f64(speed.slot_seconds))
    }
}
