//! A body that is written by a future: the future hands out pieces, and is polled as the client takes them.

use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;

use crate::response_body::ResponseAborted;

type Producer = Pin<Box<dyn Future<Output = Result<(), ResponseAborted>> + Send>>;

/// What a stream's future writes to. It holds one piece: whoever writes waits until that is taken.
#[derive(Clone, Default)]
pub(crate) struct ChunkSender {
    slot: Arc<Mutex<Option<Bytes>>>,
}

impl ChunkSender {
    fn lock(&self) -> MutexGuard<'_, Option<Bytes>> {
        self.slot.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands out a piece; done once it was taken. Only the outlet's own poll takes it, and polls this again.
    pub async fn send(&self, chunk: Bytes) {
        *self.lock() = Some(chunk);
        poll_fn(|_| if self.lock().is_none() { Poll::Ready(()) } else { Poll::Pending }).await;
    }
}

/// The body: drives its future and passes on what that hands out.
pub(crate) struct GeneratedBody {
    sender: ChunkSender,
    producer: Option<Producer>,
}

impl GeneratedBody {
    /// A body written by the future that `write` makes. Dropped, it ends the future.
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
        // A piece is taken before the writer goes on: it never ends with one on its way.
        if let Some(chunk) = self.sender.lock().take() {
            return Poll::Ready(Some(Ok(chunk)));
        }
        let finished = std::task::ready!(finished);
        self.producer = None;
        Poll::Ready(finished.err().map(Err))
    }
}
