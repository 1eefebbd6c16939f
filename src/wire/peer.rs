//! Requests between entry processes, over WebSocket.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Adopted, Contact};
use crate::{
    cloud::HostEntry,
    config::{Change, ItemKey, Stored},
    ids::{ConfigVersion, Customer, DataCentre, GrantId, Home, Model, UpstreamId},
    prefix::Fingerprint,
    record::RecordSnapshot,
    routing::Class,
};

/// How far the receiver of a [`PlaceRequest`] looks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceScope {
    /// Among the upstreams that it owns.
    Owned,
    /// Among its data centre's upstreams, by asking their owners.
    DataCentre,
}

/// Asks an owner for a slot on one of its upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// How far to look.
    pub scope: PlaceScope,
    /// Model, or `service:NAME`.
    pub model: Model,
    /// Class of the request.
    pub class: Class,
    /// Customer, for its share.
    pub customer: Customer,
    /// Prompt length in tokens, with the text that an earlier attempt produced.
    pub prompt_tokens: u32,
    /// Fingerprints of the prompt's prefixes.
    pub prefix: Vec<Fingerprint>,
    /// Longest backlog of an upstream with which to take the slot, in
    /// milliseconds; `None` to take any.
    pub patience_ms: Option<u64>,
    /// Upstreams that failed this request already.
    pub exclude: Vec<UpstreamId>,
    /// Data centres in which the request may run; empty for all.
    pub data_centres: Vec<DataCentre>,
    /// Peer address of the process that runs the request, for notices.
    pub holder: SocketAddr,
}

/// Name and address of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamAddr {
    /// Name.
    pub id: UpstreamId,
    /// Address.
    pub addr: SocketAddr,
    /// Data centre.
    pub data_centre: String,
}

/// Answer to a [`PlaceRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceReply {
    /// A slot is reserved until released, or until the grant is not renewed.
    Granted {
        /// Number of the grant.
        grant: GrantId,
        /// Process that holds the grant, where releases go.
        owner: SocketAddr,
        /// The upstream to send to.
        upstream: UpstreamAddr,
        /// Prompt tokens that the upstream likely has in its cache.
        cached_tokens: u32,
    },
    /// Every slot is in use.
    Busy {
        /// When a slot is likely free, in milliseconds.
        retry_after_ms: u64,
    },
    /// No upstream that may be used offers the model.
    NoUpstream,
}

/// How an attempt ended, as the owner needs to know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseOutcome {
    /// The upstream answered.
    Finished,
    /// The upstream did not answer, or broke off.
    Failed,
    /// The caller's side gave the slot back unused or moved away.
    Withdrawn,
}

/// Gives a slot back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Number of the grant.
    pub grant: GrantId,
    /// How the attempt ended.
    pub outcome: ReleaseOutcome,
}

/// A page of the upstream directory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectoryPage {
    /// Revision of the platform's list.
    pub revision: u64,
    /// Hosts of the data centre.
    pub hosts: Vec<HostEntry>,
}

/// Records and requests in progress that a leaving process hands over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandedOver {
    /// The leaving process.
    pub home: Home,
    /// Homes whose records it had itself adopted.
    pub also: Vec<Home>,
    /// Records, finished and in progress.
    pub records: Vec<RecordSnapshot>,
}

/// A request between processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks for a slot.
    Place(PlaceRequest),
    /// Gives a slot back. Answered by `Done`.
    Release(Release),
    /// Keeps grants alive. Answered by `Done`.
    Renew(Vec<GrantId>),
    /// Tells the holder of grants that their upstream leaves. Answered by `Done`.
    Notice {
        /// Process that gave the grants.
        owner: SocketAddr,
        /// The grants.
        grants: Vec<GrantId>,
        /// Time left, in milliseconds.
        in_ms: u64,
    },
    /// Asks for the changes after a version.
    ConfigAfter(ConfigVersion),
    /// Brings accepted changes. Answered by `Done`.
    ConfigPush(Vec<Change>),
    /// Asks for the upstream directory.
    Directory,
    /// Hands over records. Answered by `Accepted`.
    HandOver(HandedOver),
    /// Asks who holds the records of a home that is gone.
    WhoAdopted(Home),
}

/// An answer between processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Answer to `Place`.
    Place(PlaceReply),
    /// The request was carried out.
    Done,
    /// Changes after the version asked for.
    Changes(Vec<Change>),
    /// The whole configuration, where the changes are no longer kept.
    Snapshot {
        /// Version of the snapshot.
        version: ConfigVersion,
        /// Items.
        items: Vec<(ItemKey, Stored)>,
    },
    /// The upstream directory.
    Directory(DirectoryPage),
    /// The records are held by this process now.
    Accepted(Contact),
    /// The process that holds the records, where known.
    Adopted(Option<Adopted>),
    /// The home is known to be gone, and nobody is known to have its records.
    Gone,
    /// The process leaves and takes nothing more.
    Refused,
}

/// A frame on a peer connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// A request, with a number chosen by the connecting side.
    #[serde(rename = "q")]
    Request(u64, PeerRequest),
    /// A request without an answer.
    #[serde(rename = "c")]
    Cast(PeerRequest),
    /// The answer to the request of the same number.
    #[serde(rename = "r")]
    Reply(u64, PeerReply),
}
