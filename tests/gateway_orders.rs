//! Timing of engine orders, retries of orders, and handover to the next holder of the lease.

#[path = "capacity/fleets.rs"]
mod fleets;

use std::time::Instant;

use fleets::{POLICY, fleets, ms, need, scaling};
use tackhollow::gateway::decide::{
    CapacityInput, EngineOrders, NeedPeak, OrderKey, OrderPacer, OrderPacerInput, OrderReport,
    OrderState, plan_engines,
};

#[test]
fn an_order_is_repeated_unless_the_last_one_was_accepted() {
    struct Case {
        name: &'static str,
        state: OrderState,
        desired: u32,
        /// Orders one second and three seconds after the last order.
        ordered: [Option<u32>; 2],
        refused: bool,
    }
    use OrderState::{Accepted, Refused, Unknown};
    let cases = [
        Case {
            name: "refused",
            state: Refused,
            desired: 6,
            ordered: [None, Some(6)],
            refused: true,
        },
        Case {
            name: "no answer",
            state: Unknown,
            desired: 6,
            ordered: [None, Some(6)],
            refused: false,
        },
        Case {
            name: "accepted",
            state: Accepted,
            desired: 6,
            ordered: [None, None],
            refused: false,
        },
        Case {
            name: "reduction, no answer",
            state: Unknown,
            desired: 2,
            ordered: [None, Some(2)],
            refused: false,
        },
        Case {
            name: "reduction after a refused increase",
            state: Refused,
            desired: 2,
            ordered: [None, Some(2)],
            refused: true,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut pacer = OrderPacer::new(4, start);
        pacer.record_sent(start);
        pacer.record_result(6, case.state);
        assert_eq!(pacer.is_refused(start), case.refused, "{}", case.name);
        let input = OrderPacerInput {
            target_count: case.desired,
            serving: 4,
            reclaimable: false,
            reclaimable_unavailable: false,
            idle: false,
            load_known: true,
            boot: ms(4_000),
        };
        let first = pacer.next_order(&input, start + ms(1_000));
        // A reduction is ordered only after a smaller number has sufficed for a while.
        pacer.next_order(&input, start + ms(1_900));
        let second = pacer.next_order(&input, start + ms(3_000));
        assert_eq!([first, second], case.ordered, "{}", case.name);
        assert!(!pacer.is_refused(start + ms(10_000)), "{}: the refusal has expired", case.name);
    }
}

#[test]
fn engines_that_end_after_an_order_are_ordered_again_at_once_and_not_expected() {
    struct Case {
        name: &'static str,
        /// Engines that serve two and three seconds after an order of four.
        serving: [u32; 2],
        ordered: Option<u32>,
        expected: bool,
    }
    let cases = [
        Case { name: "none have started yet", serving: [0, 0], ordered: None, expected: true },
        Case { name: "some have started", serving: [1, 2], ordered: None, expected: true },
        Case { name: "some have ended", serving: [3, 1], ordered: Some(4), expected: false },
        Case { name: "all have ended", serving: [4, 0], ordered: Some(4), expected: false },
    ];
    for case in cases {
        let now = Instant::now();
        let mut pacer = OrderPacer::new(0, now);
        let input = |serving| OrderPacerInput {
            target_count: 4,
            serving,
            reclaimable: true,
            reclaimable_unavailable: false,
            idle: false,
            load_known: true,
            boot: ms(4_000),
        };
        assert_eq!(pacer.next_order(&input(0), now), Some(4), "{}", case.name);
        pacer.record_sent(now);
        pacer.record_result(4, OrderState::Accepted);
        let [before, after] = case.serving;
        assert_eq!(pacer.next_order(&input(before), now + ms(2_000)), None, "{}", case.name);
        let later = now + ms(3_000);
        assert_eq!(pacer.next_order(&input(after), later), case.ordered, "{}", case.name);
        assert_eq!(pacer.may_start(ms(4_000), later), case.expected, "{}", case.name);
    }
}

/// After a change of the lease holder during a series of reclaims, the new holder must plan as
/// the previous one would have.
#[test]
fn a_new_holder_keeps_ordered_engines_and_expects_no_refused_ones() {
    let now = Instant::now();
    let key = |data_centre: &str, reclaimable| OrderKey {
        service: "chat".to_owned(),
        data_centre: data_centre.to_owned(),
        reclaimable,
    };
    let input = |desired, serving, reclaimable| OrderPacerInput {
        target_count: desired,
        serving,
        reclaimable,
        reclaimable_unavailable: reclaimable,
        idle: false,
        load_known: true,
        boot: ms(4_000),
    };
    let mut before = EngineOrders::default();
    for name in ["a", "b", "c", "d"] {
        assert_eq!(before.next_order_count(&key(name, true), &input(4, 0, true), now), Some(4));
        before.record_order_result(&key(name, true), 4, OrderState::Refused);
    }
    assert_eq!(before.next_order_count(&key("b", false), &input(5, 0, false), now), Some(5));
    before.record_order_result(&key("b", false), 5, OrderState::Accepted);
    struct Case {
        name: &'static str,
        reports: Vec<OrderReport>,
        /// Desired engines on demand with these orders.
        desired: u32,
        unavailable: bool,
    }
    let cases = [
        Case {
            name: "no orders are handed over",
            reports: Vec::new(),
            desired: 0,
            unavailable: false,
        },
        Case {
            name: "the orders are handed over",
            reports: before.reports(now),
            desired: 5,
            unavailable: true,
        },
    ];
    for case in cases {
        let mut after = EngineOrders::default();
        after.resume(&case.reports, now);
        assert_eq!(
            after.is_reclaimable_unavailable("chat", now),
            case.unavailable,
            "{}",
            case.name
        );
        let mut fleets = fleets([0; 4]);
        after.add_expected_engines("chat", &mut fleets, ms(4_000), now);
        let scaling = scaling(10);
        let input = CapacityInput {
            need: need(5.0),
            scaling: &scaling,
            fleets: &fleets,
            losses: 1,
            before_load: false,
        };
        let desired: u32 = plan_engines(&input, &POLICY).values().map(|w| w.on_demand).sum();
        assert_eq!(desired, case.desired, "{}", case.name);
    }
}

#[test]
fn a_new_holder_continues_from_the_orders_of_the_previous_one() {
    struct Case {
        name: &'static str,
        pacer: fn(Instant) -> OrderPacer,
        /// Engines still expected to start, where one of four serves.
        starting: u32,
        reclaimable_expected: bool,
    }
    let cases = [
        Case {
            name: "no order is handed over",
            pacer: |now| OrderPacer::new(1, now),
            starting: 0,
            reclaimable_expected: true,
        },
        Case {
            name: "accepted",
            pacer: |now| OrderPacer::resumed(4, false, now),
            starting: 3,
            reclaimable_expected: true,
        },
        Case {
            name: "refused",
            pacer: |now| OrderPacer::resumed(4, true, now),
            starting: 0,
            reclaimable_expected: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let pacer = (case.pacer)(now);
        assert_eq!(pacer.starting(1, ms(4_000), now), case.starting, "{}", case.name);
        assert_eq!(pacer.may_start(ms(4_000), now), case.reclaimable_expected, "{}", case.name);
        assert!(
            !pacer.may_start(ms(4_000), now + ms(8_000)),
            "{}: the engines did not start",
            case.name
        );
    }
}

#[test]
fn reductions_are_ordered_only_after_a_delay() {
    struct Case {
        name: &'static str,
        reclaimable: bool,
        unavailable: bool,
        idle: bool,
        load_known: bool,
        /// Engines that the load requires, once per second; ten serve.
        required: &'static [u32],
        ordered: Option<u32>,
    }
    let case = |name, required, ordered| Case {
        name,
        reclaimable: false,
        unavailable: false,
        idle: false,
        load_known: true,
        required,
        ordered,
    };
    let cases = [
        case("increase at once", &[12], Some(12)),
        case("no change", &[10, 10, 10, 10, 10, 10], None),
        case("reduction, not for long enough", &[10, 6, 6, 6, 6, 6], None),
        case("reduction for long enough", &[10, 6, 6, 6, 6, 6, 6], Some(6)),
        case("reduction to the largest number required since", &[10, 6, 6, 8, 3, 2, 2], Some(8)),
        case("fluctuating load", &[10, 6, 6, 10, 6, 6, 6], None),
        Case { idle: true, ..case("no load", &[6], Some(6)) },
        Case { load_known: false, idle: true, ..case("load not known yet", &[6; 20], None) },
        Case {
            unavailable: true,
            ..case(
                "no reclaimable engines available, not for long enough",
                &[10, 6, 6, 6, 6, 6],
                None,
            )
        },
        Case {
            unavailable: true,
            reclaimable: true,
            ..case("reclaimable engines are kept while no others are available", &[6; 20], None)
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut pacer = OrderPacer::new(10, now);
        let mut peak = NeedPeak::new(ms(4_000));
        let mut ordered = None;
        for (i, need) in case.required.iter().enumerate() {
            let now = now + ms(1_000 * i as u64);
            let input = OrderPacerInput {
                target_count: peak.record(f64::from(*need), now).ceil() as u32,
                serving: 10,
                reclaimable: case.reclaimable,
                reclaimable_unavailable: case.unavailable,
                idle: case.idle,
                load_known: case.load_known,
                boot: ms(4_000),
            };
            ordered = pacer.next_order(&input, now);
        }
        assert_eq!(ordered, case.ordered, "{}", case.name);
    }
}

#[test]
fn engines_on_demand_are_given_up_once_reclaimable_engines_carry_the_load() {
    let now = Instant::now();
    let mut pacer = OrderPacer::new(10, now);
    let input = |desired| OrderPacerInput {
        target_count: desired,
        serving: 10,
        reclaimable: false,
        reclaimable_unavailable: true,
        idle: false,
        load_known: true,
        boot: ms(4_000),
    };
    assert_eq!(pacer.next_order(&input(10), now), None);
    assert_eq!(
        pacer.next_order(&input(2), now + ms(500)),
        None,
        "engines that have just started may fail"
    );
    assert_eq!(pacer.next_order(&input(2), now + ms(1_500)), Some(2), "the delay is over");
}
