//! What a write of the lease's row rests on.

/// Why a process may write the lease's row now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseBasis {
    /// There is no row.
    NoRow,
    /// This process holds the lease, or held it last.
    Own,
    /// The row was written before the table lost some of its rows, and its time to live is over.
    EarlierEra,
    /// The holder gave the lease back.
    Released,
    /// The holder was an earlier process of this host.
    Inherited,
    /// The holder said that its claim is over, or when it would be.
    ClaimOver,
    /// The row did not change for its time to live.
    Expired,
}

impl LeaseBasis {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRow => "no_row",
            Self::Own => "own",
            Self::EarlierEra => "earlier_era",
            Self::Released => "released",
            Self::Inherited => "inherited",
            Self::ClaimOver => "claim_over",
            Self::Expired => "expired",
        }
    }
}
