//! Capacity planning: how many engines to have of each kind in each data centre.

#[path = "capacity/fleets.rs"]
mod fleets;

use std::time::Instant;

use fleets::{POLICY, fleets, ms, need, scaling};
use proptest::prelude::*;
use tackhollow::gateway::decide::{CapacityInput, CapacityPolicy, Need, NeedMeter, plan_engines};

#[test]
fn on_demand_engines_cover_the_shortfall_of_reclaimable_engines() {
    struct Case {
        name: &'static str,
        needed: f64,
        reclaimable: [u32; 4],
        losses: usize,
        on_demand: u32,
    }
    let cases = [
        Case {
            name: "enough reclaimable engines",
            needed: 5.0,
            reclaimable: [3; 4],
            losses: 1,
            on_demand: 0,
        },
        Case {
            name: "no reclaimable engines",
            needed: 5.0,
            reclaimable: [0; 4],
            losses: 1,
            on_demand: 5,
        },
        Case {
            name: "too few after one more loss",
            needed: 5.0,
            reclaimable: [3, 0, 0, 3],
            losses: 1,
            on_demand: 2,
        },
        Case {
            name: "reclaimable engines in one data centre only",
            needed: 5.0,
            reclaimable: [0, 0, 0, 9],
            losses: 1,
            on_demand: 5,
        },
        Case {
            name: "too few after two more losses",
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
        let plan = plan_engines(&input, &POLICY);
        let on_demand: u32 = plan.values().map(|w| w.on_demand).sum();
        assert_eq!(on_demand, case.on_demand, "{}", case.name);
    }
}

#[test]
fn reclaimable_engines_carry_the_load_after_losses() {
    struct Case {
        name: &'static str,
        losses: usize,
        spare: f64,
        reclaimable_each: u32,
    }
    let cases = [
        Case { name: "no loss is covered", losses: 0, spare: 1.0, reclaimable_each: 3 },
        Case {
            name: "one loss is covered by three data centres",
            losses: 1,
            spare: 1.0,
            reclaimable_each: 4,
        },
        Case { name: "two losses are covered", losses: 2, spare: 1.0, reclaimable_each: 6 },
        Case {
            name: "one loss is covered, with spare engines",
            losses: 1,
            spare: 1.5,
            reclaimable_each: 6,
        },
        Case {
            name: "limited by the operator's bound",
            losses: 1,
            spare: 4.0,
            reclaimable_each: 10,
        },
    ];
    let scaling = scaling(10);
    for case in cases {
        let policy = CapacityPolicy { reclaimable_spare: case.spare, ..POLICY };
        let mut fleets = fleets([0; 4]);
        fleets.values_mut().for_each(|f| f.reclaimable_expected = true);
        let input = CapacityInput {
            need: need(12.0),
            scaling: &scaling,
            fleets: &fleets,
            losses: case.losses,
            before_load: true,
        };
        for engines in plan_engines(&input, &policy).values() {
            assert_eq!(engines.reclaimable, case.reclaimable_each, "{}", case.name);
        }
    }
}

#[test]
fn on_demand_engines_are_not_ordered_while_reclaimable_engines_are_expected() {
    struct Case {
        name: &'static str,
        reclaimable_expected: bool,
        on_demand: u32,
        on_demand_starting: u32,
        desired: u32,
    }
    let cases = [
        Case {
            name: "reclaimable engines are expected",
            reclaimable_expected: true,
            on_demand: 0,
            on_demand_starting: 0,
            desired: 0,
        },
        Case {
            name: "serving engines on demand are kept until reclaimable engines serve",
            reclaimable_expected: true,
            on_demand: 4,
            on_demand_starting: 0,
            desired: 4,
        },
        Case {
            name: "starting engines on demand are kept as far as required",
            reclaimable_expected: true,
            on_demand: 4,
            on_demand_starting: 3,
            desired: 5,
        },
        Case {
            name: "no reclaimable engines are expected",
            reclaimable_expected: false,
            on_demand: 0,
            on_demand_starting: 0,
            desired: 5,
        },
    ];
    let scaling = scaling(10);
    for case in cases {
        let mut fleets = fleets([0; 4]);
        fleets.values_mut().for_each(|f| f.reclaimable_expected = case.reclaimable_expected);
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
        let plan = plan_engines(&input, &POLICY);
        let desired: u32 = plan.values().map(|w| w.on_demand).sum();
        assert_eq!(desired, case.desired, "{}", case.name);
        let kept = case.desired.min(case.on_demand + case.on_demand_starting);
        assert_eq!(plan["c"].on_demand, kept, "{}: existing engines are kept", case.name);
    }
}

#[test]
fn an_engine_required_by_the_operator_s_minimum_is_not_given_up() {
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

/// Reclaimable engines are kept over a longer peak than the total. When both kinds used a peak
/// of four seconds, a fleet went from 45 reclaimable engines to 16 within ten seconds of low
/// load, and had too few for the next peak.
#[test]
fn reclaimable_engines_are_kept_longer_than_engines_on_demand() {
    let start = Instant::now();
    let mut meter = NeedMeter::new(ms(4_000));
    let needs = [12.0, 8.0, 6.0, 6.0, 6.0].iter().zip([0, 3_000, 6_000, 15_000, 22_000]);
    let kept: Vec<Need> =
        needs.map(|(need, at)| meter.record_need(*need, start + ms(at))).collect();
    let engines: Vec<f64> = kept.iter().map(|n| n.engines).collect();
    let reclaimable: Vec<f64> = kept.iter().map(|n| n.reclaimable).collect();
    assert_eq!(engines, [12.0, 12.0, 8.0, 6.0, 6.0]);
    assert_eq!(reclaimable, [12.0, 12.0, 12.0, 12.0, 8.0]);
}

proptest! {
    /// The operator's bounds hold in each data centre for the sum of both kinds.
    #[test]
    fn the_plan_respects_the_operator_s_bounds(
        needed in 0.0..200.0f64, reclaimable in prop::array::uniform4(0u32..12), max in 1u32..12,
    ) {
        let scaling = scaling(max);
        let fleets = fleets(reclaimable);
        let input = CapacityInput { need: need(needed), scaling: &scaling, fleets: &fleets, losses: 1, before_load: false };
        for (name, engines) in plan_engines(&input, &POLICY) {
            let both = engines.reclaimable + engines.on_demand;
            let serving = fleets[&name].reclaimable.min(max);
            prop_assert!(
                engines.on_demand <= max - serving,
                "{name}: {engines:?} takes the place of {serving} serving reclaimable engines"
            );
            prop_assert!(both <= max, "{name}: {engines:?} of {max}");
            prop_assert!(both >= scaling.min.min(max), "{name}: {engines:?}");
        }
    }
}
