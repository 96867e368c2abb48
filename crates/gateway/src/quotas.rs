//! The tenants' quotas as far as this gateway holds leases of them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crankpick_configuration::{QuotaUnit, RoutingTable, TenantRule};
use crankpick_quota::{Demand, Grant, GrantSource, Holder, QuotaBounds, QuotaLimit};
use tokio::sync::Notify;

use crate::Now;

/// What this gateway asks for, of one tenant's quota.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantDemand {
    /// The tenant's name.
    pub tenant: String,
    /// What it asks for.
    pub demand: Demand,
}

/// A request's share that isn't there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Shortage {
    /// When it will have accrued, if no credit comes before; none while nobody can say.
    pub accrues_in: Option<Duration>,
    /// When the need may be reported; zero where that was set off. Reports keep a distance: the request is to be taken
    /// again by then, or the need would wait for the next regular report.
    pub report_in: Option<Duration>,
}

impl Shortage {
    /// The longest that a held request waits before it is taken again.
    pub fn recheck_in(&self) -> Option<Duration> {
        let report_in = self.report_in.filter(|wait| !wait.is_zero());
        match (self.accrues_in, report_in) {
            (Some(accrues), Some(report)) => Some(accrues.min(report)),
            (accrues, report) => accrues.or(report),
        }
    }
}

/// Holds one lease a tenant.
pub(crate) struct Quotas {
    bounds: QuotaBounds,
    holders: Mutex<BTreeMap<String, Holder>>,
    /// Told when a request could not be admitted: a report should go out at once.
    urgent_need: Notify,
    /// Told when grants came.
    grant_applied: Notify,
}

impl Quotas {
    pub fn new(bounds: QuotaBounds) -> Self {
        Quotas { bounds, holders: Mutex::default(), urgent_need: Notify::new(), grant_applied: Notify::new() }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Holder>> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Goes by these tenants: what is without a limit, or gone, holds nothing.
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

    /// Takes a request's share, `again` where it was held for want of it; what is known where it isn't there.
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

    /// Comes when grants have come.
    pub async fn wait_for_grant(&self) {
        self.grant_applied.notified().await;
    }

    /// Comes when a report should go out at once.
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

/// What a request counts against its tenant's quota.
pub(crate) fn cost(tenant: &TenantRule, tokens: Option<u32>) -> f64 {
    match tenant.unit {
        QuotaUnit::Requests => 1.0,
        QuotaUnit::Tokens => f64::from(tokens.unwrap_or(tenant.plain_tokens)),
    }
}
