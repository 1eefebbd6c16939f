//! Number of engines: what is wished for, and when it is ordered.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use tackhollow::{
    gateway::{
        decide::{
            CapacityInput, CapacityPolicy, Fleet, Need, NeedMeter, NeedPeak, OrderBook, OrderKey,
            OrderPace, OrderReport, OrderState, PaceInput, plan_engines,
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

const POLICY: CapacityPolicy =
    CapacityPolicy { losses: 1, reclaimable_spare: 1.0, needed_floor: 4.0, start_share: 0.15 };

/// A steady need.
fn need(engines: f64) -> Need {
    Need { engines, reclaimable: engines }
}

fn fleets(reclaimable: [u32; 4]) -> BTreeMap<DataCentre, Fleet> {
    let names = ["a", "b", "c", "d"].into_iter().map(str::to_owned);
    names.zip(reclaimable.map(|reclaimable| Fleet { reclaimable, ..Fleet::default() })).collect()
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

#[test]
fn an_order_is_tried_again_whatever_became_of_the_last_one() {
    struct Case {
        name: &'static str,
        state: OrderState,
        wished: u32,
        /// Ordered at once, and after the pause.
        ordered: [Option<u32>; 2],
        refused: bool,
    }
    use OrderState::{Accepted, Refused, Unknown};
    let cases = [
        Case {
            name: "refused",
            state: Refused,
            wished: 6,
            ordered: [None, Some(6)],
            refused: true,
        },
        Case {
            name: "no answer",
            state: Unknown,
            wished: 6,
            ordered: [None, Some(6)],
            refused: false,
        },
        Case {
            name: "accepted",
            state: Accepted,
            wished: 6,
            ordered: [None, None],
            refused: false,
        },
        Case {
            name: "fewer, no answer",
            state: Unknown,
            wished: 2,
            ordered: [None, Some(2)],
            refused: false,
        },
        Case {
            name: "fewer, after a refusal of more",
            state: Refused,
            wished: 2,
            ordered: [None, Some(2)],
            refused: true,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut pace = OrderPace::new(4, start);
        pace.sent(start);
        pace.answered(6, case.state);
        assert_eq!(pace.is_refused(start), case.refused, "{}", case.name);
        let input = PaceInput {
            wished: case.wished,
            serving: 4,
            reclaimable: false,
            dry: false,
            idle: false,
            load_known: true,
            boot: ms(4_000),
        };
        let first = pace.next(&input, start + ms(1_000));
        // Fewer are ordered only once a smaller number has sufficed for a while.
        pace.next(&input, start + ms(1_900));
        let second = pace.next(&input, start + ms(3_000));
        assert_eq!([first, second], case.ordered, "{}", case.name);
        assert!(!pace.is_refused(start + ms(10_000)), "{}: a refusal of long ago", case.name);
    }
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

#[test]
fn engines_that_go_after_an_order_are_ordered_anew_at_once_and_not_expected() {
    struct Case {
        name: &'static str,
        /// Engines that serve two and three seconds after an order of four.
        serving: [u32; 2],
        ordered: Option<u32>,
        expected: bool,
    }
    let cases = [
        Case { name: "none have started yet", serving: [0, 0], ordered: None, expected: true },
        Case { name: "some have", serving: [1, 2], ordered: None, expected: true },
        Case { name: "some have gone", serving: [3, 1], ordered: Some(4), expected: false },
        Case { name: "all have", serving: [4, 0], ordered: Some(4), expected: false },
    ];
    for case in cases {
        let now = Instant::now();
        let mut pace = OrderPace::new(0, now);
        let input = |serving| PaceInput {
            wished: 4,
            serving,
            reclaimable: true,
            dry: false,
            idle: false,
            load_known: true,
            boot: ms(4_000),
        };
        assert_eq!(pace.next(&input(0), now), Some(4), "{}", case.name);
        pace.sent(now);
        pace.answered(4, OrderState::Accepted);
        let [before, after] = case.serving;
        assert_eq!(pace.next(&input(before), now + ms(2_000)), None, "{}", case.name);
        let later = now + ms(3_000);
        assert_eq!(pace.next(&input(after), later), case.ordered, "{}", case.name);
        assert_eq!(pace.may_start(ms(4_000), later), case.expected, "{}", case.name);
    }
}

/// A new holder plans in the middle of a wave as the one before would have.
#[test]
fn a_change_of_holder_gives_up_no_engines_and_expects_none_that_were_refused() {
    let now = Instant::now();
    let key = |data_centre: &str, reclaimable| OrderKey {
        service: "chat".to_owned(),
        data_centre: data_centre.to_owned(),
        reclaimable,
    };
    let input = |wished, serving, reclaimable| PaceInput {
        wished,
        serving,
        reclaimable,
        dry: reclaimable,
        idle: false,
        load_known: true,
        boot: ms(4_000),
    };
    let mut before = OrderBook::default();
    for name in ["a", "b", "c", "d"] {
        assert_eq!(before.next(&key(name, true), &input(4, 0, true), now), Some(4));
        before.answered(&key(name, true), 4, OrderState::Refused);
    }
    assert_eq!(before.next(&key("b", false), &input(5, 0, false), now), Some(5));
    before.answered(&key("b", false), 5, OrderState::Accepted);
    struct Case {
        name: &'static str,
        told: Vec<OrderReport>,
        /// Engines on demand wished for then.
        wished: u32,
        dry: bool,
    }
    let cases = [
        Case { name: "nothing is told", told: Vec::new(), wished: 0, dry: false },
        Case { name: "the orders are", told: before.reports(now), wished: 5, dry: true },
    ];
    for case in cases {
        let mut after = OrderBook::default();
        after.resume(&case.told, now);
        assert_eq!(after.is_dry("chat", now), case.dry, "{}", case.name);
        let mut fleets = fleets([0; 4]);
        after.expect("chat", &mut fleets, ms(4_000), now);
        let scaling = scaling(10);
        let input = CapacityInput {
            need: need(5.0),
            scaling: &scaling,
            fleets: &fleets,
            losses: 1,
            before_load: false,
        };
        let wished: u32 = plan_engines(&input, &POLICY).values().map(|w| w.on_demand).sum();
        assert_eq!(wished, case.wished, "{}", case.name);
    }
}

#[test]
fn a_new_holder_goes_on_from_the_orders_of_the_one_before() {
    struct Case {
        name: &'static str,
        pace: fn(Instant) -> OrderPace,
        /// Of four ordered one serves.
        starting: u32,
        more_expected: bool,
    }
    let cases = [
        Case {
            name: "nothing was told",
            pace: |now| OrderPace::new(1, now),
            starting: 0,
            more_expected: true,
        },
        Case {
            name: "accepted",
            pace: |now| OrderPace::resumed(4, false, now),
            starting: 3,
            more_expected: true,
        },
        Case {
            name: "refused",
            pace: |now| OrderPace::resumed(4, true, now),
            starting: 0,
            more_expected: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let pace = (case.pace)(now);
        assert_eq!(pace.starting(1, ms(4_000), now), case.starting, "{}", case.name);
        assert_eq!(pace.may_start(ms(4_000), now), case.more_expected, "{}", case.name);
        assert!(!pace.may_start(ms(4_000), now + ms(8_000)), "{}: they did not start", case.name);
    }
}

#[test]
fn fewer_engines_are_ordered_after_a_while_only() {
    struct Case {
        name: &'static str,
        reclaimable: bool,
        dry: bool,
        idle: bool,
        load_known: bool,
        /// Engines that the load needs, one figure each second; ten serve.
        needs: &'static [u32],
        ordered: Option<u32>,
    }
    let case = |name, needs, ordered| Case {
        name,
        reclaimable: false,
        dry: false,
        idle: false,
        load_known: true,
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
        Case { load_known: false, idle: true, ..case("the load is not known yet", &[6; 20], None) },
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
        let mut peak = NeedPeak::new(ms(4_000));
        let mut ordered = None;
        for (i, need) in case.needs.iter().enumerate() {
            let now = now + ms(1_000 * i as u64);
            let input = PaceInput {
                wished: peak.note(f64::from(*need), now).ceil() as u32,
                serving: 10,
                reclaimable: case.reclaimable,
                dry: case.dry,
                idle: case.idle,
                load_known: case.load_known,
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
        load_known: true,
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
