//! Selection of the upstream for one attempt.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use super::{
    Admitted,
    choose::{Choice, Criteria, Method, choose, shared},
    cost::predict,
    in_flight::InFlight,
};
use crate::{
    gateway::{
        context::Gateway,
        decide::{Candidate, EngineSpeed, PredictedService, VersionGroup, predicted_wait},
        model::{Lifetime, RequestDigest, UpstreamVersion},
        peering::PrefixReport,
    },
    ids::UpstreamId,
    platform::Prompt,
};

/// Fraction of an upstream's connection limit that all gateways use together. The rest is left
/// because new connections occupy slots and an upstream may accept fewer at times.
const CONNECTION_SHARE: f64 = 0.8;
/// Minimum number of connections to one upstream that every process may open.
const MIN_CONNECTIONS: usize = 2;

/// The upstream chosen for an attempt.
#[derive(Debug)]
pub struct Selected {
    /// Id of the chosen upstream.
    pub id: UpstreamId,
    /// Lifetime of the upstream that was chosen; a restart begins another one.
    pub lifetime: Lifetime,
    /// Address that the upstream listens on.
    pub address: SocketAddr,
    /// Maximum number of connections of this process to the upstream.
    pub max_connections: usize,
    /// Guard that counts the attempt as in flight.
    pub in_flight: InFlight,
    /// When the upstream was chosen.
    pub at: Instant,
    /// Predicted time to the first token.
    pub predicted: Duration,
    /// Predicted time to the first event at an upstream as fast as the average.
    pub average_wait: Duration,
    /// Figures by which the upstream was placed; `None` if placement is not in use.
    pub placed: Option<PlacedFigures>,
    /// Figures that the choice was based on.
    pub candidate: Candidate,
    /// Number of candidates it was chosen from.
    pub candidates: usize,
    /// Number of candidates believed to have the shared part of the prompt cached.
    pub holders: usize,
    /// Store revision of the list of upstreams that the choice was based on.
    pub revision: u64,
    /// Whether the upstream is known to be leaving.
    pub leaving: bool,
    /// Whether the upstream's row is missing from the store.
    pub row_missing: bool,
    /// Version of the upstream's software.
    pub version: UpstreamVersion,
    /// Side of a roll-out that the upstream belongs to; `None` without a roll-out.
    pub version_group: Option<VersionGroup>,
}

/// Figures of the chosen upstream, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacedFigures {
    /// Factor by which the upstream is slower than others.
    pub speed_factor: f64,
    /// Slot time that the upstream has left, in seconds.
    pub work_left: f64,
    /// Cost of the choice, in seconds.
    pub cost: f64,
}

/// What a choice says of the chosen upstream.
struct Chosen {
    id: UpstreamId,
    candidate: Candidate,
    candidates: usize,
    holders: usize,
    predicted: Duration,
    average_wait: Duration,
    placed: Option<PlacedFigures>,
    speed: EngineSpeed,
}

impl Chosen {
    fn new(choice: &Choice<'_>) -> Option<Self> {
        let best = choice.best?;
        let candidate = choice.candidates[best];
        let placed = match &choice.method {
            Method::Engine => None,
            Method::Placed { candidates, costs, .. } => Some(PlacedFigures {
                speed_factor: candidates[best].speed_factor,
                work_left: candidates[best].remaining.slot_seconds,
                cost: costs[best].total(),
            }),
        };
        Some(Self {
            id: choice.views[best].upstream.id.clone(),
            candidate,
            candidates: choice.views.len(),
            holders: choice.holders,
            predicted: predicted_wait(&candidate, choice.speed),
            average_wait: choice.average_wait(best),
            placed,
            speed: choice.speed,
        })
    }
}

/// Chooses the upstream for an attempt and counts the request there as in flight.
pub fn select(
    gateway: &Rc<Gateway>,
    admitted: &Admitted,
    criteria: &Criteria<'_>,
    now: Instant,
) -> Option<Selected> {
    let chosen = {
        let board = gateway.board.borrow();
        let choice = choose(gateway, &board, admitted, criteria, now, fastrand::f64);
        Chosen::new(&choice)?
    };
    let Chosen { id, candidate, .. } = &chosen;
    let (id, candidate) = (id.clone(), *candidate);
    let shared = criteria.prompt.and_then(shared);
    let mut guard = gateway.board.borrow_mut();
    let board = &mut *guard;
    let view = board.upstreams.get(&id)?;
    let (address, revision) = (view.upstream.address, board.upstreams_position());
    let (lifetime, leaving) = (view.lifetime, !view.takes_work());
    let row_missing = view.missing.is_some();
    let version_group = board.rollouts.version_group_of(&admitted.service, &view.upstream.version);
    let version = view.upstream.version.clone();
    let missing = candidate.missing_tokens as u32;
    if let Some(shared) = shared {
        let capacity = engine_cache(admitted);
        board.cache.note(lifetime, shared.fingerprint, shared.tokens, capacity, now);
        let report = PrefixReport(shared.fingerprint, shared.tokens, lifetime);
        board.sent_prefixes.push(report);
    }
    // The load of a request is counted once, not for each attempt.
    if criteria.tried.is_empty() {
        board.load_meter(&admitted.service, now).request(missing, now);
    }
    let processes = 1 + board.peers.len();
    drop(guard);
    let prediction = predict(gateway, admitted, criteria.prompt, now)
        .map(|p| p.with_missing(f64::from(missing), chosen.speed));
    let in_flight =
        InFlight::begin(gateway, criteria.digest, criteria.parts, &id, lifetime, missing)
            .with_work(prediction);
    let max_connections = connection_share(admitted, processes);
    Some(Selected {
        id,
        lifetime,
        address,
        max_connections,
        in_flight,
        at: now,
        predicted: chosen.predicted,
        average_wait: chosen.average_wait,
        placed: chosen.placed,
        candidate,
        candidates: chosen.candidates,
        holders: chosen.holders,
        revision,
        leaving,
        row_missing,
        version,
        version_group,
    })
}

fn engine_cache(admitted: &Admitted) -> u64 {
    let service = admitted.configuration.services.get(&admitted.service);
    service.and_then(|s| s.engine).map_or(0, |e| e.cache_tokens)
}

fn connection_share(admitted: &Admitted, processes: usize) -> usize {
    let service = admitted.configuration.services.get(&admitted.service);
    let all = service.map_or(0, |s| s.max_connections) as f64 * CONNECTION_SHARE;
    ((all / processes as f64) as usize).max(MIN_CONNECTIONS)
}

/// Predicts the course of a request at the upstream that it would be sent to first; `None` if there
/// is no upstream.
pub(super) fn predict_service(
    gateway: &Gateway,
    admitted: &Admitted,
    prompt: Option<&Prompt>,
    now: Instant,
) -> Option<PredictedService> {
    let criteria = Criteria {
        digest: RequestDigest::of(&[]),
        parts: &Rc::default(),
        prompt,
        tried: &[],
        version: None,
        recorded_versions: false,
        version_group: None,
        isolated: false,
    };
    let board = gateway.board.borrow();
    let choice = choose(gateway, &board, admitted, &criteria, now, fastrand::f64);
    PredictedService::new(&choice.candidates[choice.best?], &choice.candidates, choice.speed)
}
