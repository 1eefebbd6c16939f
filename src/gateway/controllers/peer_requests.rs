//! HTTP requests to other gateways, and the random choice of message recipients.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::{Method, StatusCode};
use tokio::time::timeout;

use crate::gateway::net::{connect, json_request};

/// Timeout of connecting to another gateway, and of the whole request.
const PEER_REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// Sends a GET request to another gateway and returns the response body; `None` if there is no
/// response with status 200 within [`PEER_REQUEST_TIMEOUT`].
pub(super) async fn get_from_peer(from: SocketAddr, path: &str) -> Option<Bytes> {
    let exchange = async {
        let target = path.parse().ok()?;
        let mut connection = connect(from, PEER_REQUEST_TIMEOUT).await.ok()?;
        let request = json_request(Method::GET, target, &from.to_string(), Bytes::new());
        let response = connection.call(request).await.ok()?;
        (response.status == StatusCode::OK).then_some(response.body)
    };
    let response = timeout(PEER_REQUEST_TIMEOUT, exchange).await.ok().flatten();
    if response.is_none() {
        log::debug!("gateway {from} did not answer {path}");
    }
    response
}

/// Returns up to `max` of the addresses, chosen at random.
pub(super) fn sample(addresses: &[SocketAddr], max: usize) -> Vec<SocketAddr> {
    fastrand::choose_multiple(addresses.iter().copied(), max)
}
