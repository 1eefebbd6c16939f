//! The configuration in force: routes, services, customers and their limits.

use std::{collections::HashMap, time::Duration};

use super::{CustomerName, ServiceName};
use crate::ids::DataCentre;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Idempotent: may run more than once.
    Safe,
    /// May run at most once.
    Unsafe,
    /// Answered by a stream of events; may be resumed only where the route says so.
    Streaming,
}

/// A route: which requests go to which services, and on what terms.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name given by the operator.
    pub name: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time until the answer has ended.
    pub timeout: Duration,
    /// Latency objective: time to the whole answer, for streams to the first event.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that may run the requests, with their weights.
    pub targets: Vec<(ServiceName, u32)>,
    /// Upstreams on which one request may run.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub open: bool,
    /// Whether a stream may go on at another upstream.
    pub resumable: bool,
}

impl Route {
    /// Returns whether a request may run again after it may have run.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RequestKind::Safe => true,
            RequestKind::Unsafe => false,
            RequestKind::Streaming => self.resumable,
        }
    }
}

/// How many engines a service may have in each data centre, and what they cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// Engines in a data centre at least, reclaimable ones included.
    pub min: u32,
    /// Engines in a data centre at most, reclaimable ones included.
    pub max: u32,
    /// Time from an order until the engine serves.
    pub boot: Duration,
    /// Price of a reclaimable engine as a share of the price of another.
    pub reclaimable_price: f64,
    /// Price of an engine by data centre, in the operator's unit a second.
    pub prices: HashMap<DataCentre, f64>,
}

/// A service: upstreams that run the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Connections that an upstream accepts from all callers together.
    pub max_connections: u32,
    /// What is known of its model engines; `None` for a plain service.
    pub engine: Option<EngineKind>,
    /// Bounds for ordering engines; `None` where their number is fixed.
    pub scaling: Option<Scaling>,
}

/// Properties that all model engines of a service share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineKind {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into the KV cache.
    pub cache_tokens: u64,
}

/// A customer, its keys and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name, passed on to upstreams.
    pub name: CustomerName,
    /// Keys that its callers send.
    pub keys: Vec<String>,
    /// Rank that replaces the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Quota; `None` means no limit.
    pub quota: Option<Quota>,
    /// Tokens that a request without a token count uses of the quota.
    pub plain_tokens: u64,
}

/// A limit on what a customer may use, over all processes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Tokens a second.
    pub rate: f64,
    /// Tokens that may be used at once after a quiet time.
    pub burst: f64,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest idle time of a connection.
    pub idle: Duration,
}

/// The operator's configuration at one version.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Version; a higher one is newer. Versions rise in uneven steps.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
    /// Customers; where there are none, requests need no key.
    pub customers: Vec<Customer>,
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
}

impl Configuration {
    /// Creates a configuration and its indexes.
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
        for of_host in by_host.values_mut() {
            of_host.sort_by_key(|i| std::cmp::Reverse(routes[*i].prefix.len()));
        }
        let keys = customers.iter().enumerate();
        let by_key = keys.flat_map(|(i, c)| c.keys.iter().map(move |k| (k.clone(), i))).collect();
        Self { version, routes, services, limits, customers, by_host, by_key }
    }

    /// Returns the route with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let of_host = self.by_host.get(host)?;
        of_host.iter().map(|i| &self.routes[*i]).find(|r| path.starts_with(&r.prefix))
    }

    /// Returns the customer that holds `key`.
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        self.by_key.get(key).map(|i| &self.customers[*i])
    }

    /// Returns whether requests need a key unless their route is open.
    pub fn needs_keys(&self) -> bool {
        !self.customers.is_empty()
    }
}
