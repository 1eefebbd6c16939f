//! Data model of the gateway: configuration, upstreams, and what identifies requests.

mod configuration;
mod digest;
mod prompt_part;
mod upstream;
mod watched_data;

pub use configuration::{
    CallerLimits, Configuration, Customer, EngineKind, Quota, RequestKind, Route, Scaling, Service,
};
pub use digest::{ParseDigestError, RequestDigest};
pub use prompt_part::{ParsePartKeyError, PartKey};
pub use upstream::{Lifetime, Upstream, UpstreamPhase};
pub use watched_data::WatchedData;

/// Name of a service in the configuration.
pub type ServiceName = String;
/// Version of an upstream's software.
pub type UpstreamVersion = String;
/// Name of a customer, forwarded to upstreams.
pub type CustomerName = String;
/// Revision in the platform's store; a higher one is newer.
pub type Revision = u64;
/// Number of times that the platform's store has returned from a copy, counted by the store. What
/// it acknowledged between the copy and the return is lost, and its revisions are given out again.
pub type Era = u64;
