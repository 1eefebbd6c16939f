//! Events that an upstream publishes on `GET /events`, one JSON object each.

use serde::{Deserialize, Serialize};

use crate::{ids::Model, prefix::Fingerprint};

/// An event of an upstream. Load lags; cache events come late and with gaps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum UpstreamEvent {
    /// First event of a connection.
    Hello {
        /// Number of this start of the upstream.
        boot: u64,
    },
    /// Load, every second or so.
    Load {
        /// Requests running.
        running: u32,
        /// Requests waiting.
        waiting: u32,
        /// Prompt tokens waiting for prefill.
        queued_tokens: u32,
        /// Prefill speed, in tokens a second.
        prefill_rate: f64,
        /// Models loaded.
        models: Vec<Model>,
    },
    /// Changes of the prefix cache.
    Cache {
        /// Number of the event; a gap means that events were lost.
        seq: u64,
        /// Prefixes that are cached now.
        stored: Vec<Fingerprint>,
        /// Prefixes that are no longer cached.
        evicted: Vec<Fingerprint>,
    },
    /// The upstream's host goes.
    Leaving {
        /// Time left, in milliseconds.
        in_ms: u64,
    },
}
