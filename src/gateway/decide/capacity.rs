//! How many engines to order, of which kind and where.
//!
//! Reclaimable engines cost a fraction of the others and go a data centre at a
//! time. So the plan keeps more of them than the load needs, spread over all
//! data centres, and orders others on demand only for the part of the load
//! that the reclaimable ones could not carry if one more data centre went.
//! Reclaimable engines that serve are never given up for others that have yet
//! to start: the operator's bounds hold for both kinds together.

use std::collections::BTreeMap;

use crate::{gateway::model::Scaling, ids::DataCentre};

/// Data centres between which engines on demand are shared out at first.
const PLACES_AT_ONCE: usize = 2;

/// Engines of a service in one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Reclaimable engines that serve, without notice.
    pub reclaimable: u32,
    /// Engines on demand that serve.
    pub on_demand: u32,
}

/// What the plan rests on.
#[derive(Clone, Debug)]
pub struct CapacityInput<'a> {
    /// Engines that the load needs now.
    pub needed: f64,
    /// Bounds and prices.
    pub scaling: &'a Scaling,
    /// Engines in each data centre.
    pub fleets: &'a BTreeMap<DataCentre, Fleet>,
    /// Data centres that may lose their reclaimable engines next, all at once.
    pub losses: usize,
}

/// How much more than needed is kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityPolicy {
    /// Reclaimable engines in all, as a multiple of those needed.
    pub reclaimable_factor: f64,
    /// Share of the needed engines that must remain when the data centres with
    /// the most reclaimable engines lose them.
    pub survive_share: f64,
    /// Engines on demand at least, all data centres together.
    pub on_demand_floor: u32,
    /// Engines needed at least.
    pub needed_floor: f64,
    /// Share of the engines that the operator allows, all data centres
    /// together, which is needed at least until the load is known.
    pub start_share: f64,
}

/// Returns the engines needed at least until the load is known: the operator's
/// bounds tell how large a load was planned for.
pub fn needed_at_start(scaling: &Scaling, policy: &CapacityPolicy) -> f64 {
    f64::from(scaling.max) * scaling.prices.len() as f64 * policy.start_share
}

/// Engines wished for in a data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Wish {
    /// Reclaimable engines.
    pub reclaimable: u32,
    /// Engines on demand.
    pub on_demand: u32,
}

/// Returns the engines wished for in each data centre.
pub fn plan_engines(
    input: &CapacityInput<'_>,
    policy: &CapacityPolicy,
) -> BTreeMap<DataCentre, Wish> {
    let needed = input.needed.max(policy.needed_floor);
    let places = input.fleets.len().max(1) as f64;
    let each = (needed * policy.reclaimable_factor / places).ceil() as u32;
    let most = input.scaling.max;
    let mut wishes: BTreeMap<DataCentre, Wish> =
        input.fleets.keys().map(|name| (name.clone(), Wish::default())).collect();
    place_on_demand(&mut wishes, input, on_demand_needed(input, policy, needed));
    for wish in wishes.values_mut() {
        let least = input.scaling.min.saturating_sub(wish.on_demand);
        wish.reclaimable = each.max(least).min(most - wish.on_demand);
    }
    wishes
}

/// Places engines on demand in the cheapest data centres, in each pair of them
/// by turns, so that not all stand in one.
fn place_on_demand(
    wishes: &mut BTreeMap<DataCentre, Wish>,
    input: &CapacityInput<'_>,
    mut count: u32,
) {
    for pair in by_price(input).chunks(PLACES_AT_ONCE) {
        for turn in 0..input.scaling.max * PLACES_AT_ONCE as u32 {
            let name = pair[turn as usize % pair.len()];
            let Some(wish) = wishes.get_mut(name) else {
                continue;
            };
            let fleet = input.fleets.get(name).copied().unwrap_or_default();
            let room = input.scaling.max.saturating_sub(fleet.reclaimable);
            if count > 0 && wish.on_demand < room {
                wish.on_demand += 1;
                count -= 1;
            }
        }
    }
}

/// Returns how many engines on demand the surviving load needs.
fn on_demand_needed(input: &CapacityInput<'_>, policy: &CapacityPolicy, needed: f64) -> u32 {
    let mut serving: Vec<u32> = input.fleets.values().map(|f| f.reclaimable).collect();
    serving.sort_unstable_by(|a, b| b.cmp(a));
    let all: u32 = serving.iter().sum();
    let left: u32 = serving.iter().skip(input.losses).sum();
    let after_loss = needed * policy.survive_share - f64::from(left);
    let now = needed - f64::from(all);
    (after_loss.max(now).max(0.0).ceil() as u32).max(policy.on_demand_floor)
}

/// Returns the data centres, the cheapest first.
fn by_price<'a>(input: &CapacityInput<'a>) -> Vec<&'a DataCentre> {
    let mut names: Vec<&DataCentre> = input.fleets.keys().collect();
    let price = |name: &DataCentre| input.scaling.prices.get(name).copied().unwrap_or(1.0);
    names.sort_by(|a, b| price(a).total_cmp(&price(b)));
    names
}
