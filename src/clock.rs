//! Monotonic clock that keeps running while the host is suspended (`CLOCK_BOOTTIME`).
//!
//! [`Instant::now`] stops during a suspension. A lease, a deadline or the age of a
//! heartbeat measured with it would last longer in this process than in all others, by
//! the length of the suspension, and two holders of one lease could act at the same time.

use std::{
    future::Future,
    rc::Rc,
    sync::OnceLock,
    time::{Duration, Instant},
};

use nix::time::{ClockId, clock_gettime};
use thiserror::Error;
use tokio::{sync::Notify, time::sleep};

/// Shortest growth of the offset between the two clocks that counts as a suspension. The
/// clocks are read one after the other, and the process may be preempted in between.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Maps readings of the boot clock to [`Instant`]s.
#[derive(Clone, Copy, Debug)]
pub struct HostClock {
    start: Instant,
    boot: Duration,
}

impl HostClock {
    /// Creates the clock from simultaneous readings of both clocks. `boot` is the time
    /// since the host booted, including suspensions.
    pub fn new(start: Instant, boot: Duration) -> Self {
        Self { start, boot }
    }

    /// Returns the [`Instant`] at which the boot clock reads `boot`.
    pub fn moment(&self, boot: Duration) -> Instant {
        self.start + boot.saturating_sub(self.boot)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    time.expect("every Linux that this runs on has a boot clock").into()
}

/// Returns the current time. Compare it only with times from this module, not with
/// [`Instant::now`].
pub fn now() -> Instant {
    static CLOCK: OnceLock<HostClock> = OnceLock::new();
    CLOCK.get_or_init(|| HostClock::new(Instant::now(), boot_time())).moment(boot_time())
}

thread_local! {
    /// Wakes sleeping tasks after a suspension, during which the runtime's timers stop.
    static RESUMED: Rc<Notify> = Rc::default();
}

/// Detects suspensions of the host.
#[derive(Debug, Default)]
pub struct SuspensionWatch {
    /// Offset of the boot clock from [`Instant::now`]; `None` before the first reading.
    ahead: Option<Duration>,
}

impl SuspensionWatch {
    /// Records a reading of [`Instant::now`] and one of [`now`]. Returns the length of the
    /// suspension since the previous reading, or `None` if there was none.
    pub fn record(&mut self, steady: Instant, moment: Instant) -> Option<Duration> {
        let ahead = moment.saturating_duration_since(steady);
        let before = self.ahead.replace(ahead)?;
        let suspended = ahead.saturating_sub(before);
        (suspended >= MIN_SUSPENSION).then_some(suspended)
    }

    /// Reads both clocks. If the host was suspended since the last call, wakes sleeping
    /// tasks and returns the length of the suspension.
    pub fn detect(&mut self) -> Option<Duration> {
        let suspended = self.record(Instant::now(), now())?;
        RESUMED.with(|resumed| resumed.notify_waiters());
        Some(suspended)
    }
}

/// Sleeps until `at`, a time from [`now`].
pub async fn sleep_until(at: Instant) {
    let resumed = RESUMED.with(Rc::clone);
    sleep_until_by(at, now, &resumed).await;
}

/// Sleeps until the clock read by `now` reaches `at`. `resumed` triggers a new reading
/// after a suspension, during which the clock runs on but timers stop.
pub async fn sleep_until_by(at: Instant, now: impl Fn() -> Instant, resumed: &Notify) {
    loop {
        let resumption = resumed.notified();
        let left = at.saturating_duration_since(now());
        if left.is_zero() {
            return;
        }
        tokio::select! {
            () = sleep(left) => {}
            () = resumption => {}
        }
    }
}

/// The deadline passed before a future completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the time is over")]
pub struct DeadlineElapsed;

/// Waits for a future until the deadline `at`, a time from [`now`].
///
/// # Errors
///
/// Fails if the deadline passes first.
pub async fn timeout_at<F: Future>(at: Instant, future: F) -> Result<F::Output, DeadlineElapsed> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until(at) => Err(DeadlineElapsed),
    }
}
