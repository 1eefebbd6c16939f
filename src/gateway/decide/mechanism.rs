//! Decision mechanisms that can be disabled by name, to measure what each contributes.

/// A mechanism of the decision functions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Engine speed learnt from requests; the default speed applies otherwise.
    LearntSpeed,
    /// Estimate of the shared prompt prefixes that each engine has cached.
    KnownCaches,
    /// Assignment of a shared prefix that no engine holds to one preferred engine.
    PrefixHome,
    /// Recent failures of an upstream as a cost in upstream selection.
    Failures,
    /// Outcomes of attempts, combined over all gateways.
    SharedOutcomes,
    /// Avoidance of upstreams that could not be reached.
    Avoidance,
    /// Engines on demand that cover the loss of one more data centre.
    LossCover,
    /// Connections to upstreams through other gateways.
    Tunnels,
    /// Care for upstreams that fall over when they have to reject requests.
    Brittleness,
    /// Streams go on only at the software version that began them.
    StreamVersions,
    /// Quarantine of parts of prompts that crash upstreams.
    PartQuarantine,
    /// Distinction of the revisions that the store gives out again after it returned from a copy.
    StoreEras,
    /// Use of the largest recent requirement in place of the current one.
    NeedPeak,
    /// Notices of large requests to the other gateways.
    WorkNotices,
    /// Predicted cost of a request as a term of upstream selection.
    RequestCosts,
    /// Speed of each upstream, where upstreams of a service differ.
    UpstreamSpeeds,
    /// A customer's quota reserved for its urgent requests.
    QuotaRanks,
    /// Refusal on arrival of requests that cannot be served in time.
    Admission,
    /// Memory of engines as a limit of what is sent to them.
    EngineMemory,
}

impl Mechanism {
    /// All mechanisms with their names in the settings.
    pub const NAMES: [(&'static str, Self); 19] = [
        ("learnt_speed", Self::LearntSpeed),
        ("known_caches", Self::KnownCaches),
        ("prefix_home", Self::PrefixHome),
        ("failures", Self::Failures),
        ("shared_outcomes", Self::SharedOutcomes),
        ("avoidance", Self::Avoidance),
        ("loss_cover", Self::LossCover),
        ("tunnels", Self::Tunnels),
        ("brittleness", Self::Brittleness),
        ("stream_versions", Self::StreamVersions),
        ("part_quarantine", Self::PartQuarantine),
        ("store_eras", Self::StoreEras),
        ("need_peak", Self::NeedPeak),
        ("work_notices", Self::WorkNotices),
        ("request_costs", Self::RequestCosts),
        ("upstream_speeds", Self::UpstreamSpeeds),
        ("quota_ranks", Self::QuotaRanks),
        ("admission", Self::Admission),
        ("engine_memory", Self::EngineMemory),
    ];

    /// Returns whether the mechanism is part of load control, which takes effect only where the
    /// settings and the configuration ask for it.
    pub fn is_load_control(self) -> bool {
        match self {
            Self::WorkNotices
            | Self::RequestCosts
            | Self::UpstreamSpeeds
            | Self::QuotaRanks
            | Self::Admission
            | Self::EngineMemory => true,
            Self::LearntSpeed
            | Self::KnownCaches
            | Self::PrefixHome
            | Self::Failures
            | Self::SharedOutcomes
            | Self::Avoidance
            | Self::LossCover
            | Self::Tunnels
            | Self::Brittleness
            | Self::StreamVersions
            | Self::PartQuarantine
            | Self::StoreEras
            | Self::NeedPeak => false,
        }
    }
}

/// Disabled mechanisms; empty in production.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DisabledMechanisms(Vec<Mechanism>);

impl DisabledMechanisms {
    /// Creates the set of disabled mechanisms.
    pub fn new(mechanisms: Vec<Mechanism>) -> Self {
        Self(mechanisms)
    }

    /// Returns whether a mechanism is enabled.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.0.contains(&mechanism)
    }
}
