//! The datagram that gateways send each other several times a second.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::RecentChanges;
use crate::{
    control::LeaseClaim,
    gateway::{
        decide::{
            Counts, EngineSpeed, Knowledge, LeavingReport, LimitReport, OrderReport, Outcomes,
            RequestCost, RolloutReport, ServiceLoad, SpeedModel, StoreMillis, Window,
        },
        model::{CustomerName, Lifetime, Revision, ServiceName},
        net::Phase,
    },
    ids::{DataCentre, Incarnation},
    prefix::Fingerprint,
    time::UnixMillis,
};

/// Name of a process: its host and a number drawn at its start.
pub type ProcessId = String;

/// Load that one process puts on an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport(
    /// The upstream, in one lifetime.
    pub Lifetime,
    /// Requests that it runs for this process.
    pub u32,
    /// Prompt tokens that it has yet to read for this process.
    pub u32,
);

/// How an upstream answered one process of late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeReport(
    /// The upstream, in one lifetime.
    Lifetime,
    /// Answers, in eighths.
    u32,
    /// Failures, in eighths.
    u32,
);

impl OutcomeReport {
    /// Parts in which answers are told.
    const PARTS: f64 = 8.0;
    /// Answers from which they are told.
    const LEAST: f64 = 0.25;

    /// Tells how an upstream answered; `None` if it hardly did.
    pub fn new(lifetime: Lifetime, seen: Outcomes) -> Option<Self> {
        let parts = |count: f64| (count * Self::PARTS).round() as u32;
        let told = Self(lifetime, parts(seen.answers), parts(seen.failures));
        (seen.answers >= Self::LEAST).then_some(told)
    }

    /// Returns the upstream.
    pub fn lifetime(self) -> Lifetime {
        self.0
    }

    /// Returns how it answered.
    pub fn outcomes(self) -> Outcomes {
        let count = |parts: u32| f64::from(parts) / Self::PARTS;
        Outcomes { answers: count(self.1), failures: count(self.2) }
    }
}

/// A shared prompt prefix that was sent to an engine of late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixReport(
    /// Fingerprint of the prefix.
    pub Fingerprint,
    /// Tokens of the prefix.
    pub u32,
    /// The engine, in one lifetime.
    pub Lifetime,
);

/// Load that callers bring to one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Service.
    pub service: ServiceName,
    /// Requests a second.
    pub request_rate: f32,
    /// Prompt tokens of a request that no cache holds, on average.
    pub tokens: f32,
    /// Seconds for which a request holds a slot, on average.
    pub held: f32,
}

impl Demand {
    /// Tells the load of a service.
    pub fn new(service: &ServiceName, load: ServiceLoad) -> Self {
        let ServiceLoad { rate, cost } = load;
        let (tokens, held) = (cost.tokens as f32, cost.held as f32);
        Self { service: service.clone(), request_rate: rate as f32, tokens, held }
    }

    /// Returns the load that is told.
    pub fn load(&self) -> ServiceLoad {
        let cost = RequestCost { tokens: f64::from(self.tokens), held: f64::from(self.held) };
        ServiceLoad { rate: f64::from(self.request_rate), cost }
    }
}

/// How fast the upstreams of a service are, as one process has learnt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// Service.
    pub service: ServiceName,
    /// Requests that it rests on; older ones count less.
    pub requests: f32,
    /// See [`EngineSpeed`]: base, seconds a token, seconds a running request.
    parts: [f32; 3],
}

impl SpeedReport {
    /// Tells what `model` has learnt.
    pub fn new(service: &ServiceName, model: &SpeedModel) -> Self {
        let EngineSpeed { base, per_token, per_running, .. } = model.speed();
        let parts = [base, per_token, per_running].map(|part| part as f32);
        Self { service: service.clone(), requests: model.requests() as f32, parts }
    }

    /// Returns the speed that is told.
    pub fn speed(&self) -> EngineSpeed {
        let [base, per_token, per_running] = self.parts.map(f64::from);
        EngineSpeed { base, per_token, per_running, ..EngineSpeed::default() }
    }
}

/// What a process tells the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the host.
    pub host: String,
    /// Number drawn at the start of the process.
    pub incarnation: Incarnation,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other gateways' questions.
    pub peers: SocketAddr,
    /// Address for heartbeats.
    pub heartbeats: SocketAddr,
    /// How far it has got with leaving.
    pub phase: Phase,
    /// Version of its configuration; 0 if it has none.
    pub configuration: u64,
    /// Up to where it knows the configuration.
    pub configuration_knowledge: Option<Knowledge>,
    /// What the store's clock shows, as far as it knows.
    pub store_now: Option<StoreMillis>,
    /// Revision of the newest change of an upstream that it knows.
    pub upstreams: Revision,
    /// Changes of upstreams of late, so that not every process has to read the
    /// store.
    pub recent: RecentChanges,
    /// Whether the store answers it, as far as it knows.
    pub store_answers: bool,
    /// Whether the store has answered it all along.
    pub store_steady: bool,
    /// Milliseconds since its start.
    pub up_ms: u64,
    /// Its time of day.
    pub time: UnixMillis,
    /// What it says of the lease that it holds, or held last.
    pub lease: Option<LeaseClaim>,
    /// Load that it puts on upstreams.
    pub loads: Vec<LoadReport>,
    /// How upstreams answered it of late.
    pub outcomes: Vec<OutcomeReport>,
    /// Upstreams that said in answers that they leave, while their rows do not say so.
    pub leaving: Vec<LeavingReport>,
    /// Rate limits of upstreams that it knows, and those that have just ended.
    pub limits: Vec<LimitReport>,
    /// Shared prefixes that it sent of late, told until most others have heard of them.
    pub prefixes: Vec<PrefixReport>,
    /// Tokens that it admitted since its start, by customer.
    pub admitted: Vec<(CustomerName, i64)>,
    /// Requests that began, in the newest windows.
    pub usage: Vec<(Window, Counts)>,
    /// Load that its callers bring.
    pub demand: Vec<Demand>,
    /// How fast it has learnt that upstreams are.
    pub speeds: Vec<SpeedReport>,
    /// Roll-outs of versions, with what it has seen of them itself.
    pub rollouts: Vec<RolloutReport>,
    /// Its orders of engines, if it holds the lease.
    pub orders: Vec<OrderReport>,
}

/// Why bytes are not a message of another gateway.
#[derive(Debug, Error)]
pub enum WireError {
    /// It cannot be written.
    #[error("{0}")]
    Encode(#[from] ciborium::ser::Error<std::io::Error>),
    /// It cannot be read.
    #[error("{0}")]
    Decode(#[from] ciborium::de::Error<std::io::Error>),
    /// It is not told by places as it should be, or cannot be.
    #[error("by places: {0}")]
    Places(#[from] postcard::Error),
    /// Its sender is of another version of this program.
    #[error("message of format {0:?}")]
    Format(Option<u8>),
}

/// First byte of a heartbeat. To be raised with every change of [`Heartbeat`]: its
/// fields are told by their places, so another version would misread them.
const FORMAT: u8 = 7;

/// A heartbeat that another gateway passes on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PassedOn {
    /// Milliseconds since it was sent, as far as those know who passed it on.
    pub age_ms: u64,
    /// The heartbeat, without what only its first receivers need.
    pub heartbeat: Heartbeat,
}

impl PassedOn {
    /// Takes what is passed on of a heartbeat.
    pub fn new(heartbeat: &Heartbeat, age: Duration) -> Self {
        let heartbeat = Heartbeat {
            recent: RecentChanges::default(),
            store_now: None,
            usage: Vec::new(),
            speeds: Vec::new(),
            orders: Vec::new(),
            ..heartbeat.clone()
        };
        Self { age_ms: age.as_millis() as u64, heartbeat }
    }

    /// Encodes it, to go along with a heartbeat.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        Ok(postcard::to_stdvec(self)?)
    }
}

/// Decodes a heartbeat and those of others that go along with it.
///
/// # Errors
///
/// Fails if the datagram is not a heartbeat.
pub fn decode_heartbeats(datagram: &[u8]) -> Result<(Heartbeat, Vec<PassedOn>), WireError> {
    let Some((&FORMAT, rest)) = datagram.split_first() else {
        return Err(WireError::Format(datagram.first().copied()));
    };
    let (heartbeat, mut rest) = postcard::take_from_bytes(rest)?;
    let mut passed_on = Vec::new();
    while !rest.is_empty() {
        let (next, left) = postcard::take_from_bytes(rest)?;
        passed_on.push(next);
        rest = left;
    }
    Ok((heartbeat, passed_on))
}

impl Heartbeat {
    /// Returns the name of the sending process.
    pub fn process(&self) -> ProcessId {
        format!("{}.{:x}", self.host, self.incarnation)
    }

    /// Returns when the sending process started, in milliseconds of Unix time.
    pub fn started(&self) -> UnixMillis {
        self.time.saturating_sub(self.up_ms)
    }

    /// Returns whether the sending process holds the lease on the duties.
    pub fn holds_lease(&self) -> bool {
        self.lease.is_some_and(|claim| !claim.given_up)
    }

    /// Encodes the heartbeat by places, without names of fields: with many gateways most
    /// of what they send and hear is heartbeats.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        let mut buf = Vec::with_capacity(512);
        buf.push(FORMAT);
        Ok(postcard::to_extend(self, buf)?)
    }
}
