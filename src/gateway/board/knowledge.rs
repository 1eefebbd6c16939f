//! Age of what this process knows, and whether it is its turn to read the store.

use std::time::{Duration, Instant};

use super::{Board, StoreState};
use crate::gateway::{
    decide::{Knowledge, OLD, Reader, Turn, turn},
    model::Followed,
    net::Phase,
};

impl Board {
    /// Returns up to where the store's contents are known; `None` if they were never read.
    pub fn knowledge(&self, followed: Followed) -> Option<Knowledge> {
        match followed {
            Followed::Configuration => self.configuration_knowledge,
            Followed::Upstreams => self.upstreams_knowledge,
        }
    }

    /// Returns the age of the knowledge: the time since any gateway last saw that the store held
    /// nothing newer.
    pub fn age(&self, followed: Followed, now: Instant) -> Option<Duration> {
        self.store_clock.age(self.knowledge(followed)?.as_of, now)
    }

    /// Returns whether the knowledge is so old that newer contents may have been missed.
    pub fn is_old(&self, followed: Followed, now: Instant) -> bool {
        self.age(followed, now).is_none_or(|age| age >= OLD)
    }

    /// Returns whether and what this process reads now; `None` if it has to read everything first.
    pub fn read_turn(&self, process: &str, followed: Followed, now: Instant) -> Option<Turn> {
        let age = self.age(followed, now)?;
        let store_now = self.store_clock.now(now)?;
        let own = Reader { turned_away: matches!(self.store, StoreState::Away(_)), process };
        let silence = self.peer_silence();
        let others = || {
            let serving = self.peers.iter().filter(|(_, p)| p.last.phase == Phase::Serving);
            let heard =
                serving.filter(move |(_, p)| now.saturating_duration_since(p.heard) < silence);
            heard.map(|(process, p)| Reader { turned_away: !p.last.store_answers, process })
        };
        Some(turn(own, others, age, store_now))
    }
}
