//! What gateways report to each other of the costs of requests.

use std::{collections::HashMap, time::Instant};

use serde::{Deserialize, Serialize};

use super::{GroupKey, GroupSums, LogSums};

/// Most groups in one heartbeat.
pub const MAX_REPORTED_GROUPS: usize = 16;
/// Weight in samples below which a group is not reported, and a peer's report is forgotten.
const MIN_WEIGHT: f64 = 0.25;
/// Largest weight that is accepted, in samples.
const MAX_WEIGHT: f64 = 16_000.0;
/// Units of a reported weight in one sample.
const WEIGHT_UNITS: f64 = 4.0;
/// Units of a reported mean or standard deviation in one unit of the logarithm.
const LOG_UNITS: f64 = 256.0;
/// Most peers whose reports are kept: as many as there can be gateways.
const MAX_SENDERS: usize = 4_096;

/// Sums of one kind in integers: weight, mean and standard deviation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct SumsReport(u16, i16, u16);

impl SumsReport {
    fn new(sums: LogSums) -> Self {
        let weight = (sums.weight() * WEIGHT_UNITS).round() as u16;
        match weight {
            0 => Self::default(),
            _ => Self(
                weight,
                (sums.mean() * LOG_UNITS).round() as i16,
                (sums.spread() * LOG_UNITS).round() as u16,
            ),
        }
    }

    fn sums(self, now: Instant) -> LogSums {
        let weight = (f64::from(self.0) / WEIGHT_UNITS).min(MAX_WEIGHT);
        let spread = f64::from(self.2) / LOG_UNITS;
        LogSums::of(weight, f64::from(self.1) / LOG_UNITS, spread, now)
    }
}

/// What one process has learnt of a service or of a route at a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CostReport(u32, [SumsReport; GroupSums::COUNT]);

impl CostReport {
    /// Creates the report of a group; `None` if it has hardly any samples.
    pub fn new(key: GroupKey, sums: &GroupSums, now: Instant) -> Option<Self> {
        let reports = sums.all().map(|s| SumsReport::new(s.read(now)));
        (sums.weight(now) >= MIN_WEIGHT).then_some(Self(key.0, reports))
    }

    fn key(&self) -> GroupKey {
        GroupKey(self.0)
    }

    fn sums(&self, now: Instant) -> GroupSums {
        self.1.map(|report| report.sums(now)).into()
    }
}

/// Sums that other processes report, by group. Each report replaces the earlier one of the same
/// process, so that duplicates count once.
#[derive(Clone, Debug, Default)]
pub struct ReportedCosts {
    totals: HashMap<GroupKey, GroupSums>,
    by_sender: HashMap<String, HashMap<GroupKey, GroupSums>>,
}

impl ReportedCosts {
    /// Records what a process reports.
    pub fn merge(&mut self, sender: &str, reports: &[CostReport], now: Instant) {
        if self.by_sender.len() >= MAX_SENDERS && !self.by_sender.contains_key(sender) {
            return;
        }
        for report in reports.iter().take(MAX_REPORTED_GROUPS) {
            let (key, sums) = (report.key(), report.sums(now));
            let of_sender = self.by_sender.entry(sender.to_owned()).or_default();
            if of_sender.len() >= MAX_REPORTED_GROUPS && !of_sender.contains_key(&key) {
                of_sender.retain(|_, sums| sums.weight(now) >= MIN_WEIGHT);
                if of_sender.len() >= MAX_REPORTED_GROUPS {
                    continue;
                }
            }
            let before = of_sender.insert(key, sums);
            let total = self.totals.entry(key).or_insert_with(|| GroupSums::new(now));
            if let Some(before) = before {
                total.add(&before, -1.0);
            }
            total.add(&sums, 1.0);
        }
    }

    /// Returns the sums of a group over all other processes.
    pub fn get(&self, key: GroupKey) -> Option<&GroupSums> {
        self.totals.get(&key)
    }

    /// Forgets what has decayed. Sums of processes that have ended decay like all others.
    pub fn retain(&mut self, now: Instant) {
        for sums in self.by_sender.values_mut() {
            sums.retain(|_, sums| sums.weight(now) >= MIN_WEIGHT);
        }
        self.by_sender.retain(|_, sums| !sums.is_empty());
        let by_sender = &self.by_sender;
        let mut totals: HashMap<GroupKey, GroupSums> = HashMap::new();
        for (key, sums) in by_sender.values().flatten() {
            totals.entry(*key).or_insert_with(|| GroupSums::new(now)).add(sums, 1.0);
        }
        self.totals = totals;
    }
}
