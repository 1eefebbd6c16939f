//! Who told this process something of the store.

/// Where news of the store came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's store.
    Store,
    /// Another gateway.
    Peer,
}

impl Source {
    /// Returns a word for logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}
