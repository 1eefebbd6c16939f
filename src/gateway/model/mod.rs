//! Data model of the gateway: configuration, upstreams, and what identifies requests.

mod configuration;
mod digest;
mod endpoint_kind;
mod prompt_part;
mod revision;
mod upstream;
mod watched_data;

pub use configuration::{
    CallerLimits, Configuration, Customer, EngineKind, Quota, RequestKind, Route, Scaling, Service,
};
pub use digest::{ParseDigestError, RequestDigest};
pub use endpoint_kind::EndpointKind;
pub use prompt_part::{ParsePartKeyError, PartKey};
pub use revision::{Era, Revision, era_of, number_in_era, revision_in_era};
pub use upstream::{Lifetime, Upstream, UpstreamPhase};
pub use watched_data::WatchedData;

/// Name of a service in the configuration.
pub type ServiceName = String;
/// Version of an upstream's software.
pub type UpstreamVersion = String;
/// Name of a customer, forwarded to upstreams.
pub type CustomerName = String;
