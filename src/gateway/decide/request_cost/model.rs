//! Learns the costs of requests from finished ones, and predicts those of new ones.

use std::time::{Duration, Instant};

use super::{
    CostBasis, CostPrediction, CostReport, GroupKey, GroupSums, Groups, LogNormal, LogSums,
    MAX_REPORTED_GROUPS, ReportedCosts,
};
use crate::gateway::decide::EngineSpeed;

/// Standard deviation of the logarithm of the output over the hint while nothing is learnt: a factor
/// of two either way.
const DEFAULT_HINT_SPREAD: f64 = 0.7;
/// Standard deviation of the logarithm of the output without a hint while nothing is learnt.
const DEFAULT_OUTPUT_SPREAD: f64 = 1.0;
/// Output while nothing is learnt, as a share of the maximum that the caller allows.
const DEFAULT_OUTPUT_SHARE: f64 = 0.5;
/// Default time for each output token, in seconds: a step of an engine of usual size.
const DEFAULT_TOKEN_SECONDS: f64 = 0.004;
/// Standard deviation of the logarithm of times while nothing is learnt.
const DEFAULT_TIME_SPREAD: f64 = 0.7;
/// Samples from which a group counts as the basis of a prediction.
const BASIS_SAMPLES: f64 = 4.0;
/// Limit of the logarithm of observed over hinted output. A hint that is off by more than a factor
/// of 150 was not meant as an estimate, and must not dominate the mean of its group.
const MAX_HINT_ERROR: f64 = 5.0;
/// Interval between removals of reports that have decayed.
const RETAIN_INTERVAL: Duration = Duration::from_secs(5);

/// Size of a prompt, and limits of its output, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSize {
    /// Tokens of the whole prompt.
    pub tokens: u32,
    /// Most output tokens.
    pub max_output: u32,
    /// The caller's estimate of the output.
    pub hint: Option<u32>,
}

impl PromptSize {
    pub(super) fn output_limit(self) -> f64 {
        f64::from(self.max_output.max(1))
    }

    fn hint(self) -> Option<f64> {
        self.hint.filter(|h| *h > 0).map(|h| f64::from(h).min(self.output_limit()))
    }
}

/// What is known of a request before it runs.
#[derive(Clone, Copy, Debug)]
pub struct RequestFacts<'a> {
    /// Service that runs it.
    pub service: &'a str,
    /// Name of its route.
    pub route: &'a str,
    /// Customer that it belongs to, if any.
    pub customer: Option<&'a str>,
    /// Its prompt; `None` if it does not go to a model engine.
    pub prompt: Option<PromptSize>,
}

impl RequestFacts<'_> {
    /// Returns the groups that the request belongs to, the widest one first.
    fn groups(&self) -> impl Iterator<Item = (CostBasis, GroupKey)> + use<> {
        let route = [self.service, self.route];
        let customer = self.customer.map(|c| GroupKey::new(&[self.service, self.route, c]));
        [
            Some((CostBasis::Service, GroupKey::new(&route[..1]))),
            Some((CostBasis::Route, GroupKey::new(&route))),
            customer.map(|key| (CostBasis::Customer, key)),
        ]
        .into_iter()
        .flatten()
    }
}

/// What a stream turned out to cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FinishedStream {
    /// Output in tokens.
    pub output_tokens: f64,
    /// Time for each output token after the first event; `None` if there was one event only.
    pub token_seconds: Option<f64>,
}

/// Learnt costs of requests by service, route and customer.
#[derive(Clone, Debug, Default)]
pub struct CostModel {
    own: Groups,
    reported: ReportedCosts,
    /// Own groups that are reported to other processes: services and their routes.
    shared: Vec<GroupKey>,
    retained_at: Option<Instant>,
}

impl CostModel {
    /// Predicts the cost of a request of which an upstream has to process the whole prompt; see
    /// [`CostPrediction::with_missing`].
    pub fn predict(
        &self,
        facts: &RequestFacts<'_>,
        speed: EngineSpeed,
        now: Instant,
    ) -> CostPrediction {
        let Some(prompt) = facts.prompt else {
            let default = LogNormal::new(speed.slot_seconds.ln(), DEFAULT_TIME_SPREAD);
            let (time, basis) = self.learnt(facts, default, |g| g.plain_time, now);
            return CostPrediction::of_plain(time, basis);
        };
        let (output, basis) = match prompt.hint() {
            Some(hint) => {
                let default = LogNormal::new(0.0, DEFAULT_HINT_SPREAD);
                let (ratio, basis) = self.learnt(facts, default, |g| g.hint_ratio, now);
                (ratio.scaled(hint), basis)
            }
            None => {
                let usual = DEFAULT_OUTPUT_SHARE * prompt.output_limit();
                let default = LogNormal::new(usual.ln(), DEFAULT_OUTPUT_SPREAD);
                self.learnt(facts, default, |g| g.output, now)
            }
        };
        let default = LogNormal::new(DEFAULT_TOKEN_SECONDS.ln(), DEFAULT_TIME_SPREAD);
        let (token_time, _) = self.learnt(facts, default, |g| g.token_time, now);
        CostPrediction::of_stream(prompt, output, token_time.mean(), basis)
            .with_missing(f64::from(prompt.tokens), speed)
    }

    /// Learns from a stream that ended completely.
    pub fn note_stream(&mut self, facts: &RequestFacts<'_>, seen: FinishedStream, now: Instant) {
        let Some(prompt) = facts.prompt.filter(|_| seen.output_tokens > 0.0) else {
            return;
        };
        let output = seen.output_tokens.ln();
        let ratio =
            prompt.hint().map(|hint| (output - hint.ln()).clamp(-MAX_HINT_ERROR, MAX_HINT_ERROR));
        self.note(facts, now, |group| {
            group.output.note(output, now);
            if let Some(ratio) = ratio {
                group.hint_ratio.note(ratio, now);
            }
            if let Some(seconds) = seen.token_seconds {
                group.token_time.note(seconds.ln(), now);
            }
        });
    }

    /// Learns from the time that a request without a prompt took.
    pub fn note_plain(&mut self, facts: &RequestFacts<'_>, took: Duration, now: Instant) {
        let log = took.as_secs_f64().ln();
        self.note(facts, now, |group| group.plain_time.note(log, now));
    }

    /// Returns what this process has learnt of services and routes, to be sent with heartbeats.
    /// What others reported is not passed on, so that no sample counts twice.
    pub fn reports(&self, now: Instant) -> Vec<CostReport> {
        let of = |key: &GroupKey| CostReport::new(*key, self.own.get(*key)?, now);
        self.shared.iter().filter_map(of).collect()
    }

    /// Takes the sums of another process, in place of those that it reported before.
    pub fn merge_reports(&mut self, sender: &str, reports: &[CostReport], now: Instant) {
        self.reported.merge(sender, reports, now);
        let is_due = |at: Instant| now.saturating_duration_since(at) >= RETAIN_INTERVAL;
        if self.retained_at.is_none_or(is_due) {
            self.retained_at = Some(now);
            self.reported.retain(now);
        }
    }

    /// Returns the number of groups that this process keeps.
    pub fn group_count(&self) -> usize {
        self.own.len()
    }

    fn note(
        &mut self,
        facts: &RequestFacts<'_>,
        now: Instant,
        mut update: impl FnMut(&mut GroupSums),
    ) {
        for (basis, key) in facts.groups() {
            update(self.own.entry(key, now));
            if basis != CostBasis::Customer {
                self.share(key);
            }
        }
    }

    /// Adds a group to those that are reported, as the most recently used one.
    fn share(&mut self, key: GroupKey) {
        self.shared.retain(|k| *k != key);
        self.shared.insert(0, key);
        self.shared.truncate(MAX_REPORTED_GROUPS);
    }

    /// Returns the distribution for the request's groups, and the narrowest group with enough
    /// samples. Each group is estimated within the next wider one.
    fn learnt(
        &self,
        facts: &RequestFacts<'_>,
        default: LogNormal,
        pick: impl Fn(&GroupSums) -> LogSums,
        now: Instant,
    ) -> (LogNormal, CostBasis) {
        facts.groups().fold((default, CostBasis::Default), |(wider, basis), (group, key)| {
            let mut sums = LogSums::new(now);
            for known in [self.own.get(key), self.reported.get(key)].into_iter().flatten() {
                sums.add(pick(known), 1.0);
            }
            let enough = sums.weight() >= BASIS_SAMPLES;
            (sums.within(wider), if enough { group } else { basis })
        })
    }
}
