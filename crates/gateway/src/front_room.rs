//! The budget of clients' connections.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Where fewer than one in so many places are free, connections end behind their answers: room is made in order, before
/// connections at rest must be ended, which could cut a request.
const FREE_PART: usize = 8;

/// Places for clients' connections.
#[derive(Debug)]
pub(crate) struct FrontRoom {
    places: Arc<Semaphore>,
    budget: usize,
}

impl FrontRoom {
    pub fn new(budget: usize) -> Self {
        FrontRoom { places: Arc::new(Semaphore::new(budget)), budget }
    }

    /// A place, if one is free.
    pub fn try_take(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.places).try_acquire_owned().ok()
    }

    /// A place, once one is free.
    pub async fn take(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.places).acquire_owned().await.ok()
    }

    /// Comes once no connection is open.
    pub async fn emptied(&self) {
        let all = u32::try_from(self.budget).unwrap_or(u32::MAX);
        let _ = self.places.acquire_many(all).await;
    }

    /// Whether few places are free.
    pub fn is_crowded(&self) -> bool {
        self.places.available_permits() < self.budget / FREE_PART
    }
}
