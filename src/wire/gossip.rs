//! Datagrams of membership. Field names are short: CBOR maps carry them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{ConfigVersion, DataCentre, EntryId, Home, Incarnation, Model, Region};

/// How a member is seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Liveness {
    /// Answers.
    #[serde(rename = "a")]
    Alive,
    /// Missed a heartbeat; becomes dead unless it objects.
    #[serde(rename = "s")]
    Suspect,
    /// Leaves: serves callers who still hold its address, gets no new ones.
    #[serde(rename = "l")]
    Leaving,
    /// Gone for good; the incarnation never comes back.
    #[serde(rename = "d")]
    Dead,
}

/// Addresses of an entry process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Name of the entry host.
    #[serde(rename = "i")]
    pub id: EntryId,
    /// Address for callers, with the incarnation.
    #[serde(rename = "h")]
    pub home: Home,
    /// Address for requests between processes.
    #[serde(rename = "p")]
    pub peer: SocketAddr,
    /// Address for membership datagrams.
    #[serde(rename = "g")]
    pub gossip: SocketAddr,
}

impl Contact {
    /// Incarnation of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.home.incarnation
    }
}

/// Free slots that a process offers for a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Supply {
    /// The model.
    #[serde(rename = "m")]
    pub model: Model,
    /// Slots not in use.
    #[serde(rename = "f")]
    pub free: u32,
    /// Slots in all.
    #[serde(rename = "t")]
    pub total: u32,
}

/// What a process knows of one member of its data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberState {
    /// Addresses.
    #[serde(rename = "c")]
    pub contact: Contact,
    /// How it is seen.
    #[serde(rename = "l")]
    pub liveness: Liveness,
    /// Counter that only the member itself raises, to object to a suspicion
    /// and to publish a new state.
    #[serde(rename = "n")]
    pub beat: u64,
}

/// A member that left in good order, and who took over its records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adopted {
    /// The member that left.
    #[serde(rename = "o")]
    pub home: Home,
    /// The process that holds its records.
    #[serde(rename = "s")]
    pub successor: Contact,
}

/// Summary of a data centre for the other data centres.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DcSummary {
    /// The data centre.
    #[serde(rename = "d")]
    pub data_centre: DataCentre,
    /// Its region.
    #[serde(rename = "r")]
    pub region: Region,
    /// Rises with each new summary; wall-clock milliseconds of its sender.
    #[serde(rename = "n")]
    pub stamp: u64,
    /// Some of its processes that are not leaving.
    #[serde(rename = "c")]
    pub contacts: Vec<Contact>,
    /// Free slots by model.
    #[serde(rename = "s")]
    pub supply: Vec<Supply>,
    /// Configuration version in force at the sender.
    #[serde(rename = "v")]
    pub config: ConfigVersion,
}

/// A piece of news that datagrams carry along.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rumour {
    /// A member's state.
    #[serde(rename = "m")]
    Member(MemberState),
    /// A data centre's summary.
    #[serde(rename = "d")]
    Summary(DcSummary),
    /// A take-over of records.
    #[serde(rename = "a")]
    Adopted(Adopted),
}

/// What a datagram is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipBody {
    /// Heartbeat; answered by `Ack` with the same number.
    #[serde(rename = "p")]
    Ping(u64),
    /// Answer to a heartbeat.
    #[serde(rename = "a")]
    Ack(u64),
    /// Asks the receiver to ping a member that did not answer the sender.
    #[serde(rename = "q")]
    PingRequest {
        /// Number to answer with.
        #[serde(rename = "n")]
        seq: u64,
        /// The member to ping.
        #[serde(rename = "t")]
        target: SocketAddr,
    },
    /// Asks for the receiver's whole view, on joining.
    #[serde(rename = "j")]
    Join,
    /// Asks for summaries of the data centres that the receiver knows.
    #[serde(rename = "u")]
    Summaries,
    /// Carries news only.
    #[serde(rename = "n")]
    News,
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender's own state.
    #[serde(rename = "f")]
    pub from: MemberState,
    /// The sender's data centre.
    #[serde(rename = "d")]
    pub data_centre: DataCentre,
    /// What the datagram is for.
    #[serde(rename = "b")]
    pub body: GossipBody,
    /// Configuration version in force at the sender.
    #[serde(rename = "v")]
    pub config: ConfigVersion,
    /// Fingerprint of the members that the sender knows.
    #[serde(rename = "k")]
    pub members: u64,
    /// Slots that the sender offers.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub supply: Vec<Supply>,
    /// News.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rumours: Vec<Rumour>,
}
