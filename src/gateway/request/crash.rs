//! Runs that break off: whether the upstream ended, and what that says of the request.

use std::{
    cell::RefCell, collections::HashMap, io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration,
};

use stakker::call;
use tokio::sync::OnceCell;

use super::{Refusal, attempt::STARTED_AGAIN, forward::Forwarding, select::Selected};
use crate::{
    clock,
    gateway::{
        context::Gateway,
        decide::{AttemptOutcome, InterruptedAttempt, Permission},
        model::{Lifetime, RequestDigest},
        net::{ConnectError, PoolError},
        telemetry::Event,
    },
    ids::UpstreamId,
};

/// Times that a request waits for the word of others on the ends under it: a verdict on
/// another request of its customer may bring a second wait, and none should bring more.
const MOST_WAITS: u32 = 2;

/// Looks whether upstreams have ended, one for each lifetime at a time: the requests
/// that break off together wait for the same look.
#[derive(Debug, Default)]
pub struct EndChecks {
    running: RefCell<HashMap<Lifetime, Rc<OnceCell<bool>>>>,
}

impl EndChecks {
    /// Returns whether the upstream at `address` has ended: its host answers, and
    /// nothing listens there any more. A host that is silent may be cut off.
    async fn has_ended(
        &self,
        gateway: &Gateway,
        lifetime: Lifetime,
        address: SocketAddr,
        most_connections: usize,
    ) -> bool {
        let check = self.running.borrow_mut().entry(lifetime).or_default().clone();
        let look = || async {
            match gateway.pool.open_new(lifetime, address, most_connections).await {
                Ok(lease) => {
                    lease.give_back(None);
                    false
                }
                Err(PoolError::Connect(ConnectError::Socket(e))) => {
                    e.kind() == ErrorKind::ConnectionRefused
                }
                Err(PoolError::Connect(_) | PoolError::Full) => false,
            }
        };
        let ended = *check.get_or_init(look).await;
        self.running.borrow_mut().remove(&lifetime);
        ended
    }
}

impl Gateway {
    /// Notes that an upstream has ended under the requests that broke off there, and
    /// tells the other gateways.
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
        breaks.into_iter().for_each(|broken| board.crashes.record_crash(broken, now));
        drop(guard);
        self.metrics.upstream_ends.inc();
        self.log(&Event::UpstreamEnded { upstream, under: &under });
        self.send_to_controllers(|c| call!([c.crashes], send_now()));
    }

    /// Releases a request that is held for crashes of upstreams, as an operator wishes;
    /// returns whether it was.
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
}

impl Forwarding {
    /// Notes that a run broke off, and finds out whether its upstream ended.
    pub(super) async fn broke_off(&self, selected: &Selected, cause: &'static str) {
        let (id, lifetime) = (&selected.id, selected.lifetime);
        self.verdict(id, lifetime, AttemptOutcome::Failed);
        let restarted = cause == STARTED_AGAIN;
        if !restarted && !self.serves(id, lifetime) {
            // It had announced to leave, and ended for that reason.
            return;
        }
        self.note_break(lifetime);
        let (gateway, checks) = (&self.gateway, &self.gateway.end_checks);
        let (address, most) = (selected.address, selected.most_connections);
        if restarted || checks.has_ended(gateway, lifetime, address, most).await {
            gateway.upstream_ended(id, lifetime);
        } else {
            // It lives: these broke off for another reason. An upstream that spoils answers
            // and is started again later has not ended under them.
            self.note_failure(selected.version_group);
            // What ran there without an answer that reaches anybody is used all the same.
            self.count_usage(clock::now());
            gateway.board.borrow_mut().breaks.take(lifetime);
        }
    }

    fn serves(&self, upstream: &UpstreamId, lifetime: Lifetime) -> bool {
        let mut board = self.gateway.board.borrow_mut();
        board.in_lifetime(upstream, lifetime).is_some_and(|view| view.takes_work())
    }

    fn note_break(&self, lifetime: Lifetime) {
        let customer = self.admitted.customer.clone().unwrap_or_default();
        let broken = InterruptedAttempt { digest: self.digest, customer, lifetime };
        self.gateway.board.borrow_mut().breaks.note(broken, clock::now());
    }

    /// Notes that an upstream ran the request to a good end, which shows that it crashes
    /// none, and that the upstream lives.
    pub(super) fn ran_to_good_end(&self, lifetime: Lifetime) {
        let now = clock::now();
        let mut board = self.gateway.board.borrow_mut();
        let time = board.clock.unix_millis(now);
        board.crashes.retract_crashes(lifetime, now);
        let changes = board.crashes.completed(self.digest, time, now);
        drop(board);
        self.gateway.log_verdicts(&changes, "own");
    }

    /// Returns whether the request may be sent now, apart from other suspects if true.
    /// Waits for a moment where the word of others may decide.
    ///
    /// # Errors
    ///
    /// Fails with the refusal of a request that is not sent: it crashes upstreams, or a
    /// copy of it runs that may show that it does.
    pub(super) async fn may_send(&self) -> Result<bool, Refusal> {
        let mut waits = 0;
        let refusal = loop {
            match self.permission() {
                Permission::Unrestricted => return Ok(false),
                Permission::Isolated => return Ok(true),
                Permission::NotBefore(at) if waits < MOST_WAITS => clock::sleep_until(at).await,
                Permission::Never => break Refusal::CrashesUpstreams,
                Permission::NotBefore(_) | Permission::AfterRunningCopy => break self.copy_runs(),
            }
            waits += 1;
        };
        self.log_not_sent(refusal);
        Err(if self.has_run() { Refusal::Broken } else { refusal })
    }

    fn log_not_sent(&self, refusal: Refusal) {
        self.gateway.log(&Event::NotSent {
            request: &self.outgoing.head.id,
            digest: &self.digest.to_string(),
            customer: self.admitted.customer.as_deref().unwrap_or_default(),
            ends: self.gateway.board.borrow().crashes.crashes_under(self.digest).len(),
            state: refusal.cause(),
        });
    }

    fn permission(&self) -> Permission {
        let now = clock::now();
        let board = self.gateway.board.borrow();
        let may_try = board.trial_turn.may_try(now);
        board.crashes.permission(self.digest, may_try, board.clock.unix_millis(now), now)
    }

    /// Returns the refusal for a request of which a copy runs. It ends after the time
    /// that a request to the service takes on average.
    fn copy_runs(&self) -> Refusal {
        let off = &self.gateway.settings.borrow().off;
        let speed = self.gateway.board.borrow().speed(&self.admitted.service, off);
        Refusal::CopyRuns(Duration::from_secs_f64(speed.slot_seconds))
    }
}
