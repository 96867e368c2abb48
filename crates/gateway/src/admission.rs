//! Request admission: route, API key and tenant quota.

use std::sync::Arc;
use std::time::Duration;

use crankpick_configuration::{RouteRule, RoutingTable, TenantRule};
use hyper::http::request::Parts;
use tokio::time::Instant;

use crate::counters::Cause;
use crate::quotas::{cost, QuotaRequest};
use crate::refusal::Refusal;
use crate::request::{self, PromptSize};
use crate::shared::Shared;
use crankpick_quota::Verdict;

/// Minimum interval between two checks of a waiting request's quota, which bounds their number.
const MIN_RECHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The rules that apply to a request: those of the configuration it was accepted under.
#[derive(Clone)]
pub(crate) struct RequestPolicy {
    pub routing: Arc<RoutingTable>,
    pub route: Arc<RouteRule>,
    pub tenant: Option<Arc<TenantRule>>,
}

impl RequestPolicy {
    /// The request's priority; the tenant's takes precedence over the route's.
    pub fn priority(&self) -> u8 {
        let tenant = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        tenant.unwrap_or(self.route.priority)
    }

    /// Looks up a request's route and tenant. If the configuration may be outdated, an unknown key or route
    /// is refused temporarily rather than permanently.
    pub async fn resolve(shared: &Shared, head: &Parts) -> Result<RequestPolicy, Refusal> {
        let routing =
            shared.wait_for_routing(request::client_timeout(&head.headers)).await.ok_or(Refusal::NotReady)?;
        let host = request::host(&head.headers)?;
        let (freshness, now) = (shared.freshness(), shared.now());
        let unknown = |refusal| if freshness.may_refuse(now) { refusal } else { Refusal::NotCurrent };
        let route = routing.route(host, head.uri.path()).cloned();
        let route = route.ok_or_else(|| unknown(Refusal::NoRoute))?;
        let tenant = request::api_key(&head.headers).and_then(|key| routing.tenant_of_key(key)).cloned();
        if routing.has_tenants() && !route.public {
            if tenant.is_none() {
                return Err(unknown(Refusal::NoKey));
            }
            if !freshness.may_accept_keys(now) {
                return Err(Refusal::NotCurrent);
            }
        }
        Ok(RequestPolicy { routing, route, tenant })
    }

    /// Charges the request to its tenant's quota. The request waits while quota can still come early enough for it to be
    /// sent at its latest start, and is refused as soon as that is out of reach.
    pub async fn take_quota(
        &self,
        shared: &Shared,
        size: &PromptSize,
        latest_start: impl FnOnce() -> Instant,
    ) -> Result<(), Refusal> {
        let Some(tenant) = &self.tenant else { return Ok(()) };
        let cost = cost(tenant, size.usage.map(|usage| usage.total()));
        if shared.quotas.take_at_once(shared.now(), tenant, cost) {
            return Ok(());
        }
        let latest_start = shared.since_start(latest_start());
        let request = QuotaRequest { cost, priority: self.priority(), latest_start };
        let Some(mut wait) = shared.quotas.enqueue(tenant, request) else { return Ok(()) };
        loop {
            let settle_at = shared.quotas.settle(shared.now(), &wait, shared.home_answers_until());
            let pause = settle_at.saturating_sub(shared.now()).max(MIN_RECHECK_INTERVAL);
            match wait.verdict_until(Instant::now() + pause).await {
                Some(Verdict::Admitted) => return Ok(()),
                Some(Verdict::Refused(accrues_in)) => return Err(self.refuse_over_quota(shared, accrues_in)),
                None => {}
            }
        }
    }

    /// The refusal of a request that quota can't reach in time: the tenant is beyond its limit, unless this gateway's leases
    /// have ended and it reaches no home.
    fn refuse_over_quota(&self, shared: &Shared, accrues_in: Option<Duration>) -> Refusal {
        if shared.home_answers_until().is_none() {
            return Refusal::NoLease;
        }
        shared.count(Cause::OverQuota);
        Refusal::OverQuota(accrues_in.unwrap_or(self.route.timeout))
    }
}
