//! Accounts of what is in progress; guards give back what they took.

use std::{future::pending, rc::Rc};

use stakker::call;
use tokio::sync::watch::Receiver;

use crate::{
    clock,
    gateway::{
        context::Gateway,
        model::{Lifetime, RequestDigest},
    },
    ids::UpstreamId,
};

/// A request in progress in this process.
#[derive(Debug)]
pub struct InProgress {
    gateway: Rc<Gateway>,
}

impl InProgress {
    /// Counts a request.
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

/// A request that one lifetime of an upstream runs for this process.
#[derive(Debug)]
pub struct InFlight {
    gateway: Rc<Gateway>,
    digest: RequestDigest,
    upstream: UpstreamId,
    lifetime: Lifetime,
    newest: Option<Receiver<Lifetime>>,
    pending_tokens: u32,
}

impl InFlight {
    /// Counts a request whose prompt has `pending_tokens` that the upstream
    /// has to read.
    pub fn begin(
        gateway: &Rc<Gateway>,
        digest: RequestDigest,
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
        let matters = board.crashes.copy_started(digest, lifetime, time, now);
        drop(board);
        let in_flight = Self {
            gateway: gateway.clone(),
            digest,
            upstream: upstream.clone(),
            lifetime,
            newest,
            pending_tokens,
        };
        in_flight.tell_if(matters);
        in_flight
    }

    /// Tells the other gateways of a suspect's copy that began or ended.
    fn tell_if(&self, matters: bool) {
        if matters {
            self.gateway.send_to_controllers(|c| call!([c.crashes], send_now()));
        }
    }

    /// Waits until the upstream is known to have started again: this request will
    /// not be answered any more, also where its connection stays open in silence.
    pub fn lifetime_end(&self) -> impl Future<Output = ()> + use<> {
        let (newest, lifetime) = (self.newest.clone(), self.lifetime);
        async move {
            let Some(mut newest) = newest else {
                return pending().await;
            };
            // An error says that nobody tells of lifetimes any more.
            if newest.wait_for(|l| *l != lifetime).await.is_err() {
                pending().await
            }
        }
    }

    /// Notes that the prompt was read.
    pub fn prompt_read(&mut self) {
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
        }
        let matters = board.crashes.copy_ended(self.digest, self.lifetime);
        drop(board);
        self.tell_if(matters);
    }
}
