//! Kinds of data that gateways watch in the store.

/// Kind of data that gateways watch in the store, each with its own calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WatchedData {
    /// The operator's configuration.
    Configuration,
    /// The rows in which upstreams register themselves.
    Upstreams,
}

impl WatchedData {
    /// All kinds.
    pub const ALL: [Self; 2] = [Self::Configuration, Self::Upstreams];

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Upstreams => "upstreams",
        }
    }
}
