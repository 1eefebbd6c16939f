//! Questions to other gateways, and whom messages go to.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::{Method, StatusCode};
use tokio::time::timeout;

use crate::gateway::net::{connect, json_request};

/// Longest wait for another gateway's answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

/// Asks another gateway; `None` if it does not answer in time.
pub(super) async fn ask(from: SocketAddr, path: &str) -> Option<Bytes> {
    let asking = async {
        let mut connection = connect(from, ASK_TIMEOUT).await.ok()?;
        let request = json_request(Method::GET, path, &from.to_string(), Bytes::new());
        let answer = connection.call(request).await.ok()?;
        (answer.status == StatusCode::OK).then_some(answer.body)
    };
    let answer = timeout(ASK_TIMEOUT, asking).await.ok().flatten();
    if answer.is_none() {
        log::debug!("{from} did not answer {path}");
    }
    answer
}

/// Returns at most `most` of the addresses, drawn at random.
pub(super) fn sample(addresses: &[SocketAddr], most: usize) -> Vec<SocketAddr> {
    fastrand::choose_multiple(addresses.iter().copied(), most)
}
