//! One member as this process sees it.

use std::time::Instant;

use crate::{
    ids::ConfigVersion,
    wire::{Liveness, MemberState, Supply},
};

/// One member of the data centre as this process sees it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Latest state heard of.
    pub state: MemberState,
    /// When the liveness last changed.
    pub since: Instant,
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
        Self { state, since: now, supply: Vec::new(), supply_at: None, config: 0 }
    }

    /// Returns whether the member owns upstreams and takes placements.
    pub fn is_working(&self) -> bool {
        matches!(self.state.liveness, Liveness::Alive | Liveness::Suspect)
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
