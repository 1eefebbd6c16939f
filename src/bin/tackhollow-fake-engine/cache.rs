//! Prefix cache in limited memory, least recently used evicted first.

use std::collections::{BTreeMap, HashMap};

use tackhollow::prefix::{BLOCK_BYTES, Fingerprint};

/// Tokens of a block.
const BLOCK_TOKENS: u32 = (BLOCK_BYTES / 4) as u32;

/// A change of the cache.
#[derive(Clone, Debug, Default)]
pub struct CacheChange {
    /// Prefixes stored.
    pub stored: Vec<Fingerprint>,
    /// Prefixes evicted.
    pub evicted: Vec<Fingerprint>,
}

/// Prefix cache.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    stamp: u64,
    by_prefix: HashMap<Fingerprint, u64>,
    by_stamp: BTreeMap<u64, Fingerprint>,
    imported: HashMap<u64, u32>,
}

impl PrefixCache {
    /// Creates a cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            stamp: 0,
            by_prefix: HashMap::new(),
            by_stamp: BTreeMap::new(),
            imported: HashMap::new(),
        }
    }

    /// Returns how many tokens of a prompt are cached.
    pub fn cached_tokens(&self, prompt: u64, prefixes: &[Fingerprint]) -> u32 {
        let blocks = prefixes.iter().take_while(|fp| self.by_prefix.contains_key(fp)).count();
        let imported = self.imported.get(&prompt).copied().unwrap_or_default();
        (blocks as u32 * BLOCK_TOKENS).max(imported)
    }

    /// Notes cache that came from another engine.
    pub fn import(&mut self, prompt: u64, tokens: u32) {
        self.imported.insert(prompt, tokens);
    }

    /// Stores the prefixes of a prompt.
    pub fn store(&mut self, prefixes: &[Fingerprint]) -> CacheChange {
        let mut change = CacheChange::default();
        for fp in prefixes {
            self.stamp += 1;
            match self.by_prefix.insert(*fp, self.stamp) {
                Some(old) => drop(self.by_stamp.remove(&old)),
                None => change.stored.push(*fp),
            }
            self.by_stamp.insert(self.stamp, *fp);
        }
        while self.by_prefix.len() > self.capacity {
            let Some((_, fp)) = self.by_stamp.pop_first() else { break };
            self.by_prefix.remove(&fp);
            change.evicted.push(fp);
        }
        change
    }
}
