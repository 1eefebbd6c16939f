//! Orders of engines of all services: what may be expected of earlier ones, and what
//! the next holder of the lease has to know of them.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{Fleet, OrderPace, OrderState, PaceInput};
use crate::{gateway::model::ServiceName, ids::DataCentre};

/// Which engines an order is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrderKey {
    /// Service.
    pub service: ServiceName,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Whether the engines are reclaimable.
    pub reclaimable: bool,
}

/// The last order of some engines, as the next holder of the lease needs to know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReport {
    /// Which engines.
    pub key: OrderKey,
    /// How many were ordered last and accepted.
    pub count: u32,
    /// Whether the platform has said of late that it has none to give.
    pub refused: bool,
    /// How long ago it was given, in milliseconds.
    pub age_ms: u32,
}

/// Orders of engines of all services.
#[derive(Debug, Default)]
pub struct OrderBook {
    paces: BTreeMap<OrderKey, OrderPace>,
}

impl OrderBook {
    /// Forgets all orders: another process gives them from now on.
    pub fn clear(&mut self) {
        self.paces.clear();
    }

    /// Goes on from the orders of the holder before, unless this process has given
    /// some itself. Without them a new holder gave up engines on demand that had just
    /// been ordered, and expected reclaimable ones that were not to be had: six
    /// seconds without cover in a wave of reclaims, from the log of one.
    pub fn resume(&mut self, reports: &[OrderReport], now: Instant) {
        if !self.paces.is_empty() {
            return;
        }
        let paces = reports.iter().map(|report| {
            let age = Duration::from_millis(report.age_ms.into());
            let at = now.checked_sub(age).unwrap_or(now);
            let pace = OrderPace::resumed(report.count, report.refused, at);
            (report.key.clone(), pace)
        });
        self.paces = paces.collect();
    }

    /// Returns the orders, for the holder after this one.
    pub fn reports(&self, now: Instant) -> Vec<OrderReport> {
        let report = |(key, pace): (&OrderKey, &OrderPace)| OrderReport {
            key: key.clone(),
            count: pace.count(),
            refused: pace.is_refused(now),
            age_ms: now.saturating_duration_since(pace.at()).as_millis() as u32,
        };
        self.paces.iter().map(report).collect()
    }

    /// Returns whether the platform has no reclaimable engines of a service to give.
    pub fn is_dry(&self, service: &str, now: Instant) -> bool {
        let of_service = self.paces.iter().filter(|(key, _)| key.service == service);
        let mut reclaimable = of_service.filter(|(key, _)| key.reclaimable);
        reclaimable.any(|(_, pace)| pace.is_refused(now))
    }

    /// Adds to a service's fleets what may be expected of earlier orders.
    pub fn expect(
        &self,
        service: &str,
        fleets: &mut BTreeMap<DataCentre, Fleet>,
        boot: Duration,
        now: Instant,
    ) {
        for (data_centre, fleet) in fleets {
            let pace = |reclaimable| {
                let (service, data_centre) = (service.to_owned(), data_centre.clone());
                self.paces.get(&OrderKey { service, data_centre, reclaimable })
            };
            fleet.more_expected = pace(true).is_none_or(|p| p.may_start(boot, now));
            fleet.on_demand_starting =
                pace(false).map_or(0, |p| p.starting(fleet.on_demand, boot, now));
        }
    }

    /// Returns how many of these engines to order now; `None` for no order. An order
    /// counts as sent once it is returned.
    pub fn next(&mut self, key: &OrderKey, input: &PaceInput, now: Instant) -> Option<u32> {
        let pace = self.paces.entry(key.clone());
        let pace = pace.or_insert_with(|| OrderPace::new(input.serving, now));
        let count = pace.next(input, now)?;
        pace.sent(now);
        Some(count)
    }

    /// Notes what became of an order of `count`.
    pub fn answered(&mut self, key: &OrderKey, count: u32, state: OrderState) {
        if let Some(pace) = self.paces.get_mut(key) {
            pace.answered(count, state);
        }
    }
}
