//! Retry budget of requests that are sent again.

use super::forward::Forwarding;
use crate::{clock, gateway::decide::RetryPolicy};

impl Forwarding {
    /// Returns whether a request that may have run may be retried, and charges the retry
    /// budget for it.
    pub fn may_run_again(&mut self, upstream: &str, cause: &'static str) -> bool {
        let route = &self.admitted.route;
        let allowed = route.repeatable() && self.runs < route.max_attempts && self.take_retry();
        self.log_failed(upstream, cause, true, allowed);
        allowed
    }

    /// Returns whether a request that did not run may be sent again, and charges the retry
    /// budget for it.
    pub fn may_send_again(&mut self, upstream: &str, cause: &'static str) -> bool {
        let allowed = self.take_retry();
        self.log_failed(upstream, cause, false, allowed);
        allowed
    }

    fn take_retry(&self) -> bool {
        let terms = self.retry_terms();
        let mut board = self.gateway.board.borrow_mut();
        let processes = 1 + board.peers.len();
        board.retries.take(&self.admitted.service, terms, processes, clock::now())
    }

    fn retry_terms(&self) -> RetryPolicy {
        let bounds = self.gateway.settings.borrow().bounds;
        RetryPolicy {
            ratio: bounds.retry_ratio,
            surplus: bounds.retry_surplus,
            window: bounds.retry_window,
        }
    }

    /// Counts a request that retries may be made for.
    pub(super) fn count_request(&self) {
        let terms = self.retry_terms();
        let mut board = self.gateway.board.borrow_mut();
        board.retries.request(&self.admitted.service, terms, clock::now());
    }
}
