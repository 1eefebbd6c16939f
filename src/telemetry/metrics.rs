//! Metrics of an entry process, in the OpenMetrics text format.

use std::sync::Arc;

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

use super::Traffic;

/// One label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Labels {
    /// Cause, kind or reason.
    pub cause: String,
}

/// Labels of a finished request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Customer.
    pub customer: String,
    /// Class.
    pub class: String,
    /// `completed`, `not_run` or `unknown`.
    pub outcome: String,
}

/// Metrics of an entry process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests that ended.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Requests refused at the door, by reason.
    pub refused: Family<Labels, Counter>,
    /// Requests in progress.
    pub in_progress: Gauge,
    /// Attempts at upstreams.
    pub attempts: Counter,
    /// Attempts after the first, by cause.
    pub retries: Family<Labels, Counter>,
    /// Tokens computed again, by cause.
    pub recomputed_tokens: Family<Labels, Counter>,
    /// Answers of upstreams that did not match their request.
    pub mismatched: Family<Labels, Counter>,
    /// Seconds to the first token.
    pub first_token: Histogram,
    /// Seconds from acceptance of a change to its being in force here.
    pub config_delay: Histogram,
    /// Configuration version in force.
    pub config_version: Gauge,
    /// Members of the data centre that are working, this one included.
    pub members: Gauge,
    /// Upstreams owned.
    pub upstreams: Gauge,
    /// Records held.
    pub records: Gauge,
    /// Seconds since the platform last answered.
    pub platform_silence: Gauge,
    /// Control traffic of membership.
    pub gossip_traffic: Arc<Traffic>,
    /// Control traffic between processes other than membership.
    pub peer_traffic: Arc<Traffic>,
    /// Bytes of events received from upstreams.
    pub upstream_event_bytes: Counter,
    /// Calls of the platform, by kind.
    pub platform_calls: Family<Labels, Counter>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers the metrics.
    pub fn new() -> Self {
        let mut this = Self {
            registry: Registry::with_prefix("tackhollow"),
            requests: Family::default(),
            refused: Family::default(),
            in_progress: Gauge::default(),
            attempts: Counter::default(),
            retries: Family::default(),
            recomputed_tokens: Family::default(),
            mismatched: Family::default(),
            first_token: Histogram::new(exponential_buckets(0.005, 1.6, 18)),
            config_delay: Histogram::new(exponential_buckets(0.01, 1.6, 18)),
            config_version: Gauge::default(),
            members: Gauge::default(),
            upstreams: Gauge::default(),
            records: Gauge::default(),
            platform_silence: Gauge::default(),
            gossip_traffic: Arc::default(),
            peer_traffic: Arc::default(),
            upstream_event_bytes: Counter::default(),
            platform_calls: Family::default(),
        };
        this.register_requests();
        this.register_state();
        this.register_traffic();
        this.start_at_zero();
        this
    }

    /// Makes the series of known causes, so that they are there before the
    /// first event.
    fn start_at_zero(&self) {
        let known: [(&Family<Labels, Counter>, &[&str]); 4] = [
            (&self.refused, &["unknown_key", "not_ready", "unknown_model", "full", "leaving"]),
            (&self.retries, &["failure", "reclaim"]),
            (&self.recomputed_tokens, &["failure", "reclaim", "entry_reclaim"]),
            (&self.mismatched, &["request_id", "duplicate", "gap"]),
        ];
        for (family, causes) in known {
            causes.iter().for_each(|cause| count_by(family, cause, 0));
        }
    }

    fn register_requests(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Requests that ended", self.requests.clone());
        r.register("refused", "Requests refused at the door", self.refused.clone());
        r.register("in_progress", "Requests in progress", self.in_progress.clone());
        r.register("attempts", "Attempts at upstreams", self.attempts.clone());
        r.register("retries", "Attempts after the first", self.retries.clone());
        r.register("recomputed_tokens", "Tokens computed again", self.recomputed_tokens.clone());
        r.register("mismatched", "Answers that did not match", self.mismatched.clone());
        r.register("first_token_seconds", "Time to first token", self.first_token.clone());
    }

    fn register_state(&mut self) {
        let r = &mut self.registry;
        r.register("config_delay_seconds", "Acceptance to in force", self.config_delay.clone());
        r.register("config_version", "Configuration in force", self.config_version.clone());
        r.register("members", "Working members", self.members.clone());
        r.register("upstreams", "Upstreams owned", self.upstreams.clone());
        r.register("records", "Records held", self.records.clone());
        let silence = self.platform_silence.clone();
        r.register("platform_silence_seconds", "Since the platform answered", silence);
    }

    fn register_traffic(&mut self) {
        let r = &mut self.registry;
        for (name, traffic) in [("gossip", &self.gossip_traffic), ("peer", &self.peer_traffic)] {
            let sub = r.sub_registry_with_prefix(name);
            sub.register("sent_bytes", "Bytes sent", traffic.bytes_sent.clone());
            sub.register("received_bytes", "Bytes received", traffic.bytes_received.clone());
            sub.register("sent_messages", "Messages sent", traffic.messages_sent.clone());
            let received = traffic.messages_received.clone();
            sub.register("received_messages", "Messages received", received);
            sub.register("refused_messages", "Messages refused", traffic.refused.clone());
        }
        let events = self.upstream_event_bytes.clone();
        r.register("upstream_event_bytes", "Bytes of upstream events", events);
        r.register("platform_calls", "Calls of the platform", self.platform_calls.clone());
    }

    /// Returns the metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            text.clear();
        }
        text
    }
}

/// Adds one to the counter of a family.
pub fn count(family: &Family<Labels, Counter>, cause: &str) {
    count_by(family, cause, 1);
}

/// Adds to the counter of a family.
pub fn count_by(family: &Family<Labels, Counter>, cause: &str, by: u64) {
    family.get_or_create(&Labels { cause: cause.to_owned() }).inc_by(by);
}
