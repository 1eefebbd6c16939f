//! The control process: orders to engines, given under a lease from the
//! platform's table. Any host may run one; its death harms no stream.

mod board;
mod daemon;
mod giver;
mod keeper;
mod lease;
mod lease_basis;
mod lease_claim;
mod lease_row;
mod orders;

pub use daemon::{ControlError, run};
pub use lease::{Lease, LeaseAction, LeaseTiming};
pub use lease_basis::LeaseBasis;
pub use lease_claim::{HeardClaim, LeaseClaim};
pub use lease_row::{LeaseRow, RecentHolder};
pub use orders::{EngineReport, Order, missing_orders};
