//! Monitors how stale the knowledge of the store's tables is: sets the metric, and logs when it
//! becomes stale and when it is up to date again.

use std::time::Instant;

use crate::gateway::{
    context::Gateway,
    decide::KNOWLEDGE_OLD_AFTER,
    model::WatchedData,
    telemetry::{Event, KnowledgeLabels},
};

/// Detects when the knowledge of a followed table becomes stale or recovers.
#[derive(Debug, Default)]
pub(super) struct KnowledgeAges {
    /// Since when each followed table has been stale; `None` while it is up to date.
    stale_since: [Option<Instant>; WatchedData::ALL.len()],
}

impl KnowledgeAges {
    /// Updates the age metrics and logs each change between stale and up to date.
    pub(super) fn update(&mut self, gateway: &Gateway, now: Instant) {
        for (followed, stale_since) in WatchedData::ALL.into_iter().zip(&mut self.stale_since) {
            let board = gateway.board.borrow();
            let Some(age) = board.age(followed, now) else {
                continue;
            };
            let position = board.knowledge(followed).map_or(0, |k| k.position);
            drop(board);
            let (of, labels) = (followed.name(), KnowledgeLabels::new(followed));
            gateway.metrics.knowledge_age.get_or_create(&labels).set(age.as_secs_f64());
            match *stale_since {
                None if age >= KNOWLEDGE_OLD_AFTER => {
                    *stale_since = Some(now);
                    let age_ms = age.as_millis() as u64;
                    gateway.log(&Event::KnowledgeOld { of, age_ms, position });
                }
                Some(since) if age < KNOWLEDGE_OLD_AFTER => {
                    *stale_since = None;
                    let after_ms = now.saturating_duration_since(since).as_millis() as u64;
                    gateway.log(&Event::KnowledgeFresh { of, after_ms, position });
                }
                None | Some(_) => {}
            }
        }
    }
}
