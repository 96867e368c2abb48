//! Holds the module on sockets: feeds it what came in, hands its decisions to those who carry them
//! out, and keeps its clock and its wake-ups. Each call is one round and ends before anything waits.

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
use crate::in_flight::{Hold, InFlight};
use crate::peers::Peers;

/// What the module decided about one query; executions are numbered from 0 in this order.
#[derive(Debug, PartialEq)]
pub enum Decided {
    Execute {
        backend: u32,
        timeout_us: u64,
        begin_within_us: u64,
        /// Where what is in hand is counted: dropped once the execution has ended.
        hold: Option<Hold>,
    },
    Cancel {
        execution: u32,
    },
    Reject {
        backoff_us: u64,
    },
    Abort,
}

/// Why a query was not taken.
pub enum NotTaken {
    /// One with the same id is still in hand: outcomes could no longer be told apart.
    Known,
    Unsound(String),
}

/// Unix time that never goes back: `startedAtMs` is compared with it.
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

pub struct Decide {
    held: Mutex<Held>,
    clock: Clock,
    backends: Arc<Backends>,
    /// What a probe asks for.
    probe_path: Uri,
}

struct Held {
    balancer: Balancer,
    desk: Desk,
    max_executions: u32,
}

impl Held {
    /// Decisions that one query can have waiting: its executions, their cancels and its answer.
    fn most_decided(&self) -> usize {
        2 * self.max_executions.max(1) as usize + 2
    }
}

/// Where the module's decisions go.
struct Desk {
    queries: BTreeMap<String, mpsc::Sender<Decided>>,
    wakes: Vec<(u64, String)>,
    probes: Vec<u32>,
    list_wanted: Arc<Notify>,
    peers: Arc<Peers>,
    /// In a fleet alone.
    in_flight: Option<Arc<InFlight>>,
    /// Queries taken, and those turned away or given up, since they were last asked for.
    taken: u64,
    turned: u64,
}

impl Desk {
    fn pass(&self, qry: &str, decided: Decided) {
        if let Some(query) = self.queries.get(qry) {
            if let Err(lost) = query.try_send(decided) {
                tracing::error!(code = "decision_lost", qry, "{lost}");
            }
        }
    }
}

impl Writer for Desk {
    fn execute(&mut self, qry: &str, backend: u32, timeout_us: u64, begin_within_us: u64) {
        let hold = self.in_flight.as_ref().map(|in_flight| in_flight.execution(backend));
        self.pass(qry, Decided::Execute { backend, timeout_us, begin_within_us, hold });
    }

    fn cancel(&mut self, qry: &str, execution: u32) {
        self.pass(qry, Decided::Cancel { execution });
    }

    fn reject(&mut self, qry: &str, backoff_us: u64) {
        self.turned += 1;
        self.pass(qry, Decided::Reject { backoff_us });
    }

    fn abort(&mut self, qry: &str) {
        self.turned += 1;
        self.pass(qry, Decided::Abort);
    }

    fn wake(&mut self, in_us: u64, token: &str) {
        self.wakes.push((in_us, token.to_owned()));
    }

    fn subscribe(&mut self) {
        self.list_wanted.notify_one();
    }

    fn probe(&mut self, backend: u32) {
        self.probes.push(backend);
    }

    fn send_note(&mut self, peer: u32, bytes: &str) {
        self.peers.tell(peer, bytes);
    }
}

impl Decide {
    pub fn new(
        balancer: Balancer,
        max_executions: u32,
        list_wanted: Arc<Notify>,
        peers: Arc<Peers>,
        backends: Arc<Backends>,
        probe_path: Uri,
        in_flight: Option<Arc<InFlight>>,
    ) -> Arc<Self> {
        let (queries, wakes, probes) = (BTreeMap::new(), Vec::new(), Vec::new());
        let desk = Desk { queries, wakes, probes, list_wanted, peers, in_flight, taken: 0, turned: 0 };
        let held = Mutex::new(Held { balancer, desk, max_executions });
        Arc::new(Decide { held, clock: Clock::new(), backends, probe_path })
    }

    fn round<E>(self: &Arc<Self>, feed: impl FnOnce(&mut Inbox) -> Result<(), E>) -> Result<(), E> {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let Held { balancer, desk, .. } = &mut *held;
        let fed = balancer.round(self.clock.now_us(), desk, feed);
        // The module has one wake-up of a kind out at a time, so these tasks stay few.
        for (in_us, token) in desk.wakes.drain(..) {
            tokio::spawn(Arc::clone(self).wake(in_us, token));
        }
        // One probe of a backend is out at a time.
        for backend in desk.probes.drain(..) {
            let hold = desk.in_flight.as_ref().map(|in_flight| in_flight.execution(backend));
            tokio::spawn(Arc::clone(self).probe(backend, hold));
        }
        fed
    }

    async fn wake(self: Arc<Self>, in_us: u64, token: String) {
        tokio::time::sleep(Duration::from_micros(in_us)).await;
        self.news(|inbox| inbox.timer_fired(&token));
    }

    async fn probe(self: Arc<Self>, backend: u32, hold: Option<Hold>) {
        let heard = Arc::clone(&self.backends).probe(backend, self.probe_path.clone()).await;
        drop(hold);
        self.news(|inbox| inbox.probe_outcome(backend, heard.ended, heard.took_us, heard.report));
    }

    /// A round on news that can't be unsound.
    pub fn news(self: &Arc<Self>, feed: impl FnOnce(&mut Inbox)) {
        let Ok(()) = self.round(|inbox| {
            feed(inbox);
            Ok::<(), Infallible>(())
        });
    }

    /// Settings for all queries to come; returns the module's numbers for the workloads.
    pub fn reload(
        &self,
        workloads: Vec<Workload>,
        tenants: Vec<Tenant>,
        limits: ExecutionLimits,
        cold: ColdRule,
    ) -> Vec<usize> {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.max_executions = limits.max_executions;
        held.balancer.reload(workloads, tenants, limits, cold)
    }

    /// Whether the module may still send to a backend that the list has dropped.
    pub fn uses(&self, backend: u32) -> bool {
        self.held.lock().unwrap_or_else(PoisonError::into_inner).balancer.knows_backend(backend)
    }

    /// What is in hand, in a fleet.
    pub fn in_flight(&self) -> Option<Arc<InFlight>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner).desk.in_flight.clone()
    }

    /// Each backend's load and maximum as the module has them; queries taken and turned away since the last look.
    pub fn look(&self) -> (Vec<BackendCapacity>, u64, u64) {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let rooms = held.balancer.capacities().collect();
        let (taken, turned) = (std::mem::take(&mut held.desk.taken), std::mem::take(&mut held.desk.turned));
        (rooms, taken, turned)
    }

    /// Takes a query in; its decisions come on the channel, the first perhaps at once.
    pub fn query(
        self: &Arc<Self>,
        id: &str,
        workload: usize,
        tenant: usize,
        ttl_us: u64,
        hint_us: Option<u64>,
        again: bool,
    ) -> Result<mpsc::Receiver<Decided>, NotTaken> {
        let decided = {
            let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
            if held.desk.queries.contains_key(id) {
                return Err(NotTaken::Known);
            }
            let (sender, decided) = mpsc::channel(held.most_decided());
            held.desk.queries.insert(id.to_owned(), sender);
            held.desk.taken += 1;
            decided
        };
        self.round(|inbox| inbox.query(id, workload, tenant, ttl_us, hint_us, again)).map_err(|wrong| {
            self.forget(id);
            NotTaken::Unsound(wrong)
        })?;
        Ok(decided)
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
        self.news(|inbox| inbox.outcome(id, execution, ended, took_us, over, report));
    }

    pub fn withdrawn(self: &Arc<Self>, id: &str) {
        self.news(|inbox| inbox.withdrawn(id));
    }

    /// No decision about this query is waited for any more.
    pub fn forget(&self, id: &str) {
        self.held.lock().unwrap_or_else(PoisonError::into_inner).desk.queries.remove(id);
    }

    /// Takes a backend out, or back, whatever the list says.
    pub fn by_hand(self: &Arc<Self>, backend: u32, out: bool) {
        self.backends.places().out(backend, out);
        self.news(|inbox| inbox.set_manual_drain(backend, out));
    }

    pub fn list(self: &Arc<Self>, whole: bool, items: &[Listed]) {
        self.news(|inbox| inbox.list(whole, items));
    }
}
