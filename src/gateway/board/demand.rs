//! Load that callers bring to services, through this process and the others.

use std::time::Instant;

use super::Board;
use crate::gateway::{
    decide::{Busy, EngineSpeed, LoadMeter, ServiceLoad, busy, mean_cost},
    model::ServiceName,
    peering::Demand,
};

impl Board {
    /// Returns the meter of the load that this process's callers bring.
    pub fn load_meter(&mut self, service: &ServiceName, now: Instant) -> &mut LoadMeter {
        self.loads.entry(service.clone()).or_insert_with(|| LoadMeter::new(now))
    }

    /// Returns whether callers have brought any load, as far as is known here.
    pub fn has_had_load(&self) -> bool {
        let others = || self.peers.values().any(|p| !p.last.demand.is_empty());
        !self.loads.is_empty() || others()
    }

    /// Returns the load that this process's callers bring, to be told to the others.
    pub fn own_demand(&self, now: Instant) -> Vec<Demand> {
        self.loads.iter().map(|(service, meter)| Demand::new(service, meter.load(now))).collect()
    }

    /// Takes the mean over all processes of what a request costs.
    pub fn average_costs(&mut self, now: Instant) {
        let services = self.loads.keys();
        let costs = services.filter_map(|s| Some((s.clone(), mean_cost(self.demand(s, now))?)));
        self.costs = costs.collect();
    }

    /// Returns the load that callers bring to a service through each process.
    fn demand<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = ServiceLoad> + use<'a> {
        let own = self.loads.get(service).map(|meter| meter.load(now));
        let others = self.heard(now).flat_map(|p| &p.last.demand);
        own.into_iter().chain(others.filter(move |d| d.service == service).map(Demand::load))
    }

    /// Returns the requests a second that all callers bring to a service.
    pub fn total_demand(&self, service: &str, now: Instant) -> f64 {
        self.demand(service, now).map(|load| load.rate).sum()
    }

    /// Returns what the load of a service keeps busy, as far as is known.
    pub fn busy(&self, service: &str, speed: EngineSpeed, now: Instant) -> Busy {
        let cost = self.costs.get(service).copied().unwrap_or_default();
        busy(ServiceLoad { rate: self.total_demand(service, now), cost }, speed)
    }
}
