//! Whether this gateway has a path of its own to the upstreams.
//!
//! An upstream that cannot be reached from here may have failed, or the path to it. The two are
//! told apart by a second observer: an upstream that another gateway reaches at the same moment is
//! alive. A gateway that several upstreams are out of reach for, while others reach them and it
//! reaches none itself, is cut off.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::gateway::model::Lifetime;

/// Upstreams that only others reach, from which on this gateway counts as cut off. With fewer, a
/// partition between two upstreams and this gateway would count.
const MIN_BYPASSED: usize = 3;
/// How long an upstream counts as out of reach after it was reached through another gateway.
const BYPASS_MEMORY: Duration = Duration::from_secs(3);

/// A change of what a gateway knows of its own paths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// It is cut off from all upstreams.
    CutOff,
    /// It reaches an upstream again, after this time.
    Restored(Duration),
}

/// Paths from this gateway to the upstreams.
#[derive(Clone, Debug, Default)]
pub struct UpstreamPaths {
    /// When each upstream was last reached through another gateway but not from here.
    bypassed: HashMap<Lifetime, Instant>,
    /// When an upstream was last reached from here.
    last_reached: Option<Instant>,
    cut_off_since: Option<Instant>,
}

impl UpstreamPaths {
    /// Records that an upstream was reached, or answered, on a connection from here.
    pub fn note_reached(&mut self, upstream: Lifetime, now: Instant) -> Option<PathChange> {
        self.last_reached = Some(now);
        self.bypassed.remove(&upstream);
        let since = self.cut_off_since.take()?;
        Some(PathChange::Restored(now.saturating_duration_since(since)))
    }

    /// Records that another gateway reached an upstream to which no connection could be opened from
    /// here. `known` is the number of upstreams that take requests.
    pub fn note_bypassed(
        &mut self,
        upstream: Lifetime,
        known: usize,
        now: Instant,
    ) -> Option<PathChange> {
        self.bypassed.retain(|_, at| now.saturating_duration_since(*at) < BYPASS_MEMORY);
        self.bypassed.insert(upstream, now);
        let since_reached = self.bypassed.values().filter(|at| Some(**at) > self.last_reached);
        let is_cut_off = since_reached.count() >= MIN_BYPASSED.min(known.max(1));
        if !is_cut_off || self.cut_off_since.is_some() {
            return None;
        }
        self.cut_off_since = Some(now);
        Some(PathChange::CutOff)
    }

    /// Returns whether connections to an upstream are likely to need another gateway.
    pub fn is_bypassed(&self, upstream: Lifetime, now: Instant) -> bool {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < BYPASS_MEMORY;
        self.is_cut_off() || self.bypassed.get(&upstream).is_some_and(is_recent)
    }

    /// Returns whether this gateway is cut off from all upstreams.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Returns whether the paths should be probed: some upstream was out of reach recently.
    pub fn is_suspect(&self, now: Instant) -> bool {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < BYPASS_MEMORY;
        self.is_cut_off() || self.bypassed.values().any(is_recent)
    }
}
