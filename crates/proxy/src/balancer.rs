//! Connects the load balancer to the runtime: feeds it events, routes its decisions to the tasks that carry
//! them out, and runs its clock and timers. Each call is one balancer round and never waits.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use axum::http::Uri;
use crankpick::balance::{Balancer, Inbox};
use crankpick::interface::{
    BackendCapacity, ColdRule, Ended, ExecutionLimits, Listed, LoadReport, Tenant, Workload, Writer,
};
use tokio::sync::{mpsc, Notify};

use crate::backends::Backends;
use crate::in_flight::{InFlight, InFlightGuard};
use crate::peers::Peers;

/// A decision about one query. Executions are numbered from 0 in the order of their `Execute` decisions.
#[derive(Debug, PartialEq)]
pub enum Decision {
    Execute {
        backend: u32,
        timeout_us: u64,
        begin_within_us: u64,
        /// Counts the execution as in flight; dropped when it has ended.
        guard: Option<InFlightGuard>,
    },
    Cancel {
        execution: u32,
    },
    Reject {
        backoff_us: u64,
    },
    Abort,
}

/// Why a query was not accepted.
pub enum QueryError {
    /// A query with the same id is still in flight, so outcomes could not be told apart.
    DuplicateId,
    Invalid(String),
}

/// Monotonic Unix time. Needed because it is compared with `startedAtMs`.
pub struct Clock {
    start: Instant,
    start_us: u64,
}

impl Clock {
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), start_us: unix.as_micros() as u64 }
    }

    pub fn now_us(&self) -> u64 {
        self.start_us + self.start.elapsed().as_micros() as u64
    }
}

pub struct BalancerHandle {
    inner: Mutex<Inner>,
    clock: Clock,
    backends: Arc<Backends>,
    /// Request path of probes.
    probe_path: Uri,
}

struct Inner {
    balancer: Balancer,
    sink: DecisionSink,
    max_executions: u32,
}

impl Inner {
    /// Maximum number of undelivered decisions of one query: its executions, their cancellations and its
    /// answer.
    fn max_pending_decisions(&self) -> usize {
        2 * self.max_executions.max(1) as usize + 2
    }
}

/// Routes the balancer's decisions to their receivers.
struct DecisionSink {
    queries: BTreeMap<String, mpsc::Sender<Decision>>,
    timers: Vec<(u64, String)>,
    probes: Vec<u32>,
    list_requested: Arc<Notify>,
    peers: Arc<Peers>,
    /// Set in a fleet only.
    in_flight: Option<Arc<InFlight>>,
    /// Queries accepted, and queries rejected or aborted, since the last `take_load_sample`.
    accepted: u64,
    rejected: u64,
}

impl DecisionSink {
    fn send(&self, qry: &str, decision: Decision) {
        if let Some(query) = self.queries.get(qry) {
            if let Err(lost) = query.try_send(decision) {
                tracing::error!(code = "decision_lost", qry, "{lost}");
            }
        }
    }
}

impl Writer for DecisionSink {
    fn execute(&mut self, qry: &str, backend: u32, timeout_us: u64, begin_within_us: u64) {
        let guard = self.in_flight.as_ref().map(|in_flight| in_flight.execution(backend));
        self.send(qry, Decision::Execute { backend, timeout_us, begin_within_us, guard });
    }

    fn cancel(&mut self, qry: &str, execution: u32) {
        self.send(qry, Decision::Cancel { execution });
    }

    fn reject(&mut self, qry: &str, backoff_us: u64) {
        self.rejected += 1;
        self.send(qry, Decision::Reject { backoff_us });
    }

    fn abort(&mut self, qry: &str) {
        self.rejected += 1;
        self.send(qry, Decision::Abort);
    }

    fn wake(&mut self, in_us: u64, token: &str) {
        self.timers.push((in_us, token.to_owned()));
    }

    fn subscribe(&mut self) {
        self.list_requested.notify_one();
    }

    fn probe(&mut self, backend: u32) {
        self.probes.push(backend);
    }

    fn send_note(&mut self, peer: u32, bytes: &str) {
        self.peers.send(peer, bytes);
    }
}

impl BalancerHandle {
    pub fn new(
        balancer: Balancer,
        max_executions: u32,
        list_requested: Arc<Notify>,
        peers: Arc<Peers>,
        backends: Arc<Backends>,
        probe_path: Uri,
        in_flight: Option<Arc<InFlight>>,
    ) -> Arc<Self> {
        let (queries, timers, probes) = (BTreeMap::new(), Vec::new(), Vec::new());
        let sink = DecisionSink {
            queries,
            timers,
            probes,
            list_requested,
            peers,
            in_flight,
            accepted: 0,
            rejected: 0,
        };
        let inner = Mutex::new(Inner { balancer, sink, max_executions });
        Arc::new(BalancerHandle { inner, clock: Clock::new(), backends, probe_path })
    }

    fn round<E>(self: &Arc<Self>, feed: impl FnOnce(&mut Inbox) -> Result<(), E>) -> Result<(), E> {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let Inner { balancer, sink, .. } = &mut *inner;
        let fed = balancer.round(self.clock.now_us(), sink, feed);
        // The balancer has at most one pending timer of each kind, so there are few of these tasks.
        for (in_us, token) in sink.timers.drain(..) {
            tokio::spawn(Arc::clone(self).wake(in_us, token));
        }
        // At most one probe per backend is in flight.
        for backend in sink.probes.drain(..) {
            let guard = sink.in_flight.as_ref().map(|in_flight| in_flight.execution(backend));
            tokio::spawn(Arc::clone(self).probe(backend, guard));
        }
        fed
    }

    async fn wake(self: Arc<Self>, in_us: u64, token: String) {
        tokio::time::sleep(Duration::from_micros(in_us)).await;
        self.notify(|inbox| inbox.timer_fired(&token));
    }

    async fn probe(self: Arc<Self>, backend: u32, guard: Option<InFlightGuard>) {
        let heard = Arc::clone(&self.backends).probe(backend, self.probe_path.clone()).await;
        drop(guard);
        self.notify(|inbox| inbox.probe_outcome(backend, heard.ended, heard.took_us, heard.report));
    }

    /// Runs a round with input that can't be invalid.
    pub fn notify(self: &Arc<Self>, feed: impl FnOnce(&mut Inbox)) {
        let Ok(()) = self.round(|inbox| {
            feed(inbox);
            Ok::<(), Infallible>(())
        });
    }

    /// Replaces the settings for all later queries; returns the balancer's indices of the workloads.
    pub fn reload(
        &self,
        workloads: Vec<Workload>,
        tenants: Vec<Tenant>,
        limits: ExecutionLimits,
        cold: ColdRule,
    ) -> Vec<usize> {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.max_executions = limits.max_executions;
        inner.balancer.reload(workloads, tenants, limits, cold)
    }

    /// Whether the balancer may still send to a backend that the list has dropped.
    pub fn uses(&self, backend: u32) -> bool {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner).balancer.knows_backend(backend)
    }

    /// Counters of what is in flight; set in a fleet only.
    pub fn in_flight(&self) -> Option<Arc<InFlight>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner).sink.in_flight.clone()
    }

    /// Each backend's current load and maximum, and the queries accepted and rejected since the last call.
    pub fn take_load_sample(&self) -> (Vec<BackendCapacity>, u64, u64) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let rooms = inner.balancer.capacities().collect();
        let (accepted, rejected) =
            (std::mem::take(&mut inner.sink.accepted), std::mem::take(&mut inner.sink.rejected));
        (rooms, accepted, rejected)
    }

    /// Registers a query. Its decisions arrive on the returned channel, the first one possibly at once.
    pub fn query(
        self: &Arc<Self>,
        id: &str,
        workload: usize,
        tenant: usize,
        ttl_us: u64,
        hint_us: Option<u64>,
        is_retry: bool,
    ) -> Result<mpsc::Receiver<Decision>, QueryError> {
        let decisions = {
            let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
            if inner.sink.queries.contains_key(id) {
                return Err(QueryError::DuplicateId);
            }
            let (sender, decisions) = mpsc::channel(inner.max_pending_decisions());
            inner.sink.queries.insert(id.to_owned(), sender);
            inner.sink.accepted += 1;
            decisions
        };
        self.round(|inbox| inbox.query(id, workload, tenant, ttl_us, hint_us, is_retry)).map_err(
            |error| {
                self.forget(id);
                QueryError::Invalid(error)
            },
        )?;
        Ok(decisions)
    }

    pub fn outcome(
        self: &Arc<Self>,
        id: &str,
        execution: u32,
        ended: Ended,
        took_us: u64,
        over: bool,
        report: Option<LoadReport>,
    ) {
        self.notify(|inbox| inbox.outcome(id, execution, ended, took_us, over, report));
    }

    pub fn withdrawn(self: &Arc<Self>, id: &str) {
        self.notify(|inbox| inbox.withdrawn(id));
    }

    /// Stops routing decisions of this query.
    pub fn forget(&self, id: &str) {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner).sink.queries.remove(id);
    }

    /// Takes a backend out of service or puts it back, independent of the list.
    pub fn set_manual_drain(self: &Arc<Self>, backend: u32, out: bool) {
        self.backends.endpoints().set_drained(backend, out);
        self.notify(|inbox| inbox.set_manual_drain(backend, out));
    }

    pub fn list(self: &Arc<Self>, whole: bool, items: &[Listed]) {
        self.notify(|inbox| inbox.list(whole, items));
    }
}
