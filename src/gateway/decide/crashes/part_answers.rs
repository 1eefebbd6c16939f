//! Parts of prompts that upstreams recently answered in full.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::gateway::model::PartKey;

/// Age up to which a complete answer speaks for a part that was running at a crash. Without it, a
/// shared part of which no request has had time to complete since the crash would be taken for the
/// cause; with a longer one, a part that begins to crash upstreams is found later.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(4);
/// Entries kept, at 24 bytes each: those of [`MAX_ANSWER_AGE`] at 250 requests a second with four
/// parts.
const MAX_ENTRIES: usize = 4_096;

/// When requests with each part were last answered in full.
#[derive(Debug, Default)]
pub(super) struct PartAnswers {
    newest: HashMap<PartKey, Instant>,
    order: VecDeque<(Instant, PartKey)>,
}

impl PartAnswers {
    /// Records a complete answer to a request with a part.
    pub fn record(&mut self, part: PartKey, now: Instant) {
        self.newest.insert(part, now);
        self.order.push_back((now, part));
        while self.order.len() > MAX_ENTRIES
            || self.order.front().is_some_and(|(at, _)| is_old(*at, now))
        {
            let Some((at, oldest)) = self.order.pop_front() else {
                return;
            };
            if self.newest.get(&oldest) == Some(&at) {
                self.newest.remove(&oldest);
            }
        }
    }

    /// Returns whether a request with a part was recently answered.
    pub fn contains(&self, part: PartKey, now: Instant) -> bool {
        self.newest.get(&part).is_some_and(|at| !is_old(*at, now))
    }
}

fn is_old(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) > MAX_ANSWER_AGE
}
