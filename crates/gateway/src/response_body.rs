//! Bodies of responses to clients.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use crankpick_dispatch::Outcome;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::Sleep;

use crate::attempt::AttemptGuard;
use crate::generated_body::GeneratedBody;

/// Aborts a response body that is incomplete, so that the client can detect the truncation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseAborted;

impl std::fmt::Display for ResponseAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("response body aborted")
    }
}

impl std::error::Error for ResponseAborted {}

/// Body of a response to a client.
pub(crate) enum ResponseBody {
    /// A body that is complete in memory.
    Buffered(Option<Bytes>),
    /// The buffered start of a long body, followed by the rest as it arrives.
    Passthrough(Box<PassthroughBody>),
    /// An event stream.
    Stream(GeneratedBody),
}

/// A body too long to buffer, passed through as it arrives.
pub(crate) struct PassthroughBody {
    pub first: Option<Bytes>,
    pub rest: Incoming,
    pub length: Option<u64>,
    /// Fires when the client stops waiting.
    pub deadline: Pin<Box<Sleep>>,
    pub guard: AttemptGuard,
}

impl ResponseBody {
    pub fn buffered(bytes: Bytes) -> Self {
        ResponseBody::Buffered(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }
}

impl PassthroughBody {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let next = Pin::new(&mut self.rest).poll_frame(cx);
        if next.is_pending() && self.deadline.as_mut().poll(cx).is_ready() {
            self.guard.end(Outcome::TimedOut);
            return Poll::Ready(Some(Err(ResponseAborted)));
        }
        match std::task::ready!(next) {
            Some(Ok(frame)) => {
                // The body is not polled again after the last byte of a declared length.
                if self.rest.is_end_stream() {
                    self.guard.complete();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_)) => Poll::Ready(Some(Err(ResponseAborted))),
            None => {
                self.guard.complete();
                Poll::Ready(None)
            }
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        match self.get_mut() {
            ResponseBody::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            ResponseBody::Passthrough(body) => body.poll(cx),
            ResponseBody::Stream(generated_body) => {
                generated_body.poll(cx).map(|next| next.map(|next| next.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(bytes) => bytes.is_none(),
            ResponseBody::Passthrough(body) => body.first.is_none() && body.rest.is_end_stream(),
            ResponseBody::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Passthrough(body) => body.length.map(SizeHint::with_exact).unwrap_or_default(),
            ResponseBody::Stream(_) => SizeHint::default(),
        }
    }
}
