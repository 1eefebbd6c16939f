//! Decisions of the gateway: tables of cases and properties.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use tackhollow::{
    control::{HeardClaim, Lease, LeaseAction, LeaseClaim, LeaseRow, LeaseTiming},
    gateway::{
        board::{Board, LeaseView, OwnLease, StoreState, UpstreamView},
        decide::{
            Breaker, CacheBelief, Candidate, CapacityInput, CapacityPolicy, EngineSpeed, Fleet,
            Kept, OrderPace, PaceInput, QuotaBook, RetryBook, RetryTerms, TrueClock, UsageBook,
            Verdict, choose_engine, plan_engines, predicted_wait,
        },
        model::{Scaling, Upstream, UpstreamPhase},
        request::EventSplitter,
    },
    ids::DataCentre,
};

const SPEED: EngineSpeed = EngineSpeed { prefill: 50_000.0 };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn customer() -> String {
    "temple-fairs".to_owned()
}

// Retries.

#[test]
fn second_attempts_stay_within_the_budget() {
    struct Case {
        name: &'static str,
        requests: usize,
        processes: usize,
        most: usize,
    }
    let cases = [
        Case { name: "no request", requests: 0, processes: 1, most: 58 },
        Case { name: "a hundred requests", requests: 100, processes: 1, most: 78 },
        Case { name: "the surplus is shared", requests: 0, processes: 9, most: 6 },
        Case { name: "many processes", requests: 100, processes: 300, most: 20 },
    ];
    let terms = RetryTerms { ratio: 0.2, surplus: 58.0, window: ms(10_000) };
    let service = "llm".to_owned();
    for case in cases {
        let now = Instant::now();
        let mut book = RetryBook::default();
        for _ in 0..case.requests {
            book.request(&service, terms, now);
        }
        let taken = (0..1_000).filter(|_| book.take(&service, terms, case.processes, now)).count();
        assert!(taken <= case.most, "{}: {taken} taken", case.name);
        let later = now + ms(10_001);
        let again =
            (0..1_000).filter(|_| book.take(&service, terms, case.processes, later)).count();
        assert!(again <= case.most, "{}: {again} taken in the next window", case.name);
    }
}

// Usage.

#[test]
fn usage_sums_processes_and_ignores_older_messages() {
    let mut book = UsageBook::default();
    book.count("a", 7, &customer());
    book.count("a", 7, &customer());
    let of_b = |n: u64| BTreeMap::from([(customer(), n)]);
    book.hear("b", 7, &of_b(5));
    book.hear("b", 7, &of_b(3));
    assert_eq!(book.total(7), of_b(7));
    assert_eq!(book.of_process("a"), vec![(7, of_b(2))]);
    book.open("a", 9);
    assert_eq!(book.counted_before(9), vec![7]);
    book.open("a", 100);
    assert_eq!(book.total(7), BTreeMap::new(), "old windows are dropped");
    book.hear("b", 7, &of_b(5));
    assert_eq!(book.counted_before(100), Vec::<u64>::new(), "and do not come back");
}

#[test]
fn usage_that_was_kept_and_is_heard_again_counts_once() {
    let now = Instant::now();
    let mut before = UsageBook::default();
    before.count("holder", 7, &customer());
    before.hear("alive", 7, &BTreeMap::from([(customer(), 5), ("kitchens".to_owned(), 2)]));
    before.hear("ended", 6, &BTreeMap::from([(customer(), 4)]));
    let kept = Kept::of(&QuotaBook::new(now), &before);
    let mut after = UsageBook::default();
    after.hear("alive", 7, &BTreeMap::from([(customer(), 3)]));
    kept.restore(&mut QuotaBook::new(now), &mut after, now);
    after.hear("alive", 7, &BTreeMap::from([(customer(), 6)]));
    let seven = BTreeMap::from([(customer(), 7), ("kitchens".to_owned(), 2)]);
    assert_eq!(after.total(7), seven, "each process counts once, and rises");
    assert_eq!(after.total(6), BTreeMap::from([(customer(), 4)]));
}

proptest! {
    /// In whatever order and however often counts arrive, the sum is the same.
    #[test]
    fn usage_does_not_depend_on_the_order_of_messages(
        messages in prop::collection::vec((0usize..5, 1u64..50), 1..40),
    ) {
        let mut forth = UsageBook::default();
        let mut back = UsageBook::default();
        let tell = |book: &mut UsageBook, (at, n): &(usize, u64)| {
            book.hear(&format!("p{at}"), 3, &BTreeMap::from([(customer(), *n)]));
        };
        messages.iter().for_each(|m| tell(&mut forth, m));
        messages.iter().rev().chain(&messages).for_each(|m| tell(&mut back, m));
        prop_assert_eq!(forth.total(3), back.total(3));
    }
}

#[test]
fn a_lease_that_was_given_back_can_be_taken_at_once() {
    let timing = LeaseTiming { ttl: ms(3_200), margin: ms(700) };
    let now = Instant::now();
    let mut holder = Lease::new("a".to_owned(), timing);
    let LeaseAction::Write { row, .. } = holder.next_action(now) else {
        panic!("the lease is free");
    };
    holder.written(1, row.clone(), now, now);
    let mut other = Lease::new("b".to_owned(), timing);
    other.observe(1, Some(row), now);
    assert_eq!(other.next_action(now + ms(100)), LeaseAction::Wait);
    let (version, released) = holder.release().expect("it was held");
    assert_eq!((version, holder.may_order(now)), (1, None), "it gives no order from then on");
    other.observe(2, Some(released), now + ms(100));
    let LeaseAction::Write { row_version, row } = other.next_action(now + ms(101)) else {
        panic!("the lease is free again");
    };
    assert_eq!((row_version, row.holder.as_str(), row.fence), (2, "b", 2));
    assert_eq!(holder.release(), None, "it is given back once");
}

#[test]
fn a_host_takes_the_lease_of_its_earlier_process_at_once() {
    struct Case {
        name: &'static str,
        holder: &'static str,
        taken: bool,
    }
    let cases = [
        Case { name: "an earlier process of this host", holder: "host-1.5f", taken: true },
        Case { name: "another host", holder: "host-2.5f", taken: false },
        Case { name: "a host whose name begins alike", holder: "host-1.a.5f", taken: false },
        Case { name: "no incarnation", holder: "host-1", taken: false },
    ];
    let timing = LeaseTiming { ttl: ms(3_200), margin: ms(700) };
    for case in cases {
        let now = Instant::now();
        let mut lease = Lease::new("host-1.77".to_owned(), timing).of_host("host-1".to_owned());
        let row = LeaseRow { holder: case.holder.to_owned(), fence: 4, renewal: 9 };
        lease.observe(12, Some(row), now);
        assert_eq!(lease.is_inherited(), case.taken, "{}", case.name);
        match lease.next_action(now + ms(10)) {
            LeaseAction::Wait => assert!(!case.taken, "{}", case.name),
            LeaseAction::Write { row_version, row } => {
                assert!(case.taken, "{}", case.name);
                assert_eq!((row_version, row.fence), (12, 5), "{}", case.name);
            }
        }
    }
}

#[test]
fn a_lease_is_taken_once_its_holder_s_claim_is_over() {
    struct Case {
        name: &'static str,
        claim: LeaseClaim,
        /// When the lease is asked for, after the claim was heard.
        at: u64,
        taken: bool,
    }
    let claim = LeaseClaim { fence: 4, renewal: 9, age_ms: 2_000, given_up: false };
    let cases = [
        Case { name: "it runs", claim, at: 1_100, taken: false },
        Case { name: "it has run out", claim, at: 1_300, taken: true },
        Case {
            name: "it was renewed since",
            claim: LeaseClaim { renewal: 8, ..claim },
            at: 1_300,
            taken: false,
        },
        Case {
            name: "it is another one's",
            claim: LeaseClaim { fence: 3, ..claim },
            at: 1_300,
            taken: false,
        },
        Case {
            name: "given up, calls may be on the way",
            claim: LeaseClaim { given_up: true, ..claim },
            at: 200,
            taken: false,
        },
        Case {
            name: "given up before a renewal that came late",
            claim: LeaseClaim { given_up: true, renewal: 8, ..claim },
            at: 400,
            taken: true,
        },
    ];
    let timing = LeaseTiming { ttl: ms(3_200), margin: ms(700) };
    for case in cases {
        let now = Instant::now();
        let mut lease = Lease::new("host-1.77".to_owned(), timing);
        let holder = "host-2.5f".to_owned();
        lease.hear(HeardClaim { holder: holder.clone(), claim: case.claim, at: now });
        let later = now + ms(case.at);
        lease.observe(12, Some(LeaseRow { holder, fence: 4, renewal: 9 }), later);
        let taken = matches!(lease.next_action(later), LeaseAction::Write { .. });
        assert_eq!(taken, case.taken, "{}", case.name);
    }
}

#[test]
fn a_claim_given_up_counts_from_the_first_time_it_is_heard() {
    let now = Instant::now();
    let timing = LeaseTiming { ttl: ms(3_200), margin: ms(700) };
    let mut lease = Lease::new("host-1.77".to_owned(), timing);
    let holder = "host-2.5f".to_owned();
    let claim = LeaseClaim { fence: 4, renewal: 9, age_ms: 1_600, given_up: false };
    let hear = |lease: &mut Lease, at, claim| {
        lease.hear(HeardClaim { holder: holder.clone(), claim, at: now + ms(at) });
    };
    hear(&mut lease, 0, claim);
    // Heartbeats repeat it more often than a call of the holder may take.
    let given_up = LeaseClaim { given_up: true, ..claim };
    (1..10).for_each(|i| hear(&mut lease, i * 150, given_up));
    hear(&mut lease, 1_400, LeaseClaim { fence: 3, ..given_up });
    let later = now + ms(1_450);
    lease.observe(12, Some(LeaseRow { holder: holder.clone(), fence: 4, renewal: 9 }), later);
    assert!(matches!(lease.next_action(later), LeaseAction::Write { .. }), "it is free");
}

#[test]
fn a_lease_that_was_given_up_is_not_acted_on() {
    let now = Instant::now();
    let own = OwnLease { fence: 4, renewal: 9, sent: now, until: now + ms(2_500), given_up: false };
    let mut view = LeaseView { own: Some(own) };
    assert_eq!(view.may_act(now + ms(2_000)), Some(4));
    assert_eq!(view.may_act(now + ms(2_500)), None, "it has lapsed");
    view.give_up();
    assert_eq!(view.may_act(now + ms(100)), None);
    let claim = LeaseClaim { fence: 4, renewal: 9, age_ms: 100, given_up: true };
    assert_eq!(view.claim(now + ms(100)), Some(claim), "the others are told");
    assert_eq!(view.claim(now + ms(60_000)), None, "for a while");
}

// The list of upstreams.

#[test]
fn a_row_that_disappears_may_be_back_only_if_the_store_was_away() {
    struct Case {
        name: &'static str,
        store: StoreState,
        /// Answers of the store to this process, by the millisecond.
        answers: &'static [u64],
        excused: bool,
    }
    let start = Instant::now();
    let now = start + ms(10_000);
    let returned = |ago| StoreState::Returned(now - ms(ago));
    let often: &[u64] = &[7_000, 7_400, 7_800, 8_200, 8_600, 9_000, 9_400, 9_800];
    let cases = [
        Case { name: "the store answers", store: StoreState::Up, answers: &[], excused: false },
        Case { name: "it is away", store: StoreState::Away(start), answers: &[], excused: true },
        Case { name: "just back", store: returned(300), answers: &[9_700], excused: true },
        Case {
            name: "back for a while",
            store: returned(2_000),
            answers: &[8_000],
            excused: false,
        },
        Case {
            name: "away for one call between many answers",
            store: returned(300),
            answers: often,
            excused: false,
        },
        Case {
            name: "answers with a pause",
            store: returned(300),
            answers: &[7_000, 7_400, 7_800, 9_700],
            excused: true,
        },
    ];
    for case in cases {
        let mut board = Board::new(TrueClock::new(start, 0), start);
        board.store = case.store;
        case.answers.iter().for_each(|at| board.steadiness.note(true, start + ms(*at)));
        assert_eq!(board.lapse_ends(now).is_some(), case.excused, "{}", case.name);
    }
}

// Time.

#[test]
fn a_wrong_clock_takes_the_median_of_the_others() {
    struct Case {
        name: &'static str,
        others: &'static [i64],
        correction: i64,
    }
    let cases = [
        Case { name: "one voice does not count", others: &[5_000], correction: 0 },
        Case { name: "all agree with us", others: &[3, -4, 10], correction: 0 },
        Case { name: "we are behind", others: &[2_400, 2_401, 2_399], correction: 2_400 },
        Case { name: "one of the others is wrong", others: &[-7, 9_000, 4], correction: 0 },
    ];
    for case in cases {
        let now = Instant::now();
        let mut clock = TrueClock::new(now, 1_000_000);
        for (i, ahead) in case.others.iter().enumerate() {
            let time = (1_000_000 + ahead) as u64;
            clock.hear(&format!("p{i}"), time, now);
        }
        let moved = clock.unix_millis(now) as i64 - 1_000_000;
        assert!((moved - case.correction).abs() <= 2, "{}: moved by {moved}", case.name);
    }
}

// Choice of an upstream.

const IDLE: Candidate = Candidate {
    running: 0.0,
    pending_tokens: 0.0,
    slots: 64,
    missing_tokens: 1_000.0,
    slowness: 1.0,
    failures: 0.0,
    remote: false,
    chance: 0.0,
};

#[test]
fn the_upstream_with_the_shortest_predicted_wait_is_chosen() {
    struct Case {
        name: &'static str,
        candidates: Vec<Candidate>,
        best: Option<usize>,
    }
    let cases = [
        Case { name: "none", candidates: vec![], best: None },
        Case {
            name: "a cached prefix",
            candidates: vec![Candidate { missing_tokens: 17_000.0, ..IDLE }, IDLE],
            best: Some(1),
        },
        Case {
            name: "a cached prefix behind a long queue",
            candidates: vec![
                Candidate { missing_tokens: 17_000.0, ..IDLE },
                Candidate { pending_tokens: 90_000.0, ..IDLE },
            ],
            best: Some(0),
        },
        Case {
            name: "recent failures",
            candidates: vec![
                Candidate { failures: 2.0, ..IDLE },
                Candidate { running: 20.0, ..IDLE },
            ],
            best: Some(1),
        },
        Case {
            name: "all failing, one must do",
            candidates: vec![
                Candidate { failures: 3.0, ..IDLE },
                Candidate { failures: 2.0, ..IDLE },
            ],
            best: Some(1),
        },
        Case {
            name: "slots taken",
            candidates: vec![
                Candidate { running: 70.0, ..IDLE },
                Candidate { running: 40.0, ..IDLE },
            ],
            best: Some(1),
        },
        Case {
            name: "slow answers",
            candidates: vec![
                Candidate { slowness: 7.0, ..IDLE },
                Candidate { running: 9.0, ..IDLE },
            ],
            best: Some(1),
        },
        Case {
            name: "the own data centre",
            candidates: vec![Candidate { remote: true, ..IDLE }, IDLE],
            best: Some(1),
        },
    ];
    for case in cases {
        assert_eq!(choose_engine(&case.candidates, SPEED), case.best, "{}", case.name);
    }
}

proptest! {
    /// More load never makes the predicted wait shorter.
    #[test]
    fn the_predicted_wait_grows_with_load(
        running in 0.0..200.0f64, pending in 0.0..200_000.0f64, more in 0.0..50.0f64,
    ) {
        let c = Candidate { running, pending_tokens: pending, ..IDLE };
        let busier = Candidate { running: running + more, ..c };
        let queued = Candidate { pending_tokens: pending + more, ..c };
        prop_assert!(predicted_wait(&busier, SPEED) >= predicted_wait(&c, SPEED));
        prop_assert!(predicted_wait(&queued, SPEED) >= predicted_wait(&c, SPEED));
    }
}

#[test]
fn failures_age_and_successes_outweigh_them() {
    let now = Instant::now();
    let mut breaker = Breaker::new(now);
    (0..50).for_each(|_| breaker.record(Verdict::Failed, now));
    let many = breaker.recent_failures(now);
    assert!(many <= 8.0, "failures are bounded, so that recovery is seen: {many}");
    assert!(breaker.recent_failures(now + ms(8_000)) < many / 10.0);
    (0..12).for_each(|_| breaker.record(Verdict::Good, now));
    assert!(breaker.recent_failures(now) < 0.5);
}

#[test]
fn an_upstream_that_cannot_be_reached_is_avoided_for_a_while() {
    struct Case {
        name: &'static str,
        /// When it was tried and how that ended.
        tries: Vec<(u64, Verdict)>,
        at: u64,
        avoided: bool,
    }
    let unreachable = Verdict::Unreachable;
    let cases = [
        Case { name: "not tried", tries: vec![], at: 0, avoided: false },
        Case {
            name: "its answers failed",
            tries: vec![(0, Verdict::Failed)],
            at: 1,
            avoided: false,
        },
        Case { name: "out of reach", tries: vec![(0, unreachable)], at: 400, avoided: true },
        Case { name: "time to try again", tries: vec![(0, unreachable)], at: 600, avoided: false },
        Case {
            name: "many tries at once count once",
            tries: vec![(0, unreachable), (1, unreachable), (2, unreachable)],
            at: 600,
            avoided: false,
        },
        Case {
            name: "out of reach again, for longer",
            tries: vec![(0, unreachable), (600, unreachable)],
            at: 1_400,
            avoided: true,
        },
        Case {
            name: "reached since",
            tries: vec![(0, unreachable), (100, Verdict::Good)],
            at: 101,
            avoided: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut breaker = Breaker::new(now);
        case.tries.iter().for_each(|(at, verdict)| breaker.record(*verdict, now + ms(*at)));
        assert_eq!(breaker.is_avoided(now + ms(case.at)), case.avoided, "{}", case.name);
    }
}

#[test]
fn the_least_recently_used_prefix_yields() {
    let now = Instant::now();
    let mut cache = CacheBelief::default();
    let engine = "engine-1".to_owned();
    for (i, prefix) in [1u64, 2, 1, 3].into_iter().enumerate() {
        cache.note(&engine, prefix, 300, 1_000, now + ms(i as u64));
    }
    assert_eq!([1, 2, 3].map(|p| cache.holds(&engine, p)), [true, false, true]);
    assert!(!cache.holds(&"engine-2".to_owned(), 1));
    cache.retain(|_| false);
    assert!(!cache.holds(&engine, 1));
}

#[test]
fn who_begins_to_leave_is_a_last_resort_for_a_while() {
    let now = Instant::now();
    let upstream = |phase| Upstream {
        id: "i-1".to_owned(),
        service: "llm".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "a".to_owned(),
        phase,
        slots: 64,
        reclaimable: true,
        leaves_in: None,
    };
    let mut view = UpstreamView::new(upstream(UpstreamPhase::Ready), now);
    assert!(view.takes_work() && !view.is_last_resort(now));
    assert!(view.update(upstream(UpstreamPhase::Draining), now + ms(100)), "its phase changed");
    assert!(!view.update(upstream(UpstreamPhase::Draining), now + ms(900)), "told once more");
    assert!(!view.takes_work() && view.is_last_resort(now + ms(1_000)));
    assert!(!view.is_last_resort(now + ms(1_200)), "it may be gone soon");
    let known_late = UpstreamView::new(upstream(UpstreamPhase::Draining), now);
    assert!(!known_late.is_last_resort(now), "nobody knows since when it leaves");
}

// Capacity.

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
        /// Wishes, one each second; ten engines serve.
        wishes: &'static [u32],
        ordered: Option<u32>,
    }
    let case = |name, wishes, ordered| Case {
        name,
        reclaimable: false,
        dry: false,
        idle: false,
        wishes,
        ordered,
    };
    let cases = [
        case("more at once", &[12], Some(12)),
        case("enough", &[10, 10, 10, 10, 10, 10], None),
        case("fewer, not for long yet", &[6, 6, 6, 6], None),
        case("fewer for long", &[6, 6, 6, 6, 6], Some(6)),
        case("as many as were wished for meanwhile", &[6, 8, 3, 2, 2], Some(8)),
        case("a wave", &[6, 6, 10, 6, 6], None),
        Case { idle: true, ..case("no load", &[6], Some(6)) },
        Case { dry: true, ..case("nothing else to be had", &[6, 6, 6, 6, 6, 6], None) },
        Case {
            dry: true,
            reclaimable: true,
            ..case("never given back while there are no others", &[6; 20], None)
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut pace = OrderPace::new(10, now);
        let mut ordered = None;
        for (i, wished) in case.wishes.iter().enumerate() {
            let input = PaceInput {
                wished: *wished,
                serving: 10,
                reclaimable: case.reclaimable,
                dry: case.dry,
                idle: case.idle,
                boot: ms(4_000),
            };
            ordered = pace.next(&input, now + ms(1_000 * i as u64));
        }
        assert_eq!(ordered, case.ordered, "{}", case.name);
    }
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

// Streams.

proptest! {
    /// However a stream is cut into pieces, whole events come out, and the id
    /// is that of the last whole one.
    #[test]
    fn events_come_out_whole(count in 1usize..20, cuts in prop::collection::vec(0usize..400, 0..12)) {
        let text: String = (1..=count).map(|i| format!("id: {i}\ndata: token {i}\n\n")).collect();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|c| c % (text.len() + 1)).collect();
        cuts.extend([0, text.len()]);
        cuts.sort_unstable();
        let mut splitter = EventSplitter::default();
        let mut passed = String::new();
        for pair in cuts.windows(2) {
            let out = splitter.push(&text.as_bytes()[pair[0]..pair[1]]);
            let out = std::str::from_utf8(&out).expect("the text is ASCII");
            prop_assert!(out.is_empty() || out.ends_with("\n\n"), "{out:?}");
            passed.push_str(out);
            let last = passed.matches("id:").count();
            let id = splitter.last_id().map(|id| id.parse::<usize>().expect("a number"));
            prop_assert_eq!(id.unwrap_or(0), last);
        }
        prop_assert_eq!(passed, text);
    }
}

#[test]
fn an_incomplete_event_is_dropped_before_a_resume() {
    let mut splitter = EventSplitter::default();
    assert_eq!(&splitter.push(b"id: 1\ndata: a\n\nid: 2\nda")[..], b"id: 1\ndata: a\n\n");
    splitter.restart();
    assert_eq!(&splitter.push(b"id: 2\ndata: b\n\n")[..], b"id: 2\ndata: b\n\n");
    assert_eq!(splitter.last_id(), Some("2"));
    splitter.push(b"tail");
    assert_eq!(&splitter.rest()[..], b"tail");
}
