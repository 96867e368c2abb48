//! The tenants' quotas, as far as this gateway holds leases on them.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crankpick_configuration::{QuotaUnit, RoutingTable, TenantRule};
use crankpick_quota::{
    Demand, Grant, GrantSource, Holder, Place, QuotaBounds, QuotaLimit, Settlement, Verdict, WaitingQueue,
};
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep_until, Instant};

use crate::Now;

/// This gateway's demand for one tenant's quota.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantDemand {
    /// The tenant's name.
    pub tenant: String,
    /// The demand to report.
    pub demand: Demand,
}

/// A request that asks for quota.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaRequest {
    /// The units to charge.
    pub cost: f64,
    pub priority: u8,
    /// The latest time at which the request can be sent to be answered in time.
    pub latest_start: Now,
}

/// A place in a tenant's queue, given up when it is dropped.
pub(crate) struct QuotaWait<'a> {
    quotas: &'a Quotas,
    tenant: &'a str,
    place: Place,
    verdict: oneshot::Receiver<Verdict>,
    rescheduled: Arc<Notify>,
}

impl QuotaWait<'_> {
    /// Completes with the verdict, or with `None` when the request is to call [`Quotas::settle`] again: at this time, or
    /// because it has become the first of the queue or the time has changed.
    pub async fn verdict_until(&mut self, at: Instant) -> Option<Verdict> {
        tokio::select! {
            biased;
            // The tenant has no limit any more if its account is gone.
            verdict = &mut self.verdict => Some(verdict.unwrap_or(Verdict::Admitted)),
            () = self.rescheduled.notified() => None,
            () = sleep_until(at) => None,
        }
    }
}

impl Drop for QuotaWait<'_> {
    fn drop(&mut self) {
        if let Some(account) = self.quotas.lock().get_mut(self.tenant) {
            account.leave(&self.place);
        }
    }
}

/// How a waiting request is told of the end of its wait, and when it is to settle the queue.
struct Waiter {
    verdict: oneshot::Sender<Verdict>,
    rescheduled: Arc<Notify>,
}

/// One tenant's lease and the requests that wait for it.
struct Account {
    holder: Holder,
    queue: WaitingQueue,
    waiters: BTreeMap<Place, Waiter>,
    /// The first of the queue, which settles it.
    first: Option<Place>,
    /// When the queue is to be settled next.
    settles_at: Option<Now>,
}

impl Account {
    fn new(now: Now) -> Self {
        Account {
            holder: Holder::new(now),
            queue: WaitingQueue::default(),
            waiters: BTreeMap::new(),
            first: None,
            settles_at: None,
        }
    }

    fn leave(&mut self, place: &Place) {
        self.queue.remove(place);
        self.waiters.remove(place);
        self.schedule(self.settles_at);
    }

    /// Sets when the queue is to be settled next, and notifies its first if that is news to it.
    fn schedule(&mut self, settles_at: Option<Now>) {
        let first = self.queue.first();
        let is_known = self.first == first && self.settles_at == settles_at;
        (self.first, self.settles_at) = (first, settles_at);
        if let Some(waiter) = first.and_then(|first| self.waiters.get(&first)).filter(|_| !is_known) {
            waiter.rescheduled.notify_one();
        }
    }

    /// Tells the requests whose wait is over.
    fn settle(&mut self, now: Now, home_until: Option<Now>) {
        let Settlement { ended, next_at } = self.queue.settle(now, &mut self.holder, home_until);
        for (place, verdict) in ended {
            if let Some(waiter) = self.waiters.remove(&place) {
                // The receiver leaves the queue before it is dropped.
                let _ = waiter.verdict.send(verdict);
            }
        }
        self.schedule(next_at);
    }
}

/// Holds one lease per tenant.
pub(crate) struct Quotas {
    bounds: QuotaBounds,
    accounts: Mutex<BTreeMap<String, Account>>,
    last_serial: AtomicU64,
    /// Notified when a request could not be admitted and a report should be sent immediately.
    urgent_need: Notify,
}

impl Quotas {
    pub fn new(bounds: QuotaBounds) -> Self {
        Quotas {
            bounds,
            accounts: Mutex::default(),
            last_serial: AtomicU64::new(0),
            urgent_need: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Account>> {
        self.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the set of tenants. Unlimited and removed tenants hold no lease.
    pub fn publish(&self, now: Now, routing: &RoutingTable, gateways: usize) {
        let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
        let limited: BTreeMap<&str, &Arc<TenantRule>> = routing
            .tenants()
            .filter(|tenant| tenant.is_limited())
            .map(|tenant| (tenant.name.as_str(), tenant))
            .collect();
        let mut accounts = self.lock();
        accounts.retain(|name, _| limited.contains_key(name.as_str()));
        for (name, tenant) in limited {
            let limit = QuotaLimit { rate: tenant.rate_per_s, burst: tenant.burst };
            let account = accounts.entry(name.to_owned()).or_insert_with(|| Account::new(now));
            account.holder.set_floor(now, &self.bounds, limit, gateways);
        }
    }

    /// Charges a request to its tenant's lease if nothing waits for it and there is enough. Also true if the tenant has no
    /// limit.
    pub fn take_at_once(&self, now: Now, tenant: &TenantRule, cost: f64) -> bool {
        let mut accounts = self.lock();
        let Some(account) = accounts.get_mut(&tenant.name).filter(|_| tenant.is_limited()) else {
            return true;
        };
        account.holder.record_request(now, cost);
        account.queue.is_empty() && account.holder.take_available(now, cost)
    }

    /// Queues a request that [`Self::take_at_once`] did not admit; `None` if its tenant has no limit any more. The verdict
    /// comes with the next call of [`Self::settle`] at the earliest.
    pub fn enqueue<'a>(&'a self, tenant: &'a TenantRule, request: QuotaRequest) -> Option<QuotaWait<'a>> {
        let mut accounts = self.lock();
        let account = accounts.get_mut(&tenant.name).filter(|_| tenant.is_limited())?;
        let serial = self.last_serial.fetch_add(1, Ordering::Relaxed);
        let QuotaRequest { cost, priority, latest_start } = request;
        let place = Place { priority, latest_start, serial };
        let (sender, verdict) = oneshot::channel();
        let rescheduled = Arc::new(Notify::new());
        account.queue.push(place, cost);
        account.waiters.insert(place, Waiter { verdict: sender, rescheduled: Arc::clone(&rescheduled) });
        account.settles_at = None;
        Some(QuotaWait { quotas: self, tenant: &tenant.name, place, verdict, rescheduled })
    }

    /// Admits and refuses the requests that wait with this one as far as that is certain. Returns when this request is to
    /// call it again: the first of the queue at the next time that matters, the others at their own. The home answers
    /// reports until `home_until`, as far as is known.
    pub fn settle(&self, now: Now, wait: &QuotaWait<'_>, home_until: Option<Now>) -> Now {
        let mut accounts = self.lock();
        let latest_start = wait.place.latest_start;
        let Some(account) = accounts.get_mut(wait.tenant) else { return latest_start };
        if account.settles_at.is_none_or(|at| at <= now) {
            account.settle(now, home_until);
            if account.holder.urgent(now) {
                self.urgent_need.notify_one();
            }
        }
        let is_first = account.first == Some(wait.place);
        account.settles_at.filter(|_| is_first).unwrap_or(latest_start)
    }

    /// Completes when a report should be sent immediately.
    pub async fn wait_for_urgent_need(&self) {
        self.urgent_need.notified().await;
    }

    pub fn has_urgent_need(&self, now: Now) -> bool {
        self.lock().values().any(|account| account.holder.urgent(now))
    }

    pub fn demands(&self, now: Now, source: GrantSource) -> Vec<TenantDemand> {
        let mut accounts = self.lock();
        let active = accounts.iter_mut().filter_map(|(tenant, account)| {
            let Account { holder, queue, .. } = account;
            queue.record_need(now, holder);
            let active = holder.is_active(now) || !queue.is_empty();
            active.then(|| TenantDemand { tenant: tenant.clone(), demand: holder.demand(now, source) })
        });
        active.collect()
    }

    /// Applies a grant and settles the tenant's queue.
    pub fn apply_grant(
        &self,
        now: Now,
        sent_at: Now,
        tenant: &str,
        grant: Grant,
        home_until: Option<Now>,
    ) -> bool {
        let mut accounts = self.lock();
        let Some(account) = accounts.get_mut(tenant) else { return false };
        let applied = account.holder.apply_grant(now, sent_at, grant);
        account.settle(now, home_until);
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
