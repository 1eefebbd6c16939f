//! What processes tell each other about a roll-out.

use serde::{Deserialize, Serialize};

use super::{AnswerRow, RolloutEnd, RolloutOrder, RouteKey};
use crate::gateway::decide::StoreMillis;

/// Requests of one process on one route since the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentRow(
    /// The route.
    pub RouteKey,
    /// All requests.
    pub u32,
    /// Requests that went to the new version.
    pub u32,
);

/// What one process knows of a roll-out, with its own counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The order that started the roll-out.
    pub order: RolloutOrder,
    /// When traffic started to move; `None` if it has not.
    pub moving_since: Option<StoreMillis>,
    /// How the roll-out ended; `None` if it has not.
    pub end: Option<RolloutEnd>,
    /// Requests that the process sent; empty once the roll-out has ended.
    pub sent: Vec<SentRow>,
    /// Answers that the process saw; empty once the roll-out has ended.
    pub answers: Vec<AnswerRow>,
}
