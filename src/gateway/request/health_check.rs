//! Health check of one upstream.

use std::{net::SocketAddr, time::Duration};

use hyper::{StatusCode, http::uri::PathAndQuery};
use tokio::time::timeout;

use super::DialTarget;
use crate::{
    gateway::{
        board::UpstreamView,
        context::Gateway,
        decide::CheckResult,
        model::{Lifetime, Service},
        net::{PoolError, get_request},
    },
    ids::UpstreamId,
    platform::{answering_instance, keep_alive},
};

/// Time for the whole check. A health check may wait for a slot of the upstream.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// An upstream to be checked.
#[derive(Clone, Debug)]
pub struct CheckTarget {
    /// Identifier of the upstream.
    pub id: UpstreamId,
    /// The lifetime to be checked.
    pub lifetime: Lifetime,
    address: SocketAddr,
    path: PathAndQuery,
    max_connections: usize,
}

impl CheckTarget {
    /// Creates the target for an upstream; `None` if its service has no health checks.
    pub fn new(view: &UpstreamView, service: &Service) -> Option<Self> {
        Some(Self {
            id: view.upstream.id.clone(),
            lifetime: view.lifetime,
            address: view.upstream.address,
            path: service.health_path.clone()?,
            max_connections: service.max_connections as usize,
        })
    }
}

/// Checks an upstream once, on an idle connection if there is one.
pub async fn check_upstream(gateway: &Gateway, target: &CheckTarget) -> CheckResult {
    timeout(CHECK_TIMEOUT, call(gateway, target)).await.unwrap_or(CheckResult::Unclear)
}

async fn call(gateway: &Gateway, target: &CheckTarget) -> CheckResult {
    let lifetime = target.lifetime;
    let dialling = gateway.dial(DialTarget { lifetime, address: target.address, request: "" });
    let acquired = gateway.pool.acquire(lifetime, target.max_connections, dialling).await;
    let mut connection = match acquired {
        Ok(connection) => connection,
        Err(e) => {
            log::debug!("no connection for a health check of {}: {e}", target.id);
            return result_of_failure(&e);
        }
    };
    let request = get_request(target.path.clone(), &target.address.to_string());
    let answer = match connection.connection().call(request).await {
        Ok(answer) => answer,
        Err(e) => {
            log::debug!("health check of {} failed: {e}", target.id);
            return CheckResult::Unclear;
        }
    };
    match answering_instance(&answer.headers) {
        Some(instance) if instance == target.id => {
            connection.give_back(keep_alive(&answer.headers));
            match answer.status {
                StatusCode::OK => CheckResult::Passed,
                _ => CheckResult::Unclear,
            }
        }
        Some(_) => CheckResult::Ended,
        // Not an answer to this check; the connection is closed, as one may follow.
        None => CheckResult::Unclear,
    }
}

fn result_of_failure(error: &PoolError) -> CheckResult {
    match error {
        PoolError::Connect(e) if e.is_refused() => CheckResult::Ended,
        PoolError::Connect(_) | PoolError::Full => CheckResult::Unclear,
    }
}
