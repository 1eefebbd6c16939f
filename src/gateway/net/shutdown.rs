//! How far this process has got with leaving.

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// How far this process has got with leaving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Serves.
    #[default]
    Serving,
    /// Is no longer named to callers; serves those that still come, and closes
    /// each connection with its answer.
    Leaving,
    /// Refuses new requests; those in progress end.
    Refusing,
    /// Closes connections that are idle.
    Closing,
}

/// Tells connections how far the process has got with leaving.
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
    /// Returns the phase.
    pub fn phase(&self) -> Phase {
        *self.tx.borrow()
    }

    /// Goes on to a phase; it never goes back.
    pub fn advance(&self, phase: Phase) {
        self.tx.send_if_modified(|current| {
            let later = phase > *current;
            *current = phase.max(*current);
            later
        });
    }

    /// Returns once the process closes idle connections.
    pub async fn closing(&self) {
        let mut rx = self.tx.subscribe();
        // The sender lives as long as `self`.
        drop(rx.wait_for(|phase| *phase >= Phase::Closing).await);
    }
}
