//! Which shared prompt prefixes each engine likely holds in its KV cache.

use std::{collections::HashMap, time::Instant};

use crate::{gateway::model::Lifetime, prefix::Fingerprint};

/// Share of an engine's cache that shared prefixes are believed to get; the
/// rest holds running requests.
const SHARED_PART: f64 = 0.7;

#[derive(Clone, Copy, Debug)]
struct Held {
    tokens: u32,
    used: Instant,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    held: HashMap<Fingerprint, Held>,
    tokens: u64,
}

/// Belief about the caches of all engines, from requests sent to them. An engine
/// that starts again holds nothing, so the belief is by lifetime.
#[derive(Clone, Debug, Default)]
pub struct CacheBelief {
    engines: HashMap<Lifetime, Engine>,
}

impl CacheBelief {
    /// Notes that a request with a shared prefix was sent to an engine whose
    /// cache holds `capacity` tokens. The least recently used prefixes yield.
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
        match known.held.insert(prefix, Held { tokens, used: now }) {
            Some(before) => {
                known.tokens = known.tokens - u64::from(before.tokens) + u64::from(tokens)
            }
            None => known.tokens += u64::from(tokens),
        }
        known.shrink((capacity as f64 * SHARED_PART) as u64);
    }

    /// Returns whether the engine likely holds the prefix.
    pub fn holds(&self, engine: Lifetime, prefix: Fingerprint) -> bool {
        self.engines.get(&engine).is_some_and(|e| e.held.contains_key(&prefix))
    }

    /// Forgets engines, and lifetimes of engines, that are not `known`.
    pub fn retain(&mut self, known: impl Fn(Lifetime) -> bool) {
        self.engines.retain(|lifetime, _| known(*lifetime));
    }
}

impl Engine {
    fn shrink(&mut self, most: u64) {
        while self.tokens > most && self.held.len() > 1 {
            let oldest = self.held.iter().min_by_key(|(_, held)| held.used).map(|(p, _)| *p);
            let Some(held) = oldest.and_then(|p| self.held.remove(&p)) else {
                return;
            };
            self.tokens -= u64::from(held.tokens);
        }
    }
}
