//! The platform's service: table, object store, weight store and cloud.

mod client;
mod types;

pub use client::{PlatformClient, PlatformError, TxnOutcome};
pub use types::{
    Check, Conflict, HostEntry, HostList, HostRole, HostStart, HostState, Put, Row, Rows, Txn,
    TxnAccepted, TxnRefused,
};
