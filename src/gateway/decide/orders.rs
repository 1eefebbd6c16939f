//! Orders of engines for all services: which engines of earlier orders may still start, and
//! what the next holder of the lease needs to know about them.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{Fleet, OrderPacer, OrderPacerInput, OrderState};
use crate::{gateway::model::ServiceName, ids::DataCentre};

/// Service, data centre and kind of engine that an order is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrderKey {
    /// Service whose engines are ordered.
    pub service: ServiceName,
    /// Data centre in which the engines run.
    pub data_centre: DataCentre,
    /// Whether the engines are reclaimable.
    pub reclaimable: bool,
}

/// The last order for a key, as the next holder of the lease needs to know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReport {
    /// Service, data centre and kind of engine.
    pub key: OrderKey,
    /// Number of engines in the last accepted order.
    pub count: u32,
    /// Whether the platform has recently refused an order because it had no engines to give.
    pub refused: bool,
    /// Time since the last order was sent, in milliseconds.
    pub age_ms: u32,
}

/// Orders of engines for all services.
#[derive(Debug, Default)]
pub struct EngineOrders {
    pacers: BTreeMap<OrderKey, OrderPacer>,
}

impl EngineOrders {
    /// Drops all orders, for when another process gives them from now on.
    pub fn clear(&mut self) {
        self.pacers.clear();
    }

    /// Takes over the orders of the previous holder, unless this process has already given
    /// some. Without them, a new holder gives up engines on demand that were ordered just
    /// before, and expects reclaimable engines that the platform has refused; in one observed
    /// series of reclaims this left the load without cover for six seconds.
    pub fn resume(&mut self, reports: &[OrderReport], now: Instant) {
        if !self.pacers.is_empty() {
            return;
        }
        let pacers = reports.iter().map(|report| {
            let age = Duration::from_millis(report.age_ms.into());
            let at = now.checked_sub(age).unwrap_or(now);
            let pacer = OrderPacer::resumed(report.count, report.refused, at);
            (report.key.clone(), pacer)
        });
        self.pacers = pacers.collect();
    }

    /// Returns the orders for the next holder of the lease.
    pub fn reports(&self, now: Instant) -> Vec<OrderReport> {
        let report = |(key, pacer): (&OrderKey, &OrderPacer)| OrderReport {
            key: key.clone(),
            count: pacer.count(),
            refused: pacer.is_refused(now),
            age_ms: now.saturating_duration_since(pacer.ordered_at()).as_millis() as u32,
        };
        self.pacers.iter().map(report).collect()
    }

    /// Returns whether the platform has recently refused reclaimable engines to a service.
    pub fn is_reclaimable_unavailable(&self, service: &str, now: Instant) -> bool {
        let of_service = self.pacers.iter().filter(|(key, _)| key.service == service);
        let mut reclaimable = of_service.filter(|(key, _)| key.reclaimable);
        reclaimable.any(|(_, pacer)| pacer.is_refused(now))
    }

    /// Sets in each data centre which engines of earlier orders may still start.
    pub fn add_expected_engines(
        &self,
        service: &str,
        fleets: &mut BTreeMap<DataCentre, Fleet>,
        boot: Duration,
        now: Instant,
    ) {
        for (data_centre, fleet) in fleets {
            let pacer = |reclaimable| {
                let (service, data_centre) = (service.to_owned(), data_centre.clone());
                self.pacers.get(&OrderKey { service, data_centre, reclaimable })
            };
            fleet.reclaimable_expected = pacer(true).is_none_or(|p| p.may_start(boot, now));
            fleet.on_demand_starting =
                pacer(false).map_or(0, |p| p.starting(fleet.on_demand, boot, now));
        }
    }

    /// Returns the number of engines to order now; `None` if no order is due. The order is
    /// taken to be sent when this returns.
    pub fn next_order_count(
        &mut self,
        key: &OrderKey,
        input: &OrderPacerInput,
        now: Instant,
    ) -> Option<u32> {
        let entry = self.pacers.entry(key.clone());
        let pacer = entry.or_insert_with(|| OrderPacer::new(input.serving, now));
        let count = pacer.next_order(input, now)?;
        pacer.record_sent(now);
        Some(count)
    }

    /// Records the result of an order of `count` engines.
    pub fn record_order_result(&mut self, key: &OrderKey, count: u32, state: OrderState) {
        if let Some(pacer) = self.pacers.get_mut(key) {
            pacer.record_result(count, state);
        }
    }
}
