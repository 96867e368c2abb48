//! A response body produced by a future: the future sends chunks and is polled as the client reads them.

use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;

use crate::response_body::ResponseAborted;

type Producer = Pin<Box<dyn Future<Output = Result<(), ResponseAborted>> + Send>>;

/// The producer's side. Holds one chunk; the producer waits until it has been taken.
#[derive(Clone, Default)]
pub(crate) struct ChunkSender {
    slot: Arc<Mutex<Option<Bytes>>>,
}

impl ChunkSender {
    fn lock(&self) -> MutexGuard<'_, Option<Bytes>> {
        self.slot.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a chunk and completes when it has been taken. Only [`GeneratedBody::poll`] takes it, and it
    /// also polls this future again.
    pub async fn send(&self, chunk: Bytes) {
        *self.lock() = Some(chunk);
        poll_fn(|_| if self.lock().is_none() { Poll::Ready(()) } else { Poll::Pending }).await;
    }
}

/// The body: polls the producer and yields its chunks.
pub(crate) struct GeneratedBody {
    sender: ChunkSender,
    producer: Option<Producer>,
}

impl GeneratedBody {
    /// Creates a body from the future that `produce` returns. Dropping the body drops the future.
    pub fn new<F>(produce: impl FnOnce(ChunkSender) -> F) -> Self
    where
        F: Future<Output = Result<(), ResponseAborted>> + Send + 'static,
    {
        let sender = ChunkSender::default();
        GeneratedBody { producer: Some(Box::pin(produce(sender.clone()))), sender }
    }

    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, ResponseAborted>>> {
        let Some(producer) = &mut self.producer else { return Poll::Ready(None) };
        let finished = producer.as_mut().poll(cx);
        // The chunk is taken before the producer is polled again, so the producer never finishes with a
        // chunk pending.
        if let Some(chunk) = self.sender.lock().take() {
            return Poll::Ready(Some(Ok(chunk)));
        }
        let finished = std::task::ready!(finished);
        self.producer = None;
        Poll::Ready(finished.err().map(Err))
    }
}
