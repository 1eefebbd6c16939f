//! What this process knows of the overload of services and of its callers' time budgets.

use std::{collections::HashMap, time::Duration};

use crate::gateway::{
    decide::{Backlog, UsualBudget},
    model::ServiceName,
};

/// Maximum number of services and of routes that are kept. Names come from the configuration alone;
/// those of earlier configurations are dropped when the limit is reached.
const MAX_NAMES: usize = 4_096;

/// Backlogs by service, and usual time budgets by route.
#[derive(Debug, Default)]
pub struct AdmissionState {
    backlogs: HashMap<ServiceName, Backlog>,
    budgets: HashMap<String, UsualBudget>,
}

impl AdmissionState {
    /// Returns the backlog of a service.
    pub fn backlog(&mut self, service: &ServiceName) -> &mut Backlog {
        bound(&mut self.backlogs);
        self.backlogs.entry(service.clone()).or_default()
    }

    /// Returns how much of the usual budget of a route a caller has used that states `budget`.
    pub fn used_budget(&mut self, route: &str, budget: Duration) -> Duration {
        bound(&mut self.budgets);
        self.budgets.entry(route.to_owned()).or_default().used(budget)
    }
}

fn bound<T>(by_name: &mut HashMap<String, T>) {
    if by_name.len() >= MAX_NAMES {
        by_name.clear();
    }
}
