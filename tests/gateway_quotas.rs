//! Quotas of customers over all processes: tables of cases and a property.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use tackhollow::gateway::{
    board::Board,
    decide::{PeerTotal, QuotaBook, QuotaShare, QuotaTerms, TrueClock},
    model::Quota,
};

const ALONE: QuotaShare = QuotaShare { heard: 1, members: 1 };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn customer() -> String {
    "temple-fairs".to_owned()
}

#[test]
fn a_process_starts_with_empty_quotas() {
    struct Case {
        name: &'static str,
        up: Duration,
        tokens: u64,
        admitted: bool,
    }
    let cases = [
        Case { name: "others not heard yet", up: ms(450), tokens: 100, admitted: false },
        Case { name: "just started", up: ms(0), tokens: 100, admitted: false },
        Case { name: "refilled for what is asked", up: ms(700), tokens: 100, admitted: true },
        Case { name: "not yet for a large one", up: ms(700), tokens: 500, admitted: false },
        Case { name: "full after a while", up: ms(60_000), tokens: 1_000, admitted: true },
        Case { name: "larger than the burst", up: ms(60_000), tokens: 5_000, admitted: true },
    ];
    let quota = Quota { rate: 1_000.0, burst: 1_000.0 };
    for case in cases {
        let started = Instant::now();
        let mut book = QuotaBook::new(started);
        let taken = book.take(&customer(), quota, case.tokens, ALONE, started + case.up);
        assert_eq!(taken.is_ok(), case.admitted, "{}", case.name);
    }
}

#[test]
fn a_process_goes_on_from_the_levels_that_were_kept() {
    struct Case {
        name: &'static str,
        kept: Option<f64>,
        older: bool,
        total: i64,
        admitted: bool,
    }
    let cases = [
        Case { name: "nothing kept", kept: None, older: true, total: 0, admitted: false },
        Case { name: "a full bucket", kept: Some(1_000.0), older: true, total: 0, admitted: true },
        Case { name: "a debt", kept: Some(-500.0), older: true, total: 0, admitted: false },
        Case {
            name: "an older process's past is in the kept level",
            kept: Some(1_000.0),
            older: true,
            total: 90_000,
            admitted: true,
        },
        Case {
            name: "what a new one admitted is not",
            kept: Some(1_000.0),
            older: false,
            total: 900,
            admitted: false,
        },
    ];
    let quota = Quota { rate: 1_000.0, burst: 1_000.0 };
    for case in cases {
        let now = Instant::now();
        let customer = customer();
        let mut book = QuotaBook::new(now);
        let kept = case.kept.into_iter().map(|level| (customer.clone(), level));
        book.restore(&kept.collect(), now);
        let (older, total) = (case.older, case.total);
        let peer = PeerTotal { process: "p", older, customer: &customer, total };
        book.hear(peer, quota, now);
        let taken = book.take(&customer, quota, 600, ALONE, now + ms(20));
        assert_eq!(taken.is_ok(), case.admitted, "{}", case.name);
    }
}

/// Before, a level that was kept lacked the refill since this process's own last
/// request of the customer.
#[test]
fn a_level_is_kept_with_its_refill_while_only_others_admit() {
    let quota = Quota { rate: 1_000.0, burst: 1_000.0 };
    let now = Instant::now();
    let customer = customer();
    let mut book = QuotaBook::new(now);
    book.restore(&BTreeMap::from([(customer.clone(), 1_000.0)]), now);
    for tenth in 0..=20 {
        let (at, total) = (now + ms(100 * tenth as u64), 50 * tenth);
        let peer = PeerTotal { process: "p", older: true, customer: &customer, total };
        book.hear(peer, quota, at);
    }
    let level = book.levels(ALONE, now + ms(2_000))[&customer];
    assert!(level >= 900.0, "half of the rate was used: {level}");
}

#[test]
fn what_a_silent_process_admits_is_assumed_for_a_while_only() {
    struct Case {
        name: &'static str,
        silent: Duration,
        admitted: bool,
    }
    let cases = [
        Case { name: "just heard", silent: ms(10), admitted: true },
        Case { name: "likely going on", silent: ms(1_000), admitted: false },
        Case {
            name: "gone, or cut off with its own part of the rate",
            silent: ms(2_000),
            admitted: true,
        },
    ];
    // A rate so low that nothing refills in the meantime.
    let quota = Quota { rate: 0.001, burst: 1_000.0 };
    for case in cases {
        let now = Instant::now();
        let customer = customer();
        let mut book = QuotaBook::new(now);
        book.restore(&BTreeMap::from([(customer.clone(), 1_000.0)]), now);
        for (after, total) in [(0, 0), (100, 200), (200, 400)] {
            let peer = PeerTotal { process: "p", older: true, customer: &customer, total };
            book.hear(peer, quota, now + ms(after));
        }
        let at = now + ms(200) + case.silent;
        let taken = book.take(&customer, quota, 500, ALONE, at);
        assert_eq!(taken.is_ok(), case.admitted, "{}", case.name);
    }
}

#[test]
fn what_did_not_run_is_given_back() {
    let quota = Quota { rate: 10.0, burst: 100.0 };
    let now = Instant::now();
    let mut book = QuotaBook::new(now);
    let later = now + ms(60_000);
    book.take(&customer(), quota, 100, ALONE, later).expect("the bucket is full");
    book.take(&customer(), quota, 100, ALONE, later).expect_err("the bucket is empty");
    book.give_back(&customer(), 100, later);
    book.take(&customer(), quota, 100, ALONE, later).expect("it is full again");
    assert_eq!(book.own_totals().next().map(|(_, total)| total), Some(100));
}

#[test]
fn a_cut_off_process_counts_on_its_part_only() {
    let quota = Quota { rate: 900.0, burst: 10.0 };
    let now = Instant::now();
    let cut_off = QuotaShare { heard: 1, members: 9 };
    let mut book = QuotaBook::new(now);
    let full = now + ms(60_000);
    book.take(&customer(), quota, 10, cut_off, full).expect("the bucket is full");
    let used_up = book.take(&customer(), quota, 10, cut_off, full).expect_err("it is empty");
    assert!(used_up.wait >= ms(99), "a ninth of the rate refills in {used_up:?}");
    assert_eq!(used_up.share, cut_off, "the refusal says what it rests on");
}

#[test]
fn processes_that_do_not_hear_each_other_share_a_burst() {
    struct Case {
        name: &'static str,
        kept: f64,
        heard: usize,
        tokens: u64,
        /// Requests that one process admits out of a hundred.
        admitted: usize,
    }
    let cases = [
        Case { name: "hears nobody", kept: 7_000.0, heard: 1, tokens: 50, admitted: 2 },
        Case { name: "hears half", kept: 7_000.0, heard: 35, tokens: 50, admitted: 70 },
        Case { name: "hears all", kept: 7_000.0, heard: 70, tokens: 50, admitted: 100 },
        Case { name: "nothing left", kept: 0.0, heard: 1, tokens: 50, admitted: 0 },
        Case { name: "half left, hears few", kept: 3_500.0, heard: 7, tokens: 50, admitted: 0 },
        Case { name: "larger than its part", kept: 7_000.0, heard: 1, tokens: 500, admitted: 1 },
    ];
    // A rate so low that nothing refills in the meantime.
    let quota = Quota { rate: 0.001, burst: 7_000.0 };
    for case in cases {
        let now = Instant::now();
        let mut book = QuotaBook::new(now);
        book.restore(&BTreeMap::from([(customer(), case.kept)]), now);
        let share = QuotaShare { heard: case.heard, members: 70 };
        let takes = (0..100).map(|_| book.take(&customer(), quota, case.tokens, share, now));
        assert_eq!(takes.filter(Result::is_ok).count(), case.admitted, "{}", case.name);
    }
}

#[test]
fn the_operator_s_window_leaves_room_for_large_requests() {
    struct Case {
        name: &'static str,
        extra: f64,
        /// Requests of a hundred tokens, by the millisecond in which they come.
        requests: &'static [u64],
        admitted: usize,
    }
    let cases = [
        Case { name: "no more than the burst", extra: 0.0, requests: &[0, 0, 0], admitted: 1 },
        Case { name: "two more at once", extra: 200.0, requests: &[0, 0, 0, 0], admitted: 3 },
        Case {
            name: "no more than the window allows",
            extra: 2_000.0,
            requests: &[0, 0, 0, 0, 1_000, 2_000, 3_000, 4_000],
            admitted: 3,
        },
        Case {
            name: "again once they have left the window",
            extra: 2_000.0,
            requests: &[0, 0, 0, 4_000, 9_000, 9_000, 9_000, 9_000],
            admitted: 6,
        },
    ];
    // In eight seconds 200 tokens and a burst of 100.
    let quota = Quota { rate: 25.0, burst: 100.0 };
    for case in cases {
        let now = Instant::now();
        let mut book = QuotaBook::new(now);
        book.set_terms(QuotaTerms { window: ms(8_000), extra: case.extra });
        book.restore(&BTreeMap::from([(customer(), 10_000.0)]), now);
        let takes = case.requests.iter().map(|at| {
            let at = now + ms(*at);
            book.take(&customer(), quota, 100, ALONE, at)
        });
        assert_eq!(takes.filter(Result::is_ok).count(), case.admitted, "{}", case.name);
    }
}

proptest! {
    /// Over every window one process keeps rate and burst, whatever it holds.
    #[test]
    fn a_window_never_sees_more_than_rate_and_burst(
        steps in prop::collection::vec((1u64..900, 1u64..300), 1..300),
        extra in 0.0..5_000.0f64,
    ) {
        let quota = Quota { rate: 100.0, burst: 300.0 };
        let now = Instant::now();
        let mut book = QuotaBook::new(now);
        book.set_terms(QuotaTerms { window: ms(8_000), extra });
        book.restore(&BTreeMap::from([(customer(), 10_000.0)]), now);
        let mut at = 0;
        let mut admitted: Vec<(u64, u64)> = Vec::new();
        for (pause, tokens) in steps {
            at += pause;
            if book.take(&customer(), quota, tokens, ALONE, now + ms(at)).is_ok() {
                admitted.push((at, tokens));
            }
            let recent = admitted.iter().filter(|(t, _)| t + 8_000 > at);
            let sum: u64 = recent.map(|(_, tokens)| tokens).sum();
            prop_assert!(sum <= 1_100, "{sum} in the window");
        }
    }
}

#[test]
fn a_process_that_starts_counts_hosts_that_it_has_not_heard() {
    struct Case {
        name: &'static str,
        up: Duration,
        announced: usize,
        members: usize,
    }
    let cases = [
        Case { name: "the list was not read", up: ms(100), announced: 0, members: 1 },
        Case { name: "just started", up: ms(100), announced: 70, members: 70 },
        Case { name: "who is there was heard by now", up: ms(5_000), announced: 70, members: 1 },
    ];
    for case in cases {
        let started = Instant::now();
        let mut board = Board::new(TrueClock::new(started, 0), started);
        board.announced = case.announced;
        let share = board.quota_share(started + case.up);
        assert_eq!(share, QuotaShare { heard: 1, members: case.members }, "{}", case.name);
    }
}

proptest! {
    /// However processes start, exchange totals and admit, all together stay
    /// within the rate, the burst and what they can admit between exchanges.
    #[test]
    fn the_sum_of_all_processes_keeps_the_quota(
        steps in prop::collection::vec((0usize..4, 1u64..400, any::<bool>()), 1..400),
    ) {
        let quota = Quota { rate: 2_000.0, burst: 2_000.0 };
        let share = QuotaShare { heard: 4, members: 4 };
        let start = Instant::now();
        let mut books: Vec<QuotaBook> = (0..4).map(|_| QuotaBook::new(start)).collect();
        let mut admitted = 0.0;
        let mut now = start;
        for (at, tokens, exchange) in steps {
            now += ms(20);
            if books[at].take(&customer(), quota, tokens, share, now).is_ok() {
                admitted += tokens as f64;
            }
            if exchange {
                let totals: Vec<i64> =
                    books.iter().map(|b| b.own_totals().map(|(_, t)| t).sum()).collect();
                for (i, book) in books.iter_mut().enumerate() {
                    for (j, total) in totals.iter().enumerate().filter(|(j, _)| *j != i) {
                        let (process, customer) = (format!("p{j}"), customer());
                        let peer = PeerTotal {
                            process: &process,
                            older: false,
                            customer: &customer,
                            total: *total,
                        };
                        book.hear(peer, quota, now);
                    }
                }
            }
            let elapsed = now.duration_since(start).as_secs_f64();
            // Four processes may each use a whole burst before the first exchange.
            let allowed = quota.rate * elapsed + 4.0 * quota.burst;
            prop_assert!(admitted <= allowed, "{admitted} admitted, {allowed} allowed");
        }
    }
}
