//! Which requests go to a version that is not yet known to be good.
//!
//! The operator bounds the requests that a bad version may get: a share of all requests plus a
//! fixed number, the slack. Each gateway keeps to that share of its own requests and to its part of
//! the slack, so that the sum keeps the bound without any communication. Rare routes get more than
//! their share of it, because the rarest route decides how long it takes to gather enough answers.

use super::answers::RouteKey;

/// Part of the bound that is used; the rest covers retried requests and gateways that join or
/// leave.
const USED_SHARE_OF_BOUND: f64 = 0.65;
/// Largest share of a route's requests that goes to a version on trial.
const MAX_SHARE_OF_ROUTE: f64 = 0.7;
/// Share of all requests that is spread evenly over the routes; what exceeds the bound is cut off.
const TRIAL_SHARE: f64 = 0.3;
/// The same for routes on which the version is known to be good. What this leaves of the bound
/// serves the other routes, and the time when all traffic moves.
const TRIAL_SHARE_WHEN_PROVED: f64 = 0.03;

/// The operator's bound on the requests that a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureTerms {
    /// Share of all requests to the service, from 0 to 1.
    pub share: f64,
    /// Number of requests beyond that share, over all gateways.
    pub slack: f64,
}

/// Requests to one service since the order, counted by one process or summed over all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Exposure {
    /// All requests.
    pub arrived: u32,
    /// Requests that went to the new version.
    pub exposed: u32,
}

impl Exposure {
    /// Returns whether one more request may go to the new version. The slack is divided among
    /// `members` processes. `rounding` is drawn once per process between 0 and 1, and rounds the
    /// fraction of a request that is left.
    pub fn may_grow(&self, terms: ExposureTerms, members: usize, rounding: f64) -> bool {
        let slack = terms.slack / members.max(1) as f64;
        let allowed =
            USED_SHARE_OF_BOUND * (terms.share * f64::from(self.arrived) + slack) + rounding;
        f64::from(self.exposed) + 1.0 <= allowed
    }
}

/// Returns the share of a route's requests that may go to the new version. `weight` is the route's
/// share of the requests to the service, which has `routes` routes; `proved` says whether the
/// version is known to be good on this route.
pub fn trial_share(weight: f64, routes: usize, proved: bool) -> f64 {
    let share = if proved { TRIAL_SHARE_WHEN_PROVED } else { TRIAL_SHARE };
    (share / (routes.max(1) as f64 * weight.max(f64::EPSILON))).min(MAX_SHARE_OF_ROUTE)
}

/// Requests by route, over all processes.
#[derive(Clone, Debug, Default)]
pub struct RouteWeights {
    requests: std::collections::BTreeMap<RouteKey, u32>,
}

impl RouteWeights {
    /// Adds requests on a route.
    pub fn add(&mut self, route: RouteKey, requests: u32) {
        *self.requests.entry(route).or_default() += requests;
    }

    /// Returns the number of routes with requests.
    pub fn routes(&self) -> usize {
        self.requests.len()
    }

    /// Returns a route's share of all requests.
    pub fn share_of(&self, route: RouteKey) -> f64 {
        let all: u32 = self.requests.values().sum();
        let own = self.requests.get(&route).copied().unwrap_or_default();
        f64::from(own) / f64::from(all.max(1))
    }
}
