//! Hosts that are suspended: for so long the steady clock stands still, and timers with
//! it; for everybody else the time goes on. No test can suspend its host without
//! privileges, so both clocks are told to the code that compares them.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use tackhollow::{
    clock::{self, HostClock, SuspensionWatch, sleep_until_by, timeout_at},
    gateway::board::{LeaseView, OwnLease},
};
use tokio::{runtime::Builder, sync::Notify, task::LocalSet, time::sleep};

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn run<F: Future>(future: F) -> F::Output {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, future)
}

#[test]
fn moments_go_on_during_a_suspension() {
    let start = Instant::now();
    let host = HostClock::new(start, secs(1_000));
    assert_eq!(host.moment(secs(1_000)), start);
    assert_eq!(host.moment(secs(1_007)), start + secs(7));
    assert_eq!(host.moment(secs(999)), start, "never before its first reading");
    assert!(clock::now() <= clock::now());
}

#[test]
fn a_suspension_is_noticed_and_nothing_else_is_taken_for_one() {
    struct Case {
        name: &'static str,
        /// Readings of the steady clock and of the host's, in milliseconds.
        readings: &'static [(u64, u64)],
        noticed: &'static [u64],
    }
    let cases = [
        Case { name: "a first look", readings: &[(0, 9_000)], noticed: &[] },
        Case { name: "time passes", readings: &[(0, 0), (150, 150)], noticed: &[] },
        Case {
            name: "a pause between two readings",
            readings: &[(0, 0), (150, 170)],
            noticed: &[],
        },
        Case { name: "suspended", readings: &[(0, 0), (150, 3_150)], noticed: &[3_000] },
        Case {
            name: "twice",
            readings: &[(0, 0), (150, 3_150), (300, 3_300), (450, 8_450)],
            noticed: &[3_000, 5_000],
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut watch = SuspensionWatch::default();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let note = |(steady, host): &(u64, u64)| watch.note(at(*steady), at(*host));
        let noticed: Vec<u64> =
            case.readings.iter().filter_map(note).map(|d| d.as_millis() as u64).collect();
        assert_eq!(noticed, case.noticed, "{}", case.name);
    }
}

/// A deadline that passed during a suspension is over when the host is resumed, not after
/// what was left of it before.
#[test]
fn sleepers_wake_when_the_host_is_resumed() {
    run(async {
        let start = Instant::now();
        let suspended = Rc::new(Cell::new(Duration::ZERO));
        let resumed = Notify::new();
        let host_clock = suspended.clone();
        let now = move || Instant::now() + host_clock.get();
        let host = async {
            sleep(Duration::from_millis(20)).await;
            suspended.set(secs(30));
            resumed.notify_waiters();
        };
        tokio::join!(sleep_until_by(start + secs(25), now, &resumed), host);
        assert!(start.elapsed() < secs(10), "{:?}", start.elapsed());
    });
}

#[test]
fn a_future_gets_the_time_that_it_is_given() {
    run(async {
        let soon = clock::now() + Duration::from_millis(20);
        assert!(timeout_at(soon, std::future::pending::<()>()).await.is_err());
        assert_eq!(timeout_at(clock::now(), std::future::ready(7)).await, Ok(7));
    });
}

/// A holder that was suspended for longer than its lease acts no more, whatever its
/// timers say.
#[test]
fn a_lease_runs_out_during_a_suspension() {
    let start = Instant::now();
    let host = HostClock::new(start, secs(50));
    let until = host.moment(secs(52));
    let own = OwnLease { fence: 4, renewal: 9, sent: start, until, given_up: false };
    let lease = LeaseView { own: Some(own) };
    assert_eq!(lease.may_act(host.moment(secs(51))), Some(4));
    assert_eq!(lease.may_act(host.moment(secs(55))), None, "suspended for four seconds");
}
