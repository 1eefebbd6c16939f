//! Phases of the graceful shutdown of this process.

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Phase of the graceful shutdown, in ascending order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Normal operation.
    #[default]
    Serving,
    /// Address lookups no longer return this process. Requests that still arrive are served,
    /// and each connection is closed after its answer.
    Leaving,
    /// New requests are refused; those in progress run to their end.
    Refusing,
    /// Idle connections are closed.
    Closing,
}

/// Publishes the phase of the graceful shutdown to all connections.
#[derive(Clone, Debug)]
pub struct Shutdown {
    tx: watch::Sender<Phase>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self { tx: watch::Sender::new(Phase::Serving) }
    }
}

impl Shutdown {
    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.tx.borrow()
    }

    /// Advances to `phase`. Does nothing if a later phase was reached already.
    pub fn advance(&self, phase: Phase) {
        self.tx.send_if_modified(|current| {
            let later = phase > *current;
            *current = phase.max(*current);
            later
        });
    }

    /// Waits for [`Phase::Closing`].
    pub async fn closing(&self) {
        let mut rx = self.tx.subscribe();
        // Cannot fail: `self` holds the sender.
        drop(rx.wait_for(|phase| *phase >= Phase::Closing).await);
    }
}
