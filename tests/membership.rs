//! Membership: views of many processes, over a network that loses datagrams.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use tackhollow::{
    ids::Home,
    membership::{Effect, View},
    wire::{Contact, Gossip, Liveness},
};

/// Datagrams on their way: to whom, from whom.
type Flight = Vec<(SocketAddr, SocketAddr, Gossip)>;

/// Processes of one data centre, driven by a clock of their own.
struct Net {
    views: BTreeMap<SocketAddr, View>,
    now: Instant,
    lost_percent: u8,
    cut: BTreeSet<SocketAddr>,
    rng: fastrand::Rng,
    sent: u64,
}

fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + i as u16))
}

fn contact(i: usize, incarnation: u64) -> Contact {
    let home = Home { http: addr(i), incarnation };
    Contact { id: format!("entry-{i}"), home, peer: addr(i), gossip: addr(i) }
}

impl Net {
    /// Starts `count` processes at once, each with the first as its seed.
    fn start(count: usize, lost_percent: u8, seed: u64) -> Self {
        let now = Instant::now();
        let view = |i: usize| {
            let contact = contact(i, i as u64 + 1 + seed);
            let seeds = vec![addr(0), addr(1)];
            View::new("bkk-bangna".to_owned(), "bangkok".to_owned(), contact, seeds, now)
        };
        let views = (0..count).map(|i| (addr(i), view(i))).collect();
        let rng = fastrand::Rng::with_seed(seed);
        Self { views, now, lost_percent, cut: BTreeSet::new(), rng, sent: 0 }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += Duration::from_millis(100);
            let mut flight = Flight::new();
            for (from, view) in &mut self.views {
                if view.next_tick() <= self.now {
                    collect(&mut flight, *from, view.tick(self.now));
                }
            }
            while let Some((to, from, gossip)) = flight.pop() {
                self.sent += 1;
                let lost = self.rng.u8(0..100) < self.lost_percent;
                if lost || self.cut.contains(&to) != self.cut.contains(&from) {
                    continue;
                }
                if let Some(view) = self.views.get_mut(&to) {
                    collect(&mut flight, to, view.receive(from, gossip, self.now));
                }
            }
        }
    }

    /// Returns whether every process knows just the others as alive.
    fn agrees(&self) -> bool {
        let expected = self.views.len();
        self.views.values().all(|v| v.owners().len() == expected && alive(v) + 1 == expected)
    }
}

fn alive(view: &View) -> usize {
    view.members().values().filter(|m| m.state.liveness == Liveness::Alive).count()
}

fn collect(flight: &mut Flight, from: SocketAddr, effects: Vec<Effect>) {
    for effect in effects {
        if let Effect::Send(to, gossip) = effect {
            flight.push((to, from, *gossip));
        }
    }
}

struct Case {
    processes: usize,
    lost_percent: u8,
}

#[test]
fn all_that_start_at_once_find_each_other() {
    let cases = [
        Case { processes: 2, lost_percent: 0 },
        Case { processes: 12, lost_percent: 10 },
        Case { processes: 40, lost_percent: 0 },
        Case { processes: 80, lost_percent: 5 },
    ];
    for case in cases {
        for seed in 0..5 {
            let mut net = Net::start(case.processes, case.lost_percent, seed);
            net.run(Duration::from_secs(60));
            let short: Vec<usize> = net.views.values().map(|v| v.owners().len()).collect();
            assert!(
                short.iter().all(|n| *n == case.processes),
                "{} {seed}: {short:?}",
                case.processes
            );
        }
    }
}

#[test]
fn a_dead_process_is_noticed_and_a_partition_heals() {
    let mut net = Net::start(20, 2, 7);
    net.run(Duration::from_secs(40));
    assert!(net.agrees());
    net.views.remove(&addr(5));
    net.run(Duration::from_secs(60));
    assert!(net.agrees(), "the dead one is still held for alive");
    // Another incarnation in its place does not make the first one forgotten.
    let seeds = vec![addr(0)];
    let (dc, region) = ("bkk-bangna".to_owned(), "bangkok".to_owned());
    let again = View::new(dc, region, contact(5, 1_000), seeds, net.now);
    net.views.insert(addr(5), again);
    net.run(Duration::from_secs(30));
    let first = contact(5, 13).home;
    let known = net.views.iter().filter(|(a, _)| **a != addr(5));
    assert!(known.into_iter().all(|(_, v)| v.is_known_dead(&first)), "a home is forgotten");
    net.views.remove(&addr(5));
    net.run(Duration::from_secs(60));
    net.cut = (0..4).map(addr).collect();
    net.run(Duration::from_secs(60));
    assert!(net.views.values().all(|v| v.owners().len() < 19), "the cut is not noticed");
    net.cut.clear();
    net.run(Duration::from_secs(120));
    assert!(net.agrees(), "the partition does not heal");
}

/// What becomes of a process that has announced that it leaves.
struct LeavingCase {
    name: &'static str,
    processes: usize,
    lost_percent: u8,
    dies: bool,
}

#[test]
fn a_leaving_process_is_gone_once_it_is_silent() {
    let cases = [
        LeavingCase { name: "dies, one is left", processes: 2, lost_percent: 0, dies: true },
        LeavingCase { name: "dies among many", processes: 12, lost_percent: 5, dies: true },
        LeavingCase { name: "dies among very many", processes: 60, lost_percent: 2, dies: true },
        LeavingCase { name: "lives on for long", processes: 2, lost_percent: 0, dies: false },
        LeavingCase { name: "lives on among many", processes: 12, lost_percent: 5, dies: false },
    ];
    for case in cases {
        let mut net = Net::start(case.processes, case.lost_percent, 11);
        net.run(Duration::from_secs(40));
        assert!(net.agrees(), "{}", case.name);
        let now = net.now;
        let leaving = net.views.get_mut(&addr(1)).expect("it is there");
        let home = leaving.own_contact().home.clone();
        leaving.leave(now);
        net.run(Duration::from_secs(5));
        if case.dies {
            net.views.remove(&addr(1));
        }
        net.run(Duration::from_secs(60));
        let mut others = net.views.iter().filter(|(a, _)| **a != addr(1));
        assert!(others.all(|(_, v)| v.is_known_dead(&home) == case.dies), "{}", case.name);
    }
}

#[test]
fn traffic_at_rest_does_not_grow_with_the_size() {
    let per_process = |count: usize| {
        let mut net = Net::start(count, 0, 3);
        net.run(Duration::from_secs(60));
        let before = net.sent;
        net.run(Duration::from_secs(60));
        (net.sent - before) as f64 / count as f64 / 60.0
    };
    let (small, large) = (per_process(10), per_process(80));
    assert!(large < small * 1.5, "{small} then {large} datagrams a second");
    assert!(large < 4.0, "{large} datagrams a second");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), cases: 24, ..ProptestConfig::default() })]

    /// Whatever is lost, and whoever dies, the rest agree in the end.
    #[test]
    fn the_living_agree(count in 3usize..16, lost_percent in 0u8..30, seed: u64, dies in prop::collection::btree_set(2usize..16, 0..4)) {
        let mut net = Net::start(count, lost_percent, seed >> 8);
        net.run(Duration::from_secs(20));
        for i in dies {
            net.views.remove(&addr(i));
        }
        net.run(Duration::from_secs(90));
        net.lost_percent = 0;
        net.run(Duration::from_secs(60));
        prop_assert!(net.agrees());
    }
}
