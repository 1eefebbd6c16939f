//! Probes whether an upstream has ended, after a run there was interrupted or its end is unknown.
//!
//! Only an answer of the upstream itself to a request that was sent later proves that it lives. An open
//! connection does not: the system accepts connections for a process that was killed until it has
//! closed all of its sockets.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use hyper::http::uri::PathAndQuery;
use tokio::{
    sync::OnceCell,
    time::{sleep, timeout},
};

use super::{DialTarget, select::Selected};
use crate::{
    gateway::{
        context::Gateway,
        model::Lifetime,
        net::{Path, PoolError, get_request},
    },
    ids::UpstreamId,
    platform::{answering_instance, keep_alive},
};

/// Time for a probe. Callers wait for it; a shorter one leaves more ends unknown, as upstreams may let
/// a health check wait for a slot.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for the answer on one connection. The system may leave a connection that it accepted for an
/// ended process without an answer and without a reset.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);
/// Delay before another connection is opened, once one brought no answer. The sockets of an ended
/// process are closed within a few milliseconds.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// What a probe of an upstream shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeResult {
    /// The upstream has ended.
    Ended,
    /// The upstream is alive.
    Alive,
    /// The upstream is alive, and this gateway has lost its path to it.
    OwnPathLost,
    /// The upstream is out of reach for everybody, which proves neither its end nor its life.
    Unreachable,
    /// Nothing was found out: no connection was free, or its health check was not answered.
    Unproven,
}

impl ProbeResult {
    /// Returns the name used in the log.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Alive => "alive",
            Self::OwnPathLost => "own_path_lost",
            Self::Unreachable => "unreachable",
            Self::Unproven => "unproven",
        }
    }
}

/// The upstream that a probe asks.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProbeTarget<'a> {
    id: &'a UpstreamId,
    lifetime: Lifetime,
    address: SocketAddr,
    max_connections: usize,
    /// Path of its health check; `None` if its service has none.
    health_path: Option<&'a PathAndQuery>,
}

impl<'a> ProbeTarget<'a> {
    /// Creates the target for the upstream of a run.
    pub(super) fn new(selected: &'a Selected, health_path: Option<&'a PathAndQuery>) -> Self {
        let Selected { id, lifetime, address, max_connections, .. } = selected;
        Self {
            id,
            lifetime: *lifetime,
            address: *address,
            max_connections: *max_connections,
            health_path,
        }
    }
}

/// Probes whether upstreams have ended. At most one probe runs for each lifetime; requests that are
/// interrupted together share its result.
#[derive(Debug, Default)]
pub struct UpstreamProbes {
    running: RefCell<HashMap<Lifetime, Rc<OnceCell<ProbeResult>>>>,
}

impl UpstreamProbes {
    /// Probes an upstream. An end that an earlier probe finds holds; its life at that time proves
    /// nothing about now.
    pub(super) async fn probe(&self, gateway: &Gateway, target: ProbeTarget<'_>) -> ProbeResult {
        let earlier = self.running.borrow().get(&target.lifetime).cloned();
        if let Some(earlier) = earlier
            && self.result_of(earlier, gateway, target).await == ProbeResult::Ended
        {
            return ProbeResult::Ended;
        }
        let probe = self.running.borrow_mut().entry(target.lifetime).or_default().clone();
        self.result_of(probe, gateway, target).await
    }

    async fn result_of(
        &self,
        probe: Rc<OnceCell<ProbeResult>>,
        gateway: &Gateway,
        target: ProbeTarget<'_>,
    ) -> ProbeResult {
        let result = *probe.get_or_init(|| run_probe(gateway, target)).await;
        let mut running = self.running.borrow_mut();
        if running.get(&target.lifetime).is_some_and(|current| Rc::ptr_eq(current, &probe)) {
            running.remove(&target.lifetime);
        }
        result
    }
}

async fn run_probe(gateway: &Gateway, target: ProbeTarget<'_>) -> ProbeResult {
    let asking = async {
        loop {
            match ask(gateway, target).await {
                Some(result) => return result,
                None => sleep(RETRY_DELAY).await,
            }
        }
    };
    timeout(PROBE_TIMEOUT, asking).await.unwrap_or(ProbeResult::Unproven)
}

/// Asks an upstream once, on a new connection; `None` if the connection brought no answer. An upstream
/// has ended if its host refuses connections, or if another one answers. A host that does not answer may
/// be unreachable, which proves no end.
async fn ask(gateway: &Gateway, target: ProbeTarget<'_>) -> Option<ProbeResult> {
    let ProbeTarget { lifetime, address, max_connections, .. } = target;
    let dialling = gateway.dial(DialTarget { lifetime, address, request: "" });
    let mut lease = match gateway.pool.open_new(lifetime, max_connections, dialling).await {
        Ok(lease) => lease,
        Err(PoolError::Connect(e)) if e.is_refused() => return Some(ProbeResult::Ended),
        Err(PoolError::Connect(e)) if e.is_own_shortage() => return Some(ProbeResult::Unproven),
        Err(PoolError::Connect(_)) => return Some(ProbeResult::Unreachable),
        Err(PoolError::Full) => return Some(ProbeResult::Unproven),
    };
    let Some(health_path) = target.health_path else {
        return Some(ProbeResult::Unproven);
    };
    let alive = match lease.path() {
        Path::Direct => ProbeResult::Alive,
        Path::Tunnel => ProbeResult::OwnPathLost,
    };
    let request = get_request(health_path.clone(), &address.to_string());
    let answered = timeout(ANSWER_TIMEOUT, lease.connection().call(request)).await;
    let answer = answered.ok()?.ok()?;
    match answering_instance(&answer.headers) {
        Some(instance) if instance == target.id => {
            lease.give_back(keep_alive(&answer.headers));
            Some(alive)
        }
        Some(_) => Some(ProbeResult::Ended),
        None => Some(ProbeResult::Unproven),
    }
}
