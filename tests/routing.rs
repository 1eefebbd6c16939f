//! Choice of upstreams and owners: properties of the decisions.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use tackhollow::{
    cloud::{HostEntry, HostRole, HostState},
    ownership,
    prefix::fingerprints,
    routing::{
        Admission, AdmissionInput, Candidate, Class, OwnerView, Policy, admit, choose_upstream,
        rank_owners,
    },
    upstream::{CacheSketch, Owned, OwnedSettings, UpstreamEvent, UpstreamState},
    wire::{PlaceReply, PlaceRequest, PlaceScope, Release, ReleaseOutcome},
};

const POLICIES: [Policy; 4] =
    [Policy::Cost, Policy::RoundRobin, Policy::LeastInFlight, Policy::PrefixBounded];

fn candidates() -> impl Strategy<Value = Vec<Candidate>> {
    let one = (0u32..12, 1u32..10, 0u64..2_000, 0u32..4_000, 0.1..5.0f64, any::<bool>());
    prop::collection::vec(one, 0..8).prop_map(|list| {
        let candidate = |(i, (in_flight, slots, backlog, cached, price, reclaimable))| Candidate {
            id: format!("engine-{i}"),
            in_flight,
            slots,
            backlog: Duration::from_millis(backlog),
            prefill_rate: 8_000.0,
            cached_tokens: cached,
            price,
            reclaimable,
        };
        list.into_iter().enumerate().map(candidate).collect()
    })
}

fn host(i: usize) -> HostEntry {
    HostEntry {
        id: format!("engine-{i}"),
        role: HostRole::Engine,
        data_centre: "bkk-bangna".to_owned(),
        class: "small".to_owned(),
        addr: ([127, 0, 0, 1], 1_000 + i as u16).into(),
        models: vec!["chat-8b".to_owned()],
        slots: 3,
        price: 1.0,
        reclaimable: true,
        state: HostState::Live,
        leaves_at_ms: None,
    }
}

fn owned(engines: usize, now: Instant) -> Owned {
    let settings = OwnedSettings { policy: Policy::Cost, silence: Duration::from_secs(3) };
    let mut owned = Owned::new(settings, ([127, 0, 0, 1], 1).into());
    owned.set_hosts((0..engines).map(host).collect(), now);
    for i in 0..engines {
        owned.hear(&format!("engine-{i}"), &UpstreamEvent::Hello { boot: 1 }, now);
    }
    owned
}

fn request(text: &str, patience_ms: Option<u64>) -> PlaceRequest {
    PlaceRequest {
        scope: PlaceScope::Owned,
        model: "chat-8b".to_owned(),
        class: Class::Chat,
        customer: "temple-fairs".to_owned(),
        prompt_tokens: (text.len() / 4) as u32,
        prefix: fingerprints(text),
        patience_ms,
        exclude: Vec::new(),
        data_centres: Vec::new(),
        holder: ([127, 0, 0, 1], 2).into(),
    }
}

fn upstream(reply: &PlaceReply) -> Option<&str> {
    match reply {
        PlaceReply::Granted { upstream, .. } => Some(&upstream.id),
        PlaceReply::Busy { .. } | PlaceReply::NoUpstream => None,
    }
}

#[test]
fn a_prompt_goes_where_its_prefix_is_unless_that_takes_too_long() {
    let now = Instant::now();
    let mut owned = owned(2, now);
    let dossier = "dossier ".repeat(2_000);
    let first = owned.place(&request(&dossier, None), now);
    let later = now + Duration::from_secs(2);
    for i in 0..2 {
        owned.hear(&format!("engine-{i}"), &UpstreamEvent::Hello { boot: 1 }, later);
    }
    let second = owned.place(&request(&dossier, None), later);
    assert_eq!(upstream(&first), upstream(&second));
    // Twice as much for others to prefill there: the next is better off elsewhere.
    let busy = upstream(&first).expect("a slot").to_owned();
    let load = UpstreamEvent::Load {
        running: 1,
        waiting: 0,
        queued_tokens: 12_000,
        prefill_rate: 8_000.0,
        models: vec!["chat-8b".to_owned()],
    };
    owned.hear(&busy, &load, later);
    let third = owned.place(&request(&dossier, None), later);
    assert_ne!(upstream(&third), Some(busy.as_str()));
    // A caller that would rather ask elsewhere than wait is told so.
    for i in 0..2 {
        owned.hear(&format!("engine-{i}"), &load, later);
    }
    let hasty = owned.place(&request("short", Some(300)), later);
    assert!(matches!(hasty, PlaceReply::Busy { .. }), "{hasty:?}");
    assert!(upstream(&owned.place(&request("short", None), later)).is_some());
}

#[test]
fn a_gap_in_cache_events_makes_the_sketch_doubtful() {
    let prefixes = fingerprints(&"word ".repeat(1_000));
    let mut sketch = CacheSketch::default();
    sketch.hear(1, &prefixes, &[]);
    let sure = sketch.cached_tokens(&prefixes);
    sketch.hear(3, &[], &[]);
    assert_eq!(sketch.cached_tokens(&prefixes), sure / 2);
    sketch.hear(4, &[], &prefixes[..1]);
    assert_eq!(sketch.cached_tokens(&prefixes), 0);
}

/// Failures at one moment, and how many more after the rest end in another one.
struct RestCase {
    name: &'static str,
    failures: u32,
    then: u32,
    rests: bool,
}

const REST_CASES: [RestCase; 4] = [
    RestCase { name: "three in a row", failures: 3, then: 3, rests: true },
    RestCase { name: "three, then fewer", failures: 3, then: 2, rests: false },
    RestCase {
        name: "two more that were sent before the rest",
        failures: 5,
        then: 1,
        rests: false,
    },
    RestCase { name: "the same, then three", failures: 5, then: 3, rests: true },
];

#[test]
fn failures_of_before_a_rest_do_not_bring_the_next_one() {
    let silence = Duration::from_secs(3_600);
    for case in REST_CASES {
        let now = Instant::now();
        let mut upstream = UpstreamState::new(host(0), now);
        upstream.hear(&UpstreamEvent::Hello { boot: 1 }, now);
        (0..case.failures).for_each(|_| upstream.attempt_ended(true, now));
        assert!(!upstream.takes_work(now, silence), "{}: it rests", case.name);
        let later = now + Duration::from_secs(10);
        assert!(upstream.takes_work(later, silence), "{}: it has rested", case.name);
        (0..case.then).for_each(|_| upstream.attempt_ended(true, later));
        assert_eq!(!upstream.takes_work(later, silence), case.rests, "{}", case.name);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Every policy chooses a candidate with a free slot, and one if there is one.
    #[test]
    fn a_free_slot_is_found(candidates in candidates(), turn: u64, prefix: u64, prompt in 0u32..5_000) {
        let any_free = candidates.iter().any(|c| c.in_flight < c.slots);
        for policy in POLICIES {
            let chosen = choose_upstream(policy, &candidates, prompt, turn, prefix);
            prop_assert_eq!(chosen.is_some(), any_free, "{:?}", policy);
            prop_assert!(chosen.is_none_or(|c| c.in_flight < c.slots));
        }
    }

    /// An owner never gives out more slots than there are, and gets back what
    /// it gave.
    #[test]
    fn slots_are_given_out_once(steps in prop::collection::vec(any::<bool>(), 1..60)) {
        let now = Instant::now();
        let mut owned = owned(2, now);
        let mut given = Vec::new();
        for take in steps {
            if take {
                match owned.place(&request("hello", None), now) {
                    PlaceReply::Granted { grant, .. } => given.push(grant),
                    PlaceReply::Busy { .. } => prop_assert_eq!(given.len(), 6),
                    PlaceReply::NoUpstream => prop_assert!(false),
                }
            } else if let Some(grant) = given.pop() {
                owned.release(&Release { grant, outcome: ReleaseOutcome::Finished }, now);
            }
            prop_assert!(given.len() <= 6);
            prop_assert_eq!(owned.grants().len(), given.len());
        }
    }

    /// While two customers ask, neither holds more than its share, and the one
    /// that comes late gets a slot as soon as one is free.
    #[test]
    fn shares_hold(steps in prop::collection::vec((any::<bool>(), any::<bool>()), 1..80)) {
        let now = Instant::now();
        let mut owned = owned(4, now);
        let ask = |customer: &str| PlaceRequest { customer: customer.to_owned(), ..request("hello", None) };
        owned.place(&ask("late"), now);
        let share = (12.0f64 * 1.25 / 2.0).ceil() as usize;
        let mut held = [Vec::new(), Vec::new()];
        for (who, take) in steps {
            let who = usize::from(who);
            let name = ["flood", "other"][who];
            if !take {
                if let Some(grant) = held[who].pop() {
                    owned.release(&Release { grant, outcome: ReleaseOutcome::Finished }, now);
                }
            } else if let PlaceReply::Granted { grant, .. } = owned.place(&ask(name), now) {
                held[who].push(grant);
            }
            prop_assert!(held[0].len() <= share && held[1].len() <= share);
        }
    }

    /// A join moves upstreams to the joiner only.
    #[test]
    fn a_join_moves_only_to_the_joiner(members in prop::collection::btree_set("[a-z]{1,8}", 1..20), joiner in "[A-Z]{3}", items in prop::collection::vec("[a-z0-9]{1,8}", 1..50)) {
        let before: Vec<String> = members.into_iter().collect();
        let mut after = before.clone();
        after.push(joiner.clone());
        for item in items {
            let (old, new) = (ownership::owner(&before, &item), ownership::owner(&after, &item));
            prop_assert!(new == old || new == Some(&joiner));
        }
    }

    /// Owners with free slots come before those without, and none without a
    /// slot for the model is asked.
    #[test]
    fn owners_with_room_come_first(list in prop::collection::vec((0u32..5, 0u32..10), 1..10), prefix: Option<u64>) {
        let view = |(i, (free, more)): (usize, &(u32, u32))| OwnerView {
            id: format!("entry-{i}"),
            free: *free,
            total: free + more,
            age: Some(Duration::from_secs(1)),
        };
        let owners: Vec<OwnerView> = list.iter().enumerate().map(view).collect();
        let ranked = rank_owners(&owners, prefix, 4);
        let free = |id: &str| owners.iter().find(|o| o.id == id).map(|o| o.free);
        let rest: Vec<Option<u32>> = ranked.iter().filter(|c| !c.by_prefix).map(|c| free(&c.id)).collect();
        prop_assert!(rest.is_sorted_by(|a, b| a >= b));
        prop_assert!(ranked.iter().all(|c| owners.iter().any(|o| o.id == c.id && o.total > 0)));
    }

    /// Nobody is admitted over a limit; the more urgent class is never refused
    /// where the less urgent one is admitted.
    #[test]
    fn limits_hold(in_progress in 0u32..200, limit in 1u32..200, customer in 0u32..50, customer_limit in 1u32..50, rate in 0.0..100.0f64) {
        let decide = |class| admit(&AdmissionInput {
            class,
            in_progress,
            limit,
            customer_in_progress: customer,
            customer_limit,
            finished_per_second: rate,
        });
        let admitted = [Class::Call, Class::Chat, Class::Draft].map(|c| decide(c) == Admission::Admit);
        prop_assert!(admitted[0] >= admitted[1] && admitted[1] >= admitted[2]);
        prop_assert!(!admitted[0] || (in_progress < limit && customer < customer_limit));
        if let Admission::Refuse { retry_after } = decide(Class::Draft) {
            prop_assert!(retry_after >= Duration::from_secs(1) && retry_after <= Duration::from_secs(60));
        }
    }
}
