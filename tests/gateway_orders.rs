//! Orders of engines: when they are given, tried again and handed on.

#[path = "capacity/fleets.rs"]
mod fleets;

use std::time::Instant;

use fleets::{POLICY, fleets, ms, need, scaling};
use tackhollow::gateway::decide::{
    CapacityInput, NeedPeak, OrderBook, OrderKey, OrderPace, OrderReport, OrderState, PaceInput,
    plan_engines,
};

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
