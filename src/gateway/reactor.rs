//! Drives the controllers' `stakker` instance from a task of the runtime.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use stakker::Stakker;
use tokio::{sync::Notify, time::sleep};

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
pub async fn drive(mut stakker: Stakker, wake: Wake) {
    while stakker.not_shutdown() {
        stakker.run(Instant::now(), false);
        let wait = stakker.next_wait_max(Instant::now(), MAX_WAIT, false);
        tokio::select! {
            () = sleep(wait) => {}
            () = wake.notify.notified() => {}
        }
    }
}
