//! The tenants' quotas, as far as this gateway holds leases on them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crankpick_configuration::{QuotaUnit, RoutingTable, TenantRule};
use crankpick_quota::{Demand, Grant, GrantSource, Holder, QuotaBounds, QuotaLimit};
use tokio::sync::Notify;

use crate::Now;

/// This gateway's demand for one tenant's quota.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantDemand {
    /// The tenant's name.
    pub tenant: String,
    /// The demand to report.
    pub demand: Demand,
}

/// Why a request could not be charged, and when to try again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Shortage {
    /// When enough quota will have accrued if no credit arrives earlier; `None` if that is unknown.
    pub accrues_in: Option<Duration>,
    /// When the need may be reported; zero if a report has been requested just now. Reports keep a minimum
    /// interval: the request must be rechecked by then, or the need would wait for the next regular report.
    pub report_in: Option<Duration>,
}

impl Shortage {
    /// Maximum time a held request waits before it is rechecked.
    pub fn recheck_in(&self) -> Option<Duration> {
        let report_in = self.report_in.filter(|wait| !wait.is_zero());
        match (self.accrues_in, report_in) {
            (Some(accrues), Some(report)) => Some(accrues.min(report)),
            (accrues, report) => accrues.or(report),
        }
    }
}

/// Holds one lease per tenant.
pub(crate) struct Quotas {
    bounds: QuotaBounds,
    holders: Mutex<BTreeMap<String, Holder>>,
    /// Notified when a request could not be admitted and a report should be sent immediately.
    urgent_need: Notify,
    /// Notified when a grant has been applied.
    grant_applied: Notify,
}

impl Quotas {
    pub fn new(bounds: QuotaBounds) -> Self {
        Quotas { bounds, holders: Mutex::default(), urgent_need: Notify::new(), grant_applied: Notify::new() }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Holder>> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the set of tenants. Unlimited and removed tenants hold no lease.
    pub fn publish(&self, now: Now, routing: &RoutingTable, gateways: usize) {
        let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
        let limited: BTreeMap<&str, &Arc<TenantRule>> = routing
            .tenants()
            .filter(|tenant| tenant.is_limited())
            .map(|tenant| (tenant.name.as_str(), tenant))
            .collect();
        let mut holders = self.lock();
        holders.retain(|name, _| limited.contains_key(name.as_str()));
        for (name, tenant) in limited {
            let limit = QuotaLimit { rate: tenant.rate_per_s, burst: tenant.burst };
            let holder = holders.entry(name.to_owned()).or_insert_with(|| Holder::new(now));
            holder.set_floor(now, &self.bounds, limit, gateways);
        }
    }

    /// Charges a request to the tenant's lease; `is_recheck` if the request was held before. If the charge
    /// fails, returns when to try again.
    pub fn try_take(
        &self,
        now: Now,
        tenant: &TenantRule,
        cost: f64,
        is_recheck: bool,
    ) -> Result<(), Shortage> {
        let mut holders = self.lock();
        let Some(holder) = holders.get_mut(&tenant.name).filter(|_| tenant.is_limited()) else {
            return Ok(());
        };
        let taken = if is_recheck { holder.retry_take(now, cost) } else { holder.take(now, cost) };
        if taken {
            return Ok(());
        }
        let accrues_in = holder.wait_for(now, cost);
        let report_in = holder.report_at(now).map(|at| at.saturating_sub(now));
        if report_in == Some(Duration::ZERO) {
            self.urgent_need.notify_one();
        }
        Err(Shortage { accrues_in, report_in })
    }

    /// Completes when a grant has been applied.
    pub async fn wait_for_grant(&self) {
        self.grant_applied.notified().await;
    }

    /// Completes when a report should be sent immediately.
    pub async fn wait_for_urgent_need(&self) {
        self.urgent_need.notified().await;
    }

    pub fn has_urgent_need(&self, now: Now) -> bool {
        self.lock().values().any(|holder| holder.urgent(now))
    }

    pub fn demands(&self, now: Now, source: GrantSource) -> Vec<TenantDemand> {
        let mut holders = self.lock();
        let active = holders.iter_mut().filter_map(|(tenant, holder)| {
            let active = holder.is_active(now);
            active.then(|| TenantDemand { tenant: tenant.clone(), demand: holder.demand(now, source) })
        });
        active.collect()
    }

    pub fn apply_grant(&self, now: Now, sent_at: Now, tenant: &str, grant: Grant) -> bool {
        let mut holders = self.lock();
        let applied = holders.get_mut(tenant).is_some_and(|holder| holder.apply_grant(now, sent_at, grant));
        if applied {
            self.grant_applied.notify_waiters();
        }
        applied
    }
}

/// The cost of a request in units of its tenant's quota.
pub(crate) fn cost(tenant: &TenantRule, tokens: Option<u32>) -> f64 {
    match tenant.unit {
        QuotaUnit::Requests => 1.0,
        QuotaUnit::Tokens => f64::from(tokens.unwrap_or(tenant.plain_tokens)),
    }
}
