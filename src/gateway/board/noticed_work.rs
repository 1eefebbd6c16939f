//! Work that other gateways have announced and not yet reported in heartbeats.

use std::time::Instant;

use super::Board;
use crate::gateway::{
    decide::{DisabledMechanisms, IgnoredNotice, NoticedRequest},
    model::Lifetime,
};

impl Board {
    /// Counts a request that another gateway has announced.
    ///
    /// # Errors
    ///
    /// Fails if the notice must not count.
    pub fn note_work(
        &mut self,
        notice: NoticedRequest,
        off: &DisabledMechanisms,
        now: Instant,
    ) -> Result<(), IgnoredNotice> {
        let id = self.lifetimes.upstream(notice.upstream);
        let view = id.and_then(|id| self.upstreams.get(id));
        let view = view.filter(|v| v.lifetime == notice.upstream);
        let service = &view.ok_or(IgnoredNotice::UnknownUpstream)?.upstream.service;
        let seconds_per_token = self.speed(service, off).per_token;
        self.noticed_work.note(notice, seconds_per_token, now)
    }

    /// Returns the prompt tokens that other gateways have announced at an upstream, have not yet
    /// reported in heartbeats, and that it has yet to process.
    pub fn noticed_tokens(&self, upstream: Lifetime, now: Instant) -> f64 {
        self.noticed_work.pending_tokens(upstream, now)
    }

    /// Drops noticed work that has been processed, or all if it is not `in_use`.
    pub fn update_noticed_work(&mut self, in_use: bool, now: Instant) {
        match in_use {
            true => self.noticed_work.remove_processed(now),
            false => self.noticed_work.clear(),
        }
    }
}
