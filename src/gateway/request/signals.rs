//! What upstreams say of themselves in the heads of their answers.

use hyper::{HeaderMap, StatusCode};

use super::{attempt::Outgoing, select::Selected};
use crate::{
    clock,
    gateway::{context::Gateway, decide::LimitAnnouncement, telemetry::Event},
    platform::{self, SignalError},
};

/// Takes over what the upstream says of itself in the head of an answer, whatever comes of
/// the request.
pub(super) fn note_signals(
    gateway: &Gateway,
    outgoing: &Outgoing,
    selected: &Selected,
    status: StatusCode,
    headers: &HeaderMap,
) {
    // Another upstream may answer at the address of one that is gone.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let request = &outgoing.head.id;
    if platform::says_leaving(headers) {
        let now = clock::now();
        let is_new = gateway.board.borrow_mut().note_leaving(selected.lifetime, now, now);
        if is_new {
            gateway.log_upstream_leaving(selected.lifetime, request);
        }
    }
    let rested = note_rest(gateway, request, selected, status, headers);
    reject_bad(gateway, request, selected, rested);
    if platform::same_request(headers, request) {
        let noted = note_rate_limit(gateway, request, selected, headers);
        reject_bad(gateway, request, selected, noted);
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
    let Some(rest) = platform::decode_rest(status, headers, time)? else {
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
    // Without a signature it may be the answer of something on the way.
    if rate.is_none() && !platform::is_signed(headers) {
        return Ok(());
    }
    let now = clock::now();
    let mut board = gateway.board.borrow_mut();
    // The upstream may have answered as early as the request went out, before a limit began.
    let at = board.store_time(if rate.is_some() { now } else { selected.at });
    let notice = LimitAnnouncement { rate, at };
    let changed = board.limits.learn(selected.lifetime, notice, now);
    drop(board);
    if changed {
        gateway.log_rate_limit(selected.lifetime, notice, request);
    }
    Ok(())
}

fn reject_bad(
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
