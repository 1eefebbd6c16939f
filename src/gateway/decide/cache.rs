//! Estimate of the shared prompt prefixes that each engine holds in its KV cache.

use std::{collections::HashMap, time::Instant};

use crate::{gateway::model::Lifetime, prefix::Fingerprint};

/// Assumed fraction of an engine's cache that is available to shared prefixes; the rest holds
/// running requests.
const SHARED_FRACTION: f64 = 0.7;

#[derive(Clone, Copy, Debug)]
struct CachedPrefix {
    tokens: u32,
    last_used: Instant,
}

#[derive(Clone, Debug, Default)]
struct EngineCache {
    prefixes: HashMap<Fingerprint, CachedPrefix>,
    tokens: u64,
}

/// Estimated KV cache contents of all engines, derived from the requests sent to them. An
/// engine that restarts loses its cache, so entries are keyed by lifetime.
#[derive(Clone, Debug, Default)]
pub struct PrefixCacheEstimate {
    engines: HashMap<Lifetime, EngineCache>,
}

impl PrefixCacheEstimate {
    /// Records that a request with a shared prefix was sent to an engine whose cache holds
    /// `capacity` tokens. Least recently used prefixes are evicted when the estimate exceeds
    /// the space for shared prefixes.
    pub fn note(
        &mut self,
        engine: Lifetime,
        prefix: Fingerprint,
        tokens: u32,
        capacity: u64,
        now: Instant,
    ) {
        if tokens == 0 {
            return;
        }
        let known = self.engines.entry(engine).or_default();
        match known.prefixes.insert(prefix, CachedPrefix { tokens, last_used: now }) {
            Some(previous) => {
                known.tokens = known.tokens - u64::from(previous.tokens) + u64::from(tokens)
            }
            None => known.tokens += u64::from(tokens),
        }
        known.evict_to((capacity as f64 * SHARED_FRACTION) as u64);
    }

    /// Returns whether the engine is expected to hold the prefix.
    pub fn holds(&self, engine: Lifetime, prefix: Fingerprint) -> bool {
        self.engines.get(&engine).is_some_and(|e| e.prefixes.contains_key(&prefix))
    }

    /// Drops all engine lifetimes for which `known` returns false.
    pub fn retain(&mut self, known: impl Fn(Lifetime) -> bool) {
        self.engines.retain(|lifetime, _| known(*lifetime));
    }
}

impl EngineCache {
    fn evict_to(&mut self, max_tokens: u64) {
        while self.tokens > max_tokens && self.prefixes.len() > 1 {
            let oldest =
                self.prefixes.iter().min_by_key(|(_, entry)| entry.last_used).map(|(p, _)| *p);
            let Some(entry) = oldest.and_then(|p| self.prefixes.remove(&p)) else {
                return;
            };
            self.tokens -= u64::from(entry.tokens);
        }
    }
}
