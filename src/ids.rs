//! Identifiers: type aliases, and the home process encoded in request ids and keys.

use std::{fmt, net::SocketAddr, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Name of a data centre, such as `bkk-bangna`.
pub type DataCentre = String;
/// Name of a region, such as `bangkok`.
pub type Region = String;
/// Name of a customer.
pub type Customer = String;
/// Name of an entry host, unique within the system.
pub type EntryId = String;
/// Name of an upstream (a model engine or a plain service).
pub type UpstreamId = String;
/// Name of a model, or `service:NAME` for a plain service.
pub type Model = String;
/// Random number drawn by a process at start; never reused.
pub type Incarnation = u64;
/// Identifier of a request: `HOME.NUMBER`.
pub type RequestId = String;
/// Number of a placement grant, unique within the owner's incarnation.
pub type GrantId = u64;
/// Version of the configuration, incremented by each accepted change.
pub type ConfigVersion = u64;

/// The only process that may dispatch a request or use a key, identified by its
/// address for callers and its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Home {
    /// Address on which the process serves callers.
    #[serde(rename = "h")]
    pub http: SocketAddr,
    /// Incarnation of the process; a restarted process at the same address has another.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
}

/// Reason why a string does not parse as a [`Home`].
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ParseHomeError {
    /// The string does not have the form `IP-PORT-INCARNATION`.
    #[error("expected IP-PORT-INCARNATION")]
    Shape,
    /// The address part is not an IP address with a port.
    #[error("the address is not an IP number and a port")]
    Address,
    /// The incarnation is not a hexadecimal number.
    #[error("the incarnation is not a hexadecimal number")]
    Incarnation,
}

impl fmt::Display for Home {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{:x}", self.http.ip(), self.http.port(), self.incarnation)
    }
}

impl FromStr for Home {
    type Err = ParseHomeError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let mut parts = s.rsplitn(3, '-');
        let incarnation = parts.next().ok_or(ParseHomeError::Shape)?;
        let port = parts.next().ok_or(ParseHomeError::Shape)?;
        let ip = parts.next().ok_or(ParseHomeError::Shape)?;
        let incarnation =
            u64::from_str_radix(incarnation, 16).or(Err(ParseHomeError::Incarnation))?;
        let ip = ip.parse().or(Err(ParseHomeError::Address))?;
        let port = port.parse().or(Err(ParseHomeError::Address))?;
        Ok(Self { http: SocketAddr::new(ip, port), incarnation })
    }
}

/// Splits `HOME.REST` into its home and the rest; `None` if the string has another form.
///
/// The address may hold dots, so the split is at the last one.
pub fn split_home(id: &str) -> Option<(Home, &str)> {
    let (home, rest) = id.rsplit_once('.')?;
    Some((home.parse().ok()?, rest))
}
