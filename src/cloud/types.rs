//! Bodies of the platform's calls, in JSON.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    ids::{DataCentre, Model},
    time::UnixMillis,
};

/// A condition of a transaction: the row's version must be this one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; zero where it must not exist.
    pub version: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Put {
    /// Key of the row.
    pub key: String,
    /// New value; `null` removes the row.
    pub value: Value,
}

/// A transaction: all writes or none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions.
    pub checks: Vec<Check>,
    /// Writes.
    pub puts: Vec<Put>,
}

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Version, which rises with each write of the table.
    pub version: u64,
    /// Value.
    pub value: Value,
}

/// Rows in the order of their keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
}

/// Answer to an accepted transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnAccepted {
    /// Version of the rows written.
    pub version: u64,
}

/// A condition that did not hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// Key of the row.
    pub key: String,
    /// Version that the row has; zero where it does not exist.
    pub version: u64,
    /// Value that the row has.
    pub value: Value,
}

/// Answer to a refused transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TxnRefused {
    /// The conditions that did not hold.
    pub conflicts: Vec<Conflict>,
}

/// What a host is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// An entry host of this system.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// State of a host in the cloud's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// Under a reclaim notice.
    Leaving,
}

/// A host in the cloud's list, which lags.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name.
    pub id: String,
    /// What it is for.
    pub role: HostRole,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Machine class.
    pub class: String,
    /// Address on which it serves.
    pub addr: SocketAddr,
    /// Models, or services as `service:NAME`, that it was started for.
    pub models: Vec<Model>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Price in currency units an hour.
    pub price: f64,
    /// Whether it can be reclaimed.
    pub reclaimable: bool,
    /// State.
    pub state: HostState,
    /// When it goes, for a leaving host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaves_at_ms: Option<UnixMillis>,
}

/// The cloud's list of hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostList {
    /// Rises with each change of the list.
    pub revision: u64,
    /// The hosts; empty where `unchanged`.
    pub hosts: Vec<HostEntry>,
    /// Whether the list still has the revision that the caller named.
    #[serde(default)]
    pub unchanged: bool,
}

/// A request to start a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStart {
    /// The same token starts one host at most.
    pub token: String,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Machine class.
    pub class: String,
    /// What it is for.
    pub role: HostRole,
    /// Models to start it for.
    pub models: Vec<Model>,
}
