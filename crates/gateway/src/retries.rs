//! The retry budgets, one a service.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crankpick_configuration::RoutingTable;
use crankpick_quota::{RetryBudget, RetryBudgetSettings};

use crate::Now;

/// The budgets of all services.
pub(crate) struct Retries {
    settings: RetryBudgetSettings,
    services: Mutex<BTreeMap<String, RetryBudget>>,
}

impl Retries {
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Retries { settings, services: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, RetryBudget>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Goes by these services. What a service has spent is kept as long as it is known.
    pub fn publish(&self, routing: &RoutingTable, gateways: usize) {
        let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
        let mut services = self.lock();
        services.retain(|name, _| routing.service(name).is_some());
        for service in routing.services() {
            let budget = services.entry(service.name.clone());
            budget.or_insert_with(|| RetryBudget::new(self.settings, gateways)).set_gateways(gateways);
        }
    }

    /// A request for the service came in.
    pub fn deposit(&self, now: Now, service: &str) {
        if let Some(budget) = self.lock().get_mut(service) {
            budget.deposit(now);
        }
    }

    /// Whether a request for the service may go to a further backend.
    pub fn take(&self, now: Now, service: &str) -> bool {
        self.lock().get_mut(service).is_some_and(|budget| budget.take(now))
    }
}
