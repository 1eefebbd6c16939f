//! How many engines to order, of which kind and where.
//!
//! Reclaimable engines cost a fraction of the others and go a data centre at a
//! time. So the plan spreads them over all data centres, and keeps so many that the
//! load is carried when one data centre's are gone. Where the platform has none to
//! give, engines on demand take their part; they are not ordered beside reclaimable
//! ones that start as soon, and go as soon as those serve. Reclaimable engines that
//! serve are never given up for others that have yet to start: the operator's bounds
//! hold for both kinds together.
//!
//! One loss is covered and not two: the platform takes back a data centre every few
//! seconds at the most and gives notice, so that each loss leaves time to order
//! cover for the next.

use std::collections::BTreeMap;

use super::Need;
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
    /// Engines on demand that are ordered and may still start.
    pub on_demand_starting: u32,
    /// Whether reclaimable engines that are wished for may still start: they were
    /// ordered of late, or nothing is known against it.
    pub more_expected: bool,
}

impl Fleet {
    /// Returns the engines on demand that serve or start.
    fn on_demand_present(&self) -> u32 {
        self.on_demand + self.on_demand_starting
    }
}

/// What the plan rests on.
#[derive(Clone, Debug)]
pub struct CapacityInput<'a> {
    /// Engines that the load needs.
    pub need: Need,
    /// Bounds and prices.
    pub scaling: &'a Scaling,
    /// Engines in each data centre.
    pub fleets: &'a BTreeMap<DataCentre, Fleet>,
    /// Data centres that may lose their reclaimable engines next, all at once.
    pub losses: usize,
    /// Whether no request has come yet.
    pub before_load: bool,
}

/// How much more than needed is kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityPolicy {
    /// Data centres whose reclaimable engines may go at once, without the load
    /// suffering.
    pub losses: usize,
    /// Reclaimable engines as a multiple of those that must remain after the losses.
    /// Spare ones cost little, keep prompt caches warm while the need falls, and
    /// stand in for engines that crash.
    pub reclaimable_spare: f64,
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
    let needed = input.need.engines.max(policy.needed_floor);
    let kept_for = input.need.reclaimable.max(needed);
    let places = input.fleets.len();
    let left = places.saturating_sub(input.losses).max(1);
    let each = (kept_for * policy.reclaimable_spare / left as f64).ceil() as u32;
    let each = each.min(input.scaling.max);
    let most = input.scaling.max;
    let mut wishes: BTreeMap<DataCentre, Wish> =
        input.fleets.keys().map(|name| (name.clone(), Wish::default())).collect();
    place_on_demand(&mut wishes, input, on_demand_wished(input, needed, each), each);
    for (name, wish) in &mut wishes {
        let fleet = input.fleets[name];
        // The platform gives up none that the operator's least number requires.
        let least_on_demand = input.scaling.min.saturating_sub(fleet.reclaimable);
        wish.on_demand = wish.on_demand.max(least_on_demand.min(fleet.on_demand));
        let least = input.scaling.min.saturating_sub(wish.on_demand);
        // Both kinds together keep the bound; those that leave still count.
        let on_demand = wish.on_demand.max(fleet.on_demand);
        wish.reclaimable = each.max(least).min(most.saturating_sub(on_demand));
    }
    wishes
}

/// Places engines on demand: those that are there stay, the cheapest first, and
/// others are ordered in the cheapest data centres, in each pair of them by turns,
/// so that not all stand in one. As far as it goes, each data centre keeps room for
/// `reserved` reclaimable engines, which are to follow.
fn place_on_demand(
    wishes: &mut BTreeMap<DataCentre, Wish>,
    input: &CapacityInput<'_>,
    mut count: u32,
    reserved: u32,
) {
    let names = by_price(input);
    let max = input.scaling.max;
    let rooms = [max.saturating_sub(reserved), max];
    for room in rooms {
        for name in &names {
            let wish = wishes.entry((*name).clone()).or_default();
            let present = input.fleets[*name].on_demand_present().min(room);
            let kept = present.saturating_sub(wish.on_demand).min(count);
            wish.on_demand += kept;
            count -= kept;
        }
    }
    for room in rooms {
        for pair in names.chunks(PLACES_AT_ONCE) {
            for turn in 0..max * PLACES_AT_ONCE as u32 {
                let name = pair[turn as usize % pair.len()];
                let room = room.min(max.saturating_sub(input.fleets[name].reclaimable));
                let wish = wishes.entry(name.clone()).or_default();
                if count > 0 && wish.on_demand < room {
                    wish.on_demand += 1;
                    count -= 1;
                }
            }
        }
    }
}

/// Returns how many engines on demand are wished for. Those that are there stay
/// until the reclaimable ones serve; none are ordered in place of reclaimable ones
/// that may be expected, since they would not start any sooner.
fn on_demand_wished(input: &CapacityInput<'_>, needed: f64, each: u32) -> u32 {
    let fleets = || input.fleets.values();
    let serving: Vec<u32> = fleets().map(|f| f.reclaimable).collect();
    let expected =
        |f: &Fleet| if f.more_expected { f.reclaimable.max(each) } else { f.reclaimable };
    let expected: Vec<u32> = fleets().map(expected).collect();
    let present: u32 = fleets().map(Fleet::on_demand_present).sum();
    let beside_expected = on_demand_needed(expected, input.losses, needed);
    if input.before_load {
        return beside_expected;
    }
    let beside_serving = on_demand_needed(serving, input.losses, needed);
    beside_expected.max(beside_serving.min(present))
}

/// Returns how many engines on demand the load needs beside so many reclaimable
/// ones in each data centre, some of which may lose theirs.
fn on_demand_needed(mut reclaimable: Vec<u32>, losses: usize, needed: f64) -> u32 {
    reclaimable.sort_unstable_by(|a, b| b.cmp(a));
    let left: u32 = reclaimable.iter().skip(losses).sum();
    (needed - f64::from(left)).max(0.0).ceil() as u32
}

/// Returns the data centres, the cheapest first.
fn by_price<'a>(input: &CapacityInput<'a>) -> Vec<&'a DataCentre> {
    let mut names: Vec<&DataCentre> = input.fleets.keys().collect();
    let price = |name: &DataCentre| input.scaling.prices.get(name).copied().unwrap_or(1.0);
    names.sort_by(|a, b| price(a).total_cmp(&price(b)));
    names
}
