//! Limits the number of client connections.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// If fewer than one in this many permits is free, connections close after their responses. This
/// makes room in an orderly way, before idle connections have to be evicted, which could interrupt a
/// request.
const RESERVE_DIVISOR: usize = 8;

/// Permits for client connections.
#[derive(Debug)]
pub(crate) struct ConnectionLimit {
    permits: Arc<Semaphore>,
    max_connections: usize,
}

impl ConnectionLimit {
    pub fn new(max_connections: usize) -> Self {
        ConnectionLimit { permits: Arc::new(Semaphore::new(max_connections)), max_connections }
    }

    /// Takes a permit if one is free.
    pub fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.permits).try_acquire_owned().ok()
    }

    /// Waits for a free permit.
    pub async fn acquire(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.permits).acquire_owned().await.ok()
    }

    /// Completes when no connection is open.
    pub async fn wait_until_empty(&self) {
        let all = u32::try_from(self.max_connections).unwrap_or(u32::MAX);
        let _ = self.permits.acquire_many(all).await;
    }

    /// Whether few permits are free.
    pub fn is_nearly_full(&self) -> bool {
        self.permits.available_permits() < self.max_connections / RESERVE_DIVISOR
    }
}
