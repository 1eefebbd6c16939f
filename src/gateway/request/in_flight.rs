//! Accounts of what is in progress; guards give back what they took.

use std::rc::Rc;

use crate::{gateway::context::Gateway, ids::UpstreamId};

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

/// A request that an upstream runs for this process.
#[derive(Debug)]
pub struct InFlight {
    gateway: Rc<Gateway>,
    upstream: UpstreamId,
    pending_tokens: u32,
}

impl InFlight {
    /// Counts a request whose prompt has `pending_tokens` that the upstream
    /// has to read.
    pub fn begin(gateway: &Rc<Gateway>, upstream: &UpstreamId, pending_tokens: u32) -> Self {
        if let Some(view) = gateway.board.borrow_mut().upstreams.get_mut(upstream) {
            view.own.running += 1;
            view.own.pending_tokens += pending_tokens;
        }
        Self { gateway: gateway.clone(), upstream: upstream.clone(), pending_tokens }
    }

    /// Notes that the prompt was read.
    pub fn prompt_read(&mut self) {
        let tokens = std::mem::take(&mut self.pending_tokens);
        if let Some(view) = self.gateway.board.borrow_mut().upstreams.get_mut(&self.upstream) {
            view.own.pending_tokens = view.own.pending_tokens.saturating_sub(tokens);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.prompt_read();
        if let Some(view) = self.gateway.board.borrow_mut().upstreams.get_mut(&self.upstream) {
            view.own.running = view.own.running.saturating_sub(1);
        }
    }
}
