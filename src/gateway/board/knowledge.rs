//! Age of what this process knows, and whether it is its turn to read the store.

use std::time::{Duration, Instant};

use super::{Board, StoreState};
use crate::gateway::{
    decide::{KNOWLEDGE_OLD_AFTER, ReadAction, ReaderCandidate, SyncPoint, next_read_action},
    model::WatchedData,
    net::Phase,
};

/// Time after the store's return from a copy in which its writers write again what was lost. With
/// less, a caller whose key was just added is refused for good; with more, one with a wrong key is
/// asked to come back for longer.
const REWRITE_TIME: Duration = Duration::from_secs(3);

impl Board {
    /// Returns up to where the store's contents are known; `None` if they were never read.
    pub fn knowledge(&self, followed: WatchedData) -> Option<SyncPoint> {
        match followed {
            WatchedData::Configuration => self.configuration_knowledge,
            WatchedData::Upstreams => self.upstreams_knowledge,
        }
    }

    /// Returns the age of the knowledge: the time since any gateway last saw that the store held
    /// nothing newer.
    pub fn age(&self, followed: WatchedData, now: Instant) -> Option<Duration> {
        self.store_clock.age(self.knowledge(followed)?.as_of, now)
    }

    /// Returns whether newer contents may have been missed: the knowledge is old, or the store has
    /// lost some that were confirmed, and that may not have been written again yet.
    pub fn is_old(&self, followed: WatchedData, now: Instant) -> bool {
        let since_return = self.store_returned_at.map(|at| now.saturating_duration_since(at));
        self.age(followed, now).is_none_or(|age| age >= KNOWLEDGE_OLD_AFTER)
            || since_return.is_some_and(|time| time < REWRITE_TIME)
    }

    /// Returns whether and what this process reads now; `None` if it has to read everything first.
    pub fn read_turn(
        &self,
        process: &str,
        followed: WatchedData,
        now: Instant,
    ) -> Option<ReadAction> {
        let age = self.age(followed, now)?;
        let store_now = self.store_clock.now(now)?;
        let own = ReaderCandidate {
            store_unreachable: matches!(self.store, StoreState::OutageSince(_)),
            process,
        };
        let silence = self.peer_silence();
        let others = || {
            let serving = self.peers.iter().filter(|(_, p)| p.last.phase == Phase::Serving);
            let heard =
                serving.filter(move |(_, p)| now.saturating_duration_since(p.last_heard) < silence);
            heard.map(|(process, p)| ReaderCandidate {
                store_unreachable: !p.last.store_answers,
                process,
            })
        };
        Some(next_read_action(own, others, age, store_now))
    }
}
