//! Suspension of a host. The monotonic clock and its timers stop meanwhile, while time passes for
//! all other hosts. Suspending a host takes privileges that tests lack, so they pass the readings
//! of both clocks to the code that compares them.

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
fn host_clock_advances_during_a_suspension() {
    let start = Instant::now();
    let host = HostClock::new(start, secs(1_000));
    assert_eq!(host.moment(secs(1_000)), start);
    assert_eq!(host.moment(secs(1_007)), start + secs(7));
    assert_eq!(host.moment(secs(999)), start, "never earlier than the first reading");
    assert!(clock::now() <= clock::now());
}

#[test]
fn suspensions_are_detected_without_false_positives() {
    struct Case {
        name: &'static str,
        /// Readings of the monotonic clock and of the host clock, in milliseconds.
        readings: &'static [(u64, u64)],
        detected: &'static [u64],
    }
    let cases = [
        Case { name: "first reading", readings: &[(0, 9_000)], detected: &[] },
        Case { name: "no suspension", readings: &[(0, 0), (150, 150)], detected: &[] },
        Case {
            name: "process paused between the two readings",
            readings: &[(0, 0), (150, 170)],
            detected: &[],
        },
        Case { name: "one suspension", readings: &[(0, 0), (150, 3_150)], detected: &[3_000] },
        Case {
            name: "two suspensions",
            readings: &[(0, 0), (150, 3_150), (300, 3_300), (450, 8_450)],
            detected: &[3_000, 5_000],
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut watch = SuspensionWatch::default();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let note = |(monotonic, host): &(u64, u64)| watch.record(at(*monotonic), at(*host));
        let detected: Vec<u64> =
            case.readings.iter().filter_map(note).map(|d| d.as_millis() as u64).collect();
        assert_eq!(detected, case.detected, "{}", case.name);
    }
}

/// A deadline that passes during a suspension has expired when the host resumes; the sleeper does
/// not wait for the time that was left before.
#[test]
fn sleepers_wake_when_the_host_resumes() {
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
fn timeout_applies_only_to_futures_that_are_not_ready() {
    run(async {
        let soon = clock::now() + Duration::from_millis(20);
        assert!(timeout_at(soon, std::future::pending::<()>()).await.is_err());
        assert_eq!(timeout_at(clock::now(), std::future::ready(7)).await, Ok(7));
    });
}

/// A lease holder that was suspended for longer than its lease must not act under it, even though
/// its timers have not fired.
#[test]
fn lease_expires_during_a_suspension() {
    let start = Instant::now();
    let host = HostClock::new(start, secs(50));
    let until = host.moment(secs(52));
    let own = OwnLease { fence: 4, renewal: 9, sent: start, until, given_up: false };
    let lease = LeaseView { own: Some(own) };
    assert_eq!(lease.may_act(host.moment(secs(51))), Some(4));
    assert_eq!(lease.may_act(host.moment(secs(55))), None, "suspended for four seconds");
}
