//! Counts what this proxy has in flight, per backend: work on a machine waits until its count is zero, and work
//! on the proxy itself until all are. Incremented by `balancer` when it decides, decremented by `query` when
//! executions end, read by `fleet`. Used only if a fleet file is configured.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use axum::body::Body;
use axum::http::Response;
use crankpick_http::body::Guarded;
use tokio::sync::Notify;

#[derive(Default)]
struct Counts {
    backends: BTreeMap<u32, u32>,
    queries: u32,
}

#[derive(Default)]
pub struct InFlight {
    counts: Mutex<Counts>,
    /// Signalled when a count drops to zero.
    pub reached_zero: Notify,
}

/// Counts one execution, from its decision to its end, or one query.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: Arc<InFlight>,
    backend: Option<u32>,
}

impl std::fmt::Debug for InFlight {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("InFlight")
    }
}

impl PartialEq for InFlightGuard {
    fn eq(&self, other: &Self) -> bool {
        self.backend == other.backend
    }
}

impl InFlight {
    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn execution(self: &Arc<Self>, backend: u32) -> InFlightGuard {
        *self.lock().backends.entry(backend).or_default() += 1;
        InFlightGuard { in_flight: Arc::clone(self), backend: Some(backend) }
    }

    pub fn query(self: &Arc<Self>) -> InFlightGuard {
        self.lock().queries += 1;
        InFlightGuard { in_flight: Arc::clone(self), backend: None }
    }

    /// The given backends that have executions in flight.
    pub fn busy(&self, backends: impl Iterator<Item = (String, u32)>) -> BTreeSet<String> {
        let counts = self.lock();
        backends.filter(|(_, number)| counts.backends.contains_key(number)).map(|(id, _)| id).collect()
    }

    pub fn is_empty(&self) -> bool {
        let counts = self.lock();
        counts.queries == 0 && counts.backends.is_empty()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut counts = self.in_flight.lock();
        let is_zero = match self.backend {
            None => {
                counts.queries = counts.queries.saturating_sub(1);
                counts.queries == 0
            }
            Some(backend) => {
                let remaining =
                    counts.backends.get(&backend).map_or(0, |remaining| remaining.saturating_sub(1));
                match remaining {
                    0 => counts.backends.remove(&backend),
                    remaining => counts.backends.insert(backend, remaining),
                };
                remaining == 0
            }
        };
        drop(counts);
        if is_zero {
            self.in_flight.reached_zero.notify_one();
        }
    }
}

/// Attaches the guard to the response body: a streamed response occupies its backend until the last byte, not
/// only until its head was sent.
pub fn hold_until_sent(answer: Response<Body>, guard: Option<InFlightGuard>) -> Response<Body> {
    match guard {
        Some(guard) => answer.map(|body| Body::new(Guarded::new(body, guard))),
        None => answer,
    }
}

#[cfg(test)]
#[path = "../tests/unit/in_flight.rs"]
mod tests;
