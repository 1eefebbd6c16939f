//! Whether a new version does as well as the earlier ones, judged by its answers.
//!
//! A sequential probability ratio test for each route, which may be evaluated after each answer.
//! The new version is compared with the earlier versions on the same route, so that a burst of load
//! or a failing store, which affects both, does not count against it. The test is also evaluated
//! from the start of each interval of the roll-out on, to detect a version that turns bad after it
//! did well.

use std::{collections::BTreeSet, fmt};

use super::answers::{AnswerCount, AnswerCounts, RouteKey, VersionGroup};

/// Intervals that a roll-out's duration is divided into.
pub const INTERVALS: u8 = 8;
/// Smallest share of the good answers that a version has to turn into bad ones for the test to find
/// it bad.
const MIN_SPOILT_SHARE: f64 = 0.2;
/// Lower limit of the share of bad answers that is assumed of the earlier versions.
const MIN_EARLIER_BAD_SHARE: f64 = 0.01;
/// Upper limit of the share of bad answers that is assumed of the earlier versions.
const MAX_EARLIER_BAD_SHARE: f64 = 0.6;
/// Number of answers that the earlier versions' share at other times weighs as much as, when the
/// share in one interval is estimated: few answers say little.
const PRIOR_ANSWERS: f64 = 30.0;
/// Log-likelihood ratio from which a version counts as bad. It is high because every gateway
/// evaluates the test, each on part of the answers, and any one of them ends the roll-out.
const BAD_THRESHOLD: f64 = 12.0;
/// Log-likelihood ratio up to which a route counts as good.
const GOOD_THRESHOLD: f64 = -4.6;
/// The same once time is short.
const GOOD_THRESHOLD_SHORT_TIME: f64 = -1.0;

/// What keeps all traffic from moving to a new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RolloutBlocker {
    /// The version is bad on this route.
    Bad(RouteKey),
    /// Routes with this share of all requests have too few answers yet.
    TooFewAnswers(f64),
    /// Nothing.
    None,
}

impl fmt::Display for RolloutBlocker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bad(_) => write!(f, "bad on a route"),
            Self::TooFewAnswers(share) => {
                write!(f, "too few answers on routes with {:.0} in 100 requests", share * 100.0)
            }
            Self::None => write!(f, "none"),
        }
    }
}

/// What the answers say about a new version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Findings {
    /// A route on which the version is bad.
    pub bad_route: Option<RouteKey>,
    /// Routes on which the version is known to be good.
    pub good_routes: BTreeSet<RouteKey>,
    /// Share of the requests on routes on which the version is not known to be good.
    pub unproved_share: f64,
    /// The same, with the evidence that is enough once time is short.
    pub unproved_share_short_time: f64,
}

impl Findings {
    /// Evaluates all answers; `weight` returns a route's share of the requests.
    pub fn new(answers: &AnswerCounts, weight: impl Fn(RouteKey) -> f64) -> Self {
        let mut findings = Self::default();
        for route in answers.routes() {
            let intervals = RouteIntervals::new(answers, route);
            let ratios = (0..INTERVALS).map(|first| {
                intervals.log_likelihood_ratio_since(first, intervals.worst_bad_share)
            });
            let largest = ratios.fold(f64::NEG_INFINITY, f64::max);
            if largest >= BAD_THRESHOLD {
                findings.bad_route = findings.bad_route.or(Some(route));
            }
            let overall = intervals.log_likelihood_ratio_since(0, intervals.mean_bad_share);
            match overall > GOOD_THRESHOLD {
                true => findings.unproved_share += weight(route),
                false => drop(findings.good_routes.insert(route)),
            }
            findings.unproved_share_short_time +=
                if overall > GOOD_THRESHOLD_SHORT_TIME { weight(route) } else { 0.0 };
        }
        findings
    }

    /// Returns what keeps all traffic from moving; `time_is_short` says whether less evidence is
    /// enough.
    pub fn blocker(&self, time_is_short: bool) -> RolloutBlocker {
        let unproved =
            if time_is_short { self.unproved_share_short_time } else { self.unproved_share };
        match self.bad_route {
            Some(route) => RolloutBlocker::Bad(route),
            None if unproved > MAX_UNPROVED_SHARE => RolloutBlocker::TooFewAnswers(unproved),
            None => RolloutBlocker::None,
        }
    }
}

/// Largest share of the requests on routes so rare that traffic moves without waiting for them.
const MAX_UNPROVED_SHARE: f64 = 0.05;

/// Answers on one route, by interval.
struct RouteIntervals {
    new: Vec<AnswerCount>,
    earlier: Vec<AnswerCount>,
    /// Share of bad answers of the earlier versions.
    mean_bad_share: f64,
    /// The same in the interval where it was largest: a burst of load after most traffic has moved
    /// would otherwise count against the new version.
    worst_bad_share: f64,
}

impl RouteIntervals {
    fn new(answers: &AnswerCounts, route: RouteKey) -> Self {
        let since = |first, version_group| answers.since(first, route, version_group);
        let in_interval = |interval, version_group| {
            since(interval, version_group) - since(interval + 1, version_group)
        };
        let of_group = |version_group| {
            (0..INTERVALS).map(|interval| in_interval(interval, version_group)).collect()
        };
        let (new, earlier): (Vec<AnswerCount>, Vec<AnswerCount>) =
            (of_group(VersionGroup::New), of_group(VersionGroup::Earlier));
        let mean_bad_share = bad_share(since(0, VersionGroup::Earlier));
        let intervals = earlier.iter().map(|count| bad_share_drawn_towards(*count, mean_bad_share));
        let worst_bad_share = intervals.fold(mean_bad_share, f64::max);
        Self { new, earlier, mean_bad_share, worst_bad_share }
    }

    /// Returns the logarithm of the likelihood ratio of a bad new version to one as good as the
    /// earlier ones at the same time, from the answers since the start of interval `first`. Where
    /// the earlier versions gave few answers, their share of bad ones is drawn towards `elsewhere`.
    fn log_likelihood_ratio_since(&self, first: u8, elsewhere: f64) -> f64 {
        let intervals = self.new.iter().zip(&self.earlier).skip(usize::from(first));
        let ratio = |(new, earlier): (&AnswerCount, &AnswerCount)| {
            log_likelihood_ratio(
                *new,
                bad_share_drawn_towards(*earlier, elsewhere)
                    .clamp(MIN_EARLIER_BAD_SHARE, MAX_EARLIER_BAD_SHARE),
            )
        };
        intervals.map(ratio).sum()
    }
}

/// Returns the logarithm of the likelihood ratio of a bad version to one with the share `usual` of
/// bad answers.
fn log_likelihood_ratio(new: AnswerCount, usual: f64) -> f64 {
    let bad_version = usual + (1.0 - usual) * MIN_SPOILT_SHARE;
    let good_answers = f64::from(new.all - new.bad.min(new.all));
    let bad_answers = f64::from(new.bad);
    bad_answers * (bad_version / usual).ln()
        + good_answers * ((1.0 - bad_version) / (1.0 - usual)).ln()
}

fn bad_share(count: AnswerCount) -> f64 {
    (f64::from(count.bad) + 0.5) / (f64::from(count.all) + 1.0)
}

/// Returns the estimated share of bad answers in one interval, drawn towards the share `elsewhere`.
fn bad_share_drawn_towards(count: AnswerCount, elsewhere: f64) -> f64 {
    (f64::from(count.bad) + PRIOR_ANSWERS * elsewhere) / (f64::from(count.all) + PRIOR_ANSWERS)
}
