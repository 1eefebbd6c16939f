//! Questions of callers that carry no request: which addresses to use, and
//! whether this process is ready.

use std::net::SocketAddr;

use hyper::{Method, Uri};
use serde::Serialize;

/// A caller's question which addresses to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lookup {
    /// Data centre that the caller is in, if it says so.
    pub data_centre: Option<String>,
}

/// Decodes the question; `None` for another call.
pub fn decode_lookup(method: &Method, uri: &Uri) -> Option<Lookup> {
    if method != Method::GET || uri.path() != "/resolve" {
        return None;
    }
    let query = uri.query().unwrap_or_default();
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let data_centre = pairs.find(|(name, _)| *name == "zone").map(|(_, value)| value.to_owned());
    Some(Lookup { data_centre })
}

/// Returns whether the call asks if this process is ready.
pub fn is_ready_probe(method: &Method, uri: &Uri) -> bool {
    method == Method::GET && uri.path() == "/ready"
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WireAddresses<'a> {
    addresses: &'a [SocketAddr],
    /// Seconds for which the caller keeps the answer.
    ttl_s: u64,
}

/// Encodes the answer to a [`Lookup`].
pub fn encode_addresses(addresses: &[SocketAddr], keep_seconds: u64) -> Vec<u8> {
    let wire = WireAddresses { addresses, ttl_s: keep_seconds };
    serde_json::to_vec(&wire).expect("addresses and a number always encode")
}
