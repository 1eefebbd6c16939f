//! Runs the controllers' `stakker` instance in a task of the `tokio` runtime.

use std::{rc::Rc, time::Duration};

use stakker::Stakker;
use tokio::{sync::Notify, time::sleep};

use super::{context::Gateway, telemetry::Event};
use crate::clock::{self, SuspensionWatch};

/// Longest sleep between rounds; timers and messages end it earlier.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Wakes the task that runs the controllers.
#[derive(Clone, Debug, Default)]
pub struct ControllerWaker {
    notify: Rc<Notify>,
}

impl ControllerWaker {
    /// Makes the controllers handle queued messages without waiting for their next timer.
    pub fn wake(&self) {
        self.notify.notify_one();
    }
}

/// Runs the controllers until one of them shuts `stakker` down.
///
/// Each round first checks whether the host was suspended. Sleeping tasks are then woken, so that
/// leases and deadlines are evaluated again before anything more is done under them, as after a
/// freeze of the process.
pub async fn drive(mut stakker: Stakker, gateway: Rc<Gateway>) {
    let mut watch = SuspensionWatch::default();
    while stakker.not_shutdown() {
        if let Some(suspended) = watch.detect() {
            gateway.log(&Event::Suspended { for_ms: suspended.as_millis() as u64 });
        }
        stakker.run(clock::now(), false);
        let wait = stakker.next_wait_max(clock::now(), MAX_SLEEP, false);
        tokio::select! {
            () = sleep(wait) => {}
            () = gateway.waker.notify.notified() => {}
        }
    }
}
