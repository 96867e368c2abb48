//! State shared by all requests of a gateway, kept up to date by the process's control client.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crankpick_configuration::{ClientLimits, RoutingTable};
use crankpick_dispatch::{Dispatcher, DispatcherSettings};
use crankpick_quota::{Grant, GrantSource};
use crankpick_registry::BackendTable;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

use crate::backend_pool::BackendPools;
use crate::backend_queue::BackendQueue;
use crate::body::BodyMemory;
use crate::connection_end::{ConnectionEnds, EndCounters, EndReason};
use crate::connection_limit::ConnectionLimit;
use crate::counters::{Cause, Count, Counters};
use crate::fleet_view::fleet_view;
use crate::freshness::Freshness;
use crate::invariant::Violation;
use crate::lifecycle::Lifecycle;
use crate::quotas::{Quotas, TenantDemand};
use crate::retry_budgets::RetryBudgets;
use crate::settings::GatewaySettings;
use crate::Now;

/// Clients give up a try that has not been read after this time, or after this part of the time that they have left
/// (PROTOCOL.md, Answers).
const MAX_UNREAD_TIME: Duration = Duration::from_secs(1);
const UNREAD_TIME_DIVISOR: u32 = 3;

/// How long a client that waits this long for its response waits for its request to be read.
fn max_unread_time(client_timeout: Option<Duration>) -> Duration {
    client_timeout.map_or(MAX_UNREAD_TIME, |timeout| MAX_UNREAD_TIME.min(timeout / UNREAD_TIME_DIVISOR))
}

/// The snapshots currently in force.
#[derive(Clone)]
struct Snapshots {
    routing: Option<Arc<RoutingTable>>,
    freshness: Freshness,
    backends: Arc<BackendTable>,
    gateways: usize,
}

/// State shared by all requests of a gateway. Each published snapshot takes effect immediately for
/// subsequent requests.
pub struct Shared {
    pub(crate) settings: GatewaySettings,
    pub(crate) quotas: Quotas,
    pub(crate) retry_budgets: RetryBudgets,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) counters: Counters,
    connection_ends: EndCounters,
    pub(crate) pools: BackendPools,
    pub(crate) backend_queue: BackendQueue,
    pub(crate) bodies: BodyMemory,
    pub(crate) client_connections: ConnectionLimit,
    pub(crate) log: slog::Logger,
    snapshots: Mutex<Snapshots>,
    dispatcher: Mutex<Dispatcher>,
    /// Notified when a snapshot is published.
    snapshot_published: Notify,
    in_flight: AtomicUsize,
    /// Requests in flight that were accepted after the shutdown signal.
    late_in_flight: Arc<AtomicUsize>,
}

impl Shared {
    /// Creates a gateway state without routing table or backends.
    pub fn new(settings: GatewaySettings, log: slog::Logger) -> Arc<Shared> {
        let snapshots = Snapshots {
            routing: None,
            freshness: Freshness::new(settings.freshness),
            backends: Arc::default(),
            gateways: 1,
        };
        let dispatcher = Dispatcher::new(DispatcherSettings::new(settings.zone.clone()), settings.seed);
        Arc::new(Shared {
            quotas: Quotas::new(settings.quota),
            retry_budgets: RetryBudgets::new(settings.retry),
            lifecycle: Lifecycle::new(settings.grace),
            counters: Counters::default(),
            connection_ends: EndCounters::default(),
            pools: BackendPools::new(settings.max_backend_connections),
            backend_queue: BackendQueue::default(),
            bodies: BodyMemory::new(settings.body_memory),
            client_connections: ConnectionLimit::new(settings.max_client_connections),
            log,
            snapshots: Mutex::new(snapshots),
            dispatcher: Mutex::new(dispatcher),
            snapshot_published: Notify::new(),
            in_flight: AtomicUsize::new(0),
            late_in_flight: Arc::default(),
            settings,
        })
    }

    /// Time elapsed since `GatewaySettings::start`.
    pub fn now(&self) -> Now {
        self.settings.start.elapsed()
    }

    /// A point in time as time elapsed since `GatewaySettings::start`.
    pub(crate) fn since_start(&self, at: Instant) -> Now {
        at.saturating_duration_since(self.settings.start)
    }

    /// Until when leases, backends and configurations can be expected from a home; `None` if this gateway is cut off.
    pub(crate) fn home_answers_until(&self) -> Option<Now> {
        let until = self.freshness().home_expected_until();
        (until > self.now()).then_some(until)
    }

    /// Publishes a newer routing table. Requests in flight keep the one they were accepted under.
    pub fn publish_routing(&self, routing: Arc<RoutingTable>) {
        self.snapshots().routing = Some(routing);
        self.propagate_snapshots();
    }

    /// Records that the routing table in force was the newest at `as_of`.
    pub fn confirm_routing(&self, as_of: Now) {
        self.snapshots().freshness.confirm(as_of);
    }

    /// Whether the routing table in force is known to be as recent as the deployment requires.
    pub fn routing_is_current(&self) -> bool {
        let now = self.now();
        self.freshness().may_refuse(now)
    }

    /// Publishes the current backends and drops idle connections to backends that receive no more requests.
    pub fn publish_backends(&self, backends: Arc<BackendTable>) {
        self.pools.keep_only(&backends);
        self.snapshots().backends = backends;
        self.propagate_snapshots();
    }

    /// Sets the number of gateways, including this one.
    pub fn set_gateways(&self, gateways: usize) {
        let changed = {
            let mut snapshots = self.snapshots();
            let gateways = gateways.max(1);
            std::mem::replace(&mut snapshots.gateways, gateways) != gateways
        };
        if changed {
            self.propagate_snapshots();
        }
    }

    /// Whether the gateway reports itself ready. A gateway that is cut off from the control plane lacks
    /// newer keys and routes, and quota leases. If most gateways are unready, the platform ignores
    /// readiness and uses all of them.
    pub fn is_ready(&self) -> bool {
        let routed = self.snapshots().routing.is_some();
        routed && self.routing_is_current() && !self.lifecycle.is_shutting_down()
    }

    /// Handles the shutdown signal: the gateway becomes unready immediately and stops at the end of the
    /// grace period at the latest.
    pub fn begin_shutdown(&self) {
        self.lifecycle.begin_shutdown();
    }

    /// Each active tenant's quota demand to report to `source`.
    pub fn quota_demands(&self, source: GrantSource) -> Vec<TenantDemand> {
        self.quotas.demands(self.now(), source)
    }

    /// Applies a grant that answers a report sent at `sent_at`. Returns whether it was applied.
    pub fn apply_quota_grant(&self, sent_at: Now, tenant: &str, grant: Grant) -> bool {
        let home_until = self.home_answers_until();
        self.quotas.apply_grant(self.now(), sent_at, tenant, grant, home_until)
    }

    /// Whether a report should be sent immediately because a request could not be admitted.
    pub fn has_urgent_quota_need(&self) -> bool {
        self.quotas.has_urgent_need(self.now())
    }

    /// Completes when a report should be sent immediately.
    pub async fn wait_for_urgent_quota_need(&self) {
        self.quotas.wait_for_urgent_need().await;
    }

    /// Events counted since the start, by cause.
    pub fn counts(&self) -> Vec<Count> {
        self.counters.read()
    }

    /// Client connections closed since the start, by reason.
    pub fn connection_ends(&self) -> Vec<ConnectionEnds> {
        self.connection_ends.read()
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    pub(crate) fn count(&self, cause: Cause) {
        self.counters.add(cause);
    }

    /// Records the end of a client connection and how long it had been idle; `None` if a request was in
    /// flight.
    pub(crate) fn connection_ended(&self, reason: EndReason, idle: Option<Duration>) {
        self.connection_ends.add(reason, idle);
    }

    /// If the shutdown signal has been received, counts a newly accepted request until the returned guard
    /// is dropped.
    pub(crate) fn track_if_late(&self) -> Option<LateInFlight> {
        self.lifecycle.is_shutting_down().then(|| LateInFlight::new(&self.late_in_flight))
    }

    /// Checked at the end of the grace period, when requests in flight are aborted: none of them may have
    /// been accepted after the shutdown signal.
    pub(crate) fn check_late_requests(&self) {
        if self.late_in_flight.load(Ordering::Relaxed) > 0 {
            self.violated(Violation::TakenTooLate);
        }
    }

    /// Counts and logs an invariant violation.
    pub(crate) fn violated(&self, violation: Violation) {
        self.count(violation.cause());
        slog::error!(self.log, "{}", violation.message(); "code" => violation.code());
    }

    pub(crate) fn track_in_flight(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight { shared: Arc::clone(self) }
    }

    pub(crate) fn routing(&self) -> Option<Arc<RoutingTable>> {
        self.snapshots().routing.clone()
    }

    /// The routing table. If none has been published yet, waits for one while a home is expected to answer and the client,
    /// whose request is not read meanwhile, does not give up.
    pub(crate) async fn wait_for_routing(
        &self,
        client_timeout: Option<Duration>,
    ) -> Option<Arc<RoutingTable>> {
        let until = self.now() + max_unread_time(client_timeout);
        loop {
            let published = self.snapshot_published.notified();
            if let Some(routing) = self.routing() {
                return Some(routing);
            }
            let left = self.home_answers_until()?.min(until).saturating_sub(self.now());
            if left.is_zero() {
                return None;
            }
            let _ = timeout(left, published).await;
        }
    }

    /// Whether an unknown key or route may be refused permanently, and whether known keys may be accepted.
    pub(crate) fn freshness(&self) -> Freshness {
        self.snapshots().freshness
    }

    pub(crate) fn gateways(&self) -> usize {
        self.snapshots().gateways
    }

    pub(crate) fn client_limits(&self) -> ClientLimits {
        self.snapshots().routing.as_ref().map(|routing| *routing.limits()).unwrap_or_default()
    }

    /// Locks the dispatcher. The guard must not be held across an await.
    pub(crate) fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatcher.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn snapshots(&self) -> MutexGuard<'_, Snapshots> {
        self.snapshots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes the current snapshots to the dispatcher, the quota holders and the retry budgets.
    fn propagate_snapshots(&self) {
        let snapshots = self.snapshots().clone();
        let Some(routing) = &snapshots.routing else { return };
        let now = self.now();
        let view = fleet_view(routing, &snapshots.backends, snapshots.gateways);
        self.dispatcher().update(now, &view);
        self.quotas.publish(now, routing, snapshots.gateways);
        self.retry_budgets.publish(routing, snapshots.gateways);
        self.snapshot_published.notify_waiters();
        self.backend_queue.wake_all();
    }
}

/// Guard that counts a request accepted after the shutdown signal while it is in flight.
#[derive(Debug)]
pub(crate) struct LateInFlight {
    count: Arc<AtomicUsize>,
}

impl LateInFlight {
    fn new(count: &Arc<AtomicUsize>) -> LateInFlight {
        count.fetch_add(1, Ordering::Relaxed);
        LateInFlight { count: Arc::clone(count) }
    }
}

impl Drop for LateInFlight {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Guard that counts a request while it is in flight.
pub(crate) struct InFlight {
    shared: Arc<Shared>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
