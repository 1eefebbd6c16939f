//! Capacity planning: how many engines to order, of which kind and in which data centre.
//!
//! Reclaimable engines cost a fraction of engines on demand, but the platform takes them back
//! one whole data centre at a time. The plan therefore spreads them over all data centres and
//! keeps enough of them to carry the load after the loss of any one data centre. Where the
//! platform has no reclaimable engines to give, engines on demand replace them. Engines on
//! demand are not ordered in addition to reclaimable engines that would start just as soon, and
//! are given up as soon as those serve. The operator's bounds apply to both kinds together, so
//! an engine on demand can take the place of a reclaimable one; reclaimable engines that serve
//! are never given up for engines that have yet to start.
//!
//! The plan covers the loss of one data centre and not of two: the platform reclaims a data
//! centre at most every few seconds and gives notice, so after each loss there is time to order
//! cover for the next one.

use std::collections::BTreeMap;

use super::Need;
use crate::{gateway::model::Scaling, ids::DataCentre};

/// Size of the groups of data centres, in order of price, over which new engines on demand are
/// distributed evenly.
const PLACEMENT_GROUP: usize = 2;

/// Engines of one service in one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Reclaimable engines that serve and have not been given notice.
    pub reclaimable: u32,
    /// Engines on demand that serve.
    pub on_demand: u32,
    /// Engines on demand that are ordered and may still start.
    pub on_demand_starting: u32,
    /// Whether reclaimable engines beyond those that serve are expected to start: they were
    /// ordered recently, or nothing indicates that they will not start.
    pub reclaimable_expected: bool,
}

impl Fleet {
    /// Returns the engines on demand that serve or are starting.
    fn on_demand_present(&self) -> u32 {
        self.on_demand + self.on_demand_starting
    }
}

/// Input of the capacity plan for one service.
#[derive(Clone, Debug)]
pub struct CapacityInput<'a> {
    /// Engines that the load requires.
    pub need: Need,
    /// The operator's bounds, and prices by data centre.
    pub scaling: &'a Scaling,
    /// Engines in each data centre.
    pub fleets: &'a BTreeMap<DataCentre, Fleet>,
    /// Number of data centres that may lose all their reclaimable engines at once.
    pub losses: usize,
    /// Whether no request has arrived yet.
    pub before_load: bool,
}

/// How much spare capacity to keep beyond the requirement of the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityPolicy {
    /// Number of data centres whose reclaimable engines may be lost at once without affecting
    /// the load.
    pub losses: usize,
    /// Reclaimable engines to keep, as a multiple of those that must remain after the losses.
    /// Spare engines cost little, keep prompt caches warm while the requirement falls, and
    /// replace engines that crash.
    pub reclaimable_spare: f64,
    /// Lower bound of the required engines.
    pub needed_floor: f64,
    /// Fraction of the engines that the operator allows, over all data centres, that is
    /// required as a minimum until the load is known.
    pub start_share: f64,
}

/// Returns the minimum number of required engines until the load is known. The operator's
/// bounds indicate the load that was planned for.
pub fn min_engines_at_start(scaling: &Scaling, policy: &CapacityPolicy) -> f64 {
    f64::from(scaling.max) * scaling.prices.len() as f64 * policy.start_share
}

/// Number of engines to have in one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DesiredEngines {
    /// Reclaimable engines.
    pub reclaimable: u32,
    /// Engines on demand.
    pub on_demand: u32,
}

/// Returns the number of engines to have in each data centre.
pub fn plan_engines(
    input: &CapacityInput<'_>,
    policy: &CapacityPolicy,
) -> BTreeMap<DataCentre, DesiredEngines> {
    let needed = input.need.engines.max(policy.needed_floor);
    let reclaimable_need = input.need.reclaimable.max(needed);
    let data_centres = input.fleets.len();
    let remaining = data_centres.saturating_sub(input.losses).max(1);
    let reclaimable_each =
        (reclaimable_need * policy.reclaimable_spare / remaining as f64).ceil() as u32;
    let reclaimable_each = reclaimable_each.min(input.scaling.max);
    let max_engines = input.scaling.max;
    let mut desired: BTreeMap<DataCentre, DesiredEngines> =
        input.fleets.keys().map(|name| (name.clone(), DesiredEngines::default())).collect();
    place_on_demand(
        &mut desired,
        input,
        desired_on_demand(input, needed, reclaimable_each),
        reclaimable_each,
    );
    for (name, engines) in &mut desired {
        let fleet = input.fleets[name];
        // The platform gives up no engine that the operator's minimum requires.
        let min_on_demand = input.scaling.min.saturating_sub(fleet.reclaimable);
        engines.on_demand = engines.on_demand.max(min_on_demand.min(fleet.on_demand));
        let min_reclaimable = input.scaling.min.saturating_sub(engines.on_demand);
        // The bound applies to both kinds together; engines that are being given up still
        // count.
        let on_demand = engines.on_demand.max(fleet.on_demand);
        engines.reclaimable =
            reclaimable_each.max(min_reclaimable).min(max_engines.saturating_sub(on_demand));
    }
    desired
}

/// Places engines on demand. Existing ones are kept first, in the cheapest data centres first;
/// additional ones are ordered in the cheapest data centres, alternating within each group of
/// [`PLACEMENT_GROUP`], so that not all are in one data centre. Where possible, each data
/// centre keeps room for `reserved` reclaimable engines that are yet to come.
fn place_on_demand(
    desired: &mut BTreeMap<DataCentre, DesiredEngines>,
    input: &CapacityInput<'_>,
    mut count: u32,
    reserved: u32,
) {
    let names = by_price(input);
    let max = input.scaling.max;
    let limits = [max.saturating_sub(reserved), max];
    for limit in limits {
        for name in &names {
            let engines = desired.entry((*name).clone()).or_default();
            let present = input.fleets[*name].on_demand_present().min(limit);
            let kept = present.saturating_sub(engines.on_demand).min(count);
            engines.on_demand += kept;
            count -= kept;
        }
    }
    for limit in limits {
        for pair in names.chunks(PLACEMENT_GROUP) {
            for turn in 0..max * PLACEMENT_GROUP as u32 {
                let name = pair[turn as usize % pair.len()];
                let limit = limit.min(max.saturating_sub(input.fleets[name].reclaimable));
                let engines = desired.entry(name.clone()).or_default();
                if count > 0 && engines.on_demand < limit {
                    engines.on_demand += 1;
                    count -= 1;
                }
            }
        }
    }
}

/// Returns how many engines on demand to have. Existing ones are kept until reclaimable engines
/// serve. None are ordered in place of reclaimable engines that are expected to start, since
/// they would not start sooner.
fn desired_on_demand(input: &CapacityInput<'_>, needed: f64, reclaimable_each: u32) -> u32 {
    let fleets = || input.fleets.values();
    let serving: Vec<u32> = fleets().map(|f| f.reclaimable).collect();
    let expected = |f: &Fleet| {
        if f.reclaimable_expected { f.reclaimable.max(reclaimable_each) } else { f.reclaimable }
    };
    let expected: Vec<u32> = fleets().map(expected).collect();
    let present: u32 = fleets().map(Fleet::on_demand_present).sum();
    let beside_expected = on_demand_needed(expected, input.losses, needed);
    if input.before_load {
        return beside_expected;
    }
    let beside_serving = on_demand_needed(serving, input.losses, needed);
    beside_expected.max(beside_serving.min(present))
}

/// Returns how many engines on demand the load requires in addition to `reclaimable`, the
/// reclaimable engines in each data centre, after the largest `losses` of these are gone.
fn on_demand_needed(mut reclaimable: Vec<u32>, losses: usize, needed: f64) -> u32 {
    reclaimable.sort_unstable_by(|a, b| b.cmp(a));
    let remaining: u32 = reclaimable.iter().skip(losses).sum();
    (needed - f64::from(remaining)).max(0.0).ceil() as u32
}

/// Returns the data centres in order of price, cheapest first.
fn by_price<'a>(input: &CapacityInput<'a>) -> Vec<&'a DataCentre> {
    let mut names: Vec<&DataCentre> = input.fleets.keys().collect();
    let price = |name: &DataCentre| input.scaling.prices.get(name).copied().unwrap_or(1.0);
    names.sort_by(|a, b| price(a).total_cmp(&price(b)));
    names
}
