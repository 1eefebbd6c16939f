//! State of all roll-outs that a process knows of.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{
    AnswerRow, ExposureTerms, Findings, RolloutBlocker, RolloutEnd, RolloutOrder, RolloutReport,
    RolloutStage, RouteKey, SentRow, TypicalTimes, VersionGroup,
    answers::AnswerCounts,
    evidence::INTERVALS,
    exposure::{Exposure, RouteWeights, trial_share},
};
use crate::gateway::{
    decide::StoreMillis,
    model::{Revision, ServiceName, UpstreamVersion},
    peering::ProcessId,
};

/// How many gateways there are and are heard. It limits what this one may send to a new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatewayCounts {
    /// Processes that are heard, this one included.
    pub heard: usize,
    /// Processes that may be serving requests.
    pub members: usize,
}

impl GatewayCounts {
    /// Returns whether this process hears more than half of all processes, itself included, and so
    /// learns from them that a version is bad.
    fn hears_majority(self) -> bool {
        self.heard * 2 > self.members
    }
}

/// Requests sent and answers seen since an order, by one process or summed over all.
#[derive(Clone, Debug, Default)]
struct ProcessCounts {
    sent: BTreeMap<RouteKey, Exposure>,
    answers: AnswerCounts,
}

impl ProcessCounts {
    /// Merges newer counts of the same process, and adds the increase to `sum`.
    fn merge(&mut self, sent: &[SentRow], answers: &[AnswerRow], sum: &mut Self) {
        for SentRow(route, arrived, exposed) in sent {
            let known = self.sent.entry(*route).or_default();
            let sum = sum.sent.entry(*route).or_default();
            sum.arrived += arrived.saturating_sub(known.arrived);
            sum.exposed += exposed.saturating_sub(known.exposed);
            known.arrived = known.arrived.max(*arrived);
            known.exposed = known.exposed.max(*exposed);
        }
        self.answers.merge(answers, &mut sum.answers);
    }

    fn note_sent(&mut self, route: RouteKey, exposed: bool) {
        let sent = self.sent.entry(route).or_default();
        sent.arrived += 1;
        sent.exposed += u32::from(exposed);
    }

    fn weights(&self) -> RouteWeights {
        let mut weights = RouteWeights::default();
        for (route, sent) in &self.sent {
            weights.add(*route, sent.arrived);
        }
        weights
    }

    fn total(&self) -> Exposure {
        self.sent.values().fold(Exposure::default(), |sum, e| Exposure {
            arrived: sum.arrived + e.arrived,
            exposed: sum.exposed + e.exposed,
        })
    }
}

#[derive(Clone, Debug)]
struct Rollout {
    order: RolloutOrder,
    moving_since: Option<StoreMillis>,
    end: Option<RolloutEnd>,
    own: ProcessCounts,
    others: BTreeMap<ProcessId, ProcessCounts>,
    /// Sum over all processes, updated with each report.
    sum: ProcessCounts,
    /// Routes on which the new version is known to be good.
    proved: BTreeSet<RouteKey>,
    /// Whether this process may use its part of the slack. A process that started after the order
    /// may not: it may have used it before it restarted.
    has_slack: bool,
    /// Drawn once between 0 and 1; see `Exposure::may_grow`.
    rounding: f64,
}

impl Rollout {
    fn findings(&self) -> Findings {
        let weights = self.sum.weights();
        Findings::new(&self.sum.answers, |route| weights.share_of(route))
    }

    fn stage(&self, now: StoreMillis) -> RolloutStage {
        match self.end {
            Some(end) => RolloutStage::Ended(end),
            None => self.order.stage(self.moving_since, now),
        }
    }

    fn end(&mut self, end: RolloutEnd) {
        self.end = self.end.max(Some(end));
    }

    /// Returns whether a request goes to the new version.
    fn is_exposed(&self, route: RouteKey, cx: &ExposureContext) -> bool {
        if !cx.member.hears_majority() {
            return false;
        }
        match self.stage(cx.now) {
            RolloutStage::Trying => {
                let (weights, proved) = (self.sum.weights(), self.proved.contains(&route));
                let share = trial_share(weights.share_of(route), weights.routes(), proved);
                let slack = if self.has_slack { cx.terms.slack } else { 0.0 };
                let terms = ExposureTerms { slack, ..cx.terms };
                cx.draw < share
                    && self.own.total().may_grow(terms, cx.member.members, self.rounding)
            }
            RolloutStage::Moving(share) => cx.draw < share,
            RolloutStage::Ended(end) => end == RolloutEnd::Completed,
        }
    }
}

/// What decides whether a request goes to a new version.
#[derive(Clone, Copy, Debug)]
pub struct ExposureContext {
    /// Bound on the requests that a bad version may get.
    pub terms: ExposureTerms,
    /// How many gateways there are and are heard.
    pub member: GatewayCounts,
    /// Time by the store's clock.
    pub now: StoreMillis,
    /// Drawn between 0 and 1 for this request.
    pub draw: f64,
}

/// State of a roll-out for logs and operators.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutView {
    /// The order that started the roll-out.
    pub order: RolloutOrder,
    /// Stage that it has reached.
    pub stage: RolloutStage,
    /// Requests to the service since the order, over all processes, as far as is known.
    pub arrived: u32,
    /// Requests among them that went to the new version.
    pub exposed: u32,
    /// What keeps all traffic from moving to the new version.
    pub blocker: RolloutBlocker,
}

/// A change of a roll-out's stage.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutChange {
    /// The roll-out after the change.
    pub view: RolloutView,
    /// Reason of the change, as written to the log and the metrics.
    pub cause: &'static str,
}

/// The newest roll-out of each service that this process knows of.
#[derive(Clone, Debug, Default)]
pub struct RolloutTracker {
    rollouts: BTreeMap<ServiceName, Rollout>,
    /// Versions that were rolled back, by service.
    rejected: BTreeMap<ServiceName, BTreeSet<UpstreamVersion>>,
    typical: HashMap<ServiceName, TypicalTimes>,
}

impl RolloutTracker {
    /// Adds an order; returns whether it is new here. `has_slack` says whether this process was
    /// running when the order was given, and `rounding` is drawn between 0 and 1.
    pub fn add_order(&mut self, order: RolloutOrder, has_slack: bool, rounding: f64) -> bool {
        if let Some(known) = self.rollouts.get_mut(&order.service) {
            if known.order.is_repeated_by(&order) {
                known.order.revision = order.revision;
            }
            if known.order.revision == order.revision {
                known.order.started = known.order.started.min(order.started);
            }
            if known.order.revision >= order.revision {
                return false;
            }
        }
        let rejected = self.rejected.entry(order.service.clone()).or_default();
        let replaced = self.rollouts.remove(&order.service);
        if let Some(replaced) = replaced.filter(|r| r.end != Some(RolloutEnd::Completed)) {
            rejected.insert(replaced.order.destination);
        }
        rejected.remove(&order.destination);
        let rollout = Rollout {
            moving_since: None,
            end: None,
            own: ProcessCounts::default(),
            others: BTreeMap::new(),
            sum: ProcessCounts::default(),
            proved: BTreeSet::new(),
            has_slack,
            rounding,
            order: order.clone(),
        };
        self.rollouts.insert(order.service, rollout);
        true
    }

    /// Merges what another process reports of a roll-out.
    pub fn merge_report(
        &mut self,
        process: &ProcessId,
        report: &RolloutReport,
        has_slack: bool,
        rounding: f64,
    ) {
        self.add_order(report.order.clone(), has_slack, rounding);
        let Some(known) = self.rollouts.get_mut(&report.order.service) else {
            return;
        };
        if known.order.revision != report.order.revision {
            return;
        }
        known.moving_since = match (known.moving_since, report.moving_since) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        if let Some(end) = report.end {
            known.end(end);
        }
        let counts = known.others.entry(process.clone()).or_default();
        counts.merge(&report.sent, &report.answers, &mut known.sum);
    }

    /// Records how a roll-out ended, as the store says, or that its order was withdrawn.
    pub fn end(&mut self, service: &str, revision: Revision, end: RolloutEnd) {
        let rollout = self.rollouts.get_mut(service).filter(|r| r.order.revision == revision);
        if let Some(rollout) = rollout {
            rollout.end(end);
        }
    }

    /// Returns the services with a roll-out, whether running or ended.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.rollouts.keys()
    }

    /// Returns the newest order for a service.
    pub fn order(&self, service: &str) -> Option<&RolloutOrder> {
        self.rollouts.get(service).map(|r| &r.order)
    }

    /// Chooses the versions for a request to a service and counts it; returns `None` if there is no
    /// roll-out.
    pub fn choose_version_group(
        &mut self,
        service: &str,
        route: RouteKey,
        cx: &ExposureContext,
    ) -> Option<VersionGroup> {
        let rollout = self.rollouts.get_mut(service)?;
        let exposed = rollout.is_exposed(route, cx);
        if rollout.end.is_none() {
            rollout.own.note_sent(route, exposed);
            rollout.sum.note_sent(route, exposed);
        }
        Some(if exposed { VersionGroup::New } else { VersionGroup::Earlier })
    }

    /// Returns the group of a version; `None` if it gets no requests any more, or if its service
    /// has no roll-out.
    pub fn version_group_of(&self, service: &str, version: &str) -> Option<VersionGroup> {
        let rollout = self.rollouts.get(service)?;
        match version == rollout.order.destination {
            true => Some(VersionGroup::New),
            false if self.is_rejected(service, version) => None,
            false => Some(VersionGroup::Earlier),
        }
    }

    /// Returns whether a version was rolled back and gets no requests.
    pub fn is_rejected(&self, service: &str, version: &str) -> bool {
        let rejected = self.rejected.get(service).is_some_and(|r| r.contains(version));
        let rollout = self.rollouts.get(service);
        rejected
            || rollout.is_some_and(|r| {
                r.end == Some(RolloutEnd::RolledBack) && r.order.destination == version
            })
    }

    /// Returns the share of the traffic that the new version gets at this stage.
    pub fn share(&self, service: &str, terms: ExposureTerms, now: StoreMillis) -> f64 {
        match self.rollouts.get(service).map(|r| r.stage(now)) {
            Some(RolloutStage::Trying) => terms.share,
            Some(RolloutStage::Moving(share)) => share,
            Some(RolloutStage::Ended(RolloutEnd::Completed)) | None => 1.0,
            Some(RolloutStage::Ended(RolloutEnd::RolledBack)) => 0.0,
        }
    }

    /// Records an answer. `took` is its time as a multiple of the expected time, or `None` if the
    /// request failed.
    pub fn note_answer(
        &mut self,
        service: &ServiceName,
        route: RouteKey,
        version_group: Option<VersionGroup>,
        took: Option<f64>,
        now: StoreMillis,
    ) {
        let typical = self.typical.entry(service.clone()).or_default();
        let bad = took.is_none_or(|took| typical.is_slow(route, took));
        if let Some(took) = took.filter(|_| version_group != Some(VersionGroup::New)) {
            typical.add(route, took);
        }
        let rollout = self.rollouts.get_mut(service).filter(|r| r.end.is_none());
        if let Some((rollout, version_group)) = rollout.zip(version_group) {
            let interval = rollout.order.interval(INTERVALS, now);
            rollout.own.answers.note(interval, route, version_group, bad);
            rollout.sum.answers.note(interval, route, version_group, bad);
        }
    }

    /// Rolls back versions that are bad, and those that did not prove good in time, where there is
    /// an earlier version to return to.
    pub fn roll_back(
        &mut self,
        now: StoreMillis,
        has_earlier_version: impl Fn(&str) -> bool,
    ) -> Vec<RolloutChange> {
        let mut changes = Vec::new();
        let running = |r: &&mut Rollout| r.end.is_none() && has_earlier_version(&r.order.service);
        for rollout in self.rollouts.values_mut().filter(running) {
            let findings = rollout.findings();
            let bad = findings.bad_route.is_some();
            rollout.proved = findings.good_routes;
            let too_late = rollout.moving_since.is_none() && rollout.order.is_too_late(now);
            if bad || too_late {
                rollout.end(RolloutEnd::RolledBack);
                let cause = if bad { "version_bad" } else { "no_proof_in_time" };
                changes.push(RolloutChange { view: rollout.view(now), cause });
            }
        }
        changes
    }

    /// Starts to move all traffic to the new versions that have proved good. Only the holder of the
    /// lease calls it.
    pub fn start_moving(&mut self, now: StoreMillis) -> Vec<RolloutChange> {
        let mut changes = Vec::new();
        let trying = |r: &&mut Rollout| r.end.is_none() && r.moving_since.is_none();
        for rollout in self.rollouts.values_mut().filter(trying) {
            let order = &rollout.order;
            if !order.may_start_moving(now) || order.is_too_late(now) {
                continue;
            }
            if rollout.findings().blocker(order.is_time_short(now)) == RolloutBlocker::None {
                rollout.moving_since = Some(now);
                changes.push(RolloutChange { view: rollout.view(now), cause: "version_good" });
            }
        }
        changes
    }

    /// Returns the state of each roll-out.
    pub fn views(&self, now: StoreMillis) -> impl Iterator<Item = RolloutView> {
        self.rollouts.values().map(move |r| r.view(now))
    }

    /// Returns what this process reports to the others.
    pub fn reports(&self) -> Vec<RolloutReport> {
        self.rollouts.values().map(Rollout::report).collect()
    }
}

impl Rollout {
    fn view(&self, now: StoreMillis) -> RolloutView {
        let Exposure { arrived, exposed } = self.sum.total();
        RolloutView {
            order: self.order.clone(),
            stage: self.stage(now),
            arrived,
            exposed,
            blocker: self.findings().blocker(self.order.is_time_short(now)),
        }
    }

    fn report(&self) -> RolloutReport {
        let ended = self.end.is_some();
        let sent = self.own.sent.iter().map(|(r, e)| SentRow(*r, e.arrived, e.exposed));
        RolloutReport {
            order: self.order.clone(),
            moving_since: self.moving_since,
            end: self.end,
            // The counts are not needed any more once the roll-out has ended.
            sent: if ended { Vec::new() } else { sent.collect() },
            answers: if ended { Vec::new() } else { self.own.answers.rows() },
        }
    }
}
