//! Retry budget, shared by all processes without coordination: each process counts its own
//! requests and takes an equal part of the surplus.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::gateway::model::ServiceName;

/// Fraction of the budget that is used. The rest covers processes that start or end, and
/// attempts that are counted elsewhere.
const USED_FRACTION: f64 = 0.6;

/// Limits of the retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed per window, over all processes.
    pub surplus: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct ServiceHistory {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// Requests and retries of this process, by service.
#[derive(Debug, Default)]
pub struct ServiceRetryBudgets {
    services: HashMap<ServiceName, ServiceHistory>,
}

impl ServiceRetryBudgets {
    /// Records a request.
    pub fn request(&mut self, service: &ServiceName, terms: RetryPolicy, now: Instant) {
        let history = self.services.entry(service.clone()).or_default();
        history.expire(terms.window, now);
        history.requests.push_back(now);
    }

    /// Takes a retry from the budget; returns `false` if the budget is used up. `processes` is
    /// the number of processes that share the surplus.
    pub fn take(
        &mut self,
        service: &ServiceName,
        terms: RetryPolicy,
        processes: usize,
        now: Instant,
    ) -> bool {
        let history = self.services.entry(service.clone()).or_default();
        history.expire(terms.window, now);
        let earned = history.requests.len() as f64 * terms.ratio;
        let allowed = (earned + terms.surplus / processes.max(1) as f64) * USED_FRACTION;
        if history.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        history.retries.push_back(now);
        true
    }
}

impl ServiceHistory {
    fn expire(&mut self, window: Duration, now: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|t| now.saturating_duration_since(*t) > window) {
                times.pop_front();
            }
        }
    }
}
