//! Usage reports: a request counts if an upstream began it, however it ended.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use nix::sys::signal::Signal;
use serde_json::Value;
use support::{
    gateways::{Call, GatewayProc, Site},
    wait_until, wait_until_for,
};
use tackhollow::gateway::decide::{heartbeats_per_report, wait_after_takeover};

/// Number of requests sent in each case.
const REQUESTS: u64 = 6;

/// Returns a customer's requests over all reports, each window counted once.
fn reported(site: &Site, customer: &str) -> u64 {
    let reports = site.duties("/usage");
    let mut windows = std::collections::BTreeMap::new();
    for body in reports.iter().map(|r| &r["body"]) {
        windows.insert(body["windowNumber"].as_u64(), body["counts"][customer].as_u64());
    }
    windows.values().map(|count| count.unwrap_or_default()).sum()
}

/// A kind of request ending, and the number of requests that count.
struct Case {
    name: &'static str,
    call: fn(&str) -> Call,
    behaviour: &'static str,
    counted: u64,
}

fn confirm(id: &str) -> Call {
    Call::new("POST", "/confirm/x", id)
}

fn check(id: &str) -> Call {
    Call::new("GET", "/check/x", id)
}

fn plan(id: &str) -> Call {
    Call::stream("/plan/x", id, 4)
}

fn run_cases(cases: &[Case]) {
    for case in cases {
        let site = Site::start(1, 1, 2);
        site.behave(None, case.behaviour);
        for n in 0..REQUESTS {
            let call = (case.call)(&format!("r-{n}"));
            drop(call.send(site.gateways[0].callers));
        }
        // By then the windows of these requests have been reported.
        let settled = site.duties("/usage").len() + 5;
        wait_until("the windows are reported", || site.duties("/usage").len() >= settled);
        assert_eq!(reported(&site, "temple"), case.counted, "{}", case.name);
        let runs: Vec<Value> = site.seen()["runs"].as_array().cloned().unwrap_or_default();
        assert!(case.counted == 0 || runs.len() as u64 >= REQUESTS, "{}", case.name);
    }
}

#[test]
fn a_request_with_an_answer_counts_once() {
    run_cases(&[
        Case { name: "served", call: confirm, behaviour: "serve", counted: REQUESTS },
        Case { name: "failed", call: confirm, behaviour: "fail", counted: REQUESTS },
    ]);
}

#[test]
fn a_request_with_a_lost_answer_counts_once() {
    run_cases(&[
        Case { name: "lost", call: confirm, behaviour: "lose", counted: REQUESTS },
        Case { name: "lost twice", call: check, behaviour: "lose", counted: REQUESTS },
    ]);
}

#[test]
fn a_request_that_is_cut_off_counts_once() {
    run_cases(&[
        Case {
            name: "answer of another request",
            call: confirm,
            behaviour: "crossed",
            counted: REQUESTS,
        },
        Case {
            name: "broken off midway",
            call: plan,
            behaviour: "break_midway",
            counted: REQUESTS,
        },
    ]);
}

#[test]
fn a_request_that_did_not_run_does_not_count() {
    run_cases(&[Case { name: "not run", call: confirm, behaviour: "full", counted: 0 }]);
}

/// Tolerated deviation of a report, as a share of the requests.
const TOLERANCE: f64 = 0.05;

/// Windows must be complete when the lease changes hands: the first report of a window is
/// final, so a new holder must have received the counts of all processes before it reports.
#[test]
fn windows_are_complete_whichever_process_reports_them() {
    let mut site = Site::start(12, 1, 2);
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<SocketAddr> = site.gateways.iter().map(|g| g.callers).collect();
    let call_all = |to: SocketAddr| {
        let stop = stop.clone();
        thread::spawn(move || {
            let mut n = 0;
            while !stop.load(Ordering::Relaxed) {
                n += 1;
                drop(confirm(&format!("{to}-{n}")).send(to));
                thread::sleep(Duration::from_millis(20));
            }
        })
    };
    let threads: Vec<_> = callers.iter().copied().map(call_all).collect();
    for _ in 0..5 {
        thread::sleep(Duration::from_millis(1_300));
        let holder = site.gateways.iter_mut().max_by_key(|g| fence(g)).expect("a holder");
        holder.signal(Signal::SIGTERM);
        holder.wait();
        holder.restart();
    }
    stop.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|t| t.join().expect("caller thread"));
    let settled = site.duties("/usage").len() + 8;
    wait_until("the windows are reported", || site.duties("/usage").len() >= settled);
    let started_requests = site.seen()["runs"].as_array().map_or(0, Vec::len) as f64;
    let reported_requests = reported(&site, "temple") as f64;
    assert!(
        (started_requests - reported_requests).abs() <= TOLERANCE * started_requests,
        "{reported_requests} reported of {started_requests} started"
    );
}

/// Returns the newest fencing token under which a gateway has held the lease.
fn fence(gateway: &GatewayProc) -> u64 {
    let log = gateway.log();
    let acquired = log.iter().filter(|l| l["event"] == "lease" && l["state"] == "acquired");
    acquired.filter_map(|l| l["fence"].as_u64()).max().unwrap_or_default()
}

/// A new holder must have received the counts of all processes after its waiting time, for any
/// number of gateways. Processes report every few heartbeats, one report in fifty is lost, and
/// processes learn of the new holder some time after the takeover.
#[test]
fn a_new_holder_waits_for_the_counts_of_all_processes() {
    const PERIOD: Duration = Duration::from_millis(150);
    const FAN_OUT: usize = 24;
    const HOLDER_DISCOVERY_MS: u64 = 600;
    const REPORTS_PER_LOSS: u32 = 50;
    let mut rng = fastrand::Rng::with_seed(7);
    for gateways in [7, 77, 195, 300] {
        let period = PERIOD.as_millis() as u64;
        let interval = period * u64::from(heartbeats_per_report(gateways, FAN_OUT));
        let waits = wait_after_takeover(gateways, FAN_OUT, PERIOD).as_millis() as u64;
        let mut received = 0;
        for _ in 1..gateways {
            let knows_holder = rng.u64(..HOLDER_DISCOVERY_MS);
            let mut report = knows_holder + rng.u64(..interval);
            while report <= waits && rng.u32(..REPORTS_PER_LOSS) == 0 {
                report += interval;
            }
            received += usize::from(report <= waits);
        }
        let share = received as f64 / (gateways - 1) as f64;
        assert!(share >= 1.0 - TOLERANCE, "{gateways} gateways: share {share} received");
        // Reports are due ten seconds after a window ends, and settle within four.
        assert!(waits <= 4_000, "{gateways} gateways: {waits} ms");
    }
}

/// Guards against rows of reported windows that pile up, of which every start reads all.
#[test]
fn rows_of_reported_windows_are_removed() {
    /// Windows of the test, of one second each; more than are kept.
    const WINDOWS: usize = 56;
    /// Rows that are kept, and those that wait for their removal.
    const MAX_ROWS: usize = 32 + 2 * 8;
    let site = Site::start(1, 0, 1);
    wait_until_for("the windows are reported", Duration::from_secs(90), || {
        site.duties("/usage").len() >= WINDOWS
    });
    let path = "/rows-get?table=duties&limit=500";
    let answer = Call::new("GET", path, "rows").send(site.emulator_address("store"));
    let rows: Value = serde_json::from_str(&answer.expect("an answer").body).expect("rows");
    let rows = rows["rows"].as_array().expect("a list");
    let is_usage = |r: &&Value| r["key"].as_str().is_some_and(|k| k.starts_with("usage-"));
    let usage = rows.iter().filter(is_usage).count();
    println!("{usage} rows of {WINDOWS} windows");
    assert!(usage <= MAX_ROWS, "{usage} rows");
}
