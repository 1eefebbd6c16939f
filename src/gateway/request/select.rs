//! Choice of the upstream for one attempt.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use super::{Admitted, in_flight::InFlight};
use crate::{
    gateway::{
        board::{Board, UpstreamView},
        context::Gateway,
        decide::{
            Candidate, DisabledMechanisms, EngineSpeed, Mechanism, VersionGroup, choose_engine,
            choose_fewest_running, predicted_wait,
        },
        model::{Lifetime, RequestDigest},
        peering::PrefixReport,
    },
    ids::UpstreamId,
    platform::Prompt,
    prefix::Fingerprint,
};

/// Share of an upstream's connections that all gateways together use: new ones
/// hold slots, and an upstream may accept fewer at times.
const CONNECTION_SHARE: f64 = 0.8;
/// Connections to one upstream that every process may have.
const LEAST_CONNECTIONS: usize = 2;

/// The upstream chosen for an attempt.
#[derive(Debug)]
pub struct Selected {
    /// The upstream.
    pub id: UpstreamId,
    /// The lifetime of it that is meant.
    pub lifetime: Lifetime,
    /// Its address.
    pub address: SocketAddr,
    /// Connections that this process may have to it.
    pub most_connections: usize,
    /// Account of the attempt.
    pub in_flight: InFlight,
    /// When it was chosen.
    pub at: Instant,
    /// Predicted time to the first token.
    pub predicted: Duration,
    /// What the choice rests on.
    pub candidate: Candidate,
    /// Candidates that it was chosen from.
    pub candidates: usize,
    /// Those among them that hold the shared part of the prompt, as believed.
    pub holders: usize,
    /// Revision of the list of upstreams.
    pub revision: u64,
    /// Whether it is known to leave.
    pub leaving: bool,
    /// Whether its row is missing.
    pub row_missing: bool,
    /// Versions that it belongs to, while another one is rolled out.
    pub version_group: Option<VersionGroup>,
}

/// The shared part of a prompt: what other requests are about, too.
#[derive(Clone, Copy, Debug)]
struct Shared {
    fingerprint: Fingerprint,
    tokens: u32,
}

/// The last part of a prompt is the request's own; those before are shared.
fn shared(prompt: &Prompt) -> Option<Shared> {
    let (_, shared) = prompt.parts.split_last()?;
    let (fingerprint, _) = *shared.last()?;
    Some(Shared { fingerprint, tokens: shared.iter().map(|(_, tokens)| tokens).sum() })
}

/// What an upstream is wanted for.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Its prompt, for model engines.
    pub prompt: Option<&'a Prompt>,
    /// Upstreams that it was sent to, which are passed over.
    pub tried: &'a [UpstreamId],
    /// Versions that it goes to, while another one is rolled out.
    pub version_group: Option<VersionGroup>,
    /// Whether upstreams ended under it, so that it runs apart from other suspects and
    /// where the least is lost.
    pub apart: bool,
}

/// Chooses the upstream for an attempt and counts it there.
pub fn select(
    gateway: &Rc<Gateway>,
    admitted: &Admitted,
    wanted: &Wanted<'_>,
    now: Instant,
) -> Option<Selected> {
    let shared = wanted.prompt.and_then(shared);
    let off = gateway.settings.borrow().off.clone();
    let speed = gateway.board.borrow().speed(&admitted.service, &off);
    let Choice { id, candidate, candidates, holders } =
        choose(gateway, admitted, wanted, shared, speed, now)?;
    let mut guard = gateway.board.borrow_mut();
    let board = &mut *guard;
    let view = board.upstreams.get(&id)?;
    let (address, revision) = (view.upstream.address, board.upstreams_position());
    let (lifetime, leaving) = (view.lifetime, !view.takes_work());
    let row_missing = view.missing.is_some();
    let version_group = board.rollouts.version_group_of(&admitted.service, &view.upstream.version);
    let missing = candidate.missing_tokens as u32;
    if let Some(shared) = shared {
        let capacity = engine_cache(admitted);
        board.cache.note(lifetime, shared.fingerprint, shared.tokens, capacity, now);
        let report = PrefixReport(shared.fingerprint, shared.tokens, lifetime);
        board.sent_prefixes.push(report);
    }
    // A request brings its load once, however often it is sent.
    if wanted.tried.is_empty() {
        board.load_meter(&admitted.service, now).request(missing, now);
    }
    let processes = 1 + board.peers.len();
    drop(guard);
    let in_flight = InFlight::begin(gateway, wanted.digest, &id, lifetime, missing);
    let most_connections = connection_share(admitted, processes);
    let predicted = predicted_wait(&candidate, speed);
    Some(Selected {
        id,
        lifetime,
        address,
        most_connections,
        in_flight,
        at: now,
        predicted,
        candidate,
        candidates,
        holders,
        revision,
        leaving,
        row_missing,
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
    ((all / processes as f64) as usize).max(LEAST_CONNECTIONS)
}

/// The best of the upstreams that the request may go to.
struct Choice {
    id: UpstreamId,
    candidate: Candidate,
    /// Upstreams that it was chosen from.
    candidates: usize,
    /// Those among them that hold the shared part of the prompt, as believed.
    holders: usize,
}

fn choose(
    gateway: &Gateway,
    admitted: &Admitted,
    wanted: &Wanted<'_>,
    shared: Option<Shared>,
    speed: EngineSpeed,
    now: Instant,
) -> Option<Choice> {
    let (own, off) = {
        let settings = gateway.settings.borrow();
        (settings.data_centre.clone(), settings.off.clone())
    };
    let board = gateway.board.borrow();
    let exposure = gateway.settings.borrow().bounds.exposure;
    let mut open =
        board.upstreams_for_version_group(&admitted.service, wanted.version_group, exposure, now);
    open.retain(|v| !wanted.tried.contains(&v.upstream.id));
    let open = with_room(&board, open, now);
    let views = in_service(open, &off, now);
    let views = without_risk(&board, views, wanted.apart);
    let shared = shared.filter(|_| off.is_enabled(Mechanism::KnownCaches));
    let home = shared
        .filter(|_| off.is_enabled(Mechanism::PrefixHome))
        .and_then(|s| home(&board, &views, s));
    // A failure costs a caller its objective, or the time of another attempt if that is longer.
    let objective = admitted.route.objective.as_secs_f64();
    let failure_weight = (objective / speed.slot_seconds.max(f64::EPSILON)).max(1.0);
    let candidates: Vec<Candidate> = views
        .iter()
        .map(|view| {
            let at_home = home.is_some_and(|id| *id == view.upstream.id);
            let missing = missing_tokens(&board, view, wanted.prompt, shared, at_home);
            let candidate = board.candidate(view, missing, &own, now, fastrand::f64());
            let own = if off.is_enabled(Mechanism::Failures) { candidate.failures } else { 0.0 };
            let all = match off.is_enabled(Mechanism::SharedOutcomes) {
                true => board.expected_failures(view, now),
                false => 0.0,
            };
            let failures = own + all * failure_weight;
            let connected = gateway.pool.has_kept(view.lifetime, now);
            Candidate { failures, connected, ..candidate }
        })
        .collect();
    let best = match wanted.apart {
        true => choose_fewest_running(&candidates, speed)?,
        false => choose_engine(&candidates, speed)?,
    };
    let holds =
        |v: &&&UpstreamView| shared.is_some_and(|s| board.cache.holds(v.lifetime, s.fingerprint));
    Some(Choice {
        id: views[best].upstream.id.clone(),
        candidate: candidates[best],
        candidates: views.len(),
        holders: views.iter().filter(holds).count(),
    })
}

/// Returns the upstreams that neither rest nor have a limit without room for a request of this
/// gateway. If none of them takes work, another gateway may have room in its part of a limit.
fn with_room<'a>(
    board: &Board,
    open: Vec<&'a UpstreamView>,
    now: Instant,
) -> Vec<&'a UpstreamView> {
    let takes_now = |v: &&UpstreamView| board.hold_off(v.lifetime, now) == Some(Duration::ZERO);
    let (mut room, held_off): (Vec<_>, Vec<_>) = open.into_iter().partition(takes_now);
    if !room.iter().any(|v| v.takes_work()) {
        room.extend(held_off.into_iter().filter(|v| board.may_ask_peer(v.lifetime, now)));
    }
    room
}

/// Returns the upstreams that take work. Those that could not be reached of late
/// count only if there are no others, and those that have just begun to leave only
/// if there are none at all.
fn in_service<'a>(
    open: Vec<&'a UpstreamView>,
    off: &DisabledMechanisms,
    now: Instant,
) -> Vec<&'a UpstreamView> {
    let (serving, leaving): (Vec<_>, Vec<_>) = open.into_iter().partition(|v| v.takes_work());
    if serving.is_empty() {
        return leaving.into_iter().filter(|v| v.is_last_resort(now)).collect();
    }
    let is_avoided =
        |v: &&UpstreamView| off.is_enabled(Mechanism::Avoidance) && v.breaker.is_avoided(now);
    let (avoided, reached): (Vec<_>, Vec<_>) = serving.into_iter().partition(is_avoided);
    if reached.is_empty() { avoided } else { reached }
}

/// Returns the upstreams at which no suspect runs, or all if none is left: a suspect takes
/// whatever runs beside it. Requests that are none keep off those alone that are likely
/// to end.
fn without_risk<'a>(
    board: &Board,
    views: Vec<&'a UpstreamView>,
    apart: bool,
) -> Vec<&'a UpstreamView> {
    let upstreams_at_risk = board.crashes.upstreams_at_risk(apart);
    if upstreams_at_risk.is_empty() {
        return views;
    }
    let (at_risk, safe): (Vec<_>, Vec<_>) =
        views.into_iter().partition(|v| upstreams_at_risk.contains(&v.lifetime));
    if safe.is_empty() { at_risk } else { safe }
}

/// Returns where a prefix belongs that no engine holds yet, so that all
/// processes send it to the same engine: the highest hash of both.
fn home<'a>(board: &Board, views: &[&'a UpstreamView], shared: Shared) -> Option<&'a UpstreamId> {
    if views.iter().any(|v| board.cache.holds(v.lifetime, shared.fingerprint)) {
        return None;
    }
    let score =
        |v: &&&UpstreamView| crate::prefix::fnv1a(shared.fingerprint, v.upstream.id.as_bytes());
    views.iter().max_by_key(score).map(|v| &v.upstream.id)
}

/// Returns how many prompt tokens an engine would have to read.
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
