//! Decisions about a gateway's own paths to the upstreams.

use std::time::{Duration, Instant};

use tackhollow::gateway::{
    decide::{PathChange, TunnelPeers, UpstreamPaths, choose_listed_gateways},
    model::Lifetime,
};

/// What a gateway finds out about its paths.
#[derive(Clone, Copy, Debug)]
enum Observation {
    /// The upstream was reached from here.
    Reached(u32),
    /// The upstream was reached through another gateway only.
    Bypassed(u32),
}

use Observation::{Bypassed, Reached};

struct Case {
    name: &'static str,
    /// Number of upstreams that take requests.
    known: usize,
    /// Time of each observation, in milliseconds.
    observations: Vec<(u64, Observation)>,
    /// Whether the gateway is cut off after the last one.
    cut_off: bool,
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "three upstreams out of reach",
            known: 20,
            observations: vec![(0, Bypassed(1)), (100, Bypassed(2)), (200, Bypassed(3))],
            cut_off: true,
        },
        Case {
            name: "partition between this gateway and two upstreams",
            known: 20,
            observations: (0..20).map(|n| (n * 100, Bypassed(n as u32 % 2))).collect(),
            cut_off: false,
        },
        Case {
            name: "partition between two data centres",
            known: 20,
            observations: (0..30)
                .map(|n| (n * 50, if n % 3 == 2 { Reached(n as u32) } else { Bypassed(n as u32) }))
                .collect(),
            cut_off: false,
        },
        Case {
            name: "the only upstream is out of reach",
            known: 1,
            observations: vec![(0, Bypassed(1))],
            cut_off: true,
        },
        Case {
            name: "upstreams out of reach at different times",
            known: 20,
            observations: vec![(0, Bypassed(1)), (4_000, Bypassed(2)), (8_000, Bypassed(3))],
            cut_off: false,
        },
        Case {
            name: "reached before the cut only",
            known: 20,
            observations: vec![
                (0, Reached(1)),
                (100, Bypassed(2)),
                (200, Bypassed(3)),
                (300, Bypassed(4)),
            ],
            cut_off: true,
        },
        Case {
            name: "the paths are back",
            known: 20,
            observations: vec![
                (0, Bypassed(1)),
                (10, Bypassed(2)),
                (20, Bypassed(3)),
                (9_000, Reached(4)),
            ],
            cut_off: false,
        },
    ]
}

fn upstream(n: u32) -> Lifetime {
    Lifetime::new(&format!("i-{n}"), None)
}

#[test]
fn only_a_gateway_that_reaches_no_upstream_counts_as_cut_off() {
    let start = Instant::now();
    for case in cases() {
        let mut paths = UpstreamPaths::default();
        for (at, observation) in &case.observations {
            let now = start + Duration::from_millis(*at);
            match observation {
                Reached(n) => paths.note_reached(upstream(*n), now),
                Bypassed(n) => paths.note_bypassed(upstream(*n), case.known, now),
            };
        }
        assert_eq!(paths.is_cut_off(), case.cut_off, "{}", case.name);
    }
}

#[test]
fn changes_are_reported_once() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut paths = UpstreamPaths::default();
    let changes: Vec<_> =
        (0..5).map(|n| paths.note_bypassed(upstream(n), 9, at(u64::from(n)))).collect();
    assert_eq!(changes.iter().flatten().collect::<Vec<_>>(), [&PathChange::CutOff]);
    assert!(paths.is_suspect(at(60_000)), "probed until a path is back");
    assert!(paths.is_bypassed(upstream(70), at(60_000)), "also an upstream that was not tried");
    let restored = paths.note_reached(upstream(7), at(60_000));
    assert_eq!(restored, Some(PathChange::Restored(Duration::from_millis(59_998))));
    assert_eq!(paths.note_reached(upstream(8), at(60_100)), None);
    assert!(!paths.is_suspect(at(60_200)));
}

#[test]
fn gateways_that_are_cut_off_are_listed_only_if_too_few_others_serve() {
    struct Listed {
        name: &'static str,
        cut_off: usize,
        connected: usize,
        listed: usize,
    }
    let cases = [
        Listed { name: "none", cut_off: 0, connected: 9, listed: 9 },
        Listed { name: "one", cut_off: 1, connected: 8, listed: 8 },
        Listed { name: "five of nine", cut_off: 5, connected: 4, listed: 4 },
        Listed { name: "most", cut_off: 8, connected: 1, listed: 9 },
        Listed { name: "all", cut_off: 9, connected: 0, listed: 9 },
        Listed { name: "nobody serves", cut_off: 0, connected: 0, listed: 0 },
    ];
    for case in cases {
        let cut_off = (0..case.cut_off).map(|n| (n, true));
        let connected = (0..case.connected).map(|n| (100 + n, false));
        let serving: Vec<(usize, bool)> = cut_off.chain(connected).collect();
        assert_eq!(choose_listed_gateways(&serving).len(), case.listed, "{}", case.name);
    }
}

#[test]
fn tunnels_go_through_a_near_gateway_first_and_not_only_through_near_ones() {
    let (mut rng, now) = (fastrand::Rng::with_seed(5), Instant::now());
    let (near, all): (Vec<u32>, Vec<u32>) = ((0..10).collect(), (0..100).collect());
    let peers = TunnelPeers::default();
    let mut far = 0;
    for _ in 0..100 {
        let chosen = peers.choose(&near, &all, 3, now, &mut rng);
        assert_eq!(chosen.len(), 3);
        assert!(near.contains(&chosen[0]), "{chosen:?}");
        assert!(chosen[0] != chosen[1] && chosen[1] != chosen[2] && chosen[0] != chosen[2]);
        far += usize::from(!near.contains(&chosen[1]));
    }
    assert!(far > 70, "{far} of 100");
    assert_eq!(peers.choose(&[], &[7], 3, now, &mut rng), [7]);
    assert!(peers.choose(&[], &[], 3, now, &mut rng).is_empty());
}

#[test]
fn gateways_through_which_a_tunnel_was_opened_are_asked_first_and_failed_ones_last() {
    let (mut rng, now) = (fastrand::Rng::with_seed(5), Instant::now());
    let mut peers = TunnelPeers::default();
    peers.note(1, false, now);
    peers.note(2, true, now);
    let all = [1, 2, 3, 4];
    let chosen = peers.choose(&[1, 3], &all, 4, now, &mut rng);
    assert_eq!((chosen[0], chosen[1], chosen[3]), (2, 3, 1));
    peers.note(2, false, now);
    assert_ne!(peers.choose(&[], &all, 4, now, &mut rng)[0], 2, "it failed since");
    let later = now + Duration::from_secs(10);
    let first: Vec<i32> =
        (0..100).map(|_| peers.choose(&[], &all, 1, later, &mut rng)[0]).collect();
    assert!(all.iter().all(|peer| first.contains(peer)), "outcomes are forgotten: {first:?}");
}
