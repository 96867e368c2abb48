//! A body that keeps a guard until its end.

use std::pin::Pin;
use std::task::{Context, Poll};

use http_body::{Body, Frame, SizeHint};

/// Forwards a body and drops `guard` with it: code that runs after the last byte, or when the body is
/// abandoned, goes into the guard's `Drop`.
pub struct Guarded<B, G> {
    body: B,
    _guard: G,
}

impl<B, G> Guarded<B, G> {
    /// Wraps `body`; `guard` is dropped together with it.
    pub fn new(body: B, guard: G) -> Self {
        Guarded { body, _guard: guard }
    }
}

impl<B: Body + Unpin, G: Unpin> Body for Guarded<B, G> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
