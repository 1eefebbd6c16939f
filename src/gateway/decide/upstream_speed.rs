//! Speed of each upstream relative to the others of its service, as all gateways together see it.
//!
//! Load addressed: upstreams of one service that differ in speed. The speed of the service is a
//! mean over its upstreams, so that a slow upstream would get as many requests as a fast one.
//!
//! A sample is the logarithm of the observed over the predicted time to the first event (plain
//! requests: to the whole answer). The part of it that all upstreams share is attributed to this
//! gateway, whose path or processor may be slow, and only the rest to the upstream.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::gateway::model::{Lifetime, ServiceName};

/// Time constant of the decay of samples. Upstreams keep their speed for longer; a change takes
/// effect within about this time.
const TIME_CONSTANT: Duration = Duration::from_secs(15);
/// Weight of the assumption that an upstream is as fast as the others, in answers: few answers say
/// little, since single times differ by factors.
const PRIOR_ANSWERS: f64 = 5.0;
/// Largest factor that one sample counts as. A request may wait for a prompt that another gateway
/// sent at the same time, which says nothing about the upstream's speed.
const MAX_FACTOR: f64 = 4.0;
/// Shortest time that is distinguished, in seconds: clocks and wake-ups are no more precise.
const MIN_SECONDS: f64 = 0.001;
/// Gap between two heartbeats of this process above which it is taken to have been frozen. Answers
/// that arrived during the gap look late.
const MAX_HEARTBEAT_GAP: Duration = Duration::from_millis(500);
/// Maximum number of upstreams in one report.
const MAX_REPORTED: usize = 16;
/// How long an upstream is reported after its last answer, so that a report reaches the other
/// gateways even if some heartbeats are lost.
const REPORT_PERIOD: Duration = Duration::from_millis(1_200);
/// Largest weight in a report that is believed: one gateway's answers of an upstream in 15 s at
/// 1,000 requests a second.
const MAX_REPORTED_WEIGHT: f64 = 15_000.0;

/// Sum of samples, each with a weight of 1 that decays with its age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedSamples {
    /// Sum of the weights, in answers.
    pub weight: f64,
    /// Weighted sum of the logarithms of the factors.
    pub sum: f64,
}

impl SpeedSamples {
    /// Returns what is left of the samples after `age`.
    pub fn aged(self, age: Duration) -> Self {
        let left = (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        Self { weight: self.weight * left, sum: self.sum * left }
    }

    /// Adds other samples.
    pub fn add(&mut self, other: Self) {
        self.weight += other.weight;
        self.sum += other.sum;
    }

    /// Returns the estimated logarithm, shrunk towards 0.
    pub fn logarithm(self) -> f64 {
        self.sum / (self.weight + PRIOR_ANSWERS)
    }

    /// Returns the estimated factor by which times are longer than at an average upstream; 1 without
    /// samples.
    pub fn factor(self) -> f64 {
        self.logarithm().exp()
    }

    /// Returns the samples that were added since `earlier`, the previous report of the same sender,
    /// `age` before this one. All of them if the sender has started a new sum.
    pub fn since(self, earlier: Self, age: Duration) -> Self {
        let left = earlier.aged(age);
        // Weights travel with 24 bits of precision.
        let tolerance = 1e-3 * left.weight;
        if self.weight + tolerance < left.weight {
            return self;
        }
        Self { weight: (self.weight - left.weight).max(0.0), sum: self.sum - left.sum }
    }

    /// Returns whether another gateway may report these samples: not negative, finite, and no
    /// larger than it can have measured.
    pub fn is_plausible(self) -> bool {
        let largest_sum = self.weight * MAX_FACTOR.ln() * 1.001;
        (0.0..=MAX_REPORTED_WEIGHT).contains(&self.weight) && self.sum.abs() <= largest_sum
    }
}

/// Samples that decay from a time on.
#[derive(Clone, Copy, Debug)]
struct AgedSamples {
    samples: SpeedSamples,
    at: Instant,
}

impl AgedSamples {
    fn new(now: Instant) -> Self {
        Self { samples: SpeedSamples::default(), at: now }
    }

    fn read(&self, now: Instant) -> SpeedSamples {
        self.samples.aged(now.saturating_duration_since(self.at))
    }

    /// Adds samples as of `now`, which may lie before the latest addition.
    fn add(&mut self, samples: SpeedSamples, now: Instant) {
        let latest = self.at.max(now);
        let mut sum = self.read(latest);
        sum.add(samples.aged(latest.saturating_duration_since(now)));
        *self = Self { samples: sum, at: latest };
    }
}

/// Samples that this gateway took at one upstream.
#[derive(Clone, Copy, Debug)]
struct OwnSamples {
    all: AgedSamples,
    /// Those since the upstream was last left out of the reports.
    reported: AgedSamples,
    last_answer: Instant,
}

/// Time that an upstream took for an answer.
#[derive(Clone, Copy, Debug)]
pub struct SpeedSample<'a> {
    /// The upstream, in one lifetime.
    pub upstream: Lifetime,
    /// Service of the upstream.
    pub service: &'a ServiceName,
    /// When the request was sent.
    pub sent: Instant,
    /// Time to the first event, or to the whole answer of a plain request.
    pub took: Duration,
    /// The same at an average upstream with the load that this one was believed to have, in seconds.
    pub predicted: f64,
}

/// Why a sample was left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleUse {
    /// The sample was added.
    Used,
    /// This process was frozen after the request was sent.
    Frozen,
    /// The prediction is not a positive number.
    NotPredicted,
}

impl SampleUse {
    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Used => "used",
            Self::Frozen => "frozen",
            Self::NotPredicted => "not_predicted",
        }
    }
}

/// Speeds of upstreams by lifetime, from this gateway's samples and the reports of others.
///
/// Memory is proportional to the number of upstreams, and the cost of a report to its length: the
/// samples of other gateways are kept as one sum for each upstream.
#[derive(Clone, Debug)]
pub struct UpstreamSpeeds {
    own: HashMap<Lifetime, OwnSamples>,
    others: HashMap<Lifetime, AgedSamples>,
    /// Part of the samples that all upstreams of a service share.
    offsets: HashMap<ServiceName, AgedSamples>,
    last_heartbeat: Instant,
    /// When this process last resumed after a freeze.
    resumed_at: Option<Instant>,
}

impl UpstreamSpeeds {
    /// Creates the estimate of a process that starts now: all upstreams are equally fast.
    pub fn new(now: Instant) -> Self {
        Self {
            own: HashMap::new(),
            others: HashMap::new(),
            offsets: HashMap::new(),
            last_heartbeat: now,
            resumed_at: None,
        }
    }

    /// Adds the time of an answer that says something about its upstream: not one that failed, was
    /// resumed, waited for a slot, or came from a canary version.
    pub fn note(&mut self, sample: &SpeedSample<'_>, now: Instant) -> SampleUse {
        self.detect_freeze(now);
        if self.resumed_at.is_some_and(|resumed| sample.sent < resumed) {
            return SampleUse::Frozen;
        }
        if !(sample.predicted.is_finite() && sample.predicted > 0.0) {
            return SampleUse::NotPredicted;
        }
        let took = sample.took.as_secs_f64().max(MIN_SECONDS);
        let limit = MAX_FACTOR.ln();
        let logarithm = (took / sample.predicted.max(MIN_SECONDS)).ln();
        let excess = logarithm - self.samples(sample.upstream, now).logarithm();
        let offset = self.offsets.entry(sample.service.clone());
        let offset = offset.or_insert_with(|| AgedSamples::new(now));
        let offset_before = offset.read(now).logarithm();
        let one = |sum: f64| SpeedSamples { weight: 1.0, sum: sum.clamp(-limit, limit) };
        offset.add(one(excess), now);
        let seen = one(logarithm - offset_before);
        let own = self.own.entry(sample.upstream).or_insert_with(|| OwnSamples {
            all: AgedSamples::new(now),
            reported: AgedSamples::new(now),
            last_answer: now,
        });
        own.all.add(seen, now);
        own.reported.add(seen, now);
        own.last_answer = now;
        SampleUse::Used
    }

    /// Adds samples of another gateway that were reported at `sent`.
    pub fn add_reported(&mut self, upstream: Lifetime, samples: SpeedSamples, sent: Instant) {
        let sum = self.others.entry(upstream).or_insert_with(|| AgedSamples::new(sent));
        sum.add(samples, sent);
    }

    /// Returns the samples of all gateways at an upstream.
    pub fn samples(&self, upstream: Lifetime, now: Instant) -> SpeedSamples {
        let mut all = self.others.get(&upstream).map(|s| s.read(now)).unwrap_or_default();
        all.add(self.own.get(&upstream).map(|s| s.all.read(now)).unwrap_or_default());
        all
    }

    /// Returns the samples to be reported with the next heartbeat, by upstream: those of the
    /// upstreams with the newest answers. An upstream that is left out begins a new sum, so that a
    /// receiver that forgot it does not count its samples twice.
    pub fn reports(&mut self, now: Instant) -> Vec<(Lifetime, SpeedSamples)> {
        self.detect_freeze(now);
        self.last_heartbeat = self.last_heartbeat.max(now);
        let age = |own: &OwnSamples| now.saturating_duration_since(own.last_answer);
        let mut newest: Vec<(Lifetime, Duration)> =
            self.own.iter().map(|(l, own)| (*l, age(own))).collect();
        newest.sort_by_key(|(lifetime, age)| (*age, *lifetime));
        let is_recent = |age: &Duration| *age < REPORT_PERIOD;
        let listed = newest.iter().take(MAX_REPORTED).filter(|(_, age)| is_recent(age)).count();
        for (lifetime, _) in &newest[listed..] {
            if let Some(own) = self.own.get_mut(lifetime) {
                own.reported = AgedSamples::new(now);
            }
        }
        let reported = newest[..listed].iter().map(|(l, _)| (*l, self.own[l].reported.read(now)));
        reported.collect()
    }

    /// Drops the upstreams that are not `known`.
    pub fn retain(&mut self, known: impl Fn(Lifetime) -> bool) {
        self.own.retain(|lifetime, _| known(*lifetime));
        self.others.retain(|lifetime, _| known(*lifetime));
    }

    fn detect_freeze(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_heartbeat) > MAX_HEARTBEAT_GAP {
            self.resumed_at = Some(now);
        }
    }
}
