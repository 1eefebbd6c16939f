//! Drives the controllers' `stakker` instance from a task of the runtime.

use std::{rc::Rc, time::Duration};

use stakker::Stakker;
use tokio::{sync::Notify, time::sleep};

use super::{context::Gateway, telemetry::Event};
use crate::clock::{self, SuspensionWatch};

/// Longest sleep; timers and messages wake earlier.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Wakes the controllers.
#[derive(Clone, Debug, Default)]
pub struct Wake {
    notify: Rc<Notify>,
}

impl Wake {
    /// Wakes the controllers to handle what was sent to them.
    pub fn wake(&self) {
        self.notify.notify_one();
    }
}

/// Runs the controllers until they are told to stop.
///
/// Each round looks whether the host was suspended: what was told or ordered on a lease or
/// a deadline of before is then judged anew, as after a freeze of the process.
pub async fn drive(mut stakker: Stakker, gateway: Rc<Gateway>) {
    let mut watch = SuspensionWatch::default();
    while stakker.not_shutdown() {
        if let Some(suspended) = watch.look() {
            gateway.log(&Event::Suspended { for_ms: suspended.as_millis() as u64 });
        }
        stakker.run(clock::now(), false);
        let wait = stakker.next_wait_max(clock::now(), MAX_WAIT, false);
        tokio::select! {
            () = sleep(wait) => {}
            () = gateway.wake.notify.notified() => {}
        }
    }
}
