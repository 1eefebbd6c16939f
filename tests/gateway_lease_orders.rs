//! All orders of a few steps of processes that share a lease, and long drawn ones.

mod leases;

use std::{
    collections::{HashSet, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
};

use proptest::{prelude::*, test_runner::RngSeed};

use leases::{Step, World};

/// What a search found.
#[derive(Debug, Default)]
struct Search {
    /// Number of different worlds.
    worlds: usize,
    /// The shortest order of steps that breaks a rule, and the rule.
    broken: Option<(Vec<Step>, String)>,
}

/// Tries all orders of up to `depth` steps, breadth first, and visits equal worlds once.
fn search(hosts: usize, steps: &[Step], depth: usize) -> Search {
    let digest = |world: &World| {
        let mut hasher = DefaultHasher::new();
        world.key().hash(&mut hasher);
        hasher.finish()
    };
    let start = World::new(hosts);
    let mut visited = HashSet::from([digest(&start)]);
    let mut queue = VecDeque::from([(start, Vec::new())]);
    while let Some((world, order)) = queue.pop_front() {
        if order.len() == depth {
            continue;
        }
        for step in steps {
            let mut next = world.clone();
            let mut order: Vec<Step> = order.clone();
            order.push(*step);
            if let Some(rule) = next.take(*step) {
                return Search { worlds: visited.len(), broken: Some((order, rule)) };
            }
            if visited.insert(digest(&next)) {
                queue.push_back((next, order));
            }
        }
    }
    Search { worlds: visited.len(), broken: None }
}

/// Guards against holders that act in the order A, B, A because a process that knew of its host's
/// earlier lease was killed.
#[test]
fn no_short_order_of_steps_makes_holders_act_alternately() {
    struct Case {
        name: &'static str,
        hosts: usize,
        steps: Vec<Step>,
        depth: usize,
    }
    let few = |hosts: usize| {
        let is_simple = |s: &Step| {
            matches!(s, Step::Poll(_) | Step::Release(_) | Step::Restart(_) | Step::Pass)
        };
        Step::all(hosts).into_iter().filter(is_simple).collect()
    };
    let cases = [
        Case { name: "two hosts", hosts: 2, steps: Step::all(2), depth: 6 },
        Case { name: "three hosts, leases given back", hosts: 3, steps: few(3), depth: 8 },
    ];
    for case in cases {
        let found = search(case.hosts, &case.steps, case.depth);
        println!("{}: {} worlds within {} steps", case.name, found.worlds, case.depth);
        assert_eq!(found.broken, None, "{}", case.name);
    }
}

/// Guards against a host that acts again too early after holders that only the table knows of.
#[test]
fn listed_orders_of_steps_break_no_rule_on_holders() {
    use Step::{Act, Copy, GiveUp, Hear, Pass, Poll, Release, ReleaseLost, Restart, Return};
    struct Case {
        name: &'static str,
        steps: Vec<Step>,
    }
    let cases = [
        Case {
            name: "the holder gives back and is killed, and its successor gives back",
            steps: vec![Poll(0), Release(0), Poll(1), Restart(0), Release(1), Poll(0)],
        },
        Case {
            name: "two hosts hold the lease in between",
            steps: vec![
                Poll(0),
                Release(0),
                Poll(1),
                Release(1),
                Poll(2),
                Release(2),
                Restart(0),
                Poll(0),
            ],
        },
        Case {
            name: "the holder gives up, its successor is killed",
            steps: vec![
                Poll(0),
                GiveUp(0),
                Hear(1),
                Poll(1),
                Pass,
                Poll(1),
                Restart(0),
                Restart(1),
                Poll(1),
                Release(1),
                Poll(0),
            ],
        },
        Case {
            name: "the write that gives the lease back is lost",
            steps: vec![
                Poll(0),
                ReleaseLost(0),
                Hear(1),
                Poll(1),
                Pass,
                Poll(1),
                Restart(0),
                Release(1),
                Poll(0),
            ],
        },
        Case {
            name: "a holder whose row was lost acts on, and returns after its successor",
            steps: vec![
                Poll(0),
                Copy,
                Release(0),
                Poll(1),
                Return,
                Poll(2),
                Pass,
                Pass,
                Pass,
                Act(1),
                Pass,
                Pass,
                Poll(2),
                Release(2),
                Restart(1),
                Poll(1),
            ],
        },
        Case {
            name: "a holder renews in a new era, and its predecessor returns after it",
            steps: vec![
                Poll(0),
                Copy,
                Release(0),
                Poll(1),
                Release(1),
                Poll(2),
                Return,
                Poll(2),
                Release(2),
                Restart(1),
                Poll(1),
            ],
        },
    ];
    for case in cases {
        let mut world = World::new(3);
        let broken = case.steps.into_iter().find_map(|step| world.take(step));
        assert_eq!(broken, None, "{}", case.name);
        assert!(world.acts() >= 2, "{}: holders act", case.name);
    }
}

fn step(hosts: usize) -> impl Strategy<Value = Step> {
    let all = Step::all(hosts);
    prop_oneof![
        20 => prop::sample::select(all),
        10 => (0..hosts).prop_map(Step::Poll),
        10 => Just(Step::Pass),
        1 => Just(Step::Copy),
        1 => Just(Step::Return),
    ]
}

/// Number of drawn orders, unless `PROPTEST_CASES` names another.
const ORDERS: u32 = 20_000;
/// Seed from which they are drawn, so that a run can be repeated.
const SEED: u64 = 3;

fn config() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|c| c.parse().ok());
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::with_cases(cases.unwrap_or(ORDERS))
    }
}

proptest! {
    #![proptest_config(config())]
    #[test]
    fn no_drawn_order_of_steps_breaks_a_rule_on_holders(
        hosts in 2usize..6,
        steps in prop::collection::vec(step(5), 1..80),
    ) {
        let mut world = World::new(5);
        let is_of = |step: &Step| match step {
            Step::Poll(h) | Step::PollUnanswered(h) | Step::Act(h) | Step::Release(h)
            | Step::ReleaseLost(h) | Step::ReleaseLate(h) | Step::PollLate(h) | Step::GiveUp(h)
            | Step::Hear(h) | Step::Restart(h) => *h < hosts,
            Step::Arrive | Step::Copy | Step::Return | Step::Pass => true,
        };
        for step in steps.into_iter().filter(is_of) {
            let broken = world.take(step);
            prop_assert!(broken.is_none(), "{:?}", broken);
        }
    }
}
