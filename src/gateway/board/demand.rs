//! Load that callers put on services, through this process and the others.

use std::time::Instant;

use super::Board;
use crate::gateway::{
    decide::{EngineSpeed, LoadMeter, Occupancy, ServiceLoad, mean_cost, occupancy},
    model::ServiceName,
    peering::Demand,
};

impl Board {
    /// Returns the meter of the load from this process's callers on a service.
    pub fn load_meter(&mut self, service: &ServiceName, now: Instant) -> &mut LoadMeter {
        self.loads.entry(service.clone()).or_insert_with(|| LoadMeter::new(now))
    }

    /// Returns whether any gateway known here has received load from callers.
    pub fn has_seen_load(&self) -> bool {
        let others = || self.peers.values().any(|p| !p.last.demand.is_empty());
        !self.loads.is_empty() || others()
    }

    /// Returns the load from this process's callers, to be sent with heartbeats.
    pub fn own_demand(&self, now: Instant) -> Vec<Demand> {
        self.loads.iter().map(|(service, meter)| Demand::new(service, meter.load(now))).collect()
    }

    /// Recomputes the average cost of a request to each service, over all processes.
    pub fn update_average_costs(&mut self, now: Instant) {
        let services = self.loads.keys();
        let costs = services.filter_map(|s| Some((s.clone(), mean_cost(self.demand(s, now))?)));
        self.costs = costs.collect();
    }

    /// Returns the load of each process's callers on a service.
    fn demand<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = ServiceLoad> + use<'a> {
        let own = self.loads.get(service).map(|meter| meter.load(now));
        let others = self.recently_heard(now).flat_map(|p| &p.last.demand);
        own.into_iter().chain(others.filter(move |d| d.service == service).map(Demand::load))
    }

    /// Returns the total request rate of a service over all processes, in requests per second.
    pub fn total_demand(&self, service: &str, now: Instant) -> f64 {
        self.demand(service, now).map(|load| load.rate).sum()
    }

    /// Returns the resources that the load of a service keeps busy, as far as its cost is known.
    pub fn busy(&self, service: &str, speed: EngineSpeed, now: Instant) -> Occupancy {
        let cost = self.costs.get(service).copied().unwrap_or_default();
        occupancy(ServiceLoad { rate: self.total_demand(service, now), cost }, speed)
    }
}
