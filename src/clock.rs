//! The host's clock: steady, and it goes on while the host is suspended.
//!
//! The steady clock of the standard library stands still then. A lease, a deadline or
//! the age of a heartbeat measured by it lasts longer for this process than for everybody
//! else, by the whole time of the suspension: two holders of one lease would act at once.

use std::{
    future::Future,
    rc::Rc,
    sync::OnceLock,
    time::{Duration, Instant},
};

use nix::time::{ClockId, clock_gettime};
use thiserror::Error;
use tokio::{sync::Notify, time::sleep};

/// Difference between the two clocks from which it is told that the host was suspended:
/// they are read one after the other, with a pause of the process between at times.
const SUSPENDED: Duration = Duration::from_millis(50);

/// Maps readings of the boot clock to moments of the standard type.
#[derive(Clone, Copy, Debug)]
pub struct HostClock {
    start: Instant,
    boot: Duration,
}

impl HostClock {
    /// Creates the clock from one reading of both: `boot` is the time since the host's
    /// start, suspensions included.
    pub fn new(start: Instant, boot: Duration) -> Self {
        Self { start, boot }
    }

    /// Returns the moment at which the boot clock shows `boot`.
    pub fn moment(&self, boot: Duration) -> Instant {
        self.start + boot.saturating_sub(self.boot)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    time.expect("every Linux that this runs on has a boot clock").into()
}

/// Returns the present moment. To be compared only with moments from here.
pub fn now() -> Instant {
    static CLOCK: OnceLock<HostClock> = OnceLock::new();
    CLOCK.get_or_init(|| HostClock::new(Instant::now(), boot_time())).moment(boot_time())
}

thread_local! {
    /// Wakes whoever sleeps: the runtime's timers stand still during a suspension.
    static RESUMED: Rc<Notify> = Rc::default();
}

/// Notices that the host was suspended.
#[derive(Debug, Default)]
pub struct SuspensionWatch {
    /// How far the boot clock is ahead of the steady one.
    ahead: Option<Duration>,
}

impl SuspensionWatch {
    /// Takes a reading of the steady clock and one of this module's; returns for how long
    /// the host was suspended since the reading before, if it was.
    pub fn note(&mut self, steady: Instant, moment: Instant) -> Option<Duration> {
        let ahead = moment.saturating_duration_since(steady);
        let before = self.ahead.replace(ahead)?;
        let suspended = ahead.saturating_sub(before);
        (suspended >= SUSPENDED).then_some(suspended)
    }

    /// Looks whether the host was suspended since the last look, and wakes sleepers then.
    pub fn look(&mut self) -> Option<Duration> {
        let suspended = self.note(Instant::now(), now())?;
        RESUMED.with(|resumed| resumed.notify_waiters());
        Some(suspended)
    }
}

/// Waits until a moment.
pub async fn sleep_until(at: Instant) {
    let resumed = RESUMED.with(Rc::clone);
    sleep_until_by(at, now, &resumed).await;
}

/// Waits until a moment by the clock that `now` reads; `resumed` tells that it may have
/// gone on while timers did not.
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

/// The time is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the time is over")]
pub struct TimeOver;

/// Waits for a future until a moment.
///
/// # Errors
///
/// Fails if the moment comes first.
pub async fn timeout_at<F: Future>(at: Instant, future: F) -> Result<F::Output, TimeOver> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until(at) => Err(TimeOver),
    }
}
