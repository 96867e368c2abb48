//! A body that is written by a future: the future hands out pieces, and is polled as the client takes them.

use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;

use crate::answer::BrokenOff;

type Writer = Pin<Box<dyn Future<Output = Result<(), BrokenOff>> + Send>>;

/// What a stream's future writes to. It holds one piece: whoever writes waits until that is taken.
#[derive(Clone, Default)]
pub(crate) struct Inlet {
    place: Arc<Mutex<Option<Bytes>>>,
}

impl Inlet {
    fn lock(&self) -> MutexGuard<'_, Option<Bytes>> {
        self.place.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands out a piece; done once it was taken. Only the outlet's own poll takes it, and polls this again.
    pub async fn send(&self, piece: Bytes) {
        *self.lock() = Some(piece);
        poll_fn(|_| if self.lock().is_none() { Poll::Ready(()) } else { Poll::Pending }).await;
    }
}

/// The body: drives its future and passes on what that hands out.
pub(crate) struct Outlet {
    inlet: Inlet,
    writer: Option<Writer>,
}

impl Outlet {
    /// A body written by the future that `write` makes. Dropped, it ends the future.
    pub fn new<F>(write: impl FnOnce(Inlet) -> F) -> Self
    where
        F: Future<Output = Result<(), BrokenOff>> + Send + 'static,
    {
        let inlet = Inlet::default();
        Outlet { writer: Some(Box::pin(write(inlet.clone()))), inlet }
    }

    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BrokenOff>>> {
        let Some(writer) = &mut self.writer else { return Poll::Ready(None) };
        let ended = writer.as_mut().poll(cx);
        // A piece is taken before the writer goes on: it never ends with one on its way.
        if let Some(piece) = self.inlet.lock().take() {
            return Poll::Ready(Some(Ok(piece)));
        }
        let ended = std::task::ready!(ended);
        self.writer = None;
        Poll::Ready(ended.err().map(Err))
    }
}
