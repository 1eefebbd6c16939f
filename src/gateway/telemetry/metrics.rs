//! Counters and histograms of the gateway.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::{gateway::model::Followed, telemetry::Labels};

/// First bucket of latency histograms, in seconds.
const FIRST_BUCKET: f64 = 0.004;
/// Buckets of latency histograms, each twice as wide as the one before.
const BUCKETS: u16 = 14;

/// Labels of answered requests. Routes are not among them: there may be
/// hundreds; the rank of a route stands for its class.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Kind of the route, with its rank.
    pub class: String,
    /// How requests ended.
    pub outcome: String,
}

/// Label of what knowledge is of.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KnowledgeLabels {
    /// See [`Followed`].
    pub of: String,
}

impl KnowledgeLabels {
    /// Returns the label of what is followed.
    pub fn new(followed: Followed) -> Self {
        Self { of: followed.name().to_owned() }
    }
}

/// Metrics of a gateway.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Requests by class and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Time to the first byte by class, in seconds.
    pub first_byte: Family<Labels, Histogram>,
    /// Failed attempts by cause.
    pub failed_attempts: Family<Labels, Counter>,
    /// Calls to the platform by kind and outcome.
    pub platform_calls: Family<Labels, Counter>,
    /// Rows of the store that name no upstream, by cause.
    pub rejected_entries: Family<Labels, Counter>,
    /// Orders of engines by outcome.
    pub orders: Family<Labels, Counter>,
    /// Changes of roll-outs by cause.
    pub rollouts: Family<Labels, Counter>,
    /// Version of the configuration in force.
    pub configuration: Gauge,
    /// Age of what is known of the store, by what it is knowledge of, in seconds.
    pub knowledge_age: Family<KnowledgeLabels, Gauge<f64, AtomicU64>>,
    /// Upstreams that take work.
    pub upstreams: Gauge,
    /// Upstreams whose rows are missing and that may serve on.
    pub missing_rows: Gauge,
    /// Gateways that are heard.
    pub peers: Gauge,
    /// Fencing number of the lease that this process holds; 0 for none.
    pub lease: Gauge,
    /// Requests in progress.
    pub in_progress: Gauge,
    /// Open connections to upstreams.
    pub connections: Gauge,
    /// Ends of upstreams that took requests of this process with them.
    pub upstream_ends: Counter,
    /// Upstreams that said that they leave, or of which another gateway told it.
    pub said_leaving: Counter,
    /// Upstreams that have asked for rest.
    pub resting: Gauge,
    /// Upstreams that name a rate limit.
    pub rate_limited: Gauge,
    /// Requests that are quarantined, since upstreams end under them.
    pub quarantined: Gauge,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl GatewayMetrics {
    /// Creates the metrics, all zero.
    pub fn new() -> Self {
        let histogram: fn() -> Histogram =
            || Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS));
        let mut metrics = Self {
            registry: Registry::with_prefix("tackhollow_gateway"),
            requests: Family::default(),
            first_byte: Family::new_with_constructor(histogram),
            failed_attempts: Family::default(),
            platform_calls: Family::default(),
            rejected_entries: Family::default(),
            orders: Family::default(),
            rollouts: Family::default(),
            configuration: Gauge::default(),
            knowledge_age: Family::default(),
            upstreams: Gauge::default(),
            missing_rows: Gauge::default(),
            peers: Gauge::default(),
            lease: Gauge::default(),
            in_progress: Gauge::default(),
            connections: Gauge::default(),
            upstream_ends: Counter::default(),
            said_leaving: Counter::default(),
            resting: Gauge::default(),
            rate_limited: Gauge::default(),
            quarantined: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Requests by class and outcome", self.requests.clone());
        r.register("first_byte_seconds", "Time to the first byte", self.first_byte.clone());
        r.register("failed_attempts", "Failed attempts", self.failed_attempts.clone());
        r.register("platform_calls", "Calls to the platform", self.platform_calls.clone());
        r.register("rejected_entries", "Rows that name no upstream", self.rejected_entries.clone());
        r.register("engine_orders", "Orders of engines", self.orders.clone());
        r.register("rollout_changes", "Changes of roll-outs", self.rollouts.clone());
        r.register("configuration_version", "Configuration", self.configuration.clone());
        r.register("knowledge_age_seconds", "Age of knowledge", self.knowledge_age.clone());
        r.register("upstreams", "Upstreams that take work", self.upstreams.clone());
        r.register("missing_rows", "Rows that may come back", self.missing_rows.clone());
        r.register("peers", "Gateways that are heard", self.peers.clone());
        r.register("lease_fence", "Fencing number of the lease", self.lease.clone());
        r.register("in_progress", "Requests in progress", self.in_progress.clone());
        r.register("upstream_connections", "Open connections", self.connections.clone());
        r.register("upstream_ends", "Ends of upstreams", self.upstream_ends.clone());
        r.register("upstreams_said_leaving", "Said that they leave", self.said_leaving.clone());
        r.register("resting_upstreams", "Upstreams that asked for rest", self.resting.clone());
        r.register("rate_limited_upstreams", "Upstreams with a limit", self.rate_limited.clone());
        r.register("quarantined_requests", "Quarantined", self.quarantined.clone());
    }

    /// Returns the metrics in the OpenMetrics text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be written.
    pub fn text(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
