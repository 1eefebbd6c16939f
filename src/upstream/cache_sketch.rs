//! What an engine likely has in its prefix cache.

use std::collections::{HashMap, VecDeque};

use crate::prefix::{BLOCK_BYTES, Fingerprint};

/// Prefixes remembered for one engine at most.
const CAPACITY: usize = 4_096;
/// Tokens of one block, as prompts are counted here.
const TOKENS_PER_BLOCK: u32 = (BLOCK_BYTES / 4) as u32;

/// What an engine likely has in its prefix cache: prompts sent there, put
/// right by the engine's own events. After a gap in the events, what was known
/// before counts half.
#[derive(Clone, Debug, Default)]
pub struct CacheSketch {
    present: HashMap<Fingerprint, u64>,
    order: VecDeque<(Fingerprint, u64)>,
    stamp: u64,
    doubtful_below: u64,
    last_seq: Option<u64>,
}

impl CacheSketch {
    /// Notes prefixes that the engine caches or is about to cache.
    pub fn store(&mut self, prefixes: &[Fingerprint]) {
        self.stamp += 1;
        for fp in prefixes {
            self.present.insert(*fp, self.stamp);
            self.order.push_back((*fp, self.stamp));
        }
        while self.order.len() > CAPACITY {
            self.drop_oldest();
        }
    }

    /// Notes an event of the engine.
    pub fn hear(&mut self, seq: u64, stored: &[Fingerprint], evicted: &[Fingerprint]) {
        if self.last_seq.is_some_and(|last| seq <= last) {
            return;
        }
        if self.last_seq.is_some_and(|last| seq > last + 1) {
            self.stamp += 1;
            self.doubtful_below = self.stamp;
        }
        self.last_seq = Some(seq);
        for fp in evicted {
            self.present.remove(fp);
        }
        self.store(stored);
    }

    /// Forgets everything, as the engine did on a restart.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns how many prompt tokens are likely cached, given the
    /// fingerprints of its prefixes, the shortest first.
    pub fn cached_tokens(&self, prefixes: &[Fingerprint]) -> u32 {
        let known = prefixes.iter().take_while(|fp| self.present.contains_key(fp)).count();
        let Some(longest) = known.checked_sub(1).and_then(|i| self.present.get(&prefixes[i]))
        else {
            return 0;
        };
        let tokens = known as u32 * TOKENS_PER_BLOCK;
        if *longest < self.doubtful_below { tokens / 2 } else { tokens }
    }

    fn drop_oldest(&mut self) {
        let Some((fp, stamp)) = self.order.pop_front() else {
            return;
        };
        if self.present.get(&fp) == Some(&stamp) {
            self.present.remove(&fp);
        }
    }
}
