//! Retry budgets, one per service.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crankpick_configuration::RoutingTable;
use crankpick_quota::{RetryBudget, RetryBudgetSettings};

use crate::Now;

/// The retry budgets of all services.
pub(crate) struct RetryBudgets {
    settings: RetryBudgetSettings,
    services: Mutex<BTreeMap<String, RetryBudget>>,
}

impl RetryBudgets {
    pub fn new(settings: RetryBudgetSettings) -> Self {
        RetryBudgets { settings, services: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, RetryBudget>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the set of services. A service keeps its budget's state for as long as it is configured.
    pub fn publish(&self, routing: &RoutingTable, gateways: usize) {
        let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
        let mut services = self.lock();
        services.retain(|name, _| routing.service(name).is_some());
        for service in routing.services() {
            let budget = services.entry(service.name.clone());
            budget.or_insert_with(|| RetryBudget::new(self.settings, gateways)).set_gateways(gateways);
        }
    }

    /// Credits a service's budget for a new request.
    pub fn deposit(&self, now: Now, service: &str) {
        if let Some(budget) = self.lock().get_mut(service) {
            budget.deposit(now);
        }
    }

    /// Charges a retry to the service's budget. Returns whether the budget allowed it.
    pub fn try_take(&self, now: Now, service: &str) -> bool {
        self.lock().get_mut(service).is_some_and(|budget| budget.take(now))
    }
}
