//! What all requests of a gateway go by, kept up to date by the process's control client.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crankpick_configuration::{ClientLimits, RoutingTable};
use crankpick_dispatch::{Dispatcher, DispatcherSettings};
use crankpick_quota::{Grant, GrantSource};
use crankpick_registry::BackendTable;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::backend_pool::BackendPools;
use crate::body::BodyMemory;
use crate::connection_end::{ConnectionEnds, EndCounters, EndReason};
use crate::counters::{Cause, Count, Counters};
use crate::currency::Currency;
use crate::fleet_view::fleet_view;
use crate::front_room::FrontRoom;
use crate::invariant::Violation;
use crate::lifecycle::Lifecycle;
use crate::quotas::{Quotas, TenantDemand};
use crate::retries::Retries;
use crate::settings::GatewaySettings;
use crate::Now;

/// The snapshots in force.
#[derive(Clone)]
struct Snapshots {
    routing: Option<Arc<RoutingTable>>,
    currency: Currency,
    backends: Arc<BackendTable>,
    gateways: usize,
}

/// What all requests of a gateway go by. Each publication takes effect at once for whatever comes after.
pub struct Shared {
    pub(crate) settings: GatewaySettings,
    pub(crate) quotas: Quotas,
    pub(crate) retries: Retries,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) counters: Counters,
    connection_ends: EndCounters,
    pub(crate) pools: BackendPools,
    pub(crate) bodies: BodyMemory,
    pub(crate) front: FrontRoom,
    pub(crate) log: slog::Logger,
    snapshots: Mutex<Snapshots>,
    dispatcher: Mutex<Dispatcher>,
    /// Told when a snapshot was published.
    published: Notify,
    in_flight: AtomicUsize,
    /// Requests under way that were taken after the signal to end.
    late_in_flight: Arc<AtomicUsize>,
}

impl Shared {
    /// A gateway that knows nothing yet.
    pub fn new(settings: GatewaySettings, log: slog::Logger) -> Arc<Shared> {
        let snapshots = Snapshots {
            routing: None,
            currency: Currency::new(settings.currency),
            backends: Arc::default(),
            gateways: 1,
        };
        let dispatcher = Dispatcher::new(DispatcherSettings::new(settings.zone.clone()), settings.seed);
        Arc::new(Shared {
            quotas: Quotas::new(settings.quota),
            retries: Retries::new(settings.retry),
            lifecycle: Lifecycle::new(settings.grace),
            counters: Counters::default(),
            connection_ends: EndCounters::default(),
            pools: BackendPools::new(settings.backend_connections),
            bodies: BodyMemory::new(settings.body_memory),
            front: FrontRoom::new(settings.front_connections),
            log,
            snapshots: Mutex::new(snapshots),
            dispatcher: Mutex::new(dispatcher),
            published: Notify::new(),
            in_flight: AtomicUsize::new(0),
            late_in_flight: Arc::default(),
            settings,
        })
    }

    /// Time since the start that the settings name.
    pub fn now(&self) -> Now {
        self.settings.start.elapsed()
    }

    /// A newer configuration is in force. Requests in hand keep the one that they came under.
    pub fn publish_routing(&self, routing: Arc<RoutingTable>) {
        self.snapshots().routing = Some(routing);
        self.spread();
    }

    /// The routing table in force was the newest at that time.
    pub fn confirm_routing(&self, as_of: Now) {
        self.snapshots().currency.confirmed(as_of);
    }

    /// Whether the routing table in force is known to be as new as the deployment asks.
    pub fn routing_is_current(&self) -> bool {
        let now = self.now();
        self.currency().may_refuse(now)
    }

    /// The backends have changed.
    pub fn publish_backends(&self, backends: Arc<BackendTable>) {
        self.pools.keep_only(&backends);
        self.snapshots().backends = backends;
        self.spread();
    }

    /// The number of gateways, this one included, has changed.
    pub fn set_gateways(&self, gateways: usize) {
        let changed = {
            let mut snapshots = self.snapshots();
            let gateways = gateways.max(1);
            std::mem::replace(&mut snapshots.gateways, gateways) != gateways
        };
        if changed {
            self.spread();
        }
    }

    /// Whether clients are to come here: one that is cut off lacks newer keys and routes, and leases of quotas. Where
    /// most are, the platform goes by readiness no more and uses them all.
    pub fn readiness(&self) -> bool {
        let routed = self.snapshots().routing.is_some();
        routed && self.routing_is_current() && !self.lifecycle.ending()
    }

    /// The signal to end has come: unready at once, done at the latest when the grace is over.
    pub fn begin_shutdown(&self) {
        self.lifecycle.end();
    }

    /// What to ask `source` for, of each tenant's quota.
    pub fn quota_demands(&self, source: GrantSource) -> Vec<TenantDemand> {
        self.quotas.demands(self.now(), source)
    }

    /// Takes a grant that answers a report sent at `sent_at`; whether it was taken.
    pub fn quota_renewed(&self, sent_at: Now, tenant: &str, grant: Grant) -> bool {
        self.quotas.renewed(self.now(), sent_at, tenant, grant)
    }

    /// Whether a report should go out at once, since a request could not be admitted.
    pub fn quota_urgent(&self) -> bool {
        self.quotas.urgent(self.now())
    }

    /// Comes when a report should go out at once.
    pub async fn quota_wanted(&self) {
        self.quotas.wanted().await;
    }

    /// What has happened since the start, by cause.
    pub fn counts(&self) -> Vec<Count> {
        self.counters.read()
    }

    /// How clients' connections have ended since the start, by reason.
    pub fn connection_ends(&self) -> Vec<ConnectionEnds> {
        self.connection_ends.read()
    }

    /// Requests in hand.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    pub(crate) fn count(&self, cause: Cause) {
        self.counters.add(cause);
    }

    /// A client's connection has ended, having rested for so long; none where a request was in hand.
    pub(crate) fn connection_ended(&self, reason: EndReason, rest: Option<Duration>) {
        self.connection_ends.add(reason, rest);
    }

    /// Counts a request that is taken now, if the signal to end has come, until it is dropped.
    pub(crate) fn hold_if_late(&self) -> Option<LateInFlight> {
        self.lifecycle.ending().then(|| LateInFlight::new(&self.late_in_flight))
    }

    /// The grace is over: what is under way is broken off.
    pub(crate) fn check_late_requests(&self) {
        if self.late_in_flight.load(Ordering::Relaxed) > 0 {
            self.violated(Violation::TakenTooLate);
        }
    }

    /// An invariant is broken.
    pub(crate) fn violated(&self, violation: Violation) {
        self.count(violation.cause());
        slog::error!(self.log, "{}", violation.message(); "code" => violation.code());
    }

    pub(crate) fn hold(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight { shared: Arc::clone(self) }
    }

    pub(crate) fn routing(&self) -> Option<Arc<RoutingTable>> {
        self.snapshots().routing.clone()
    }

    /// The routing table; waited for a little where none is known yet.
    pub(crate) async fn awaited_routing(&self) -> Option<Arc<RoutingTable>> {
        if self.routing().is_none() {
            self.published(self.settings.configuration_wait).await;
        }
        self.routing()
    }

    /// Comes when a snapshot was published, or after this time.
    pub(crate) async fn published(&self, within: Duration) {
        let _ = timeout(within, self.published.notified()).await;
    }

    /// Whether an unknown key or route may be refused for good, and whether known keys may be accepted.
    pub(crate) fn currency(&self) -> Currency {
        self.snapshots().currency
    }

    pub(crate) fn gateways(&self) -> usize {
        self.snapshots().gateways
    }

    pub(crate) fn client_limits(&self) -> ClientLimits {
        self.snapshots().routing.as_ref().map(|routing| *routing.limits()).unwrap_or_default()
    }

    /// The dispatcher; never held across an await.
    pub(crate) fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatcher.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn snapshots(&self) -> MutexGuard<'_, Snapshots> {
        self.snapshots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the planes' state machines what is in force now.
    fn spread(&self) {
        let snapshots = self.snapshots().clone();
        let Some(routing) = &snapshots.routing else { return };
        let now = self.now();
        let view = fleet_view(routing, &snapshots.backends, snapshots.gateways);
        self.dispatcher().update(now, &view);
        self.quotas.publish(now, routing, snapshots.gateways);
        self.retries.publish(routing, snapshots.gateways);
        self.published.notify_waiters();
    }
}

/// A request under way that was taken after the signal to end.
#[derive(Debug)]
pub(crate) struct LateInFlight {
    number: Arc<AtomicUsize>,
}

impl LateInFlight {
    fn new(number: &Arc<AtomicUsize>) -> LateInFlight {
        number.fetch_add(1, Ordering::Relaxed);
        LateInFlight { number: Arc::clone(number) }
    }
}

impl Drop for LateInFlight {
    fn drop(&mut self) {
        self.number.fetch_sub(1, Ordering::Relaxed);
    }
}

/// One request in hand.
pub(crate) struct InFlight {
    shared: Arc<Shared>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
