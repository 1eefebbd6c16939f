//! Addresses that a gateway listens on.

/// Kind of an address that the process listens on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointKind {
    /// Callers' requests, which are forwarded to upstreams.
    #[default]
    Callers,
    /// Directory look-ups, by which callers learn the addresses of gateways.
    Directory,
    /// The platform's readiness probe.
    Readiness,
    /// Requests of other gateways, metrics, and operators' status and quarantine pages.
    Peers,
}
