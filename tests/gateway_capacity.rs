//! Number of engines: what is wished for, and when it is ordered.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use tackhollow::{
    gateway::{
        decide::{
            CapacityInput, CapacityPolicy, Fleet, NeedPeak, OrderPace, PaceInput, plan_engines,
        },
        model::Scaling,
    },
    ids::DataCentre,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn scaling(max: u32) -> Scaling {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25), ("d", 0.9)];
    Scaling {
        min: 1,
        max,
        boot: ms(4_000),
        reclaimable_price: 0.15,
        prices: prices.into_iter().map(|(n, p)| (n.to_owned(), p)).collect(),
    }
}

const POLICY: CapacityPolicy = CapacityPolicy {
    reclaimable_factor: 2.0,
    survive_share: 0.8,
    on_demand_floor: 0,
    needed_floor: 4.0,
    start_share: 0.15,
};

fn fleets(reclaimable: [u32; 4]) -> BTreeMap<DataCentre, Fleet> {
    let names = ["a", "b", "c", "d"].into_iter().map(str::to_owned);
    names.zip(reclaimable.map(|reclaimable| Fleet { reclaimable, on_demand: 0 })).collect()
}

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
            on_demand: 1,
        },
        Case {
            name: "only one data centre is left",
            needed: 5.0,
            reclaimable: [0, 0, 0, 9],
            losses: 1,
            on_demand: 4,
        },
        Case {
            name: "two more losses in a wave leave too few",
            needed: 5.0,
            reclaimable: [3, 4, 0, 3],
            losses: 2,
            on_demand: 1,
        },
        Case { name: "no load yet", needed: 0.0, reclaimable: [0; 4], losses: 1, on_demand: 4 },
    ];
    let scaling = scaling(10);
    for case in cases {
        let fleets = fleets(case.reclaimable);
        let input = CapacityInput {
            needed: case.needed,
            scaling: &scaling,
            fleets: &fleets,
            losses: case.losses,
        };
        let wishes = plan_engines(&input, &POLICY);
        let on_demand: u32 = wishes.values().map(|w| w.on_demand).sum();
        assert_eq!(on_demand, case.on_demand, "{}", case.name);
    }
}

#[test]
fn fewer_engines_are_ordered_after_a_while_only() {
    struct Case {
        name: &'static str,
        reclaimable: bool,
        dry: bool,
        idle: bool,
        /// Engines that the load needs, one figure each second; ten serve.
        needs: &'static [u32],
        ordered: Option<u32>,
    }
    let case = |name, needs, ordered| Case {
        name,
        reclaimable: false,
        dry: false,
        idle: false,
        needs,
        ordered,
    };
    let cases = [
        case("more at once", &[12], Some(12)),
        case("enough", &[10, 10, 10, 10, 10, 10], None),
        case("fewer, not for long yet", &[10, 6, 6, 6, 6, 6], None),
        case("fewer for long", &[10, 6, 6, 6, 6, 6, 6], Some(6)),
        case("as many as were needed meanwhile", &[10, 6, 6, 8, 3, 2, 2], Some(8)),
        case("a wave", &[10, 6, 6, 10, 6, 6, 6], None),
        Case { idle: true, ..case("no load", &[6], Some(6)) },
        Case {
            dry: true,
            ..case("nothing else to be had, not for long yet", &[10, 6, 6, 6, 6, 6], None)
        },
        Case {
            dry: true,
            reclaimable: true,
            ..case("never given back while there are no others", &[6; 20], None)
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut pace = OrderPace::new(10, now);
        let mut peak = NeedPeak::default();
        let mut ordered = None;
        for (i, need) in case.needs.iter().enumerate() {
            let now = now + ms(1_000 * i as u64);
            let input = PaceInput {
                wished: peak.note(f64::from(*need), now).ceil() as u32,
                serving: 10,
                reclaimable: case.reclaimable,
                dry: case.dry,
                idle: case.idle,
                boot: ms(4_000),
            };
            ordered = pace.next(&input, now);
        }
        assert_eq!(ordered, case.ordered, "{}", case.name);
    }
}

#[test]
fn engines_on_demand_go_as_soon_as_others_carry_the_load() {
    let now = Instant::now();
    let mut pace = OrderPace::new(10, now);
    let input = |wished| PaceInput {
        wished,
        serving: 10,
        reclaimable: false,
        dry: true,
        idle: false,
        boot: ms(4_000),
    };
    assert_eq!(pace.next(&input(10), now), None);
    assert_eq!(pace.next(&input(2), now + ms(500)), None, "those that start fail at times");
    assert_eq!(pace.next(&input(2), now + ms(1_500)), Some(2), "the need itself did not fall");
}

proptest! {
    /// The operator's bounds hold in each data centre, for both kinds together.
    #[test]
    fn wishes_keep_the_bounds(
        needed in 0.0..200.0f64, reclaimable in prop::array::uniform4(0u32..12), max in 1u32..12,
    ) {
        let scaling = scaling(max);
        let fleets = fleets(reclaimable);
        let input = CapacityInput { needed, scaling: &scaling, fleets: &fleets, losses: 1 };
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
