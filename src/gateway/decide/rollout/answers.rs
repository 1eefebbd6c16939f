//! Counts of the answers of each version of a service.

use std::{
    collections::BTreeMap,
    ops::{Add, AddAssign, Sub},
};

use serde::{Deserialize, Serialize};

use crate::prefix;

/// Hash that stands for the name of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouteKey(u32);

impl RouteKey {
    /// Returns the key of the route with this name.
    pub fn new(route: &str) -> Self {
        let hash = prefix::hash(route.as_bytes());
        Self((hash ^ (hash >> u32::BITS)) as u32)
    }
}

/// Group of versions that an upstream belongs to during a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum VersionGroup {
    /// The versions that had the traffic before.
    Earlier,
    /// The version that is to get the traffic.
    New,
}

/// Requests by how they were answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCount {
    /// Requests that were answered or failed.
    pub all: u32,
    /// Requests that failed or took several times the usual time.
    pub bad: u32,
}

impl AnswerCount {
    /// Merges two counts of one process: the larger values win, as counts only rise.
    pub fn max(self, other: Self) -> Self {
        Self { all: self.all.max(other.all), bad: self.bad.max(other.bad) }
    }
}

impl Add for AnswerCount {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self { all: self.all + other.all, bad: self.bad + other.bad }
    }
}

impl AddAssign for AnswerCount {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for AnswerCount {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self { all: self.all.saturating_sub(other.all), bad: self.bad.saturating_sub(other.bad) }
    }
}

/// Answers in one interval of a roll-out, on one route, by one group of versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerRow(
    /// Number of the interval, counted from 0.
    pub u8,
    /// The route.
    pub RouteKey,
    /// The group of versions.
    pub VersionGroup,
    /// The counts.
    pub AnswerCount,
);

/// Counts of answers by interval, route and group of versions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts(BTreeMap<(u8, RouteKey, VersionGroup), AnswerCount>);

impl AnswerCounts {
    /// Counts an answer.
    pub fn note(&mut self, interval: u8, route: RouteKey, version_group: VersionGroup, bad: bool) {
        let count = self.0.entry((interval, route, version_group)).or_default();
        *count += AnswerCount { all: 1, bad: u32::from(bad) };
    }

    /// Merges newer counts of the same process, and adds the increase to `sum`.
    pub fn merge(&mut self, rows: &[AnswerRow], sum: &mut Self) {
        for AnswerRow(interval, route, version_group, count) in rows {
            let key = (*interval, *route, *version_group);
            let known = self.0.entry(key).or_default();
            let newest = known.max(*count);
            *sum.0.entry(key).or_default() += newest - *known;
            *known = newest;
        }
    }

    /// Returns the counts as they are sent to other processes.
    pub fn rows(&self) -> Vec<AnswerRow> {
        self.0
            .iter()
            .map(|((interval, route, version_group), count)| {
                AnswerRow(*interval, *route, *version_group, *count)
            })
            .collect()
    }

    /// Returns the routes that have answers.
    pub fn routes(&self) -> impl Iterator<Item = RouteKey> + use<> {
        let mut routes: Vec<RouteKey> = self.0.keys().map(|(_, route, _)| *route).collect();
        routes.sort_unstable();
        routes.dedup();
        routes.into_iter()
    }

    /// Returns the answers on a route from the interval `first` on.
    pub fn since(&self, first: u8, route: RouteKey, version_group: VersionGroup) -> AnswerCount {
        let is_counted = |((interval, r, s), _): &(&(u8, RouteKey, VersionGroup), &AnswerCount)| {
            *interval >= first && *r == route && *s == version_group
        };
        let rows = self.0.iter().filter(is_counted);
        rows.fold(AnswerCount::default(), |sum, (_, count)| sum + *count)
    }
}
