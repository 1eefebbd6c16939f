//! Fleets, prices and bounds shared by the tests of capacity planning and orders.

use std::{collections::BTreeMap, time::Duration};

use tackhollow::{
    gateway::{
        decide::{CapacityPolicy, Fleet, Need},
        model::Scaling,
    },
    ids::DataCentre,
};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn scaling(max: u32) -> Scaling {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25), ("d", 0.9)];
    Scaling {
        min: 1,
        max,
        boot: ms(4_000),
        reclaimable_price: 0.15,
        prices: prices.into_iter().map(|(n, p)| (n.to_owned(), p)).collect(),
    }
}

pub const POLICY: CapacityPolicy =
    CapacityPolicy { losses: 1, reclaimable_spare: 1.0, needed_floor: 4.0, start_share: 0.15 };

/// Requirement that is the same for both kinds of engine.
pub fn need(engines: f64) -> Need {
    Need { engines, reclaimable: engines }
}

pub fn fleets(reclaimable: [u32; 4]) -> BTreeMap<DataCentre, Fleet> {
    let names = ["a", "b", "c", "d"].into_iter().map(str::to_owned);
    names.zip(reclaimable.map(|reclaimable| Fleet { reclaimable, ..Fleet::default() })).collect()
}
