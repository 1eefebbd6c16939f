//! Quotas of customers over all processes: tables of cases and properties.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use tackhollow::gateway::{
    board::Board,
    decide::{PeerCorrectedClock, PeerTotal, QuotaLimiter, QuotaPolicy, QuotaShare},
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
fn a_process_starts_with_empty_buckets() {
    struct Case {
        name: &'static str,
        uptime: Duration,
        tokens: u64,
        admitted: bool,
    }
    let cases = [
        Case {
            name: "other processes not heard from yet",
            uptime: ms(450),
            tokens: 100,
            admitted: false,
        },
        Case { name: "just started", uptime: ms(0), tokens: 100, admitted: false },
        Case {
            name: "refilled enough for the request",
            uptime: ms(700),
            tokens: 100,
            admitted: true,
        },
        Case {
            name: "not refilled enough for a large request",
            uptime: ms(700),
            tokens: 500,
            admitted: false,
        },
        Case { name: "full after one minute", uptime: ms(60_000), tokens: 1_000, admitted: true },
        Case { name: "larger than the burst", uptime: ms(60_000), tokens: 5_000, admitted: true },
    ];
    let quota = Quota { rate: 1_000.0, burst: 1_000.0 };
    for case in cases {
        let started = Instant::now();
        let mut limiter = QuotaLimiter::new(started);
        let taken = limiter.take(&customer(), quota, case.tokens, ALONE, started + case.uptime);
        assert_eq!(taken.is_ok(), case.admitted, "{}", case.name);
    }
}

#[test]
fn a_process_continues_from_the_stored_levels() {
    struct Case {
        name: &'static str,
        stored: Option<f64>,
        older: bool,
        total: i64,
        admitted: bool,
    }
    let cases = [
        Case { name: "no stored level", stored: None, older: true, total: 0, admitted: false },
        Case {
            name: "a full bucket",
            stored: Some(1_000.0),
            older: true,
            total: 0,
            admitted: true,
        },
        Case { name: "a debt", stored: Some(-500.0), older: true, total: 0, admitted: false },
        Case {
            name: "the total of an older process is part of the stored level",
            stored: Some(1_000.0),
            older: true,
            total: 90_000,
            admitted: true,
        },
        Case {
            name: "the total of a new process is not",
            stored: Some(1_000.0),
            older: false,
            total: 900,
            admitted: false,
        },
    ];
    let quota = Quota { rate: 1_000.0, burst: 1_000.0 };
    for case in cases {
        let now = Instant::now();
        let customer = customer();
        let mut limiter = QuotaLimiter::new(now);
        let stored = case.stored.into_iter().map(|level| (customer.clone(), level));
        limiter.restore(&stored.collect(), now);
        let (older, total) = (case.older, case.total);
        let peer = PeerTotal { process: "p", older, customer: &customer, total };
        limiter.record_peer_total(peer, quota, now);
        let taken = limiter.take(&customer, quota, 600, ALONE, now + ms(20));
        assert_eq!(taken.is_ok(), case.admitted, "{}", case.name);
    }
}

/// A stored level must include the refill. The level used to lack the refill since this
/// process's own last request of the customer, so that a customer well within its quota was
/// stored with a debt.
#[test]
fn a_stored_level_includes_the_refill_while_only_others_admit() {
    let quota = Quota { rate: 1_000.0, burst: 1_000.0 };
    let now = Instant::now();
    let customer = customer();
    let mut limiter = QuotaLimiter::new(now);
    limiter.restore(&BTreeMap::from([(customer.clone(), 1_000.0)]), now);
    for tenth in 0..=20 {
        let (at, total) = (now + ms(100 * tenth as u64), 50 * tenth);
        let peer = PeerTotal { process: "p", older: true, customer: &customer, total };
        limiter.record_peer_total(peer, quota, at);
    }
    let level = limiter.levels(ALONE, now + ms(2_000))[&customer];
    assert!(level >= 900.0, "only half of the rate was used: {level}");
}

#[test]
fn admissions_of_a_silent_process_are_assumed_for_a_limited_time() {
    struct Case {
        name: &'static str,
        silent: Duration,
        admitted: bool,
    }
    let cases = [
        Case { name: "heard from just now", silent: ms(10), admitted: true },
        Case { name: "probably still admitting", silent: ms(1_000), admitted: false },
        Case {
            name: "ended, or cut off with its own fraction of the rate",
            silent: ms(2_000),
            admitted: true,
        },
    ];
    // A rate so low that nothing is refilled during the test.
    let quota = Quota { rate: 0.001, burst: 1_000.0 };
    for case in cases {
        let now = Instant::now();
        let customer = customer();
        let mut limiter = QuotaLimiter::new(now);
        limiter.restore(&BTreeMap::from([(customer.clone(), 1_000.0)]), now);
        for (after, total) in [(0, 0), (100, 200), (200, 400)] {
            let peer = PeerTotal { process: "p", older: true, customer: &customer, total };
            limiter.record_peer_total(peer, quota, now + ms(after));
        }
        let at = now + ms(200) + case.silent;
        let taken = limiter.take(&customer, quota, 500, ALONE, at);
        assert_eq!(taken.is_ok(), case.admitted, "{}", case.name);
    }
}

#[test]
fn tokens_of_a_request_that_did_not_run_are_returned() {
    let quota = Quota { rate: 10.0, burst: 100.0 };
    let now = Instant::now();
    let mut limiter = QuotaLimiter::new(now);
    let later = now + ms(60_000);
    limiter.take(&customer(), quota, 100, ALONE, later).expect("the bucket is full");
    limiter.take(&customer(), quota, 100, ALONE, later).expect_err("the bucket is empty");
    limiter.give_back(&customer(), 100, later);
    limiter.take(&customer(), quota, 100, ALONE, later).expect("the bucket is full again");
    assert_eq!(limiter.own_totals().next().map(|(_, total)| total), Some(100));
}

#[test]
fn a_partitioned_process_uses_only_its_fraction() {
    let quota = Quota { rate: 900.0, burst: 10.0 };
    let now = Instant::now();
    let partitioned = QuotaShare { heard: 1, members: 9 };
    let mut limiter = QuotaLimiter::new(now);
    let full = now + ms(60_000);
    limiter.take(&customer(), quota, 10, partitioned, full).expect("the bucket is full");
    let exceeded =
        limiter.take(&customer(), quota, 10, partitioned, full).expect_err("the bucket is empty");
    assert!(exceeded.wait >= ms(99), "one ninth of the rate refills: {exceeded:?}");
    assert_eq!(exceeded.share, partitioned, "the refusal names the share");
}

#[test]
fn processes_that_do_not_hear_from_each_other_share_a_burst() {
    struct Case {
        name: &'static str,
        stored: f64,
        heard: usize,
        tokens: u64,
        /// Requests that one process admits out of one hundred.
        admitted: usize,
    }
    let cases = [
        Case { name: "hears from no other", stored: 7_000.0, heard: 1, tokens: 50, admitted: 2 },
        Case { name: "hears from half", stored: 7_000.0, heard: 35, tokens: 50, admitted: 70 },
        Case { name: "hears from all", stored: 7_000.0, heard: 70, tokens: 50, admitted: 100 },
        Case { name: "empty bucket", stored: 0.0, heard: 1, tokens: 50, admitted: 0 },
        Case {
            name: "half full, hears from few",
            stored: 3_500.0,
            heard: 7,
            tokens: 50,
            admitted: 0,
        },
        Case {
            name: "request larger than its fraction",
            stored: 7_000.0,
            heard: 1,
            tokens: 500,
            admitted: 1,
        },
    ];
    // A rate so low that nothing is refilled during the test.
    let quota = Quota { rate: 0.001, burst: 7_000.0 };
    for case in cases {
        let now = Instant::now();
        let mut limiter = QuotaLimiter::new(now);
        limiter.restore(&BTreeMap::from([(customer(), case.stored)]), now);
        let share = QuotaShare { heard: case.heard, members: 70 };
        let takes = (0..100).map(|_| limiter.take(&customer(), quota, case.tokens, share, now));
        assert_eq!(takes.filter(Result::is_ok).count(), case.admitted, "{}", case.name);
    }
}

#[test]
fn the_operator_s_window_leaves_room_for_large_requests() {
    struct Case {
        name: &'static str,
        extra: f64,
        /// Times at which requests of one hundred tokens arrive, in milliseconds.
        requests: &'static [u64],
        admitted: usize,
    }
    let cases = [
        Case { name: "limited by the burst", extra: 0.0, requests: &[0, 0, 0], admitted: 1 },
        Case {
            name: "extra tokens for two more requests",
            extra: 200.0,
            requests: &[0, 0, 0, 0],
            admitted: 3,
        },
        Case {
            name: "limited by the window",
            extra: 2_000.0,
            requests: &[0, 0, 0, 0, 1_000, 2_000, 3_000, 4_000],
            admitted: 3,
        },
        Case {
            name: "admitted again after earlier requests leave the window",
            extra: 2_000.0,
            requests: &[0, 0, 0, 4_000, 9_000, 9_000, 9_000, 9_000],
            admitted: 6,
        },
    ];
    // 200 tokens in eight seconds, and a burst of 100.
    let quota = Quota { rate: 25.0, burst: 100.0 };
    for case in cases {
        let now = Instant::now();
        let mut limiter = QuotaLimiter::new(now);
        limiter.set_terms(QuotaPolicy { window: ms(8_000), extra: case.extra });
        limiter.restore(&BTreeMap::from([(customer(), 10_000.0)]), now);
        let takes = case.requests.iter().map(|at| {
            let at = now + ms(*at);
            limiter.take(&customer(), quota, 100, ALONE, at)
        });
        assert_eq!(takes.filter(Result::is_ok).count(), case.admitted, "{}", case.name);
    }
}

proptest! {
    /// Over every window, one process stays within rate and burst, whatever its bucket holds.
    #[test]
    fn every_window_stays_within_rate_and_burst(
        steps in prop::collection::vec((1u64..900, 1u64..300), 1..300),
        extra in 0.0..5_000.0f64,
    ) {
        let quota = Quota { rate: 100.0, burst: 300.0 };
        let now = Instant::now();
        let mut limiter = QuotaLimiter::new(now);
        limiter.set_terms(QuotaPolicy { window: ms(8_000), extra });
        limiter.restore(&BTreeMap::from([(customer(), 10_000.0)]), now);
        let mut at = 0;
        let mut admitted: Vec<(u64, u64)> = Vec::new();
        for (pause, tokens) in steps {
            at += pause;
            if limiter.take(&customer(), quota, tokens, ALONE, now + ms(at)).is_ok() {
                admitted.push((at, tokens));
            }
            let recent = admitted.iter().filter(|(t, _)| t + 8_000 > at);
            let sum: u64 = recent.map(|(_, tokens)| tokens).sum();
            prop_assert!(sum <= 1_100, "{sum} in the window");
        }
    }
}

#[test]
fn a_starting_process_counts_announced_hosts_it_has_not_heard_from() {
    struct Case {
        name: &'static str,
        uptime: Duration,
        announced: usize,
        members: usize,
    }
    let cases = [
        Case { name: "list not read yet", uptime: ms(100), announced: 0, members: 1 },
        Case { name: "just started", uptime: ms(100), announced: 70, members: 70 },
        Case {
            name: "all running processes have been heard from",
            uptime: ms(5_000),
            announced: 70,
            members: 1,
        },
    ];
    for case in cases {
        let started = Instant::now();
        let mut board = Board::new(PeerCorrectedClock::new(started, 0), started);
        board.announced_hosts = case.announced;
        let share = board.quota_share(started + case.uptime);
        assert_eq!(share, QuotaShare { heard: 1, members: case.members }, "{}", case.name);
    }
}

proptest! {
    /// However processes start, exchange totals and admit requests, together they stay within
    /// the rate, the burst and what they can admit between exchanges.
    #[test]
    fn all_processes_together_stay_within_the_quota(
        steps in prop::collection::vec((0usize..4, 1u64..400, any::<bool>()), 1..400),
    ) {
        let quota = Quota { rate: 2_000.0, burst: 2_000.0 };
        let share = QuotaShare { heard: 4, members: 4 };
        let start = Instant::now();
        let mut limiters: Vec<QuotaLimiter> = (0..4).map(|_| QuotaLimiter::new(start)).collect();
        let mut admitted = 0.0;
        let mut now = start;
        for (at, tokens, exchange) in steps {
            now += ms(20);
            if limiters[at].take(&customer(), quota, tokens, share, now).is_ok() {
                admitted += tokens as f64;
            }
            if exchange {
                let totals: Vec<i64> =
                    limiters.iter().map(|b| b.own_totals().map(|(_, t)| t).sum()).collect();
                for (i, limiter) in limiters.iter_mut().enumerate() {
                    for (j, total) in totals.iter().enumerate().filter(|(j, _)| *j != i) {
                        let (process, customer) = (format!("p{j}"), customer());
                        let peer = PeerTotal {
                            process: &process,
                            older: false,
                            customer: &customer,
                            total: *total,
                        };
                        limiter.record_peer_total(peer, quota, now);
                    }
                }
            }
            let elapsed = now.duration_since(start).as_secs_f64();
            // Each of the four processes may use a whole burst before the first exchange.
            let allowed = quota.rate * elapsed + 4.0 * quota.burst;
            prop_assert!(admitted <= allowed, "{admitted} admitted, {allowed} allowed");
        }
    }
}
