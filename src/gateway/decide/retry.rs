//! Budget of second attempts, shared by all processes without talk: each
//! counts its own requests and takes its part of the allowed surplus.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::gateway::model::ServiceName;

/// Share of the budget that is used: processes that come and go, and attempts
/// that are counted elsewhere, have the rest.
const USED_SHARE: f64 = 0.6;

/// Terms of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryTerms {
    /// Second attempts for each request.
    pub ratio: f64,
    /// Second attempts in a window beyond that, all processes together.
    pub surplus: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct History {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// Requests and second attempts of this process, by service.
#[derive(Debug, Default)]
pub struct RetryBook {
    services: HashMap<ServiceName, History>,
}

impl RetryBook {
    /// Counts a request.
    pub fn request(&mut self, service: &ServiceName, terms: RetryTerms, now: Instant) {
        let history = self.services.entry(service.clone()).or_default();
        history.forget(terms.window, now);
        history.requests.push_back(now);
    }

    /// Takes a second attempt from the budget; `false` if it is used up.
    /// `processes` share the surplus.
    pub fn take(
        &mut self,
        service: &ServiceName,
        terms: RetryTerms,
        processes: usize,
        now: Instant,
    ) -> bool {
        let history = self.services.entry(service.clone()).or_default();
        history.forget(terms.window, now);
        let earned = history.requests.len() as f64 * terms.ratio;
        let allowed = (earned + terms.surplus / processes.max(1) as f64) * USED_SHARE;
        if history.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        history.retries.push_back(now);
        true
    }
}

impl History {
    fn forget(&mut self, window: Duration, now: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|t| now.saturating_duration_since(*t) > window) {
                times.pop_front();
            }
        }
    }
}
