//! Origin of information about the store.

/// Whom this process learnt the contents of the store from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// From the store itself.
    Store,
    /// From another gateway, which read it or learnt it in turn.
    Peer,
}

impl Source {
    /// Returns the name used in logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}
