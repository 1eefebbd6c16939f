//! Signals in the heads of upstreams' answers: leaving, requested pauses and rate limits.

use hyper::{HeaderMap, StatusCode};

use super::{attempt::OutgoingRequest, select::Selected};
use crate::{
    clock,
    gateway::{context::Gateway, decide::LimitAnnouncement, telemetry::Event},
    platform::{self, SignalError},
};

/// Applies the signals in the head of an upstream's answer, whether or not the request succeeded.
pub(super) fn note_signals(
    gateway: &Gateway,
    outgoing: &OutgoingRequest,
    selected: &Selected,
    status: StatusCode,
    headers: &HeaderMap,
) {
    // After an upstream has gone, another one may answer at its address.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let request = &outgoing.head.id;
    if platform::announces_leaving(headers) {
        let now = clock::now();
        let is_new = gateway.board.borrow_mut().note_leaving(selected.lifetime, now, now);
        if is_new {
            gateway.log_upstream_leaving(selected.lifetime, request);
        }
    }
    let pause = note_rest(gateway, request, selected, status, headers);
    log_rejected(gateway, request, selected, pause);
    if platform::same_request(headers, request) {
        let limit = note_rate_limit(gateway, request, selected, headers);
        log_rejected(gateway, request, selected, limit);
        let brittle = note_brittle(gateway, request, selected, headers);
        log_rejected(gateway, request, selected, brittle);
    }
}

fn note_rest(
    gateway: &Gateway,
    request: &str,
    selected: &Selected,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<(), SignalError> {
    let now = clock::now();
    let time = gateway.board.borrow().clock.unix_millis(now);
    let Some(rest) = platform::decode_retry_after(status, headers, time)? else {
        return Ok(());
    };
    if gateway.board.borrow_mut().rests.extend_cooldown(selected.lifetime, rest, now) {
        let for_ms = rest.as_millis() as u64;
        gateway.log(&Event::Rest { upstream: &selected.id, for_ms, request });
    }
    Ok(())
}

fn note_rate_limit(
    gateway: &Gateway,
    request: &str,
    selected: &Selected,
    headers: &HeaderMap,
) -> Result<(), SignalError> {
    let rate = platform::decode_rate_limit(headers)?;
    // An unsigned answer may come from an intermediary, so it does not lift a limit.
    if rate.is_none() && !platform::is_signed(headers) {
        return Ok(());
    }
    let now = clock::now();
    let mut board = gateway.board.borrow_mut();
    // The upstream may have answered as soon as the request was sent, before a limit began. An
    // answer without a limit is therefore dated back to the time when the upstream was chosen.
    let at = board.store_time(if rate.is_some() { now } else { selected.at });
    let notice = LimitAnnouncement { rate, at };
    let changed = board.limits.learn(selected.lifetime, notice, now);
    drop(board);
    if changed {
        gateway.log_rate_limit(selected.lifetime, notice, request);
    }
    Ok(())
}

fn note_brittle(
    gateway: &Gateway,
    request: &str,
    selected: &Selected,
    headers: &HeaderMap,
) -> Result<(), SignalError> {
    let max_rejections = platform::decode_max_rejections(headers)?;
    // As with rate limits: an unsigned answer may come from an intermediary, and the upstream may
    // have answered without the header as soon as the request was sent.
    if max_rejections.is_none() && !platform::is_signed(headers) {
        return Ok(());
    }
    let now = clock::now();
    let at = if max_rejections.is_some() { now } else { selected.at };
    let mut board = gateway.board.borrow_mut();
    let changed = board.note_brittle(selected.lifetime, max_rejections, at, now);
    drop(board);
    if changed {
        let upstream = &selected.id;
        gateway.log(&Event::Brittle { upstream, max_rejections, request });
    }
    Ok(())
}

fn log_rejected(
    gateway: &Gateway,
    request: &str,
    selected: &Selected,
    noted: Result<(), SignalError>,
) {
    if let Err(e) = noted {
        let error = e.to_string();
        gateway.log(&Event::SignalRejected { upstream: &selected.id, request, error: &error });
    }
}
