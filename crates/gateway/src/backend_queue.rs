//! Requests that wait until a backend of their service is known. When one may be, they are woken in the order in which
//! they are served: the most urgent first, then those with the least time to spare.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crankpick_quota::Place;
use tokio::sync::Notify;

use crate::Now;

/// The waiting requests.
#[derive(Default)]
pub(crate) struct BackendQueue {
    waiting: Mutex<BTreeMap<Place, Arc<Notify>>>,
    last_serial: AtomicU64,
}

/// A place in the queue, given up when it is dropped.
pub(crate) struct BackendWait<'a> {
    queue: &'a BackendQueue,
    place: Place,
    woken: Arc<Notify>,
}

impl BackendQueue {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<Place, Arc<Notify>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request that can be sent until `latest_start`.
    pub fn enter(&self, priority: u8, latest_start: Now) -> BackendWait<'_> {
        let serial = self.last_serial.fetch_add(1, Ordering::Relaxed);
        let place = Place { priority, latest_start, serial };
        let woken = Arc::new(Notify::new());
        self.lock().insert(place, Arc::clone(&woken));
        BackendWait { queue: self, place, woken }
    }

    /// Wakes all requests, in order.
    pub fn wake_all(&self) {
        self.lock().values().for_each(|waiting| waiting.notify_one());
    }
}

impl BackendWait<'_> {
    /// Completes when the request has been woken since it entered, or since the last call.
    pub async fn woken(&self) {
        self.woken.notified().await;
    }
}

impl Drop for BackendWait<'_> {
    fn drop(&mut self) {
        self.queue.lock().remove(&self.place);
    }
}

#[cfg(test)]
#[path = "../tests/unit/backend_queue.rs"]
mod tests;
