//! What gateways follow in the store.

/// What gateways follow in the store, each by calls of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Followed {
    /// The operator's configuration.
    Configuration,
    /// The list of upstreams.
    Upstreams,
}

impl Followed {
    /// Both.
    pub const ALL: [Self; 2] = [Self::Configuration, Self::Upstreams];

    /// Returns a word for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Upstreams => "upstreams",
        }
    }
}
