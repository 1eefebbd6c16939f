//! Groups of requests whose costs are learnt together.

use std::{collections::HashMap, time::Instant};

use super::LogSums;
use crate::prefix;

/// Most groups that are kept. The least recently used one makes way for a new one.
pub const MAX_GROUPS: usize = 1_024;

/// Hash that stands for a group: a service, a route at a service, or a customer of such a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GroupKey(pub u32);

impl GroupKey {
    /// Returns the key of the group with these names, the widest name first.
    pub fn new(names: &[&str]) -> Self {
        // Each name is ended by a byte that no name contains, so that "a", "bc" differs from
        // "ab", "c".
        let hash = names
            .iter()
            .fold(prefix::hash(&[]), |h, n| prefix::fnv1a(prefix::fnv1a(h, n.as_bytes()), &[0xff]));
        let hash = prefix::mix(hash);
        Self((hash ^ (hash >> u32::BITS)) as u32)
    }
}

/// What is learnt of the requests of one group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupSums {
    /// Observed output over the hint.
    pub hint_ratio: LogSums,
    /// Observed output in tokens.
    pub output: LogSums,
    /// Time for each output token, in seconds.
    pub token_time: LogSums,
    /// Time of requests without a prompt, in seconds.
    pub plain_time: LogSums,
}

impl GroupSums {
    /// Number of the sums.
    pub const COUNT: usize = 4;

    /// Creates empty sums.
    pub fn new(now: Instant) -> Self {
        Self::from([LogSums::new(now); Self::COUNT])
    }

    /// Returns the sums in the order in which they are reported.
    pub fn all(&self) -> [LogSums; Self::COUNT] {
        [self.hint_ratio, self.output, self.token_time, self.plain_time]
    }

    /// Adds `factor` times the sums of another source.
    pub fn add(&mut self, other: &Self, factor: f64) {
        self.hint_ratio.add(other.hint_ratio, factor);
        self.output.add(other.output, factor);
        self.token_time.add(other.token_time, factor);
        self.plain_time.add(other.plain_time, factor);
    }

    /// Returns the largest weight of the sums, in samples.
    pub fn weight(&self, now: Instant) -> f64 {
        self.all().iter().map(|s| s.read(now).weight()).fold(0.0, f64::max)
    }
}

impl From<[LogSums; Self::COUNT]> for GroupSums {
    fn from([hint_ratio, output, token_time, plain_time]: [LogSums; Self::COUNT]) -> Self {
        Self { hint_ratio, output, token_time, plain_time }
    }
}

/// The sums of a bounded number of groups.
#[derive(Clone, Debug, Default)]
pub struct Groups {
    sums: HashMap<GroupKey, (GroupSums, u64)>,
    /// Number of uses so far, which orders the groups by their last use.
    uses: u64,
}

impl Groups {
    /// Returns the sums of a group, if any.
    pub fn get(&self, key: GroupKey) -> Option<&GroupSums> {
        self.sums.get(&key).map(|(sums, _)| sums)
    }

    /// Returns the sums of a group to be updated, and notes that it was used.
    pub fn entry(&mut self, key: GroupKey, now: Instant) -> &mut GroupSums {
        self.uses += 1;
        if self.sums.len() >= MAX_GROUPS && !self.sums.contains_key(&key) {
            self.evict();
        }
        let (sums, used) = self.sums.entry(key).or_insert_with(|| (GroupSums::new(now), 0));
        *used = self.uses;
        sums
    }

    /// Returns the number of groups.
    pub fn len(&self) -> usize {
        self.sums.len()
    }

    /// Returns whether there is no group.
    pub fn is_empty(&self) -> bool {
        self.sums.is_empty()
    }

    fn evict(&mut self) {
        let oldest = self.sums.iter().min_by_key(|(_, (_, used))| *used).map(|(key, _)| *key);
        if let Some(key) = oldest {
            self.sums.remove(&key);
        }
    }
}
