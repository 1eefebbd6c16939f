//! The kinds of configuration item.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Customer, DataCentre, Model},
    routing::Class,
};

/// Latency targets, met for 95 in 100 requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Targets {
    /// Time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time between tokens, in milliseconds.
    pub between_tokens_ms: u64,
}

impl Default for Targets {
    fn default() -> Self {
        Self { first_token_ms: 600, between_tokens_ms: 55 }
    }
}

/// How a class of request is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassPolicy {
    /// Priority at the engines; higher runs first.
    pub priority: u8,
    /// Longest wait for a free engine before the request is refused, in milliseconds.
    pub max_wait_ms: u64,
}

/// A plain service that a template offers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePolicy {
    /// Name in `/v1/services/NAME`.
    pub name: String,
    /// Whether a call may be sent again; `false` for non-idempotent calls.
    pub repeatable: bool,
    /// Statuses with which the service says that it refused a call before running it.
    #[serde(default = "default_refusals")]
    pub refuses_with: Vec<u16>,
    /// Longest silence before a call counts as lost, in milliseconds.
    #[serde(default = "default_silence_ms")]
    pub silence_ms: u64,
}

fn default_refusals() -> Vec<u16> {
    vec![429]
}

fn default_silence_ms() -> u64 {
    5_000
}

/// A shared template from which deployments are created.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Name of the template.
    pub name: String,
    /// Models that callers may ask for.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Adapters to load beside the models.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Data centres in which requests may run; empty for all.
    #[serde(default)]
    pub data_centres: Vec<DataCentre>,
    /// Whether the engines refuse an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Latency targets.
    #[serde(default)]
    pub targets: Targets,
    /// Policies by class; a class left out takes its default.
    #[serde(default)]
    pub classes: BTreeMap<Class, ClassPolicy>,
    /// Plain services.
    #[serde(default)]
    pub services: Vec<ServicePolicy>,
}

/// Parameters that a deployment sets over its template.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentParameters {
    /// Models, instead of the template's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub models: Option<Vec<Model>>,
    /// Data centres, instead of the template's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_centres: Option<Vec<DataCentre>>,
    /// Latency targets, instead of the template's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub targets: Option<Targets>,
    /// Budget for hosts, in currency units an hour.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub budget_per_hour: Option<f64>,
    /// Requests in progress at most on one entry host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_in_progress: Option<u32>,
}

/// A customer's deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name of the customer.
    pub customer: Customer,
    /// Name of the template.
    pub template: String,
    /// SHA-256 hashes, in hexadecimal, of the keys that callers may use.
    pub key_hashes: Vec<String>,
    /// Parameters set over the template.
    #[serde(default)]
    pub parameters: DeploymentParameters,
}

/// An operator's wish that an upstream or a data centre gets no new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Name of the upstream or the data centre.
    pub target: String,
    /// Why, for the audit trail.
    #[serde(default)]
    pub reason: String,
}

/// One configuration item.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// A template.
    Template(Template),
    /// A deployment.
    Deployment(Deployment),
    /// A drain.
    Drain(Drain),
}
