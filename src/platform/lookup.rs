//! Calls that this process answers itself: address lookups and readiness probes.

use std::net::SocketAddr;

use hyper::{Method, Uri};
use serde::Serialize;

/// A caller's lookup of the gateway addresses to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lookup {
    /// Data centre of the caller; `None` if it does not state one.
    pub data_centre: Option<String>,
}

/// Decodes a lookup; returns `None` if the call is not one.
pub fn decode_lookup(method: &Method, uri: &Uri) -> Option<Lookup> {
    if method != Method::GET || uri.path() != "/resolve" {
        return None;
    }
    let query = uri.query().unwrap_or_default();
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let data_centre = pairs.find(|(name, _)| *name == "zone").map(|(_, value)| value.to_owned());
    Some(Lookup { data_centre })
}

/// Returns whether the call is a readiness probe.
pub fn is_ready_probe(method: &Method, uri: &Uri) -> bool {
    method == Method::GET && uri.path() == "/ready"
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WireAddresses<'a> {
    addresses: &'a [SocketAddr],
    /// Time for which the caller may cache the answer, in seconds.
    ttl_s: u64,
}

/// Encodes the answer to a [`Lookup`], which the caller may cache for `ttl_s` seconds.
pub fn encode_addresses(addresses: &[SocketAddr], ttl_s: u64) -> Vec<u8> {
    let wire = WireAddresses { addresses, ttl_s };
    serde_json::to_vec(&wire).expect("addresses and a number always encode")
}
