//! The budget of clients' connections.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Where fewer than one in so many places are free, connections end behind their answers: room is made in order, before
/// connections at rest must be ended, which could cut a request.
const RESERVE_DIVISOR: usize = 8;

/// Places for clients' connections.
#[derive(Debug)]
pub(crate) struct ConnectionLimit {
    permits: Arc<Semaphore>,
    max_connections: usize,
}

impl ConnectionLimit {
    pub fn new(max_connections: usize) -> Self {
        ConnectionLimit { permits: Arc::new(Semaphore::new(max_connections)), max_connections }
    }

    /// A place, if one is free.
    pub fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.permits).try_acquire_owned().ok()
    }

    /// A place, once one is free.
    pub async fn acquire(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.permits).acquire_owned().await.ok()
    }

    /// Comes once no connection is open.
    pub async fn wait_until_empty(&self) {
        let all = u32::try_from(self.max_connections).unwrap_or(u32::MAX);
        let _ = self.permits.acquire_many(all).await;
    }

    /// Whether few places are free.
    pub fn is_nearly_full(&self) -> bool {
        self.permits.available_permits() < self.max_connections / RESERVE_DIVISOR
    }
}
