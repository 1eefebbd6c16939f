//! The blackboard of the control process, and messages to its thread.

use std::{sync::mpsc::Sender, time::Instant};

use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};

use super::{Lease, LeaseRow, orders::EngineReport};
use crate::{
    cloud::{HostEntry, PlatformClient, PlatformError, TxnOutcome},
    config::ConfigStore,
    settings::ControlSettings,
};

/// A message to the blackboard's thread.
pub(super) enum Event {
    /// The lease's row was read, or could not be.
    LeaseRead(Result<(u64, Option<LeaseRow>), PlatformError>),
    /// The lease's row was written, or could not be.
    LeaseWritten {
        /// The row.
        row: LeaseRow,
        /// When the write was sent.
        sent: Instant,
        /// What became of it.
        outcome: Result<TxnOutcome, PlatformError>,
    },
    /// The configuration and the list of hosts were read.
    State(Box<ConfigStore>, Vec<HostEntry>),
    /// An engine's report was read: give the missing orders.
    Report(HostEntry, EngineReport),
    /// The process is to stop.
    Stop,
}

/// The blackboard.
pub(super) struct Board {
    /// The lease as this process sees it.
    pub lease: Lease,
    /// Configuration as last read.
    pub config: ConfigStore,
    /// Engines of the data centre, as last read.
    pub hosts: Vec<HostEntry>,
}

/// Metrics of the control process.
#[derive(Default)]
pub(super) struct ControlMetrics {
    /// All of them.
    pub registry: Registry,
    /// Fencing number as last seen.
    pub fence: Gauge,
    /// Whether this process may give orders.
    pub holds_lease: Gauge,
    /// Orders given.
    pub orders: Counter,
    /// Orders that engines refused.
    pub refused_orders: Counter,
}

/// What the threads share.
pub(super) struct Context {
    /// Settings.
    pub settings: ControlSettings,
    /// The platform.
    pub platform: PlatformClient,
    /// Sends messages to the blackboard's thread.
    pub tx: Sender<Event>,
    /// Metrics.
    pub metrics: ControlMetrics,
}

impl ControlMetrics {
    /// Creates and registers the metrics.
    pub fn new() -> Self {
        let mut this =
            Self { registry: Registry::with_prefix("tackhollow_control"), ..Self::default() };
        let r = &mut this.registry;
        r.register("fence", "Fencing number of the lease as last seen", this.fence.clone());
        r.register("holds_lease", "Whether this process may give orders", this.holds_lease.clone());
        r.register("orders", "Orders given", this.orders.clone());
        r.register("refused_orders", "Orders that engines refused", this.refused_orders.clone());
        this
    }
}
