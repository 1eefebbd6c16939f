//! What a gateway tells operators of itself and of the others that it hears.

use std::time::{Duration, Instant};

use hyper::{Response, StatusCode};
use serde::Serialize;

use super::doors::{with_status, with_type};
use crate::{
    clock,
    gateway::{
        board::{Board, PeerView, StoreState, UpstreamView},
        context::Gateway,
        decide::RolloutView,
        model::{Followed, Revision},
        net::{AnswerBody, Phase},
    },
};

/// Path under which operators ask how a gateway does.
pub(super) const STATUS: &str = "/status";

/// How a gateway does.
#[derive(Serialize)]
struct GatewayStatus {
    process: String,
    phase: Phase,
    /// Whether callers should use it.
    ready: bool,
    /// Version of the configuration in force; 0 for none.
    configuration: u64,
    /// Milliseconds since it was known to be the newest; `null` if it never was.
    configuration_age_ms: Option<u64>,
    /// Upstreams that take work.
    upstreams: usize,
    /// Revision of the store up to which they are known.
    upstreams_position: Revision,
    /// Milliseconds since that was known to be the newest; `null` if it never was.
    upstreams_age_ms: Option<u64>,
    /// Whether the store answers this process, as far as it knows.
    store_answers: bool,
    /// Fencing number of its lease on the duties; 0 for none.
    lease_fence: u64,
    in_progress: usize,
    /// Requests that are held, since upstreams end under them.
    quarantined: usize,
    /// Upstreams that ask in their answers for fewer requests or none.
    signals: Vec<SignalStatus>,
    /// Roll-outs of versions.
    rollouts: Vec<RolloutStatus>,
    /// The other gateways, as last heard.
    others: Vec<OtherStatus>,
}

/// What an upstream asks for in its answers, as this process knows it.
#[derive(Serialize)]
struct SignalStatus {
    upstream: String,
    /// Requests a second that it takes from all gateways together; `null` for any number.
    limit: Option<f64>,
    /// For how long it still wants none from this process, in milliseconds.
    rest_ms: u64,
    /// Whether it said that it leaves.
    leaving: bool,
}

/// A roll-out of a version, as this process knows it.
#[derive(Serialize)]
struct RolloutStatus {
    service: String,
    destination: String,
    state: &'static str,
    /// Share of the traffic that the new version gets; at most this while it is on trial.
    share: f64,
    /// Requests to the service since the order.
    arrived: u32,
    /// Those among them that the new version got.
    exposed: u32,
    /// What keeps it from all traffic.
    doubt: String,
    /// Time since the order, in milliseconds.
    age_ms: u64,
    /// Time that the order gives, in milliseconds.
    duration_ms: u64,
}

/// Another gateway as last heard.
#[derive(Serialize)]
struct OtherStatus {
    process: String,
    phase: Phase,
    configuration: u64,
    store_answers: bool,
    holds_lease: bool,
    /// Milliseconds since it was heard.
    heard_ms: u64,
    /// Whether that is too long ago for it to be named to callers.
    silent: bool,
}

/// Answers with the state of this process and of the others that it hears.
pub(super) fn status(gateway: &Gateway) -> Response<AnswerBody> {
    match serde_json::to_vec(&describe(gateway, clock::now())) {
        Ok(json) => with_type(json, "application/json"),
        Err(e) => {
            log::error!("the status cannot be told: {e}");
            with_status(StatusCode::INTERNAL_SERVER_ERROR, "unwritable\n")
        }
    }
}

fn describe(gateway: &Gateway, now: Instant) -> GatewayStatus {
    let ready = gateway.is_ready();
    let board = gateway.board.borrow();
    let silence = board.peer_silence();
    let others = board.peers.iter();
    GatewayStatus {
        process: gateway.process.clone(),
        phase: gateway.shutdown.phase(),
        ready,
        configuration: board.configuration_version(),
        configuration_age_ms: gateway.knowledge_age_ms(Followed::Configuration, now),
        upstreams: board.upstreams.values().filter(|v| v.takes_work()).count(),
        upstreams_position: board.upstreams_position(),
        upstreams_age_ms: gateway.knowledge_age_ms(Followed::Upstreams, now),
        store_answers: !matches!(board.store, StoreState::OutageSince(_)),
        lease_fence: board.lease.may_act(now).unwrap_or_default(),
        in_progress: board.in_progress,
        quarantined: board.crashes.quarantined(),
        signals: board.upstreams.values().filter_map(|v| signals(&board, v, now)).collect(),
        rollouts: rollouts(gateway, &board, now),
        others: others.map(|(process, peer)| other(process, peer, silence, now)).collect(),
    }
}

/// Returns what an upstream asks for, if it asks for anything.
fn signals(board: &Board, view: &UpstreamView, now: Instant) -> Option<SignalStatus> {
    let limit = board.limits.rate(view.lifetime);
    let rest_ms = board.rests.remaining(view.lifetime, now).as_millis() as u64;
    let leaving = view.announced_leaving_since.is_some();
    let upstream = view.upstream.id.clone();
    let asks = limit.is_some() || rest_ms > 0 || leaving;
    asks.then_some(SignalStatus { upstream, limit, rest_ms, leaving })
}

fn rollouts(gateway: &Gateway, board: &Board, now: Instant) -> Vec<RolloutStatus> {
    let exposure = gateway.settings.borrow().bounds.exposure;
    let time = board.store_time(now);
    let status = |view: RolloutView| RolloutStatus {
        state: view.stage.name(),
        share: board.rollouts.share(&view.order.service, exposure, time),
        arrived: view.arrived,
        exposed: view.exposed,
        doubt: view.blocker.to_string(),
        age_ms: time.saturating_sub(view.order.started),
        duration_ms: view.order.duration.as_millis() as u64,
        service: view.order.service,
        destination: view.order.destination,
    };
    board.rollouts.views(time).map(status).collect()
}

fn other(process: &str, peer: &PeerView, silence: Duration, now: Instant) -> OtherStatus {
    let heard = now.saturating_duration_since(peer.last_heard);
    OtherStatus {
        process: process.to_owned(),
        phase: peer.last.phase,
        configuration: peer.last.configuration,
        store_answers: peer.last.store_answers,
        holds_lease: peer.last.holds_lease(),
        heard_ms: heard.as_millis() as u64,
        silent: heard >= silence,
    }
}
