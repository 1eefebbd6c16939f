//! Admission control: matches the route, authenticates the customer and charges the quota.

use std::{rc::Rc, time::Instant};

use super::Refusal;
use crate::{
    gateway::{
        board::Board,
        context::Gateway,
        decide::{Mechanism, QuotaUsedUp, RankedRequest},
        model::{Configuration, Customer, CustomerName, Route, ServiceName, WatchedData},
        telemetry::Event,
    },
    platform::{RequestHead, fits_header},
};

/// Part of the time that a caller has left within which it is asked to return: callers honour a
/// `Retry-After` up to it.
const RETURN_PART: u32 = 3;

/// A request that was admitted and may be sent to an upstream.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Configuration in force at admission; the request keeps it until it ends.
    pub configuration: Rc<Configuration>,
    /// Route that matches the request's host and path.
    pub route: Route,
    /// Customer that the API key belongs to; `None` on open routes and where no keys are needed.
    pub customer: Option<CustomerName>,
    /// Priority, of the customer if it has one, else of the route; 0 is the most urgent.
    pub priority: u8,
    /// Service that was drawn among the targets of the route.
    pub service: ServiceName,
    /// Tokens charged to the customer's quota; 0 without a customer.
    pub tokens: u64,
}

/// Admits a request and charges its tokens to the customer's quota.
///
/// # Errors
///
/// Returns the refusal to answer the caller with.
pub fn admit(gateway: &Gateway, head: &RequestHead, now: Instant) -> Result<Admitted, Refusal> {
    let uses_ranks = gateway.uses(Mechanism::QuotaRanks);
    let mut board = gateway.board.borrow_mut();
    if !board.crash_verdicts_ready(now) {
        return Err(Refusal::NoConfiguration);
    }
    let configuration = board.configuration.clone().ok_or(Refusal::NoConfiguration)?;
    // A final refusal requires the newest configuration, because routes or keys that this process
    // has not read yet may have been added. Routes and keys that it knows are served meanwhile.
    let behind = board.configuration_is_behind(now);
    let old = board.is_old(WatchedData::Configuration, now);
    let final_refusal = |refusal| match (behind, old) {
        (true, _) => Refusal::NoConfiguration,
        (false, true) => Refusal::ConfigurationOld,
        (false, false) => refusal,
    };
    let route = configuration.route(&head.host, &head.path);
    let route = route.ok_or_else(|| final_refusal(Refusal::NoRoute))?.clone();
    let customer = customer(&configuration, &route, head.key.as_deref()).map_err(final_refusal)?;
    if customer.is_some_and(|c| !fits_header(&c.name)) {
        return Err(Refusal::UnfitCustomer);
    }
    let tokens = customer.map_or(0, |c| tokens(c, head));
    if let Some(customer) = customer {
        let rank = uses_ranks.then_some(route.priority);
        let taken = take_quota(&mut board, customer, tokens, rank, now);
        taken.map_err(|used_up| quota_used_up(gateway, head, customer, tokens, rank, used_up))?;
    }
    drop(board);
    let service = draw_service(&route).ok_or(Refusal::NoRoom)?;
    let priority = customer.and_then(|c| c.priority).unwrap_or(route.priority);
    let customer = customer.map(|c| c.name.clone());
    Ok(Admitted { route, customer, priority, service, tokens, configuration })
}

fn customer<'a>(
    configuration: &'a Configuration,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<&'a Customer>, Refusal> {
    if route.open || !configuration.requires_key() {
        return Ok(None);
    }
    let customer = key.and_then(|key| configuration.customer(key));
    customer.map(Some).ok_or(Refusal::UnknownKey)
}

fn tokens(customer: &Customer, head: &RequestHead) -> u64 {
    head.prompt
        .as_ref()
        .map_or(customer.plain_tokens, |p| u64::from(p.tokens) + u64::from(p.max_output))
}

/// Charges the customer's quota; by the rank of the route where there is one.
fn take_quota(
    board: &mut Board,
    customer: &Customer,
    tokens: u64,
    rank: Option<u8>,
    now: Instant,
) -> Result<(), QuotaUsedUp> {
    let Some(quota) = customer.quota else {
        return Ok(());
    };
    let share = board.quota_share(now);
    let Some(rank) = rank else {
        return board.quotas.take(&customer.name, quota, tokens, share, now);
    };
    let req = RankedRequest { tokens, rank, chance: fastrand::f64() };
    board.quotas.take_ranked(&customer.name, quota, req, share, now)
}

/// Logs the state of a customer's quota that refused a request, and returns the refusal.
fn quota_used_up(
    gateway: &Gateway,
    head: &RequestHead,
    customer: &Customer,
    tokens: u64,
    rank: Option<u8>,
    used_up: QuotaUsedUp,
) -> Refusal {
    let wait = match rank {
        Some(_) => head.patience.map_or(used_up.wait, |left| used_up.wait.min(left / RETURN_PART)),
        None => used_up.wait,
    };
    gateway.log(&Event::QuotaUsedUp {
        request: &head.id,
        customer: &customer.name,
        tokens,
        rate: customer.quota.map_or(0.0, |q| q.rate),
        level: used_up.level,
        in_window: used_up.in_window,
        assumed: used_up.assumed,
        heard: used_up.share.heard,
        members: used_up.share.members,
        wait_ms: wait.as_millis() as u64,
        rank,
        reserved: rank.map(|_| used_up.reserved),
    });
    Refusal::QuotaUsedUp(wait)
}

/// Draws one of the route's services at random, by weight; the first one if all weights are 0.
fn draw_service(route: &Route) -> Option<ServiceName> {
    let total: u32 = route.targets.iter().map(|(_, weight)| weight).sum();
    if total == 0 {
        return route.targets.first().map(|(service, _)| service.clone());
    }
    let mut drawn = fastrand::u32(..total);
    for (service, weight) in &route.targets {
        if drawn < *weight {
            return Some(service.clone());
        }
        drawn -= weight;
    }
    None
}
