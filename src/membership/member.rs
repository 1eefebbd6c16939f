//! One member as this process sees it.

use std::time::{Duration, Instant};

use crate::{
    ids::ConfigVersion,
    wire::{Liveness, MemberState, Supply},
};

/// Heartbeats that a leaving member leaves unanswered before it counts as dead:
/// datagrams may be lost, and it cannot be suspected and object first.
const SILENT_HEARTBEATS: u32 = 3;

/// One member of the data centre as this process sees it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Latest state heard of.
    pub state: MemberState,
    /// When the liveness last changed.
    pub since: Instant,
    /// Heartbeats in a row that it has not answered, and since when.
    pub unanswered: Option<(u32, Instant)>,
    /// Slots that it last offered; possibly old.
    pub supply: Vec<Supply>,
    /// When `supply` was heard.
    pub supply_at: Option<Instant>,
    /// Configuration version that it last told.
    pub config: ConfigVersion,
}

impl Member {
    /// Creates a member from news of it.
    pub fn new(state: MemberState, now: Instant) -> Self {
        Self { state, since: now, unanswered: None, supply: Vec::new(), supply_at: None, config: 0 }
    }

    /// Returns whether the member owns upstreams and takes placements.
    pub fn is_working(&self) -> bool {
        matches!(self.state.liveness, Liveness::Alive | Liveness::Suspect)
    }

    /// Notes whether it answered a heartbeat.
    pub fn note_heartbeat(&mut self, answered: bool, now: Instant) {
        self.unanswered = match self.unanswered {
            _ if answered => None,
            Some((count, since)) => Some((count + 1, since)),
            None => Some((1, now)),
        };
    }

    /// Returns whether it counts as dead: suspected for as long as `patience`,
    /// or silent for as long after it announced that it leaves. A leaving
    /// member is never suspected, since a suspect still gets work.
    pub fn is_overdue(&self, patience: Duration, now: Instant) -> bool {
        match self.state.liveness {
            Liveness::Suspect => now.duration_since(self.since) >= patience,
            Liveness::Leaving => self.unanswered.is_some_and(|(count, since)| {
                count >= SILENT_HEARTBEATS && now.duration_since(since) >= patience
            }),
            Liveness::Alive | Liveness::Dead => false,
        }
    }

    /// Takes over `state` if it supersedes what is known. Returns whether it did.
    pub fn merge(&mut self, state: &MemberState, now: Instant) -> bool {
        if !supersedes(state, &self.state) {
            return false;
        }
        if state.liveness != self.state.liveness {
            self.since = now;
        }
        self.state = state.clone();
        true
    }
}

/// Returns whether `new` supersedes `old`: a later incarnation of the same
/// name always, else the higher beat, and on equal beats the worse liveness.
///
/// Only the member itself raises its beat, so a member that was wrongly held
/// for dead comes back by raising it.
pub fn supersedes(new: &MemberState, old: &MemberState) -> bool {
    let (a, b) = (new.contact.incarnation(), old.contact.incarnation());
    if a != b {
        return a > b;
    }
    (new.beat, new.liveness) > (old.beat, old.liveness)
}
