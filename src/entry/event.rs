//! Messages to the blackboard's thread.

use std::{
    net::SocketAddr,
    sync::mpsc::{Receiver, Sender, SyncSender, sync_channel},
    time::Duration,
};

use thiserror::Error;

use crate::{
    cloud::HostList,
    config::{Change, CustomerPolicy, ItemKey, Stored},
    edge::peer_link::Responder,
    ids::{ConfigVersion, Customer, Home, Model, UpstreamId},
    prefix::Fingerprint,
    routing::{Class, RetryDecision, RetryInput},
    upstream::UpstreamEvent,
    wire::{
        Adopted, Contact, DirectoryPage, Gossip, PeerRequest, PlaceReply, PlaceRequest, Release,
    },
};

use super::jobs::HolderState;

/// Sends the answer to a question.
pub type Reply<T> = SyncSender<T>;

/// Why a question was not answered.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the process is stopping")]
pub struct BoardGone;

/// Why a request is not admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The key belongs to no customer.
    UnknownKey,
    /// There is no configuration yet.
    NotReady,
    /// The customer may not use this model, or the service does not exist.
    UnknownModel(Model),
    /// There is no room.
    Full {
        /// When room is likely.
        retry_after: Duration,
    },
    /// The process has handed over and takes nothing more.
    Leaving,
}

impl Rejection {
    /// Returns the word for this rejection in metrics.
    pub fn word(&self) -> &'static str {
        match self {
            Self::UnknownKey => "unknown_key",
            Self::NotReady => "not_ready",
            Self::UnknownModel(_) => "unknown_model",
            Self::Full { .. } => "full",
            Self::Leaving => "leaving",
        }
    }
}

/// Asks for admission.
#[derive(Clone, Debug)]
pub struct AdmitQuery {
    /// The caller's key.
    pub api_key: String,
    /// Class.
    pub class: Class,
    /// Model, or `service:NAME`.
    pub model: Model,
}

/// Asks for owners to ask for a slot.
#[derive(Clone, Debug)]
pub struct TargetQuery {
    /// Model, or `service:NAME`.
    pub model: Model,
    /// First block of the prompt, where requests that share it are kept together.
    pub prefix: Option<Fingerprint>,
    /// Whether the prompt is long enough to keep it in one data centre of the
    /// region.
    pub long: bool,
    /// Data centres in which the request may run; empty for all.
    pub data_centres: Vec<String>,
}

/// An owner to ask for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// This process itself.
    Own,
    /// Another process of the data centre.
    Owner(SocketAddr),
    /// A process of another data centre, which looks among the owners there.
    DataCentre(SocketAddr),
}

/// Where the records of a home are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Located {
    /// The home is not known to be gone.
    Home,
    /// The home handed its records to this process.
    Adopted(Contact),
    /// The home is gone; it is not known whether anybody has its records.
    Gone,
}

/// The entry hosts that a caller may use, in order of trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryChoice {
    /// Addresses.
    pub contact: Contact,
    /// Data centre.
    pub data_centre: String,
}

/// State of the process for `status`.
#[derive(Clone, Debug, serde::Serialize)]
pub struct StatusView {
    /// Name of the entry host.
    pub id: String,
    /// Data centre.
    pub data_centre: String,
    /// Incarnation, as in keys and request ids.
    pub home: String,
    /// `starting`, `serving`, `leaving` or `handed_over`.
    pub phase: &'static str,
    /// Configuration version in force.
    pub config_version: ConfigVersion,
    /// Seconds since the platform last answered.
    pub platform_silence_s: Option<u64>,
    /// Requests in progress.
    pub in_progress: u32,
    /// Other members of the data centre.
    pub members: Vec<MemberView>,
    /// Other data centres that have been heard of lately.
    pub data_centres: Vec<DataCentreView>,
    /// Upstreams owned.
    pub upstreams: Vec<UpstreamView>,
}

/// A member for `status`.
#[derive(Clone, Debug, serde::Serialize)]
pub struct MemberView {
    /// Name.
    pub id: String,
    /// How it is seen.
    pub liveness: String,
    /// Configuration version that it last told.
    pub config_version: ConfigVersion,
    /// Address for callers.
    pub http: SocketAddr,
}

/// Another data centre for `status`.
#[derive(Clone, Debug, serde::Serialize)]
pub struct DataCentreView {
    /// Name.
    pub data_centre: String,
    /// Configuration version of its latest summary.
    pub config_version: ConfigVersion,
    /// Addresses for callers of some of its entry hosts.
    pub contacts: Vec<SocketAddr>,
}

/// An upstream for `status`.
#[derive(Clone, Debug, serde::Serialize)]
pub struct UpstreamView {
    /// Name.
    pub id: UpstreamId,
    /// Address.
    pub addr: SocketAddr,
    /// `working`, `silent`, `leaving` or `drained`.
    pub state: &'static str,
    /// Slots given out.
    pub in_use: u32,
    /// Slots in all.
    pub slots: u32,
}

/// A message to the blackboard's thread.
#[derive(Debug)]
pub enum Event {
    /// A datagram came.
    Datagram(SocketAddr, Box<Gossip>),
    /// A peer's request came.
    Peer(PeerRequest, Responder),
    /// Asks whether a request may begin.
    Admit(AdmitQuery, Reply<Result<CustomerPolicy, Rejection>>),
    /// Asks for the policy of a caller's key, without beginning a request.
    Policy(String, Reply<Result<CustomerPolicy, Rejection>>),
    /// Asks for the policy of a customer.
    PolicyOf(Customer, Reply<Option<CustomerPolicy>>),
    /// An admitted request ended.
    Ended {
        /// Customer.
        customer: Customer,
        /// Whether it was completed.
        completed: bool,
    },
    /// Asks for owners to ask for a slot, best first.
    Targets(TargetQuery, Reply<Vec<Target>>),
    /// Asks this process as an owner for a slot.
    Place(PlaceRequest, Reply<PlaceReply>),
    /// Gives back a slot of this process.
    Release(Release),
    /// Asks whether a failed attempt is made again.
    Retry(RetryInput, Reply<RetryDecision>),
    /// Asks for the entry hosts that a caller may use.
    Entries(Reply<Vec<EntryChoice>>),
    /// Asks where the records of a home are.
    Locate(Home, Reply<Located>),
    /// Asks for a contact in each other data centre, and some in this one.
    Contacts(Reply<Vec<Contact>>),
    /// Records that a process holds another's records.
    Adopted(Adopted),
    /// Asks whether this process speaks for its data centre.
    IsDelegate(Reply<bool>),
    /// Asks what is known of holders of jobs, each with its data centre.
    Holders(Vec<(String, String)>, Reply<Vec<HolderState>>),
    /// Asks for the state of the process.
    Status(Reply<StatusView>),
    /// Asks for the configuration in force.
    Config(Reply<(ConfigVersion, Vec<(ItemKey, Stored)>)>),
    /// An upstream published an event.
    Upstream(UpstreamId, UpstreamEvent),
    /// Changes of configuration were read or pushed.
    Changes(Vec<Change>),
    /// A whole configuration was read.
    Snapshot(ConfigVersion, Vec<(ItemKey, Stored)>),
    /// The platform's configuration log was read to its end, or could not be.
    ConfigPolled {
        /// Whether the platform answered.
        answered: bool,
    },
    /// A fetch from a peer ended.
    PeerFetchEnded,
    /// The cloud's list was read, or could not be.
    Directory(Option<HostList>),
    /// A peer's copy of the cloud's list was read.
    DirectoryCopy(DirectoryPage),
    /// The set of working members changed.
    MembersChanged,
    /// A peer has a newer configuration.
    NewerConfig(SocketAddr),
    /// The process is to leave; at the latest at the end of a notice.
    Leave(Option<Duration>),
    /// Records were handed over to this contact, or there was nobody to take them.
    HandedOver(Option<Contact>),
}

/// Sends messages to the blackboard's thread.
#[derive(Clone, Debug)]
pub struct BoardHandle {
    tx: Sender<Event>,
}

impl BoardHandle {
    /// Creates a handle and the receiving end.
    pub fn channel() -> (Self, Receiver<Event>) {
        let (tx, rx) = std::sync::mpsc::channel();
        (Self { tx }, rx)
    }

    /// Sends a message.
    pub fn send(&self, event: Event) {
        drop(self.tx.send(event));
    }

    /// Asks a question and waits for the answer.
    pub fn ask<T>(&self, event: impl FnOnce(Reply<T>) -> Event) -> Result<T, BoardGone> {
        let (tx, rx) = sync_channel(1);
        self.tx.send(event(tx)).or(Err(BoardGone))?;
        rx.recv().or(Err(BoardGone))
    }
}

/// Answers a question; the asker may be gone.
pub fn answer<T>(reply: &Reply<T>, value: T) {
    drop(reply.try_send(value));
}
