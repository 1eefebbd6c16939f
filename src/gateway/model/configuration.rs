//! The operator's configuration: routes, services, customers and their limits.

use std::{collections::HashMap, time::Duration};

use hyper::http::uri::PathAndQuery;

use super::{CustomerName, ServiceName};
use crate::ids::DataCentre;

/// Whether the requests of a route may run more than once, and how they are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Idempotent: may run more than once.
    Safe,
    /// May run at most once.
    Unsafe,
    /// Answered by a stream of events; resumed only if [`Route::resumable`] is set.
    Streaming,
}

/// A route: matches requests by host and path and sets their targets and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name chosen by the operator.
    pub name: String,
    /// Host that requests must name, without a port.
    pub host: String,
    /// Prefix that the path must have; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may run more than once.
    pub kind: RequestKind,
    /// Maximum time from the arrival of a request to the end of its answer.
    pub timeout: Duration,
    /// Latency objective: time to the complete answer or, for streams, to the first event.
    pub objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that run the requests, with their weights in the traffic split.
    pub targets: Vec<(ServiceName, u32)>,
    /// Maximum number of upstreams that may run one request; at least 1.
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key.
    pub open: bool,
    /// Whether an interrupted stream may be resumed at another upstream.
    pub resumable: bool,
    /// Longest pause between events for which a stream is still on time; `None` if not stated.
    pub max_pause: Option<Duration>,
}

impl Route {
    /// Returns whether a request may be sent again after an attempt that may have run it.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RequestKind::Safe => true,
            RequestKind::Unsafe => false,
            RequestKind::Streaming => self.resumable,
        }
    }
}

/// Bounds on the number of engines of a service in each data centre, and their prices.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// Minimum number of engines in a data centre, including reclaimable ones.
    pub min: u32,
    /// Maximum number of engines in a data centre, including reclaimable ones.
    pub max: u32,
    /// Time from an order until the engine accepts requests.
    pub boot: Duration,
    /// Price of a reclaimable engine as a fraction of the price of one that is not.
    pub reclaimable_price: f64,
    /// Price of an engine per second by data centre, in the operator's currency unit.
    pub prices: HashMap<DataCentre, f64>,
}

/// A service: a set of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, unique in the configuration.
    pub name: ServiceName,
    /// Maximum number of connections that one upstream accepts from all its clients together.
    pub max_connections: u32,
    /// Path of an upstream's health check; `None` if there is none.
    pub health_path: Option<PathAndQuery>,
    /// Properties of its model engines; `None` if the service does not run model engines.
    pub engine: Option<EngineKind>,
    /// Bounds for ordering engines; `None` if their number is fixed.
    pub scaling: Option<Scaling>,
}

/// Properties common to all model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineKind {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub cache_tokens: u64,
    /// Output tokens in one event of a stream; at least 1.
    pub event_tokens: u32,
}

/// A customer with its API keys and quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name, forwarded to upstreams.
    pub name: CustomerName,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Priority that overrides that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Quota; `None` if the customer is not limited.
    pub quota: Option<Quota>,
    /// Tokens charged to the quota for a request that states no token count.
    pub plain_tokens: u64,
}

/// Token-bucket limit of a customer, shared by all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Refill rate, in tokens per second.
    pub rate: f64,
    /// Size of the bucket, in tokens.
    pub burst: f64,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time that a connection may stay idle.
    pub idle: Duration,
}

/// One version of the operator's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Version; a higher one is newer, but versions are not consecutive.
    pub version: u64,
    /// Routes in the order of the document.
    pub routes: Vec<Route>,
    /// Services, keyed by name.
    pub services: HashMap<ServiceName, Service>,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
    /// Customers; if there are none, no request needs an API key.
    pub customers: Vec<Customer>,
    /// See [`Configuration::urgency_spread`].
    urgency_spread: f64,
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
}

impl Configuration {
    /// Creates a configuration and builds its indexes by host and by key.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<ServiceName, Service>,
        limits: CallerLimits,
        customers: Vec<Customer>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (i, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(i);
        }
        for host_routes in by_host.values_mut() {
            host_routes.sort_by_key(|i| std::cmp::Reverse(routes[*i].prefix.len()));
        }
        let keys = customers.iter().enumerate();
        let by_key = keys.flat_map(|(i, c)| c.keys.iter().map(move |k| (k.clone(), i))).collect();
        let urgency_spread = urgency_spread(&routes);
        Self { version, routes, services, limits, customers, urgency_spread, by_host, by_key }
    }

    /// Returns how much longer the less urgent streams may take than the more urgent ones at the
    /// same service: the largest ratio of the timeouts of two streaming routes that share a service,
    /// where the route with the shorter timeout ranks above the other. 1 if there are no such routes.
    pub fn urgency_spread(&self) -> f64 {
        self.urgency_spread
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host_routes = self.by_host.get(host)?;
        host_routes.iter().map(|i| &self.routes[*i]).find(|r| path.starts_with(&r.prefix))
    }

    /// Returns the customer that the API key belongs to.
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        self.by_key.get(key).map(|i| &self.customers[*i])
    }

    /// Returns whether requests on routes that are not open need an API key.
    pub fn requires_key(&self) -> bool {
        !self.customers.is_empty()
    }
}

fn urgency_spread(routes: &[Route]) -> f64 {
    let mut streams: HashMap<&ServiceName, Vec<&Route>> = HashMap::new();
    for route in routes.iter().filter(|r| r.kind == RequestKind::Streaming) {
        for (service, _) in &route.targets {
            streams.entry(service).or_default().push(route);
        }
    }
    let ratio = |urgent: &Route, other: &Route| {
        let outranks = urgent.priority < other.priority && !urgent.timeout.is_zero();
        if outranks { other.timeout.as_secs_f64() / urgent.timeout.as_secs_f64() } else { 1.0 }
    };
    let pairs = streams.values().flat_map(|of_service| {
        of_service.iter().flat_map(|a| of_service.iter().map(|b| ratio(a, b)))
    });
    pairs.fold(1.0, f64::max)
}
