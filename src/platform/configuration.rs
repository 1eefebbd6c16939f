//! The operator's configuration document.

use std::{collections::HashMap, time::Duration};

use hyper::http::uri::PathAndQuery;
use serde::Deserialize;

use super::PlatformError;
use crate::gateway::model::{
    CallerLimits, Configuration, Customer, EngineKind, Quota, RequestKind, Route, Scaling, Service,
};

/// Maximum size of a request head if the document sets none, as in the platform's examples.
const DEFAULT_HEADER_BYTES: usize = 16_384;
/// Maximum size of a request body if the document sets none, as in the platform's examples.
const DEFAULT_BODY_BYTES: usize = 4_194_304;
/// Idle timeout of connections if the document sets none, as in the platform's examples.
const DEFAULT_IDLE_MS: f64 = 15_000.0;

/// Upper bound on times in the document. No request takes a day, and adding it to an `Instant`
/// cannot overflow.
const MAX_DURATION: Duration = Duration::from_secs(86_400);

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireConfiguration {
    version: u64,
    #[serde(default)]
    routes: Vec<WireRoute>,
    #[serde(default)]
    services: Vec<WireService>,
    limits: Option<WireLimits>,
    #[serde(default)]
    tenants: Vec<WireTenant>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireRoute {
    name: String,
    host: String,
    prefix: String,
    kind: String,
    timeout_ms: f64,
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    priority: u8,
    service: Option<String>,
    #[serde(default)]
    traffic_split: Vec<WireShare>,
    #[serde(default = "default_max_attempts")]
    max_attempts: u32,
    /// Whether requests need no API key.
    #[serde(default)]
    public: bool,
    #[serde(default)]
    stream_resume: bool,
    target_gap_ms: Option<f64>,
}

fn default_max_attempts() -> u32 {
    1
}

#[derive(Deserialize)]
struct WireShare {
    service: String,
    weight: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireService {
    name: String,
    #[serde(default)]
    max_connections: u32,
    health_path: Option<String>,
    engine: Option<WireEngine>,
    scaling: Option<WireScaling>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireEngine {
    slots: u32,
    kv_capacity_tokens: u64,
    #[serde(default = "default_stride")]
    stride: u32,
}

fn default_stride() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireScaling {
    min_replicas: u32,
    max_replicas: u32,
    #[serde(default)]
    boot_s: f64,
    /// Price as a fraction of the price of engines that are not reclaimable.
    #[serde(default = "default_spot_price")]
    spot_price: f64,
    #[serde(default)]
    zone_prices: HashMap<String, f64>,
}

fn default_spot_price() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireLimits {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    idle_timeout_ms: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireTenant {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u8>,
    /// Rate in the tenant's unit, which is tokens here; 0 means no limit.
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
    #[serde(default)]
    plain_tokens: u64,
}

/// Decodes the configuration document.
///
/// # Errors
///
/// Fails if the document does not match the published schema.
pub fn decode_configuration(bytes: &[u8]) -> Result<Configuration, PlatformError> {
    let wire: WireConfiguration =
        serde_json::from_slice(bytes).map_err(PlatformError::malformed("configuration"))?;
    let routes = wire.routes.into_iter().map(route).collect();
    let services = wire.services.into_iter().map(|s| (s.name.clone(), service(s))).collect();
    let customers = wire.tenants.into_iter().map(customer).collect();
    Ok(Configuration::new(wire.version, routes, services, limits(wire.limits), customers))
}

fn millis(ms: f64) -> Duration {
    seconds(ms / 1_000.0)
}

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s.clamp(0.0, MAX_DURATION.as_secs_f64()))
}

fn route(wire: WireRoute) -> Route {
    let kind = match wire.kind.as_str() {
        "safe" => RequestKind::Safe,
        "streaming" => RequestKind::Streaming,
        // Unknown kinds get the most restrictive treatment: at most one run.
        _ => RequestKind::Unsafe,
    };
    let mut targets: Vec<(String, u32)> =
        wire.traffic_split.into_iter().map(|s| (s.service, s.weight)).collect();
    if targets.is_empty() {
        targets.extend(wire.service.map(|s| (s, 1)));
    }
    Route {
        name: wire.name,
        host: wire.host,
        prefix: wire.prefix,
        kind,
        timeout: millis(wire.timeout_ms),
        objective: millis(wire.target_latency_ms),
        priority: wire.priority,
        targets,
        max_attempts: wire.max_attempts.max(1),
        open: wire.public,
        resumable: wire.stream_resume,
        max_pause: wire.target_gap_ms.map(millis),
    }
}

/// Decodes the path of a health check; one that no request can have counts as missing.
fn health_path(service: &str, path: &str) -> Option<PathAndQuery> {
    let decoded = PathAndQuery::try_from(path).ok().filter(|_| path.starts_with('/'));
    if decoded.is_none() {
        log::error!("service {service:?} is not checked, {path:?} is no path of a request");
    }
    decoded
}

fn service(wire: WireService) -> Service {
    let health_path = wire.health_path.and_then(|path| health_path(&wire.name, &path));
    let engine = wire.engine.map(|e| EngineKind {
        slots: e.slots,
        cache_tokens: e.kv_capacity_tokens,
        event_tokens: e.stride.max(1),
    });
    let scaling = wire.scaling.map(|s| Scaling {
        min: s.min_replicas,
        max: s.max_replicas,
        boot: seconds(s.boot_s),
        reclaimable_price: s.spot_price,
        prices: s.zone_prices,
    });
    Service { name: wire.name, max_connections: wire.max_connections, health_path, engine, scaling }
}

fn customer(wire: WireTenant) -> Customer {
    let quota =
        (wire.rate_per_s > 0.0).then_some(Quota { rate: wire.rate_per_s, burst: wire.burst });
    Customer {
        name: wire.name,
        keys: wire.api_keys,
        priority: wire.priority,
        quota,
        plain_tokens: wire.plain_tokens,
    }
}

fn limits(wire: Option<WireLimits>) -> CallerLimits {
    let wire = wire.unwrap_or(WireLimits {
        max_header_bytes: None,
        max_body_bytes: None,
        idle_timeout_ms: None,
    });
    CallerLimits {
        header_bytes: wire.max_header_bytes.unwrap_or(DEFAULT_HEADER_BYTES),
        body_bytes: wire.max_body_bytes.unwrap_or(DEFAULT_BODY_BYTES),
        idle: millis(wire.idle_timeout_ms.unwrap_or(DEFAULT_IDLE_MS)),
    }
}
