//! Promise: an accepted request completes after any announced reclaim.

mod support;

use std::{sync::Arc, thread, time::Duration};

use nix::sys::signal::Signal;
use proptest::prelude::*;
use serde_json::json;
use support::{
    cluster::{Cluster, Plan},
    drafts::{all_whole, start_drafts},
    wait_until,
};
use tackhollow::routing::{NoticeAction, NoticeInput, on_notice};

/// Drafts of one case.
const DRAFTS: usize = 8;
/// Tokens of a draft: more work than a notice of a host has time for.
const TOKENS: u32 = 600;
/// Notice that `SIGUSR1` gives.
const NOTICE: Duration = Duration::from_secs(5);

/// What happens while the drafts run.
struct Case {
    name: &'static str,
    happens: fn(&mut Cluster),
    /// Whether answers may have to begin anew: only where nothing announced
    /// the end.
    may_restart: bool,
}

const CASES: [Case; 8] = [
    Case {
        name: "engine, long notice",
        happens: |c| reclaim(c, "engine-0", 20_000),
        may_restart: false,
    },
    Case {
        name: "engine, short notice",
        happens: |c| reclaim(c, "engine-0", 700),
        may_restart: false,
    },
    Case { name: "entry host", happens: |c| reclaim_hosts(c, &[0]), may_restart: false },
    Case {
        name: "data centre with its entry hosts and engine",
        happens: |c| {
            reclaim(c, "bkk-bangna", 1_500);
            reclaim_hosts(c, &[0, 1]);
        },
        may_restart: false,
    },
    Case {
        name: "two entry hosts in a row",
        happens: |c| {
            c.entries[0].proc.signal(Signal::SIGUSR1);
            thread::sleep(Duration::from_millis(700));
            reclaim_hosts(c, &[2]);
            c.entries[0].proc.kill();
        },
        may_restart: false,
    },
    Case {
        name: "entry host that dies before it has handed over",
        happens: |c| {
            c.entries[0].proc.signal(Signal::SIGUSR1);
            thread::sleep(Duration::from_millis(100));
            c.entries[0].proc.kill();
        },
        may_restart: true,
    },
    Case {
        name: "engine and entry host, with the platform away",
        happens: |c| {
            c.platform_faults(json!({ "down": "hang", "cloud_down": true }));
            let addr = c.engines[0].proc.http();
            support::http::call("POST", addr, "/reclaim", &json!({ "in_ms": 800 }));
            reclaim_hosts(c, &[0]);
        },
        may_restart: false,
    },
    Case {
        name: "entry host, told by the cloud's list",
        happens: reclaim_by_list,
        may_restart: false,
    },
];

fn reclaim(cluster: &Cluster, target: &str, in_ms: u64) {
    cluster.control(
        &format!("/control/reclaim?target={target}&in_ms={in_ms}"),
        &serde_json::Value::Null,
    );
}

/// Lists an entry host with the cloud, and gives it notice there only.
fn reclaim_by_list(cluster: &mut Cluster) {
    let host = json!({
        "id": "entry-0", "role": "entry", "data_centre": "bkk-bangna", "class": "small",
        "addr": cluster.entries[0].proc.http(), "models": [], "slots": 1, "price": 0.1,
        "reclaimable": true, "state": "live",
    });
    cluster.control("/control/register", &json!([host]));
    reclaim(cluster, "entry-0", 7_000);
    thread::sleep(Duration::from_secs(7));
    cluster.entries[0].proc.kill();
}

/// Gives entry hosts notice, and takes them away at its end.
fn reclaim_hosts(cluster: &mut Cluster, entries: &[usize]) {
    entries.iter().for_each(|i| cluster.entries[*i].proc.signal(Signal::SIGUSR1));
    thread::sleep(NOTICE);
    entries.iter().for_each(|i| cluster.entries[*i].proc.kill());
}

fn run(case: &Case) {
    // Hands over 300 ms after the signal, which gives notice of 5 s.
    let limits = "entries_ttl_ms = 500\nhand_over_margin_ms = 4700\n".to_owned();
    let mut cluster = Cluster::start(Plan { limits, ..Plan::default() });
    let caller = Arc::new(cluster.caller());
    let drafts = start_drafts(&caller, case.name, DRAFTS, TOKENS);
    wait_until("every draft runs", || cluster.engine_runs() >= DRAFTS);
    (case.happens)(&mut cluster);
    let answers = all_whole(case.name, drafts);
    let restarts: u32 = answers.iter().map(|a| a.restarts).sum();
    assert!(case.may_restart || restarts == 0, "{}: {restarts} drafts began anew", case.name);
}

#[test]
fn engine_with_long_notice() {
    run(&CASES[0]);
}

#[test]
fn engine_with_short_notice() {
    run(&CASES[1]);
}

#[test]
fn entry_host() {
    run(&CASES[2]);
}

#[test]
fn data_centre() {
    run(&CASES[3]);
}

#[test]
fn two_in_a_row() {
    run(&CASES[4]);
}

#[test]
fn death_before_the_hand_over() {
    run(&CASES[5]);
}

#[test]
fn platform_away() {
    run(&CASES[6]);
}

#[test]
fn entry_host_told_by_the_list() {
    run(&CASES[7]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// What is chosen fits into the notice, and nothing cheaper would have.
    #[test]
    fn the_cheapest_action_that_fits(
        notice_ms in 0u64..60_000,
        remaining_tokens in 0u32..4_000,
        per_token_ms in 1u64..100,
        cache_tokens in 0u32..100_000,
        move_rate in prop_oneof![Just(0.0), 1_000.0..100_000.0f64],
        prefill_rate in 500.0..20_000.0f64,
    ) {
        let input = NoticeInput {
            notice: Duration::from_millis(notice_ms),
            remaining_tokens,
            per_token: Duration::from_millis(per_token_ms),
            cache_tokens,
            move_rate,
            prefill_rate,
        };
        let finish = input.per_token * remaining_tokens;
        let moving = f64::from(cache_tokens) / move_rate;
        match on_notice(&input) {
            NoticeAction::Finish => prop_assert!(finish <= input.notice),
            NoticeAction::MoveCache => {
                prop_assert!(finish > input.notice.mul_f64(0.8));
                prop_assert!(moving <= input.notice.as_secs_f64());
                prop_assert!(moving < f64::from(cache_tokens) / prefill_rate);
            }
            NoticeAction::Resume => prop_assert!(finish > input.notice.mul_f64(0.8)),
        }
    }
}
