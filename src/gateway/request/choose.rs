//! Choice of the upstream for one attempt, without effects: nothing is counted or noted.

use std::{
    collections::HashSet,
    rc::Rc,
    time::{Duration, Instant},
};

use super::{
    Admitted,
    prediction::has_short_queue,
    work_estimate::{predicted_work, remaining_work},
};
use crate::{
    gateway::{
        board::{Board, UpstreamView},
        context::Gateway,
        decide::{
            Candidate, Comparison, CostTerms, DisabledMechanisms, EngineSpeed, Mechanism,
            MemoryFit, PlacementCandidate, PredictedWork, RemainingWork, VersionGroup,
            choose_engine, choose_fewest_running, memory_fit, place, predicted_wait,
        },
        model::{PartKey, RequestDigest, UpstreamVersion},
    },
    ids::UpstreamId,
    platform::Prompt,
    prefix::Fingerprint,
    settings::CandidatePolicy,
};

/// Prefix of a prompt that other requests are likely to share.
#[derive(Clone, Copy, Debug)]
pub struct Shared {
    /// Fingerprint of the prefix.
    pub fingerprint: Fingerprint,
    /// Length in tokens.
    pub tokens: u32,
}

/// Returns the shared prefix of a prompt: all parts but the last, which is the request's own.
pub(super) fn shared(prompt: &Prompt) -> Option<Shared> {
    let (_, shared) = prompt.parts.split_last()?;
    let (fingerprint, _) = *shared.last()?;
    Some(Shared { fingerprint, tokens: shared.iter().map(|(_, tokens)| tokens).sum() })
}

/// Criteria for the selection of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Digest of the request, by which its copies are recognised.
    pub digest: RequestDigest,
    /// Parts of its prompt that other requests may share.
    pub parts: &'a Rc<[PartKey]>,
    /// Prompt of the request; `None` if it does not go to a model engine.
    pub prompt: Option<&'a Prompt>,
    /// Upstreams chosen for earlier attempts, which are excluded.
    pub tried: &'a [UpstreamId],
    /// Version at which the request must run; `None` if any will do.
    pub version: Option<&'a UpstreamVersion>,
    /// Whether only versions will do that are recorded in the store, since a stream may begin.
    pub recorded_versions: bool,
    /// Side of a roll-out that the request goes to; `None` without a roll-out or with a version.
    pub version_group: Option<VersionGroup>,
    /// Whether upstream ends were attributed to the request, so that it must run isolated from
    /// other suspects, at the upstream whose end would interrupt the fewest requests.
    pub isolated: bool,
}

/// Rule that excludes an upstream from a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// A stream goes on only at the version that began it, and begins only at one that is recorded, and
    /// a roll-out sends the request to the other versions.
    Version,
    /// An earlier attempt went there.
    Tried,
    /// It is brittle and has no room.
    NoRoom,
    /// It asked for a pause, or its rate limit leaves no permit.
    HeldOff,
    /// It is leaving or gone.
    Leaving,
    /// It could not be reached last time.
    Unreachable,
    /// A request that may crash upstreams runs there.
    Suspects,
    /// The wait for a slot there exceeds the request's objective, and another one's does not.
    Queue,
    /// Its memory is full by prediction, and another one's is not.
    Memory,
}

impl Exclusion {
    /// Returns the name of the rule.
    pub fn name(self) -> &'static str {
        match self {
            Self::Version => "version",
            Self::Tried => "tried",
            Self::NoRoom => "no_room",
            Self::HeldOff => "held_off",
            Self::Leaving => "leaving",
            Self::Unreachable => "unreachable",
            Self::Suspects => "suspects",
            Self::Queue => "queue",
            Self::Memory => "memory",
        }
    }
}

/// Upstreams of a service that are left for a request, and those that rules excluded.
#[derive(Debug)]
struct Open<'a> {
    left: Vec<&'a UpstreamView>,
    excluded: Vec<(&'a UpstreamView, Exclusion)>,
}

impl<'a> Open<'a> {
    /// Excludes all upstreams but those that are kept.
    fn keep(&mut self, rule: Exclusion, kept: impl Fn(&UpstreamView) -> bool) {
        let (kept, excluded): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.left).into_iter().partition(|v| kept(v));
        self.left = kept;
        self.excluded.extend(excluded.into_iter().map(|v| (v, rule)));
    }

    /// Leaves only the upstreams of one part, and excludes those of the other.
    fn split(
        &mut self,
        left: Vec<&'a UpstreamView>,
        others: Vec<&'a UpstreamView>,
        rule: Exclusion,
    ) {
        self.left = left;
        self.excluded.extend(others.into_iter().map(|v| (v, rule)));
    }
}

/// How the upstream was chosen, and what each candidate costs.
#[derive(Debug)]
pub enum Method {
    /// By [`place`], with the cost of each candidate.
    Placed {
        /// Candidates as they were compared.
        candidates: Vec<PlacementCandidate>,
        /// Predicted work of the request.
        work: PredictedWork,
        /// Cost of each candidate.
        costs: Vec<CostTerms>,
        /// Whether each candidate was drawn and compared.
        compared: Vec<bool>,
    },
    /// By [`choose_engine`], or the fewest requests for one that may crash its upstream.
    Engine,
}

/// The best upstream that the request may go to.
#[derive(Debug)]
pub struct Choice<'a> {
    /// Upstreams that it was chosen from.
    pub views: Vec<&'a UpstreamView>,
    /// Figures of each of them.
    pub candidates: Vec<Candidate>,
    /// Index of the best one; `None` if there are no candidates.
    pub best: Option<usize>,
    /// How it was chosen.
    pub method: Method,
    /// Upstreams of the service that it was not chosen from, with the rule that excluded them.
    pub excluded: Vec<(&'a UpstreamView, Exclusion)>,
    /// Number of candidates believed to have the shared part of the prompt cached.
    pub holders: usize,
    /// Speed of the service's upstreams.
    pub speed: EngineSpeed,
}

impl Choice<'_> {
    /// Returns the predicted time to the first event at a candidate that is as fast as the average.
    pub fn average_wait(&self, index: usize) -> Duration {
        let by_load = || predicted_wait(&self.candidates[index], self.speed);
        match &self.method {
            Method::Placed { candidates, costs, .. } => {
                let seconds = costs[index].first_event() / candidates[index].speed_factor;
                Duration::try_from_secs_f64(seconds).unwrap_or_else(|_| by_load())
            }
            Method::Engine => by_load(),
        }
    }
}

/// Chooses the upstream for an attempt. `chance` draws random numbers from 0 to 1.
pub fn choose<'a>(
    gateway: &Gateway,
    board: &'a Board,
    admitted: &'a Admitted,
    criteria: &Criteria<'_>,
    now: Instant,
    mut chance: impl FnMut() -> f64,
) -> Choice<'a> {
    let (own, off, exposure) = {
        let settings = gateway.settings.borrow();
        (settings.data_centre.clone(), settings.off.clone(), settings.bounds.exposure)
    };
    let speed = board.speed(&admitted.service, &off);
    let service = &admitted.service;
    let mut of_version: Vec<&UpstreamView> = match criteria.version {
        Some(version) => {
            board.of_service(service).filter(|v| v.upstream.version == *version).collect()
        }
        None => board.upstreams_for_version_group(service, criteria.version_group, exposure, now),
    };
    if criteria.recorded_versions {
        let recorded = board.recorded_versions.of_service(service);
        let is_recorded =
            |v: &&UpstreamView| recorded.is_some_and(|r| r.contains(&v.upstream.version));
        of_version.retain(is_recorded);
        if of_version.is_empty() {
            of_version = board.of_service(service).filter(is_recorded).collect();
        }
    }
    let mut open = Open { excluded: other_versions(board, service, &of_version), left: of_version };
    open.keep(Exclusion::Tried, |v| !criteria.tried.contains(&v.upstream.id));
    if off.is_enabled(Mechanism::Brittleness) && board.brittle.count_limited() > 0 {
        open.keep(Exclusion::NoRoom, |v| board.may_have_room(v.lifetime, now));
    }
    with_capacity(board, &mut open, now);
    in_service(&mut open, &off, now);
    away_from_suspects(board, &mut open, criteria.isolated, now);
    let factors = Factors::new(gateway, board, admitted, criteria, speed, now);
    if gateway.uses_on(board, Mechanism::Admission) {
        let is_short = |v: &UpstreamView| has_short_queue(board, v, admitted, speed);
        if open.left.iter().any(|v| is_short(v)) {
            open.keep(Exclusion::Queue, is_short);
        }
    }
    with_memory(board, &mut open, &factors, now);
    let Open { left: views, excluded } = open;
    let shared = criteria.prompt.and_then(shared);
    let known = shared.filter(|_| off.is_enabled(Mechanism::KnownCaches));
    let home = known
        .filter(|_| off.is_enabled(Mechanism::PrefixHome))
        .and_then(|s| prefix_home(board, &views, s));
    let candidates: Vec<Candidate> = views
        .iter()
        .map(|view| {
            let at_home = home.is_some_and(|id| *id == view.upstream.id);
            let missing = missing_tokens(board, view, criteria.prompt, known, at_home);
            let candidate = board.candidate(view, missing, &own, now, chance());
            let own = if off.is_enabled(Mechanism::Failures) { candidate.failures } else { 0.0 };
            let all = match off.is_enabled(Mechanism::SharedOutcomes) {
                true => board.expected_failures(view, now),
                false => 0.0,
            };
            let failures = own + all * factors.failure_weight;
            let connected = gateway.pool.has_idle(view.lifetime, now);
            Candidate { failures, connected, ..candidate }
        })
        .collect();
    let (best, method) = match (criteria.isolated, factors.work) {
        (true, _) => (choose_fewest_running(&candidates, speed), Method::Engine),
        (false, None) => (choose_engine(&candidates, speed), Method::Engine),
        (false, Some(work)) => {
            let factor = |v: &UpstreamView| match factors.uses_speeds {
                true => board.speed_factor(v.lifetime, now),
                false => 1.0,
            };
            let placed = views.iter().zip(&candidates);
            let placed: Vec<PlacementCandidate> = placed
                .map(|(v, c)| {
                    let remaining = remaining_work(gateway, board, v, c, speed, now);
                    placement_candidate(c, factor(v), remaining)
                })
                .collect();
            let placement = place(&placed, &work, speed, factors.comparison);
            let best = placement.as_ref().map(|p| p.index);
            let (costs, compared) = placement.map(|p| (p.costs, p.compared)).unwrap_or_default();
            (best, Method::Placed { candidates: placed, work, costs, compared })
        }
    };
    let holds =
        |v: &&&UpstreamView| known.is_some_and(|s| board.cache.holds(v.lifetime, s.fingerprint));
    let holders = views.iter().filter(holds).count();
    Choice { views, candidates, best, method, excluded, holders, speed }
}

/// Figures that are the same for all candidates of a choice.
struct Factors {
    /// Weight of a failure that other gateways have seen too.
    failure_weight: f64,
    /// Work of the request, if upstreams are compared by it.
    work: Option<PredictedWork>,
    uses_speeds: bool,
    comparison: Comparison,
    /// Memory of an engine and what the request needs of it, in tokens, if that limits the choice.
    memory: Option<(u64, f64)>,
}

impl Factors {
    fn new(
        gateway: &Gateway,
        board: &Board,
        admitted: &Admitted,
        criteria: &Criteria<'_>,
        speed: EngineSpeed,
        now: Instant,
    ) -> Self {
        let uses_speeds = gateway.uses_on(board, Mechanism::UpstreamSpeeds);
        let is_placed = gateway.places_by_cost(board);
        let predicted = || predicted_work(gateway, admitted, criteria.prompt, speed, now);
        let work = is_placed.then(predicted);
        // A failure is weighted with the route's latency objective, or with the duration of another
        // attempt if that is longer.
        let slot_seconds = work.map_or(speed.slot_seconds, |w| w.slot_seconds);
        let objective = admitted.route.objective.as_secs_f64();
        let failure_weight = (objective / slot_seconds.max(f64::EPSILON)).max(1.0);
        let candidates = gateway.settings.borrow().load.candidates;
        let comparison = match (gateway.uses_on(board, Mechanism::WorkNotices), candidates) {
            (false, _) => Comparison::SmallSample,
            (true, CandidatePolicy::Sample) => Comparison::Sample,
            (true, CandidatePolicy::All) => Comparison::All,
        };
        let service = admitted.configuration.services.get(&admitted.service);
        let engine = service.and_then(|s| s.engine);
        let limited = criteria.prompt.is_some() && gateway.uses_on(board, Mechanism::EngineMemory);
        let memory = engine
            .filter(|_| limited)
            .map(|e| (e.cache_tokens, work.unwrap_or_else(predicted).memory_tokens));
        Self { failure_weight, work, uses_speeds, comparison, memory }
    }
}

fn placement_candidate(
    c: &Candidate,
    speed_factor: f64,
    remaining: RemainingWork,
) -> PlacementCandidate {
    PlacementCandidate {
        remaining,
        speed_factor,
        slots: c.slots,
        missing_tokens: c.missing_tokens,
        failures: c.failures,
        remote: c.remote,
        connected: c.connected,
        jitter_sample: c.jitter_sample,
    }
}

/// Returns the upstreams of the service that are not among those of the request's versions.
fn other_versions<'a>(
    board: &'a Board,
    service: &'a str,
    of_version: &[&'a UpstreamView],
) -> Vec<(&'a UpstreamView, Exclusion)> {
    if of_version.len() == board.of_service(service).count() {
        return Vec::new();
    }
    let ids: HashSet<&UpstreamId> = of_version.iter().map(|v| &v.upstream.id).collect();
    let others = board.of_service(service).filter(|v| !ids.contains(&v.upstream.id));
    others.map(|v| (v, Exclusion::Version)).collect()
}

/// Leaves the upstreams that have not asked for a pause and whose rate limit leaves a permit in
/// this gateway's share. If none of them takes work, adds those for which another gateway may grant
/// one.
fn with_capacity(board: &Board, open: &mut Open<'_>, now: Instant) {
    let takes_now = |v: &&UpstreamView| board.hold_off(v.lifetime, now) == Some(Duration::ZERO);
    let (mut ready, mut held_off): (Vec<_>, Vec<_>) =
        std::mem::take(&mut open.left).into_iter().partition(takes_now);
    if !ready.iter().any(|v| v.takes_work()) {
        let (asked, others): (Vec<_>, Vec<_>) =
            held_off.into_iter().partition(|v| board.may_ask_peer(v.lifetime, now));
        ready.extend(asked);
        held_off = others;
    }
    open.split(ready, held_off, Exclusion::HeldOff);
}

/// Leaves the upstreams that take work. Recently unreachable ones are used only if there are no
/// others, and ones that have just begun to leave only if no upstream takes work.
fn in_service(open: &mut Open<'_>, off: &DisabledMechanisms, now: Instant) {
    if !open.left.iter().any(|v| v.takes_work()) {
        open.keep(Exclusion::Leaving, |v| v.is_last_resort(now));
        return;
    }
    open.keep(Exclusion::Leaving, UpstreamView::takes_work);
    let is_avoided =
        |v: &UpstreamView| off.is_enabled(Mechanism::Avoidance) && v.breaker.is_avoided(now);
    if open.left.iter().any(|v| !is_avoided(v)) {
        open.keep(Exclusion::Unreachable, |v| !is_avoided(v));
    }
}

/// Leaves the upstreams at which no request suspected of crashing upstreams runs, or all if none is
/// left, since a crash also ends the requests that run beside the suspect. Requests that are not
/// suspects avoid only upstreams that are likely to end.
fn away_from_suspects(board: &Board, open: &mut Open<'_>, isolated: bool, now: Instant) {
    let mut upstreams_at_risk = board.crashes.upstreams_at_risk(isolated);
    upstreams_at_risk.extend(board.crashes.parts().upstreams_at_risk(now));
    if open.left.iter().any(|v| !upstreams_at_risk.contains(&v.lifetime)) {
        open.keep(Exclusion::Suspects, |v| !upstreams_at_risk.contains(&v.lifetime));
    }
}

/// Leaves the engines whose memory holds the request beside those that run there. If none is left,
/// leaves all: a part of a prompt that several requests share is counted for each of them.
fn with_memory(board: &Board, open: &mut Open<'_>, factors: &Factors, now: Instant) {
    let Some((capacity, needed)) = factors.memory else {
        return;
    };
    let fits = |v: &UpstreamView| {
        let held = board.remaining_work(v, now).memory_tokens;
        memory_fit(held, needed, capacity) == MemoryFit::Fits
    };
    if open.left.iter().any(|v| fits(v)) {
        open.keep(Exclusion::Memory, fits);
    }
}

/// Returns the upstream for a prefix that no engine has cached yet, by rendezvous hashing, so that
/// all gateways send it to the same engine.
fn prefix_home<'a>(
    board: &Board,
    views: &[&'a UpstreamView],
    shared: Shared,
) -> Option<&'a UpstreamId> {
    if views.iter().any(|v| board.cache.holds(v.lifetime, shared.fingerprint)) {
        return None;
    }
    let score =
        |v: &&&UpstreamView| crate::prefix::fnv1a(shared.fingerprint, v.upstream.id.as_bytes());
    views.iter().max_by_key(score).map(|v| &v.upstream.id)
}

/// Returns the number of prompt tokens that are not cached at an engine and that it must process.
fn missing_tokens(
    board: &Board,
    view: &UpstreamView,
    prompt: Option<&Prompt>,
    shared: Option<Shared>,
    at_home: bool,
) -> u32 {
    let all = prompt.map_or(0, |p| p.tokens);
    let Some(shared) = shared else {
        return all;
    };
    let held = at_home || board.cache.holds(view.lifetime, shared.fingerprint);
    if held { all.saturating_sub(shared.tokens) } else { all }
}
