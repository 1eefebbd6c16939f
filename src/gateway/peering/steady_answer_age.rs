//! Age of the store's latest answer to a gateway, as heartbeats carry it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Age of the store's latest answer to a process that it has answered without interruption. It
/// takes one byte: a heartbeat and those relayed with it share a datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SteadyAnswerAge(u8);

impl SteadyAnswerAge {
    /// Milliseconds of one step.
    const STEP_MS: u64 = 5;

    /// Rounds an age up to a step. `None` stands for a process that the store has not answered
    /// without interruption, as does an age of more than 1.27 s.
    pub fn new(age: Option<Duration>) -> Self {
        let steps = age.map(|age| 1 + (age.as_millis() as u64).div_ceil(Self::STEP_MS));
        Self(steps.and_then(|steps| u8::try_from(steps).ok()).unwrap_or(0))
    }

    /// Returns the age; `None` if the store has not answered without interruption.
    pub fn get(self) -> Option<Duration> {
        let steps = self.0.checked_sub(1)?;
        Some(Duration::from_millis(u64::from(steps) * Self::STEP_MS))
    }
}
