//! Number of engines: what is wished for.

#[path = "capacity/fleets.rs"]
mod fleets;

use std::time::Instant;

use fleets::{POLICY, fleets, ms, need, scaling};
use proptest::prelude::*;
use tackhollow::gateway::decide::{CapacityInput, CapacityPolicy, Need, NeedMeter, plan_engines};

#[test]
fn engines_on_demand_cover_what_reclaimable_ones_cannot() {
    struct Case {
        name: &'static str,
        needed: f64,
        reclaimable: [u32; 4],
        losses: usize,
        on_demand: u32,
    }
    let cases = [
        Case {
            name: "enough are reclaimable",
            needed: 5.0,
            reclaimable: [3; 4],
            losses: 1,
            on_demand: 0,
        },
        Case { name: "none are", needed: 5.0, reclaimable: [0; 4], losses: 1, on_demand: 5 },
        Case {
            name: "one more loss leaves too few",
            needed: 5.0,
            reclaimable: [3, 0, 0, 3],
            losses: 1,
            on_demand: 2,
        },
        Case {
            name: "only one data centre is left",
            needed: 5.0,
            reclaimable: [0, 0, 0, 9],
            losses: 1,
            on_demand: 5,
        },
        Case {
            name: "two more losses leave too few",
            needed: 5.0,
            reclaimable: [3, 4, 0, 3],
            losses: 2,
            on_demand: 2,
        },
        Case { name: "no load yet", needed: 0.0, reclaimable: [0; 4], losses: 1, on_demand: 4 },
    ];
    let scaling = scaling(10);
    for case in cases {
        let fleets = fleets(case.reclaimable);
        let input = CapacityInput {
            need: need(case.needed),
            scaling: &scaling,
            fleets: &fleets,
            losses: case.losses,
            before_load: false,
        };
        let wishes = plan_engines(&input, &POLICY);
        let on_demand: u32 = wishes.values().map(|w| w.on_demand).sum();
        assert_eq!(on_demand, case.on_demand, "{}", case.name);
    }
}

#[test]
fn reclaimable_engines_carry_the_load_when_one_data_centre_is_gone() {
    struct Case {
        name: &'static str,
        losses: usize,
        spare: f64,
        each: u32,
    }
    let cases = [
        Case { name: "no loss is covered", losses: 0, spare: 1.0, each: 3 },
        Case { name: "one is: three carry it", losses: 1, spare: 1.0, each: 4 },
        Case { name: "two are", losses: 2, spare: 1.0, each: 6 },
        Case { name: "and some are spare", losses: 1, spare: 1.5, each: 6 },
        Case { name: "the bound holds", losses: 1, spare: 4.0, each: 10 },
    ];
    let scaling = scaling(10);
    for case in cases {
        let policy = CapacityPolicy { reclaimable_spare: case.spare, ..POLICY };
        let mut fleets = fleets([0; 4]);
        fleets.values_mut().for_each(|f| f.more_expected = true);
        let input = CapacityInput {
            need: need(12.0),
            scaling: &scaling,
            fleets: &fleets,
            losses: case.losses,
            before_load: true,
        };
        for wish in plan_engines(&input, &policy).values() {
            assert_eq!(wish.reclaimable, case.each, "{}", case.name);
        }
    }
}

#[test]
fn no_engines_on_demand_are_ordered_where_reclaimable_ones_start_as_soon() {
    struct Case {
        name: &'static str,
        more_expected: bool,
        on_demand: u32,
        on_demand_starting: u32,
        wished: u32,
    }
    let cases = [
        Case {
            name: "reclaimable ones are expected",
            more_expected: true,
            on_demand: 0,
            on_demand_starting: 0,
            wished: 0,
        },
        Case {
            name: "those that serve stay until then",
            more_expected: true,
            on_demand: 4,
            on_demand_starting: 0,
            wished: 4,
        },
        Case {
            name: "those that start stay, as far as they are needed",
            more_expected: true,
            on_demand: 4,
            on_demand_starting: 3,
            wished: 5,
        },
        Case {
            name: "no reclaimable ones are to be had",
            more_expected: false,
            on_demand: 0,
            on_demand_starting: 0,
            wished: 5,
        },
    ];
    let scaling = scaling(10);
    for case in cases {
        let mut fleets = fleets([0; 4]);
        fleets.values_mut().for_each(|f| f.more_expected = case.more_expected);
        let dearest = fleets.get_mut("c").expect("a data centre");
        dearest.on_demand = case.on_demand;
        dearest.on_demand_starting = case.on_demand_starting;
        let input = CapacityInput {
            need: need(5.0),
            scaling: &scaling,
            fleets: &fleets,
            losses: 1,
            before_load: false,
        };
        let wishes = plan_engines(&input, &POLICY);
        let wished: u32 = wishes.values().map(|w| w.on_demand).sum();
        assert_eq!(wished, case.wished, "{}", case.name);
        let kept = case.wished.min(case.on_demand + case.on_demand_starting);
        assert_eq!(wishes["c"].on_demand, kept, "{}: those that are there stay", case.name);
    }
}

#[test]
fn the_engine_that_the_least_number_requires_is_not_given_up_again_and_again() {
    let scaling = scaling(10);
    let mut fleets = fleets([4, 4, 4, 0]);
    fleets.get_mut("d").expect("a data centre").on_demand = 1;
    let input = CapacityInput {
        need: need(4.0),
        scaling: &scaling,
        fleets: &fleets,
        losses: 0,
        before_load: false,
    };
    assert_eq!(plan_engines(&input, &POLICY)["d"].on_demand, 1);
}

/// With the largest need of four seconds for both kinds, 45 reclaimable engines became
/// 16 within ten seconds of a calm on one fleet, and the wave after it found too few.
#[test]
fn reclaimable_engines_are_kept_for_longer_than_others() {
    let start = Instant::now();
    let mut meter = NeedMeter::new(ms(4_000));
    let needs = [12.0, 8.0, 6.0, 6.0, 6.0].iter().zip([0, 3_000, 6_000, 15_000, 22_000]);
    let kept: Vec<Need> = needs.map(|(need, at)| meter.note(*need, start + ms(at))).collect();
    let engines: Vec<f64> = kept.iter().map(|n| n.engines).collect();
    let reclaimable: Vec<f64> = kept.iter().map(|n| n.reclaimable).collect();
    assert_eq!(engines, [12.0, 12.0, 8.0, 6.0, 6.0]);
    assert_eq!(reclaimable, [12.0, 12.0, 12.0, 12.0, 8.0]);
}

proptest! {
    /// The operator's bounds hold in each data centre, for both kinds together.
    #[test]
    fn wishes_keep_the_bounds(
        needed in 0.0..200.0f64, reclaimable in prop::array::uniform4(0u32..12), max in 1u32..12,
    ) {
        let scaling = scaling(max);
        let fleets = fleets(reclaimable);
        let input = CapacityInput { need: need(needed), scaling: &scaling, fleets: &fleets, losses: 1, before_load: false };
        for (name, wish) in plan_engines(&input, &POLICY) {
            let both = wish.reclaimable + wish.on_demand;
            let serving = fleets[&name].reclaimable.min(max);
            prop_assert!(
                wish.on_demand <= max - serving,
                "{name}: {wish:?} takes the room of {serving} that serve"
            );
            prop_assert!(both <= max, "{name}: {wish:?} of {max}");
            prop_assert!(both >= scaling.min.min(max), "{name}: {wish:?}");
        }
    }
}
