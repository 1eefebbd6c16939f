//! How many engines to order, of which kind and where.
//!
//! Reclaimable engines cost a fraction of the others and go a data centre at a
//! time. So the plan keeps more of them than the load needs, spread over all
//! data centres, and orders others on demand only for the part of the load
//! that the reclaimable ones could not carry if one more data centre went.

use std::collections::BTreeMap;

use crate::{gateway::model::Scaling, ids::DataCentre};

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
}

/// How much more than needed is kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityPolicy {
    /// Reclaimable engines in all, as a multiple of those needed.
    pub reclaimable_factor: f64,
    /// Share of the needed engines that must remain when the data centre with
    /// the most reclaimable engines goes.
    pub survive_share: f64,
    /// Engines on demand at least, all data centres together.
    pub on_demand_floor: u32,
    /// Engines needed at least.
    pub needed_floor: f64,
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
    let reclaimable = each.clamp(input.scaling.min, input.scaling.max);
    let mut on_demand = on_demand_needed(input, policy, needed);
    let mut wishes = BTreeMap::new();
    for name in by_price(input) {
        let room = input.scaling.max.saturating_sub(1).max(1);
        let here = on_demand.min(room);
        on_demand -= here;
        let reclaimable = reclaimable.min(input.scaling.max - here.min(input.scaling.max));
        wishes.insert(name.clone(), Wish { reclaimable, on_demand: here });
    }
    spread(&mut wishes);
    wishes
}

/// Returns how many engines on demand the surviving load needs.
fn on_demand_needed(input: &CapacityInput<'_>, policy: &CapacityPolicy, needed: f64) -> u32 {
    let serving = |f: &Fleet| f.reclaimable;
    let all: u32 = input.fleets.values().map(serving).sum();
    let largest = input.fleets.values().map(serving).max().unwrap_or_default();
    let after_loss = needed * policy.survive_share - f64::from(all - largest);
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

/// Moves engines on demand from a crowded data centre to empty ones, so that
/// they do not stand in one place only.
fn spread(wishes: &mut BTreeMap<DataCentre, Wish>) {
    let total: u32 = wishes.values().map(|w| w.on_demand).sum();
    let most = total.div_ceil(2).max(1);
    let mut over = 0;
    for wish in wishes.values_mut() {
        let extra = wish.on_demand.saturating_sub(most);
        wish.on_demand -= extra;
        over += extra;
    }
    for wish in wishes.values_mut() {
        let room = most.saturating_sub(wish.on_demand).min(over);
        wish.on_demand += room;
        over -= room;
    }
}
