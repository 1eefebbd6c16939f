//! One upstream as its owner sees it.

use std::time::{Duration, Instant};

use super::{CacheSketch, UpstreamEvent};
use crate::{
    cloud::{HostEntry, HostState},
    ids::Model,
    routing::{Candidate, DEFAULT_PREFILL_RATE},
    time::unix_millis,
};

/// Failures in a row after which an upstream rests.
const FAILURES_TO_REST: u32 = 3;
/// For how long it rests.
const REST: Duration = Duration::from_secs(2);

/// One upstream as its owner sees it.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    /// Its entry in the cloud's list.
    pub host: HostEntry,
    /// When its last event came; `None` before the first.
    pub heard: Option<Instant>,
    /// When its host goes, once that is known.
    pub leaves_at: Option<Instant>,
    /// What its prefix cache likely holds.
    pub sketch: CacheSketch,
    running: u32,
    backlog_until: Option<Instant>,
    prefill_rate: f64,
    models: Option<Vec<Model>>,
    boot: Option<u64>,
    failures: u32,
    rests_until: Option<Instant>,
}

impl UpstreamState {
    /// Creates the state of an upstream that has not been heard of.
    pub fn new(host: HostEntry, now: Instant) -> Self {
        let mut state = Self {
            host,
            heard: None,
            leaves_at: None,
            sketch: CacheSketch::default(),
            running: 0,
            backlog_until: None,
            prefill_rate: DEFAULT_PREFILL_RATE,
            models: None,
            boot: None,
            failures: 0,
            rests_until: None,
        };
        state.take_list_state(now);
        state
    }

    /// Takes over a newer entry of the cloud's list.
    pub fn update(&mut self, host: HostEntry, now: Instant) {
        self.host = host;
        self.take_list_state(now);
    }

    fn take_list_state(&mut self, now: Instant) {
        if self.host.state == HostState::Leaving && self.leaves_at.is_none() {
            let left = self.host.leaves_at_ms.unwrap_or_default();
            let left = left.saturating_sub(unix_millis());
            self.leaves_at = Some(now + Duration::from_millis(left));
        }
    }

    /// Takes an event in. Returns whether the upstream is newly known to leave.
    pub fn hear(&mut self, event: &UpstreamEvent, now: Instant) -> bool {
        self.heard = Some(now);
        match event {
            UpstreamEvent::Hello { boot } => self.hear_boot(*boot),
            UpstreamEvent::Load { running, queued_tokens, prefill_rate, models, .. } => {
                self.running = *running;
                self.prefill_rate = *prefill_rate;
                self.report_backlog(*queued_tokens, now);
                self.models = Some(models.clone());
            }
            UpstreamEvent::Cache { seq, stored, evicted } => {
                self.sketch.hear(*seq, stored, evicted);
            }
            UpstreamEvent::Leaving { in_ms } => {
                let known = self.leaves_at.is_some();
                self.leaves_at = Some(now + Duration::from_millis(*in_ms));
                return !known;
            }
        }
        false
    }

    /// Takes a reported queue over where it is longer than the own reckoning,
    /// which knows of what was sent since the report, but not of others' work.
    fn report_backlog(&mut self, queued_tokens: u32, now: Instant) {
        let until = now + self.prefill_time(queued_tokens);
        self.backlog_until = self.backlog_until.max(Some(until));
    }

    /// Notes that a request was sent whose prompt misses this many tokens in
    /// the cache.
    pub fn sent(&mut self, missing_tokens: u32, now: Instant) {
        let from = self.backlog_until.unwrap_or(now).max(now);
        self.backlog_until = Some(from + self.prefill_time(missing_tokens));
    }

    fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.prefill_rate.max(1.0))
    }

    fn hear_boot(&mut self, boot: u64) {
        if self.boot.is_some_and(|old| old != boot) {
            self.sketch.clear();
            self.leaves_at = None;
        }
        self.boot = Some(boot);
    }

    /// Counts how an attempt ended. Attempts that were sent before a rest and
    /// fail during it tell nothing new: they do not count towards the next.
    pub fn attempt_ended(&mut self, failed: bool, now: Instant) {
        if !failed {
            self.failures = 0;
            return;
        }
        if self.rests(now) {
            return;
        }
        self.failures += 1;
        if self.failures >= FAILURES_TO_REST {
            self.failures = 0;
            self.rests_until = Some(now + REST);
        }
    }

    /// Returns whether the upstream may get new work: heard of lately, not
    /// leaving and not resting.
    pub fn takes_work(&self, now: Instant, silence: Duration) -> bool {
        let fresh = self.heard.is_some_and(|at| now.duration_since(at) <= silence);
        fresh && !self.rests(now) && self.leaves_at.is_none()
    }

    fn rests(&self, now: Instant) -> bool {
        self.rests_until.is_some_and(|until| now < until)
    }

    /// Returns whether the upstream offers a model.
    pub fn offers(&self, model: &str) -> bool {
        self.models.as_ref().unwrap_or(&self.host.models).iter().any(|m| m == model)
    }

    /// Returns the models that it offers.
    pub fn models(&self) -> &[Model] {
        self.models.as_ref().unwrap_or(&self.host.models)
    }

    /// Returns the upstream as a candidate for a request; `granted` counts
    /// the slots given out. The engine's own count covers requests that a
    /// former owner placed.
    pub fn candidate(&self, granted: u32, prefix: &[u64], now: Instant) -> Candidate {
        let backlog = self.backlog_until.map(|until| until.saturating_duration_since(now));
        Candidate {
            id: self.host.id.clone(),
            in_flight: granted.max(self.running),
            slots: self.host.slots,
            backlog: backlog.unwrap_or_default(),
            prefill_rate: self.prefill_rate,
            cached_tokens: self.sketch.cached_tokens(prefix),
            price: self.host.price,
            reclaimable: self.host.reclaimable,
        }
    }
}
