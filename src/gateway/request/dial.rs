//! Opening of connections to upstreams, directly or through another gateway.
//!
//! A connection that cannot be opened from here says little about the upstream: the path may have
//! failed. So another gateway is asked to open it too, as soon as the direct attempt fails or takes
//! unusually long. The first connection that opens is used.

use std::{
    io::{self, ErrorKind},
    net::SocketAddr,
    time::Duration,
};

use stakker::call;
use tokio::{sync::Notify, task::JoinSet, time::timeout};

use crate::{
    clock,
    gateway::{
        context::Gateway,
        decide::{Mechanism, PathChange},
        model::Lifetime,
        net::{
            ConnectError, HttpConnection, TunnelError, TunnelRefusal, connect_from, open_tunnel,
        },
        telemetry::Event,
    },
    telemetry::count,
};

/// Timeout for opening a connection to an upstream. Upstreams accept within a few
/// milliseconds; one that takes longer is on a host that is gone, or out of reach.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after which another gateway is asked, while the direct attempt goes on. A shorter one
/// opens needless connections to upstreams that are slow to accept; a longer one delays callers
/// while the path is broken.
const TUNNEL_DELAY: Duration = Duration::from_millis(150);
/// Timeout for opening a connection through one other gateway.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay after which the next gateway is asked if one has not answered: it may itself be cut off
/// without having noticed.
const NEXT_PEER_DELAY: Duration = Duration::from_millis(50);
/// Gateways that are asked for one connection, while the upstream may just as well have failed.
const MAX_PEERS: usize = 3;
/// Gateways that are asked for one connection while this one's own paths are suspect.
const MAX_PEERS_WITHOUT_PATH: usize = 8;

/// The upstream to which a connection is opened.
#[derive(Clone, Copy, Debug)]
pub struct DialTarget<'a> {
    /// The upstream, in one lifetime.
    pub lifetime: Lifetime,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Request that needs the connection, for the log; empty for a probe.
    pub request: &'a str,
}

/// What other gateways found out about an upstream.
enum TunnelOutcome {
    /// A connection through another gateway.
    Open(HttpConnection),
    /// The upstream refuses connections of other gateways too.
    Refused,
    /// The upstream does not answer other gateways either.
    Unreachable,
    /// No other gateway could tell.
    Unknown,
}

impl Gateway {
    /// Opens a connection to an upstream, directly or through another gateway.
    ///
    /// # Errors
    ///
    /// Fails if the upstream can be reached neither from here nor through other gateways. The error
    /// is [`ErrorKind::ConnectionRefused`] only if no other gateway found the upstream in another
    /// state.
    pub async fn dial(&self, target: DialTarget<'_>) -> Result<HttpConnection, ConnectError> {
        let source = self.settings.borrow().outgoing;
        let direct = connect_from(source, target.address, CONNECT_TIMEOUT);
        let direct_failed = Notify::new();
        let mut direct_error = None;
        let tunnel = self.dial_by_tunnel(target, &direct_failed);
        tokio::pin!(direct, tunnel);
        let outcome = tokio::select! {
            biased;
            connected = direct.as_mut() => match connected {
                Ok(connection) => return Ok(self.reached(target, connection)),
                // Other gateways had time to answer by now.
                Err(ConnectError::Timeout) => return Err(ConnectError::Timeout),
                Err(e) if e.is_own_shortage() => {
                    self.intake.free_descriptor();
                    return Err(e);
                }
                Err(e) => {
                    direct_error = Some(e);
                    direct_failed.notify_one();
                    tunnel.as_mut().await
                }
            },
            outcome = tunnel.as_mut() => outcome,
        };
        match (outcome, direct_error) {
            (TunnelOutcome::Open(connection), error) => {
                self.note_bypassed(target, error);
                Ok(connection)
            }
            (TunnelOutcome::Refused, _) => {
                Err(io::Error::from(ErrorKind::ConnectionRefused).into())
            }
            (TunnelOutcome::Unreachable, Some(_)) => Err(ConnectError::Timeout),
            (TunnelOutcome::Unknown, Some(e)) => Err(e),
            (TunnelOutcome::Unreachable | TunnelOutcome::Unknown, None) => {
                direct.await.map(|connection| self.reached(target, connection))
            }
        }
    }

    fn reached(&self, target: DialTarget<'_>, connection: HttpConnection) -> HttpConnection {
        self.note_reached(target.lifetime);
        connection
    }

    /// Opens a connection through another gateway, once the direct attempt has failed or takes
    /// long. It does not wait if direct attempts are likely to fail.
    async fn dial_by_tunnel(
        &self,
        target: DialTarget<'_>,
        direct_failed: &Notify,
    ) -> TunnelOutcome {
        if !self.settings.borrow().off.is_enabled(Mechanism::Tunnels) {
            return TunnelOutcome::Unknown;
        }
        let is_bypassed = self.board.borrow().paths.is_bypassed(target.lifetime, clock::now());
        if !is_bypassed {
            // Either the direct attempt has failed, or it takes long.
            drop(timeout(TUNNEL_DELAY, direct_failed.notified()).await);
        }
        let mut peers = self.peers_to_ask(is_bypassed).into_iter();
        let mut asked = JoinSet::new();
        let mut outcome = TunnelOutcome::Unknown;
        loop {
            if let Some(peer) = peers.next() {
                let (address, request) = (target.address, target.request.to_owned());
                asked.spawn_local(async move {
                    (peer, open_tunnel(peer, address, &request, TUNNEL_TIMEOUT).await)
                });
            }
            let answer = match peers.len() {
                0 => asked.join_next().await,
                _ => match timeout(NEXT_PEER_DELAY, asked.join_next()).await {
                    Ok(answer) => answer,
                    Err(_elapsed) => continue,
                },
            };
            let Some(answer) = answer else {
                return outcome;
            };
            match answer {
                Ok((peer, opened)) => match self.note_tunnel(target, peer, opened) {
                    TunnelOutcome::Unknown => {}
                    TunnelOutcome::Unreachable => outcome = TunnelOutcome::Unreachable,
                    settled => return settled,
                },
                Err(e) => log::error!("the task that opens a tunnel failed: {e}"),
            }
        }
    }

    fn peers_to_ask(&self, is_bypassed: bool) -> Vec<SocketAddr> {
        let own = self.settings.borrow().data_centre.clone();
        let max = if is_bypassed { MAX_PEERS_WITHOUT_PATH } else { MAX_PEERS };
        self.board.borrow().tunnel_peers(&own, max, clock::now())
    }

    /// Records the outcome of a tunnel and returns what it shows about the upstream.
    fn note_tunnel(
        &self,
        target: DialTarget<'_>,
        peer: SocketAddr,
        opened: Result<HttpConnection, TunnelError>,
    ) -> TunnelOutcome {
        let now = clock::now();
        self.board.borrow_mut().tunnel_outcomes.note(peer, opened.is_ok(), now);
        let refusal = match opened {
            Ok(connection) => return TunnelOutcome::Open(connection),
            Err(e) => {
                log::debug!("no tunnel to {} through {peer}: {e}", target.address);
                e.refusal()
            }
        };
        match refusal {
            Some(TunnelRefusal::UpstreamRefused) => TunnelOutcome::Refused,
            Some(TunnelRefusal::UpstreamUnreachable) => TunnelOutcome::Unreachable,
            Some(TunnelRefusal::NotServed) | None => TunnelOutcome::Unknown,
        }
    }

    /// Records that an upstream was reached, or answered, on a direct connection.
    pub(super) fn note_reached(&self, upstream: Lifetime) {
        let change = self.board.borrow_mut().paths.note_reached(upstream, clock::now());
        self.apply_path_change(change);
    }

    /// Records that an upstream was reached through another gateway only.
    fn note_bypassed(&self, target: DialTarget<'_>, error: Option<ConnectError>) {
        let now = clock::now();
        let mut board = self.board.borrow_mut();
        let known = board.upstreams.values().filter(|v| v.takes_work()).count();
        let change = board.paths.note_bypassed(target.lifetime, known, now);
        let upstream = board.upstream_name(target.lifetime).to_owned();
        drop(board);
        let direct = error.as_ref().map_or("timeout", ConnectError::name);
        count(&self.metrics.tunnels, direct);
        self.log(&Event::Tunnel { request: target.request, upstream: &upstream, direct });
        if matches!(error, None | Some(ConnectError::Timeout)) {
            // Packets are lost, also those of connections that were open before.
            self.pool.close_idle(target.lifetime);
            if change == Some(PathChange::CutOff) {
                self.pool.close_all_idle();
            }
        }
        self.send_to_controllers(|c| call!([c.path_probes], path_suspected()));
        self.apply_path_change(change);
    }

    fn apply_path_change(&self, change: Option<PathChange>) {
        let Some(change) = change else {
            return;
        };
        let (state, after) = match change {
            PathChange::CutOff => ("cut_off", Duration::ZERO),
            PathChange::Restored(after) => ("restored", after),
        };
        self.metrics.cut_off.set(i64::from(change == PathChange::CutOff));
        self.log(&Event::Paths { state, after_ms: after.as_millis() as u64 });
        self.send_to_controllers(|c| call!([c.peers], send_now()));
    }
}
