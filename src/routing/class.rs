//! Classes of request.

use serde::{Deserialize, Serialize};

use crate::config::ClassPolicy;

/// Class of a request, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Call of a plain service, such as a check-in or a confirm.
    Call,
    /// Short question or caption that somebody waits for.
    Chat,
    /// Long draft or review.
    Draft,
}

impl Class {
    /// Output length from which a request without a class counts as a draft, in tokens.
    pub const DRAFT_FROM_TOKENS: u32 = 512;

    /// Returns the class of a request that does not name one.
    pub fn of_max_tokens(max_tokens: u32) -> Self {
        if max_tokens >= Self::DRAFT_FROM_TOKENS { Self::Draft } else { Self::Chat }
    }

    /// Returns the policy that applies where the template sets none.
    pub fn default_policy(self) -> ClassPolicy {
        match self {
            Self::Call => ClassPolicy { priority: 9, max_wait_ms: 500 },
            Self::Chat => ClassPolicy { priority: 5, max_wait_ms: 2_000 },
            Self::Draft => ClassPolicy { priority: 1, max_wait_ms: 20_000 },
        }
    }
}
