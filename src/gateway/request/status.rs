//! Operators' status page: the state of this gateway, and of others as reported by their
//! heartbeats.

use std::time::{Duration, Instant};

use hyper::{Response, StatusCode};
use serde::Serialize;

use super::endpoints::{with_status, with_type};
use crate::{
    clock,
    gateway::{
        board::{Board, PeerView, StoreState, UpstreamView},
        context::Gateway,
        decide::RolloutView,
        model::{Revision, WatchedData},
        net::{AnswerBody, Phase},
    },
};

/// Path of the status page.
pub(super) const STATUS_PATH: &str = "/status";

/// State of a gateway, as shown to operators.
#[derive(Serialize)]
struct GatewayStatus {
    process: String,
    phase: Phase,
    /// Whether the readiness probe succeeds, so that callers should use the gateway.
    ready: bool,
    /// Version of the configuration in force; 0 for none.
    configuration: u64,
    /// Milliseconds since the configuration was last known to be the newest; `null` if it never
    /// was.
    configuration_age_ms: Option<u64>,
    /// Number of upstreams that take work.
    upstreams: usize,
    /// Number of those that could not be reached last time.
    unreachable: usize,
    /// Whether it reaches upstreams only through other gateways.
    cut_off: bool,
    /// Store revision up to which the upstreams are known.
    upstreams_position: Revision,
    /// Milliseconds since that revision was last known to be the newest; `null` if it never was.
    upstreams_age_ms: Option<u64>,
    /// Whether the store answered this process when last asked.
    store_answers: bool,
    /// Fencing token of the lease for the duties; 0 if this process does not hold it.
    lease_fence: u64,
    in_progress: usize,
    /// Number of requests that are quarantined for crashing upstreams.
    quarantined: usize,
    /// Number of parts of prompts that are quarantined for crashing upstreams.
    quarantined_parts: usize,
    /// Upstreams that ask in their answers for fewer or no requests.
    signals: Vec<SignalStatus>,
    /// Version roll-outs.
    rollouts: Vec<RolloutStatus>,
    /// Other gateways, as of their last heartbeats.
    others: Vec<PeerStatus>,
}

/// Signals that an upstream sent in its answers, as known to this process.
#[derive(Serialize)]
struct SignalStatus {
    upstream: String,
    /// Rate limit over all gateways, in requests per second; `null` for none.
    limit: Option<f64>,
    /// Milliseconds left of a pause that it asked this process for; 0 for none.
    rest_ms: u64,
    /// Whether it announced that it leaves.
    leaving: bool,
    /// Rejections in a second above which it falls over; left out if it is not brittle.
    #[serde(skip_serializing_if = "Option::is_none")]
    max_rejections: Option<f64>,
}

/// A version roll-out, as known to this process.
#[derive(Serialize)]
struct RolloutStatus {
    service: String,
    destination: String,
    state: &'static str,
    /// Fraction of the traffic that the new version gets; an upper bound during the canary phase.
    share: f64,
    /// Number of requests to the service since the roll-out was ordered.
    arrived: u32,
    /// Number of those that went to the new version.
    exposed: u32,
    /// Reason why the new version does not get all traffic.
    doubt: String,
    /// Milliseconds since the roll-out was ordered.
    age_ms: u64,
    /// Duration set for the roll-out, in milliseconds.
    duration_ms: u64,
}

/// Another gateway, as of its last heartbeat.
#[derive(Serialize)]
struct PeerStatus {
    process: String,
    phase: Phase,
    configuration: u64,
    cut_off: bool,
    store_answers: bool,
    holds_lease: bool,
    /// Milliseconds since the last heartbeat.
    heard_ms: u64,
    /// Whether that is too long ago for the gateway to be listed in directory answers.
    silent: bool,
}

/// Answers with the state of this process and of the gateways that it hears.
pub(super) fn status(gateway: &Gateway) -> Response<AnswerBody> {
    match serde_json::to_vec(&describe(gateway, clock::now())) {
        Ok(json) => with_type(json, "application/json"),
        Err(e) => {
            log::error!("failed to encode status: {e}");
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
        configuration_age_ms: gateway.knowledge_age_ms(WatchedData::Configuration, now),
        upstreams: board.upstreams.values().filter(|v| v.takes_work()).count(),
        cut_off: board.paths.is_cut_off(),
        unreachable: board.unreachable_upstreams().count(),
        upstreams_position: board.upstreams_position(),
        upstreams_age_ms: gateway.knowledge_age_ms(WatchedData::Upstreams, now),
        store_answers: !matches!(board.store, StoreState::OutageSince(_)),
        lease_fence: board.lease.may_act(now).unwrap_or_default(),
        in_progress: board.in_progress,
        quarantined: board.crashes.quarantined(),
        quarantined_parts: board.crashes.parts().quarantined(),
        signals: board.upstreams.values().filter_map(|v| signals(&board, v, now)).collect(),
        rollouts: rollouts(gateway, &board, now),
        others: others.map(|(process, peer)| other(process, peer, silence, now)).collect(),
    }
}

/// Returns the signals of an upstream; `None` if it asks for nothing.
fn signals(board: &Board, view: &UpstreamView, now: Instant) -> Option<SignalStatus> {
    let limit = board.limits.rate(view.lifetime);
    let rest_ms = board.rests.remaining(view.lifetime, now).as_millis() as u64;
    let leaving = view.announced_leaving_since.is_some();
    let upstream = view.upstream.id.clone();
    let max_rejections = board.brittle.rate(view.lifetime);
    let asks = limit.is_some() || rest_ms > 0 || leaving || max_rejections.is_some();
    asks.then_some(SignalStatus { upstream, limit, rest_ms, leaving, max_rejections })
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

fn other(process: &str, peer: &PeerView, silence: Duration, now: Instant) -> PeerStatus {
    let heard = now.saturating_duration_since(peer.last_heard);
    PeerStatus {
        process: process.to_owned(),
        phase: peer.last.phase,
        configuration: peer.last.configuration,
        cut_off: peer.last.cut_off,
        store_answers: peer.last.store_answers,
        holds_lease: peer.last.holds_lease(),
        heard_ms: heard.as_millis() as u64,
        silent: heard >= silence,
    }
}
