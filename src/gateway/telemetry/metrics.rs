//! Prometheus metrics of the gateway.

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

use crate::{
    gateway::{
        model::WatchedData,
        net::{IntakeMetrics, UnreadMetrics},
    },
    telemetry::Labels,
};

/// Upper bound of the first bucket of latency histograms, in seconds.
const FIRST_BUCKET_S: f64 = 0.004;
/// Number of buckets of latency histograms; each upper bound is twice the previous one.
const BUCKET_COUNT: u16 = 14;
/// Upper bound of the first bucket of histograms of observed over predicted costs.
const FIRST_RATIO: f64 = 1.0 / 16.0;
/// Number of buckets of these histograms; each upper bound is twice the previous one.
const RATIO_BUCKET_COUNT: u16 = 9;

/// Labels of answered requests. There is no label for the route, since there may be hundreds
/// of routes; `class` groups them by kind and priority.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Kind and priority of the route.
    pub class: String,
    /// Outcome of the requests.
    pub outcome: String,
}

/// Label that names the kind of watched store data.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KnowledgeLabels {
    /// Name of the kind, see [`WatchedData::name`].
    pub of: String,
}

impl KnowledgeLabels {
    /// Creates the label of a kind of watched store data.
    pub fn new(followed: WatchedData) -> Self {
        Self { of: followed.name().to_owned() }
    }
}

/// Metrics of a gateway.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Number of requests by class and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Decisions on the admission of requests, by class and decision.
    pub admission: Family<RequestLabels, Counter>,
    /// Time to the first byte by class, in seconds.
    pub first_byte: Family<Labels, Histogram>,
    /// Observed over predicted output tokens of streams by class.
    pub output_ratio: Family<Labels, Histogram>,
    /// Observed time from sending a request to its end, over its predicted slot time, by class.
    pub slot_time_ratio: Family<Labels, Histogram>,
    /// Number of failed attempts by cause.
    pub failed_attempts: Family<Labels, Counter>,
    /// Number of calls to the platform by kind and outcome.
    pub platform_calls: Family<Labels, Counter>,
    /// Number of upstream rows that could not be decoded, by cause.
    pub rejected_entries: Family<Labels, Counter>,
    /// Answers that their callers do not read.
    pub unread: UnreadMetrics,
    /// What the connections of clients hold.
    pub intake: IntakeMetrics,
    /// Number of engine orders by outcome.
    pub orders: Family<Labels, Counter>,
    /// Number of acquisitions of the lease on the duties, by what they rested on.
    pub lease_acquisitions: Family<Labels, Counter>,
    /// Number of state changes of roll-outs by cause.
    pub rollouts: Family<Labels, Counter>,
    /// Version of the configuration in force.
    pub configuration: Gauge,
    /// Age of the local copy of store data, by kind of data, in seconds.
    pub knowledge_age: Family<KnowledgeLabels, Gauge<f64, AtomicU64>>,
    /// Number of upstreams that accept new requests.
    pub upstreams: Gauge,
    /// Number of upstreams that accept new requests but could not be reached last time.
    pub unreachable: Gauge,
    /// Whether this process has lost its paths to all upstreams.
    pub cut_off: Gauge,
    /// Number of connections to upstreams that were opened through other gateways, by the failure
    /// of the direct attempt.
    pub tunnels: Family<Labels, Counter>,
    /// Number of open connections to upstreams that other gateways use.
    pub tunnels_served: Gauge,
    /// Number of upstreams whose row is missing but which may still serve.
    pub missing_rows: Gauge,
    /// Number of health checks of upstreams with lapsed rows, by result.
    pub row_checks: Family<Labels, Counter>,
    /// Number of gateways that this process receives heartbeats from.
    pub peers: Gauge,
    /// Fencing token of the lease that this process holds; 0 if it holds none.
    pub lease: Gauge,
    /// Number of requests in progress.
    pub in_progress: Gauge,
    /// Number of open connections to upstreams.
    pub connections: Gauge,
    /// Number of times that an upstream ended while it ran requests of this process.
    pub upstream_ends: Counter,
    /// Number of upstreams that announced that they are leaving, to this or another gateway.
    pub said_leaving: Counter,
    /// Number of upstreams that have requested a back-off.
    pub resting: Gauge,
    /// Number of upstreams that state a rate limit.
    pub rate_limited: Gauge,
    /// Number of upstreams that state that they are brittle.
    pub brittle: Gauge,
    /// Number of usage windows left out of the persisted state, which has to fit a row.
    pub windows_left_out: Gauge,
    /// Number of requests in quarantine because upstreams ended while running them.
    pub quarantined: Gauge,
    /// Number of parts of prompts in quarantine because upstreams ended while running requests
    /// with them.
    pub quarantined_parts: Gauge,
    /// Number of notices of long prompts that were sent, each to all gateways that are heard.
    pub work_notices_sent: Counter,
    /// Number of notices of long prompts that were received.
    pub work_notices_received: Counter,
    /// Number of long prompts that were not announced because the budget is for longer ones.
    pub work_notices_skipped: Counter,
    /// Answers whose time was measured for the speed of an upstream, by whether they were used.
    pub speed_samples: Family<Labels, Counter>,
    /// Streams that callers took up, by what their versions rest on.
    pub take_ups: Family<Labels, Counter>,
    /// Requests that were not sent for a part of their prompt, by state.
    pub held_for_parts: Family<Labels, Counter>,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl GatewayMetrics {
    /// Creates and registers the metrics, all zero.
    pub fn new() -> Self {
        let histogram: fn() -> Histogram =
            || Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT));
        let ratios: fn() -> Histogram =
            || Histogram::new(exponential_buckets(FIRST_RATIO, 2.0, RATIO_BUCKET_COUNT));
        let mut metrics = Self {
            registry: Registry::with_prefix("tackhollow_gateway"),
            requests: Family::default(),
            admission: Family::default(),
            first_byte: Family::new_with_constructor(histogram),
            output_ratio: Family::new_with_constructor(ratios),
            slot_time_ratio: Family::new_with_constructor(ratios),
            failed_attempts: Family::default(),
            platform_calls: Family::default(),
            rejected_entries: Family::default(),
            unread: UnreadMetrics::default(),
            intake: IntakeMetrics::default(),
            orders: Family::default(),
            lease_acquisitions: Family::default(),
            rollouts: Family::default(),
            configuration: Gauge::default(),
            knowledge_age: Family::default(),
            upstreams: Gauge::default(),
            unreachable: Gauge::default(),
            cut_off: Gauge::default(),
            tunnels: Family::default(),
            tunnels_served: Gauge::default(),
            missing_rows: Gauge::default(),
            row_checks: Family::default(),
            peers: Gauge::default(),
            lease: Gauge::default(),
            in_progress: Gauge::default(),
            connections: Gauge::default(),
            upstream_ends: Counter::default(),
            said_leaving: Counter::default(),
            resting: Gauge::default(),
            rate_limited: Gauge::default(),
            brittle: Gauge::default(),
            windows_left_out: Gauge::default(),
            quarantined: Gauge::default(),
            quarantined_parts: Gauge::default(),
            work_notices_sent: Counter::default(),
            work_notices_received: Counter::default(),
            work_notices_skipped: Counter::default(),
            speed_samples: Family::default(),
            take_ups: Family::default(),
            held_for_parts: Family::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Requests by class and outcome", self.requests.clone());
        r.register("admission", "Decisions on admission", self.admission.clone());
        r.register("first_byte_seconds", "Time to the first byte", self.first_byte.clone());
        r.register("output_ratio", "Output over predicted", self.output_ratio.clone());
        r.register("slot_time_ratio", "Slot time over predicted", self.slot_time_ratio.clone());
        r.register("failed_attempts", "Failed attempts", self.failed_attempts.clone());
        r.register("platform_calls", "Calls to the platform", self.platform_calls.clone());
        r.register("rejected_entries", "Rows that name no upstream", self.rejected_entries.clone());
        r.register(
            "unread_answers",
            "Answers held for callers that do not read",
            self.unread.answers.clone(),
        );
        let evictions = self.unread.evictions.clone();
        r.register("unread_evictions", "Answers cut off as too many were unread", evictions);
        r.register("intake_bytes", "Bytes that clients hold", self.intake.bytes.clone());
        let open = self.intake.connections.clone();
        r.register("intake_connections", "Open connections of clients", open);
        let evictions = self.intake.evictions.clone();
        r.register("intake_evictions", "Connections that had to give way", evictions);
        r.register("engine_orders", "Orders of engines", self.orders.clone());
        r.register("lease_acquisitions", "Leases by basis", self.lease_acquisitions.clone());
        r.register("rollout_changes", "Changes of roll-outs", self.rollouts.clone());
        r.register("configuration_version", "Configuration", self.configuration.clone());
        r.register("knowledge_age_seconds", "Age of knowledge", self.knowledge_age.clone());
        r.register("upstreams", "Upstreams that take work", self.upstreams.clone());
        r.register("unreachable_upstreams", "Upstreams out of reach", self.unreachable.clone());
        r.register("cut_off", "No path to any upstream", self.cut_off.clone());
        r.register("tunnels", "Connections through other gateways", self.tunnels.clone());
        r.register("tunnels_served", "Tunnels of other gateways", self.tunnels_served.clone());
        r.register("missing_rows", "Rows that may come back", self.missing_rows.clone());
        r.register("row_checks", "Health checks after lapses", self.row_checks.clone());
        r.register("peers", "Gateways that are heard", self.peers.clone());
        r.register("lease_fence", "Fencing number of the lease", self.lease.clone());
        r.register("in_progress", "Requests in progress", self.in_progress.clone());
        r.register("upstream_connections", "Open connections", self.connections.clone());
        r.register("upstream_ends", "Ends of upstreams", self.upstream_ends.clone());
        r.register("upstreams_said_leaving", "Said that they leave", self.said_leaving.clone());
        r.register("resting_upstreams", "Upstreams that asked for rest", self.resting.clone());
        r.register("rate_limited_upstreams", "Upstreams with a limit", self.rate_limited.clone());
        r.register("brittle_upstreams", "Upstreams that are brittle", self.brittle.clone());
        r.register("windows_left_out", "Usage not persisted", self.windows_left_out.clone());
        r.register("quarantined_requests", "Quarantined", self.quarantined.clone());
        r.register("quarantined_prompt_parts", "Quarantined parts", self.quarantined_parts.clone());
        r.register("work_notices_sent", "Long prompts announced", self.work_notices_sent.clone());
        let received = self.work_notices_received.clone();
        r.register("work_notices_received", "Notices of long prompts", received);
        let skipped = self.work_notices_skipped.clone();
        r.register("work_notices_skipped", "Long prompts not announced", skipped);
        r.register("speed_samples", "Times of answers", self.speed_samples.clone());
        r.register("stream_take_ups", "Streams taken up, by basis", self.take_ups.clone());
        r.register(
            "held_for_prompt_parts",
            "Requests not sent for a part",
            self.held_for_parts.clone(),
        );
    }

    /// Returns the metrics in the OpenMetrics text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn text(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
