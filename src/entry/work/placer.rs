//! Finding a slot for a request.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    entry::{
        context::Context,
        event::{Event, Target, TargetQuery},
        held::SlotGuard,
    },
    record::Record,
    routing::pause_after,
    wire::{PeerReply, PeerRequest, PlaceReply, PlaceRequest, PlaceScope, UpstreamAddr},
};

/// Blocks from which a prompt is long: about 256 tokens, whose prefill takes
/// longer than the way to another data centre of the region and back.
const LONG_BLOCKS: usize = 4;
/// Longest wait for an owner in this data centre.
const OWNER_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for another data centre.
const FAR_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A slot on an upstream.
#[derive(Debug)]
pub struct Slot {
    /// The upstream.
    pub upstream: UpstreamAddr,
    /// Gives the slot back when dropped.
    pub guard: SlotGuard,
}

/// Why no slot was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceError {
    /// All slots are in use.
    Busy(Duration),
    /// No upstream that may be used offers the model.
    NoUpstream,
}

/// Waits for a slot until `until`; gives up at once when the record moved.
pub fn place_until(
    cx: &Arc<Context>,
    record: &Record,
    req: &PlaceRequest,
    until: Instant,
) -> Result<Slot, PlaceError> {
    let mut tries = 0;
    let mut req = req.clone();
    loop {
        let failed = match place(cx, &req) {
            Ok(slot) => return Ok(slot),
            Err(e) => e,
        };
        tries += 1;
        req.patience_ms = None;
        // Upstreams that failed this request are better than none.
        req.exclude.clear();
        let pause = pause_after(tries);
        if Instant::now() + pause >= until || record.is_moved() {
            return Err(failed);
        }
        thread::sleep(pause);
    }
}

/// Asks owners for a slot that begins soon, then for any.
fn place(cx: &Arc<Context>, req: &PlaceRequest) -> Result<Slot, PlaceError> {
    let any = PlaceRequest { patience_ms: None, ..req.clone() };
    match req.patience_ms {
        Some(_) => place_once(cx, req).or_else(|_| place_once(cx, &any)),
        None => place_once(cx, &any),
    }
}

/// Asks owners for a slot, best first, once round.
fn place_once(cx: &Arc<Context>, req: &PlaceRequest) -> Result<Slot, PlaceError> {
    let mut failed = PlaceError::NoUpstream;
    for target in targets(cx, req) {
        match ask(cx, &target, req.clone()) {
            Some(PlaceReply::Granted { grant, owner, upstream, .. }) => {
                let guard = cx.held.hold(owner, grant);
                return Ok(Slot { upstream, guard });
            }
            Some(PlaceReply::Busy { retry_after_ms }) => {
                failed = PlaceError::Busy(Duration::from_millis(retry_after_ms));
            }
            Some(PlaceReply::NoUpstream) | None => {}
        }
    }
    Err(failed)
}

fn targets(cx: &Context, req: &PlaceRequest) -> Vec<Target> {
    let together = cx.settings.policy.keeps_prefixes_together();
    let query = TargetQuery {
        model: req.model.clone(),
        prefix: req.prefix.first().copied().filter(|_| together),
        long: req.prefix.len() >= LONG_BLOCKS,
        data_centres: req.data_centres.clone(),
    };
    cx.board.ask(|reply| Event::Targets(query, reply)).unwrap_or_default()
}

fn ask(cx: &Context, target: &Target, req: PlaceRequest) -> Option<PlaceReply> {
    match target {
        Target::Own => cx.board.ask(|reply| Event::Place(req, reply)).ok(),
        Target::Owner(peer) => ask_peer(cx, *peer, req, OWNER_TIMEOUT),
        Target::DataCentre(peer) => {
            let req = PlaceRequest { scope: PlaceScope::DataCentre, ..req };
            ask_peer(cx, *peer, req, FAR_TIMEOUT)
        }
    }
}

fn ask_peer(
    cx: &Context,
    peer: SocketAddr,
    req: PlaceRequest,
    within: Duration,
) -> Option<PlaceReply> {
    match cx.peer.call(peer, PeerRequest::Place(req), within) {
        Ok(PeerReply::Place(reply)) => Some(reply),
        Ok(_) => None,
        Err(e) => {
            log::debug!("no slot from {peer}: {e}");
            None
        }
    }
}

/// Looks for a slot among the owners of this data centre, for a process of
/// another one. The grant belongs to the asker, who renews and releases it.
pub fn place_in_data_centre(cx: &Arc<Context>, req: PlaceRequest) -> PlaceReply {
    let own_dc = vec![cx.settings.data_centre.clone()];
    let req = PlaceRequest { scope: PlaceScope::Owned, data_centres: own_dc, ..req };
    let mut failed = PlaceReply::NoUpstream;
    for target in targets(cx, &req) {
        match ask(cx, &target, req.clone()) {
            Some(granted @ PlaceReply::Granted { .. }) => return granted,
            Some(busy @ PlaceReply::Busy { .. }) => failed = busy,
            Some(PlaceReply::NoUpstream) | None => {}
        }
    }
    failed
}
