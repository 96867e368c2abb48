//! What this proxy has in hand, counted by backend: work on a machine waits until nothing is left there, and
//! work on the proxy itself until nothing is left at all. Written by `decide` as it decides, by `query` as
//! executions end; read by `fleet`. Only where a fleet file is named.

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
    /// Something has come to nothing.
    pub ended: Notify,
}

/// Stands for one execution from its decision to its end, or for one query.
#[derive(Debug)]
pub struct Hold {
    in_flight: Arc<InFlight>,
    backend: Option<u32>,
}

impl std::fmt::Debug for InFlight {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("InFlight")
    }
}

impl PartialEq for Hold {
    fn eq(&self, other: &Self) -> bool {
        self.backend == other.backend
    }
}

impl InFlight {
    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn execution(self: &Arc<Self>, backend: u32) -> Hold {
        *self.lock().backends.entry(backend).or_default() += 1;
        Hold { in_flight: Arc::clone(self), backend: Some(backend) }
    }

    pub fn query(self: &Arc<Self>) -> Hold {
        self.lock().queries += 1;
        Hold { in_flight: Arc::clone(self), backend: None }
    }

    /// Of these, the backends at which something is left.
    pub fn busy(&self, of: impl Iterator<Item = (String, u32)>) -> BTreeSet<String> {
        let counts = self.lock();
        of.filter(|(_, number)| counts.backends.contains_key(number)).map(|(id, _)| id).collect()
    }

    pub fn empty(&self) -> bool {
        let counts = self.lock();
        counts.queries == 0 && counts.backends.is_empty()
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut counts = self.in_flight.lock();
        let none = match self.backend {
            None => {
                counts.queries = counts.queries.saturating_sub(1);
                counts.queries == 0
            }
            Some(backend) => {
                let left = counts.backends.get(&backend).map_or(0, |left| left.saturating_sub(1));
                match left {
                    0 => counts.backends.remove(&backend),
                    left => counts.backends.insert(backend, left),
                };
                left == 0
            }
        };
        drop(counts);
        if none {
            self.in_flight.ended.notify_one();
        }
    }
}

/// A long answer is on its way when its first bytes are: what it came from is in use until its last.
pub fn flowing(answer: Response<Body>, hold: Option<Hold>) -> Response<Body> {
    match hold {
        Some(hold) => answer.map(|body| Body::new(Guarded::new(body, hold))),
        None => answer,
    }
}

#[cfg(test)]
#[path = "../tests/unit/in_flight.rs"]
mod tests;
