//! Orders that bring an engine to its wished state.

use serde::{Deserialize, Serialize};

use crate::{config::Template, ids::Model};

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct EngineReport {
    /// Models loaded.
    pub models: Vec<Model>,
    /// Adapters loaded.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// An order. It names a wished state, so that carrying it out twice, or late,
/// changes nothing that the next look does not put right.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Order {
    /// Fencing number of the lease under which it is given.
    pub fence: u64,
    /// What to do.
    pub action: &'static str,
    /// Model or adapter.
    pub name: String,
}

/// Returns the orders that are missing: models that the host was started for,
/// adapters of the templates that use one of them, and no others.
pub fn missing_orders(
    host_models: &[Model],
    templates: &[&Template],
    report: &EngineReport,
    fence: u64,
) -> Vec<Order> {
    let adapters = wished_adapters(host_models, templates);
    let order = |action, name: &String| Order { fence, action, name: name.clone() };
    let lacks = |have: &[String], name: &&String| !have.contains(name);
    let load = host_models.iter().filter(|m| lacks(&report.models, m));
    let unload = report.models.iter().filter(|m| lacks(host_models, m));
    let load_adapters = adapters.iter().filter(|a| lacks(&report.adapters, a));
    let unload_adapters = report.adapters.iter().filter(|a| lacks(&adapters, a));
    load.map(|m| order("load_model", m))
        .chain(unload.map(|m| order("unload_model", m)))
        .chain(load_adapters.map(|a| order("load_adapter", a)))
        .chain(unload_adapters.map(|a| order("unload_adapter", a)))
        .collect()
}

fn wished_adapters(host_models: &[Model], templates: &[&Template]) -> Vec<String> {
    let uses = |t: &&&Template| t.models.iter().any(|m| host_models.contains(m));
    let mut adapters: Vec<String> =
        templates.iter().filter(uses).flat_map(|t| t.adapters.clone()).collect();
    adapters.sort();
    adapters.dedup();
    adapters
}
