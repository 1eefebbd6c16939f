//! Tells when what is known of the store grows old, and when it is new again.

use std::time::Instant;

use crate::gateway::{
    context::Gateway,
    decide::OLD,
    model::Followed,
    telemetry::{Event, KnowledgeLabels},
};

/// Since when what is followed is old.
#[derive(Debug, Default)]
pub(super) struct Ages {
    old: [Option<Instant>; Followed::ALL.len()],
}

impl Ages {
    /// Measures the ages, and logs those that have become old or new.
    pub(super) fn look(&mut self, gateway: &Gateway, now: Instant) {
        for (followed, old) in Followed::ALL.into_iter().zip(&mut self.old) {
            let board = gateway.board.borrow();
            let Some(age) = board.age(followed, now) else {
                continue;
            };
            let position = board.knowledge(followed).map_or(0, |k| k.position);
            drop(board);
            let (of, labels) = (followed.name(), KnowledgeLabels::new(followed));
            gateway.metrics.knowledge_age.get_or_create(&labels).set(age.as_secs_f64());
            match *old {
                None if age >= OLD => {
                    *old = Some(now);
                    let age_ms = age.as_millis() as u64;
                    gateway.log(&Event::KnowledgeOld { of, age_ms, position });
                }
                Some(since) if age < OLD => {
                    *old = None;
                    let after_ms = now.saturating_duration_since(since).as_millis() as u64;
                    gateway.log(&Event::KnowledgeFresh { of, after_ms, position });
                }
                None | Some(_) => {}
            }
        }
    }
}
