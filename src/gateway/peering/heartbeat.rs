//! The heartbeat that gateways send each other several times a second.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{RecentChanges, SteadyAnswerAge, UpstreamChange};
use crate::{
    control::LeaseClaim,
    gateway::{
        decide::{
            CostReport, EngineSpeed, LeavingReport, LimitReport, OrderReport, Outcomes,
            RemainingWork, RequestCost, RolloutReport, ServiceLoad, SpeedModel, SpeedSamples,
            StoreMillis, StoredWindows, SyncPoint, UsageCounts, WindowNumber,
        },
        model::{CustomerName, Lifetime, Revision, ServiceName},
        net::Phase,
    },
    ids::{DataCentre, Incarnation},
    prefix::Fingerprint,
    time::UnixMillis,
};

/// Identifies a process: its host, and a random number drawn at its start.
pub type ProcessId = String;

/// Load that one process puts on an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport(
    /// The upstream, in one lifetime.
    pub Lifetime,
    /// Requests of this process that run there.
    pub u32,
    /// Prompt tokens of this process that are still to be computed there.
    pub u32,
    /// Time for which these requests will still hold their slots.
    pub CoarseAmount,
    /// Memory that these requests occupy at their ends.
    pub CoarseAmount,
);

impl LoadReport {
    /// Slot time of the smallest amount that is not zero, in seconds.
    const SLOT_UNIT: f64 = 0.001;
    /// Memory of the smallest amount that is not zero, in tokens.
    const MEMORY_UNIT: f64 = 64.0;

    /// Creates the report of an upstream's load with the work that it has left.
    pub fn new(lifetime: Lifetime, running: u32, pending_tokens: u32, work: RemainingWork) -> Self {
        let slot_time = CoarseAmount::new(work.slot_seconds / Self::SLOT_UNIT);
        let memory = CoarseAmount::new(work.memory_tokens / Self::MEMORY_UNIT);
        Self(lifetime, running, pending_tokens, slot_time, memory)
    }

    /// Returns the time for which the requests will still hold their slots, in seconds; 0 if it is
    /// unknown.
    pub fn slot_seconds(&self) -> f64 {
        self.3.units() * Self::SLOT_UNIT
    }

    /// Returns the memory that the requests occupy at their ends, in tokens; 0 if it is unknown.
    pub fn memory_tokens(&self) -> f64 {
        self.4.units() * Self::MEMORY_UNIT
    }
}

/// An amount in one byte, precise to 5 %: each step is a twelfth of a doubling. Heartbeats are most
/// of the traffic between gateways, and predictions are less precise than that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoarseAmount(u8);

impl CoarseAmount {
    /// Steps of one doubling.
    const STEPS: f64 = 12.0;

    /// Creates the nearest amount to a number of units.
    pub fn new(units: f64) -> Self {
        match units > 0.0 {
            true => Self((1.0 + Self::STEPS * units.log2()).round().clamp(1.0, 255.0) as u8),
            false => Self(0),
        }
    }

    /// Returns the number of units.
    pub fn units(self) -> f64 {
        match self.0 {
            0 => 0.0,
            step => (f64::from(step - 1) / Self::STEPS).exp2(),
        }
    }
}

/// Recent outcomes that one process has seen at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeReport(
    /// The upstream, in one lifetime.
    Lifetime,
    /// Number of answers, in units of 1/8.
    u32,
    /// Number of failures, in units of 1/8.
    u32,
);

impl OutcomeReport {
    /// Units per answer in the encoded counts.
    const UNITS_PER_ANSWER: f64 = 8.0;
    /// Number of answers below which nothing is reported.
    const MIN_ANSWERS: f64 = 0.25;

    /// Creates the report for an upstream; `None` if it has hardly answered.
    pub fn new(lifetime: Lifetime, seen: Outcomes) -> Option<Self> {
        let units = |count: f64| (count * Self::UNITS_PER_ANSWER).round() as u32;
        let report = Self(lifetime, units(seen.answers), units(seen.failures));
        (seen.answers >= Self::MIN_ANSWERS).then_some(report)
    }

    /// Returns the upstream, in one lifetime.
    pub fn lifetime(self) -> Lifetime {
        self.0
    }

    /// Returns the reported outcomes.
    pub fn outcomes(self) -> Outcomes {
        let count = |units: u32| f64::from(units) / Self::UNITS_PER_ANSWER;
        Outcomes { answers: count(self.1), failures: count(self.2) }
    }
}

/// A shared prompt prefix that was recently sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixReport(
    /// Fingerprint of the prefix.
    pub Fingerprint,
    /// Length of the prefix in tokens.
    pub u32,
    /// The engine, in one lifetime.
    pub Lifetime,
);

/// Load that the callers of one process put on a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The service under load.
    pub service: ServiceName,
    /// Requests per second.
    pub request_rate: f32,
    /// Mean number of prompt tokens per request that are in no cache.
    pub tokens: f32,
    /// Mean number of seconds for which a request occupies a slot.
    pub held: f32,
}

impl Demand {
    /// Creates the report of a service's load.
    pub fn new(service: &ServiceName, load: ServiceLoad) -> Self {
        let ServiceLoad { rate, cost } = load;
        let (tokens, held) = (cost.tokens as f32, cost.slot_seconds as f32);
        Self { service: service.clone(), request_rate: rate as f32, tokens, held }
    }

    /// Returns the reported load.
    pub fn load(&self) -> ServiceLoad {
        let cost =
            RequestCost { tokens: f64::from(self.tokens), slot_seconds: f64::from(self.held) };
        ServiceLoad { rate: f64::from(self.request_rate), cost }
    }
}

/// Speed of a service's upstreams, as one process has learnt it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// The service whose upstreams were measured.
    pub service: ServiceName,
    /// Number of requests that the estimate rests on; older ones have less weight.
    pub requests: f32,
    /// See [`EngineSpeed`]: base, seconds per token, seconds per running request.
    parts: [f32; 3],
}

impl SpeedReport {
    /// Creates the report of what `model` has learnt.
    pub fn new(service: &ServiceName, model: &SpeedModel) -> Self {
        let EngineSpeed { base, per_token, per_running, .. } = model.speed();
        let parts = [base, per_token, per_running].map(|part| part as f32);
        Self { service: service.clone(), requests: model.requests() as f32, parts }
    }

    /// Returns the reported speed.
    pub fn speed(&self) -> EngineSpeed {
        let [base, per_token, per_running] = self.parts.map(f64::from);
        EngineSpeed { base, per_token, per_running, ..EngineSpeed::default() }
    }
}

/// Recent samples of one process of the speed of an upstream, see [`SpeedSamples`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SpeedFactorReport(
    /// The upstream, in one lifetime.
    pub Lifetime,
    /// Weight, in answers.
    pub f32,
    /// Sum of the logarithms.
    pub f32,
);

impl SpeedFactorReport {
    /// Creates the report of an upstream.
    pub fn new(lifetime: Lifetime, seen: SpeedSamples) -> Self {
        Self(lifetime, seen.weight as f32, seen.sum as f32)
    }

    /// Returns the upstream, in one lifetime.
    pub fn lifetime(self) -> Lifetime {
        self.0
    }

    /// Returns the reported samples.
    pub fn samples(self) -> SpeedSamples {
        SpeedSamples { weight: f64::from(self.1), sum: f64::from(self.2) }
    }
}

/// State that a process reports to all other gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the sender's host.
    pub host: String,
    /// Random number drawn at the start of the process; distinguishes processes of a host.
    pub incarnation: Incarnation,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for queries from other gateways.
    pub peers: SocketAddr,
    /// Address for heartbeats.
    pub heartbeats: SocketAddr,
    /// Phase of serving or shutting down.
    pub phase: Phase,
    /// Whether it can reach upstreams only through other gateways.
    pub cut_off: bool,
    /// Version of its configuration; 0 if it has none.
    pub configuration: u64,
    /// Revision and time up to which it knows the configuration.
    pub configuration_knowledge: Option<SyncPoint>,
    /// Its estimate of the present by the store's clock; in a relayed heartbeat that of the relaying
    /// gateway.
    pub store_now: Option<StoreMillis>,
    /// Revision of the newest change of an upstream that it knows.
    pub upstreams: Revision,
    /// Recent changes of upstreams; they spare the receivers a read of the store.
    pub recent: RecentChanges,
    /// Whether the store answers it.
    pub store_answers: bool,
    /// Time since the store answered it last, if the store has answered it without interruption.
    pub steady_answer_age: SteadyAnswerAge,
    /// Milliseconds since its start.
    pub up_ms: u64,
    /// Its clock when the heartbeat was sent.
    pub time: UnixMillis,
    /// Claim on the lease that it holds, or held last.
    pub lease: Option<LeaseClaim>,
    /// Load that it puts on upstreams.
    pub loads: Vec<LoadReport>,
    /// Recent outcomes that it has seen at upstreams.
    pub outcomes: Vec<OutcomeReport>,
    /// Upstreams that announced in answers that they are leaving, while their rows do not say so.
    pub leaving: Vec<LeavingReport>,
    /// Rate limits of upstreams that it knows, and those that have just ended.
    pub limits: Vec<LimitReport>,
    /// Brittle upstreams that it knows, with their permits in a second, and those that have just
    /// ceased to be brittle.
    pub brittle: Vec<LimitReport>,
    /// Recent results of health checks of upstreams with lapsed rows, its own and others', as
    /// changes of these upstreams, each with the revision of the removal.
    pub row_checks: Vec<(Revision, UpstreamChange)>,
    /// Shared prefixes that it sent recently, repeated until most others have received them.
    pub prefixes: Vec<PrefixReport>,
    /// Tokens that it has admitted since its start, by customer.
    pub admitted: Vec<(CustomerName, i64)>,
    /// Counts of requests that began in the newest windows.
    pub usage: Vec<(WindowNumber, UsageCounts)>,
    /// Usage windows whose counts were stored, as far as it knows.
    pub stored_windows: StoredWindows,
    /// Load that its callers put on services.
    pub demand: Vec<Demand>,
    /// Speeds of upstreams that it has learnt.
    pub speeds: Vec<SpeedReport>,
    /// Costs of requests that it has learnt; empty in most heartbeats, since they change slowly.
    pub costs: Vec<CostReport>,
    /// Speeds of the upstreams with its newest answers.
    pub speed_factors: Vec<SpeedFactorReport>,
    /// Roll-outs of versions, with the results that it has seen itself.
    pub rollouts: Vec<RolloutReport>,
    /// Its orders of engines, if it holds the lease.
    pub orders: Vec<OrderReport>,
}

/// Reason why a message between gateways cannot be encoded or decoded.
#[derive(Debug, Error)]
pub enum WireError {
    /// CBOR encoding failed.
    #[error("{0}")]
    Encode(#[from] ciborium::ser::Error<std::io::Error>),
    /// CBOR decoding failed.
    #[error("{0}")]
    Decode(#[from] ciborium::de::Error<std::io::Error>),
    /// Postcard encoding or decoding failed.
    #[error("postcard: {0}")]
    Postcard(#[from] postcard::Error),
    /// The first byte, given here, is not a known format; `None` for an empty message.
    #[error("unknown message format: {0:?}")]
    Format(Option<u8>),
}

/// First byte of a heartbeat. It must be raised with every change of [`Heartbeat`]: postcard
/// encodes fields by position, so that another version would misread them.
const HEARTBEAT_FORMAT: u8 = 13;

/// A heartbeat that was relayed by another gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedHeartbeat {
    /// Milliseconds since it was sent, as estimated by the relaying gateway.
    pub age_ms: u64,
    /// The heartbeat, without the parts that only its direct receivers need.
    pub heartbeat: Heartbeat,
}

impl RelayedHeartbeat {
    /// Creates the relayed form of a heartbeat that was sent `age` ago. `store_now` is the present by
    /// the store's clock, to which the age of the store's latest answer is adapted.
    pub fn new(heartbeat: &Heartbeat, age: Duration, store_now: Option<StoreMillis>) -> Self {
        let answered = heartbeat.last_steady_answer().zip(store_now);
        let answer_age = answered.map(|(at, now)| Duration::from_millis(now.saturating_sub(at)));
        let heartbeat = Heartbeat {
            recent: RecentChanges::default(),
            store_now: None,
            steady_answer_age: SteadyAnswerAge::new(answer_age),
            usage: Vec::new(),
            speeds: Vec::new(),
            costs: Vec::new(),
            speed_factors: Vec::new(),
            orders: Vec::new(),
            ..heartbeat.clone()
        };
        Self { age_ms: age.as_millis() as u64, heartbeat }
    }

    /// Encodes it so that it can be appended to a heartbeat.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        Ok(postcard::to_stdvec(self)?)
    }
}

/// Decodes a heartbeat and the relayed heartbeats appended to it.
///
/// # Errors
///
/// Fails if the datagram is not a heartbeat.
pub fn decode_heartbeats(datagram: &[u8]) -> Result<(Heartbeat, Vec<RelayedHeartbeat>), WireError> {
    let Some((&HEARTBEAT_FORMAT, rest)) = datagram.split_first() else {
        return Err(WireError::Format(datagram.first().copied()));
    };
    let (heartbeat, mut rest): (Heartbeat, _) = postcard::take_from_bytes(rest)?;
    let mut relayed = Vec::new();
    while !rest.is_empty() {
        let (mut next, left): (RelayedHeartbeat, _) = postcard::take_from_bytes(rest)?;
        next.heartbeat.store_now = heartbeat.store_now;
        relayed.push(next);
        rest = left;
    }
    Ok((heartbeat, relayed))
}

impl Heartbeat {
    /// Returns the id of the sending process.
    pub fn process(&self) -> ProcessId {
        format!("{}.{:x}", self.host, self.incarnation)
    }

    /// Returns when the sending process started, in milliseconds of Unix time.
    pub fn started(&self) -> UnixMillis {
        self.time.saturating_sub(self.up_ms)
    }

    /// Returns whether the sending process holds the lease on the singleton duties.
    pub fn holds_lease(&self) -> bool {
        self.lease.is_some_and(|claim| !claim.given_up)
    }

    /// Returns when the store answered the sending process last, by the store's clock; `None` if the
    /// store has not answered it without interruption.
    pub fn last_steady_answer(&self) -> Option<StoreMillis> {
        let age = self.steady_answer_age.get()?.as_millis() as StoreMillis;
        Some(self.store_now?.saturating_sub(age))
    }

    /// Encodes the heartbeat by field position, without field names: with many gateways most of the
    /// traffic between them is heartbeats.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        let mut buf = Vec::with_capacity(512);
        buf.push(HEARTBEAT_FORMAT);
        Ok(postcard::to_extend(self, buf)?)
    }
}
