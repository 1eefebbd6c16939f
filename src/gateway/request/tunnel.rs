//! Tunnels through this gateway: connections to upstreams for gateways that have lost their own.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use hyper::{Request, Response, body::Incoming};

use super::in_flight::InProgress;
use crate::gateway::{
    context::Gateway,
    net::{AnswerBody, Phase, TunnelRefusal, connect_stream, tunnel_response, tunnelled_request},
    telemetry::Event,
};

/// Timeout for connecting to the upstream. The asking gateway waits a little longer, and then asks
/// another one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of tunnels through this process at a time. Each takes two descriptors and some
/// buffers, which callers' own requests need too.
const MAX_TUNNELS: usize = 256;

/// Counts a tunnel until it ends.
struct TunnelGuard {
    gateway: Rc<Gateway>,
    _in_progress: InProgress,
}

impl TunnelGuard {
    fn begin(gateway: &Rc<Gateway>) -> Self {
        gateway.metrics.tunnels_served.inc();
        Self { gateway: gateway.clone(), _in_progress: InProgress::begin(gateway) }
    }
}

impl Drop for TunnelGuard {
    fn drop(&mut self) {
        self.gateway.metrics.tunnels_served.dec();
    }
}

/// Opens a tunnel to the upstream that the request names by its address. This gateway never goes
/// through a third one, so that tunnels form no loops.
pub(super) async fn tunnel(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    upstream: &str,
) -> Response<AnswerBody> {
    let Some(address) = upstream.parse().ok().filter(|a| accepts(gateway, *a)) else {
        return TunnelRefusal::NotServed.response();
    };
    // Counted from now on, so that requests that arrive together do not exceed the maximum.
    let guard = TunnelGuard::begin(gateway);
    let source = gateway.settings.borrow().outgoing;
    match connect_stream(source, address, CONNECT_TIMEOUT).await {
        Ok(stream) => {
            let id = tunnelled_request(&request);
            gateway.log(&Event::TunnelServed { request: id, upstream });
            tunnel_response(stream, request.into_body(), guard)
        }
        Err(e) => {
            log::debug!("no tunnel to {address}: {e}");
            let refusal = match e.is_refused() {
                true => TunnelRefusal::UpstreamRefused,
                false => TunnelRefusal::UpstreamUnreachable,
            };
            refusal.response()
        }
    }
}

fn accepts(gateway: &Gateway, address: SocketAddr) -> bool {
    let board = gateway.board.borrow();
    let is_upstream = board.upstreams.values().any(|v| v.upstream.address == address);
    let has_path = !board.paths.is_cut_off();
    let has_room = gateway.metrics.tunnels_served.get() < MAX_TUNNELS as i64;
    is_upstream && has_path && has_room && gateway.shutdown.phase() <= Phase::Leaving
}
