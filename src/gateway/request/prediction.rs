//! Prediction of what a request would meet if it were sent now.

use std::time::{Duration, Instant};

use super::{Admitted, select::predict_service};
use crate::{
    gateway::{
        board::{Board, HEARTBEAT_PERIOD, UpstreamView},
        context::Gateway,
        decide::{EngineSpeed, PredictedService, slot_wait},
    },
    platform::RequestHead,
};

/// Silence of all other gateways, in heartbeat periods, after which their loads are unknown. Some of
/// 24 heartbeats arrive in each period, so that several empty ones mean that this gateway is cut off
/// or was suspended.
const UNKNOWN_AFTER_PERIODS: u32 = 4;

/// Predicts the course of a request at the best upstream of its service; `None` if there is none or
/// its load is unknown.
pub(super) fn predicted_service(
    gateway: &Gateway,
    admitted: &Admitted,
    head: &RequestHead,
    now: Instant,
) -> Option<PredictedService> {
    let age = load_age(gateway, now);
    if age.is_some_and(|age| age > HEARTBEAT_PERIOD * UNKNOWN_AFTER_PERIODS) {
        return None;
    }
    let predicted = predict_service(gateway, admitted, head.prompt.as_ref(), now)?;
    Some(PredictedService { age, ..predicted })
}

/// Returns the age of the newest load report of another gateway; `None` if none is known.
fn load_age(gateway: &Gateway, now: Instant) -> Option<Duration> {
    let board = gateway.board.borrow();
    let newest = board.peers.values().map(|p| p.last_heard).max()?;
    Some(now.saturating_duration_since(newest))
}

/// Returns whether a request would get a slot at an upstream within its objective. Waiting longer
/// at one upstream while another is free makes the request late.
pub(super) fn has_short_queue(
    board: &Board,
    view: &UpstreamView,
    admitted: &Admitted,
    speed: EngineSpeed,
) -> bool {
    let running = view.own.running + board.peer_load(view).running;
    slot_wait(f64::from(running), view.upstream.slots, speed) <= admitted.route.objective
}
