//! Decisions of the gateway on retries, usage, the list of upstreams, time and streams: tables
//! of cases and properties.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use tackhollow::gateway::{
    board::{Board, StoreState},
    decide::{
        CapacityRecord, DurableState, OrderKey, OrderReport, PeerCorrectedClock, QuotaLimiter,
        Removal, RetryPolicy, ServiceRetryBudgets, SyncPoint, UsageCounters, heartbeats_per_report,
    },
    request::EventSplitter,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn customer() -> String {
    "temple-fairs".to_owned()
}

// Retries.

#[test]
fn retries_stay_within_the_budget() {
    struct Case {
        name: &'static str,
        requests: usize,
        processes: usize,
        most: usize,
    }
    let cases = [
        Case { name: "no request", requests: 0, processes: 1, most: 58 },
        Case { name: "one hundred requests", requests: 100, processes: 1, most: 78 },
        Case { name: "the surplus is shared", requests: 0, processes: 9, most: 6 },
        Case { name: "many processes", requests: 100, processes: 300, most: 20 },
    ];
    let terms = RetryPolicy { ratio: 0.2, surplus: 58.0, window: ms(10_000) };
    let service = "llm".to_owned();
    for case in cases {
        let now = Instant::now();
        let mut budget = ServiceRetryBudgets::default();
        for _ in 0..case.requests {
            budget.request(&service, terms, now);
        }
        let taken =
            (0..1_000).filter(|_| budget.take(&service, terms, case.processes, now)).count();
        assert!(taken <= case.most, "{}: {taken} taken", case.name);
        let later = now + ms(10_001);
        let again =
            (0..1_000).filter(|_| budget.take(&service, terms, case.processes, later)).count();
        assert!(again <= case.most, "{}: {again} taken in the next window", case.name);
    }
}

// Usage.

#[test]
fn usage_sums_all_processes_and_ignores_outdated_messages() {
    let mut usage = UsageCounters::default();
    usage.count("a", 7, &customer());
    usage.count("a", 7, &customer());
    let of_b = |n: u64| BTreeMap::from([(customer(), n)]);
    usage.merge_counts("b", 7, &of_b(5));
    usage.merge_counts("b", 7, &of_b(3));
    assert_eq!(usage.total(7), of_b(7));
    assert_eq!(usage.process_windows("a"), vec![(7, of_b(2))]);
    usage.open_window("a", 9);
    assert_eq!(usage.windows_before(9), vec![7]);
    usage.open_window("a", 100);
    assert_eq!(usage.total(7), BTreeMap::new(), "old windows are dropped");
    usage.merge_counts("b", 7, &of_b(5));
    assert_eq!(
        usage.windows_before(100),
        Vec::<u64>::new(),
        "outdated messages do not restore them"
    );
}

#[test]
fn the_lease_holder_receives_at_most_twice_the_messages_of_other_processes() {
    struct Case {
        processes: usize,
        every: u32,
    }
    let cases = [
        Case { processes: 1, every: 1 },
        Case { processes: 9, every: 1 },
        Case { processes: 24, every: 1 },
        Case { processes: 77, every: 4 },
        Case { processes: 91, every: 4 },
        // Several reports must arrive before a window is reported.
        Case { processes: 1_500, every: 8 },
    ];
    for case in cases {
        assert_eq!(heartbeats_per_report(case.processes, 24), case.every, "{}", case.processes);
    }
}

#[test]
fn restored_usage_that_is_reported_again_counts_once() {
    let now = Instant::now();
    let mut before = UsageCounters::default();
    before.count("holder", 7, &customer());
    before.merge_counts("alive", 7, &BTreeMap::from([(customer(), 5), ("kitchens".to_owned(), 2)]));
    before.merge_counts("ended", 6, &BTreeMap::from([(customer(), 4)]));
    let (service, data_centre) = ("chat".to_owned(), "a".to_owned());
    let key = OrderKey { service, data_centre, reclaimable: true };
    let order = OrderReport { key, count: 4, refused: true, age_ms: 900 };
    let needs = BTreeMap::from([("chat".to_owned(), 7.5)]);
    let capacity = CapacityRecord { needs, orders: vec![order] };
    let kept = DurableState::of(BTreeMap::new(), &before, capacity.clone());
    let mut after = UsageCounters::default();
    after.merge_counts("alive", 7, &BTreeMap::from([(customer(), 3)]));
    assert_eq!(kept.restore(&mut QuotaLimiter::new(now), &mut after, false, now), capacity);
    after.merge_counts("alive", 7, &BTreeMap::from([(customer(), 6)]));
    let seven = BTreeMap::from([(customer(), 7), ("kitchens".to_owned(), 2)]);
    assert_eq!(after.total(7), seven, "each process counts once, with its largest count");
    assert_eq!(after.total(6), BTreeMap::from([(customer(), 4)]));
}

proptest! {
    /// The sum does not depend on the order in which counts arrive or on duplicates.
    #[test]
    fn usage_does_not_depend_on_the_order_of_messages(
        messages in prop::collection::vec((0usize..5, 1u64..50), 1..40),
    ) {
        let mut forward = UsageCounters::default();
        let mut reversed = UsageCounters::default();
        let merge = |usage: &mut UsageCounters, (at, n): &(usize, u64)| {
            usage.merge_counts(&format!("p{at}"), 3, &BTreeMap::from([(customer(), *n)]));
        };
        messages.iter().for_each(|m| merge(&mut forward, m));
        messages.iter().rev().chain(&messages).for_each(|m| merge(&mut reversed, m));
        prop_assert_eq!(forward.total(3), reversed.total(3));
    }
}

// The list of upstreams.

#[test]
fn a_missing_row_is_excused_only_if_the_store_was_away() {
    struct Case {
        name: &'static str,
        store: StoreState,
        /// Times at which the store answered this process, in milliseconds.
        answers: &'static [u64],
        excused: bool,
    }
    let start = Instant::now();
    let now = start + ms(10_000);
    let returned = |ago| StoreState::RecoveredSince(now - ms(ago));
    let often: &[u64] = &[7_000, 7_400, 7_800, 8_200, 8_600, 9_000, 9_400, 9_800];
    let cases = [
        Case { name: "the store answers", store: StoreState::Up, answers: &[], excused: false },
        Case {
            name: "the store is away",
            store: StoreState::OutageSince(start),
            answers: &[],
            excused: true,
        },
        Case {
            name: "the store has just returned",
            store: returned(300),
            answers: &[9_700],
            excused: true,
        },
        Case {
            name: "the store returned some time ago",
            store: returned(2_000),
            answers: &[8_000],
            excused: false,
        },
        Case {
            name: "one failed call among many answers",
            store: returned(300),
            answers: often,
            excused: false,
        },
        Case {
            name: "answers with a gap",
            store: returned(300),
            answers: &[7_000, 7_400, 7_800, 9_700],
            excused: true,
        },
    ];
    for case in cases {
        let mut board = Board::new(PeerCorrectedClock::new(start, 0), start);
        board.store = case.store;
        case.answers.iter().for_each(|at| board.steadiness.note(true, start + ms(*at)));
        assert_eq!(board.removal(7, 0, now).is_some(), case.excused, "{}", case.name);
    }
}

/// Rows that expire while the store is away must be excused even if the list of upstreams is
/// read late. When another call finds the store back before the list is read, the missing rows
/// appear later than the first 0.7 s after the return, and were treated as removed.
#[test]
fn an_expired_row_is_excused_however_late_the_list_is_read() {
    struct Case {
        name: &'static str,
        /// How long ago the list was last known to be up to date, in milliseconds.
        seen_ago: u64,
        excused: bool,
    }
    let cases = [
        Case { name: "before the outage", seen_ago: 9_000, excused: true },
        Case { name: "just before the return", seen_ago: 1_010, excused: true },
        Case { name: "after the return", seen_ago: 500, excused: false },
    ];
    let start = Instant::now();
    let now = start + ms(10_000);
    for case in cases {
        let mut board = Board::new(PeerCorrectedClock::new(start, 0), start);
        board.store = StoreState::RecoveredSince(now - ms(1_000));
        board.store_clock.note(60_000, now);
        board.upstreams_knowledge = Some(SyncPoint { position: 1, as_of: 60_000 - case.seen_ago });
        let until = board.removal(2, 60_000, now).map(Removal::grace_period_end);
        assert_eq!(until.is_some(), case.excused, "{}", case.name);
        assert!(
            until.is_none_or(|t| t <= 61_000),
            "{}: the grace period starts at the return",
            case.name
        );
    }
}

// Time.

#[test]
fn a_wrong_clock_is_corrected_to_the_median() {
    struct Case {
        name: &'static str,
        others: &'static [i64],
        correction: i64,
    }
    let cases = [
        Case { name: "one peer is not enough", others: &[5_000], correction: 0 },
        Case { name: "all peers agree with this process", others: &[3, -4, 10], correction: 0 },
        Case { name: "this process is behind", others: &[2_400, 2_401, 2_399], correction: 2_400 },
        Case { name: "one peer is wrong", others: &[-7, 9_000, 4], correction: 0 },
    ];
    for case in cases {
        let now = Instant::now();
        let mut clock = PeerCorrectedClock::new(now, 1_000_000);
        for (i, ahead) in case.others.iter().enumerate() {
            let time = (1_000_000 + ahead) as u64;
            clock.record_peer_time(&format!("p{i}"), time, now);
        }
        let correction = clock.unix_millis(now) as i64 - 1_000_000;
        assert!(
            (correction - case.correction).abs() <= 2,
            "{}: corrected by {correction}",
            case.name
        );
    }
}

// Streams.

proptest! {
    /// Only whole events are passed on, however the stream is split, and the last id is that of
    /// the last whole event.
    #[test]
    fn only_whole_events_are_passed_on(
        count in 1usize..20,
        end in prop::sample::select(vec!["\n", "\r\n", "\r"]),
        cuts in prop::collection::vec(0usize..400, 0..12),
    ) {
        let event = |i| format!("id: {i}{end}data: token {i}{end}{end}");
        let text: String = (1..=count).map(event).collect();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|c| c % (text.len() + 1)).collect();
        cuts.extend([0, text.len()]);
        cuts.sort_unstable();
        let mut splitter = EventSplitter::default();
        let mut passed = String::new();
        for pair in cuts.windows(2) {
            let out = splitter.push(&text.as_bytes()[pair[0]..pair[1]]);
            let out = std::str::from_utf8(&out).expect("the text is ASCII");
            // A line end of two bytes may be split.
            let ends = [end.repeat(2), format!("{end}\r"), "\n".to_owned()];
            prop_assert!(out.is_empty() || ends.iter().any(|e| out.ends_with(e)), "{out:?}");
            passed.push_str(out);
            let last = passed.matches("id:").count();
            let id = splitter.last_id().map(|id| id.parse::<usize>().expect("a number"));
            prop_assert_eq!(id.unwrap_or(0), last);
            prop_assert!(splitter.is_resumable());
        }
        prop_assert!(!splitter.is_inside_event());
        prop_assert_eq!(passed, text);
    }
}

#[test]
fn a_stream_goes_on_only_after_events_with_an_id_that_a_header_carries() {
    struct Case {
        events: &'static [u8],
        last_id: Option<&'static str>,
        is_resumable: bool,
    }
    let case = |events, last_id, is_resumable| Case { events, last_id, is_resumable };
    let cases = [
        case(b"", None, true),
        case(b": comment\n\n", None, true),
        case(b"id: 1\ndata: a\n\n", Some("1"), true),
        case(b"data: a\nid: 1\n\n", Some("1"), true),
        case(b"id: 1\r\ndata: a\r\n\r\n: comment\r\n\r\n", Some("1"), true),
        case(b"id: 1\rdata: a\r\rid: 2\rdata: b\r\r", Some("2"), true),
        case(b"data: a\n\n", None, false),
        case(b"id:\ndata: a\n\n", None, false),
        case(b"id: 1\0\ndata: a\n\n", None, false),
        case(b"id: 1\x01\r\ndata: a\r\n\r\n", None, false),
        case(b"id: 1\xff\ndata: a\n\n", None, false),
        case(b"id: 1\ndata: a\n\ndata: b\n\n", Some("1"), false),
        case(b"id: 1\ndata: a\n\nid: 2\x7f\ndata: b\n\n", Some("1"), false),
        case(b"data: a\n\nid: 2\ndata: b\n\n", Some("2"), true),
    ];
    for case in cases {
        let text = String::from_utf8_lossy(case.events);
        let mut splitter = EventSplitter::default();
        assert_eq!(&splitter.push(case.events)[..], case.events, "{text:?}");
        let found = (splitter.last_id(), splitter.is_resumable());
        assert_eq!(found, (case.last_id, case.is_resumable), "{text:?}");
    }
}

#[test]
fn an_incomplete_event_is_dropped_before_a_resume() {
    let mut splitter = EventSplitter::default();
    assert_eq!(&splitter.push(b"id: 1\ndata: a\n\nid: 2\nda")[..], b"id: 1\ndata: a\n\n");
    splitter.restart();
    assert_eq!(&splitter.push(b"id: 2\ndata: b\n\n")[..], b"id: 2\ndata: b\n\n");
    assert_eq!(splitter.last_id(), Some("2"));
    assert!(!splitter.is_inside_event());
    assert!(splitter.push(b"tail").is_empty());
    assert!(splitter.is_inside_event());
}
