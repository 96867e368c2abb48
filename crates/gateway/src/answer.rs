//! The bodies of answers to clients.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use crankpick_dispatch::Outcome;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::Sleep;

use crate::attempt::Held;
use crate::outlet::Outlet;

/// An answer ends here without being whole: the client must be able to tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenOff;

impl std::fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for BrokenOff {}

/// The body of an answer to a client.
pub(crate) enum AnswerBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// The first of a long one, with the rest behind it.
    Long(Box<LongBody>),
    /// A stream of events.
    Stream(Outlet),
}

/// A body that is too long to be kept, passed on as it comes.
pub(crate) struct LongBody {
    pub first: Option<Bytes>,
    pub rest: Incoming,
    pub length: Option<u64>,
    /// Comes when nobody waits any more.
    pub deadline: Pin<Box<Sleep>>,
    pub held: Held,
}

impl AnswerBody {
    pub fn whole(bytes: Bytes) -> Self {
        AnswerBody::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }
}

impl LongBody {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let next = Pin::new(&mut self.rest).poll_frame(cx);
        if next.is_pending() && self.deadline.as_mut().poll(cx).is_ready() {
            self.held.end(Outcome::TimedOut);
            return Poll::Ready(Some(Err(BrokenOff)));
        }
        match std::task::ready!(next) {
            Some(Ok(frame)) => {
                // Nobody asks again behind the last byte of a length that was told.
                if self.rest.is_end_stream() {
                    self.held.completed();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_)) => Poll::Ready(Some(Err(BrokenOff))),
            None => {
                self.held.completed();
                Poll::Ready(None)
            }
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            AnswerBody::Long(body) => body.poll(cx),
            AnswerBody::Stream(outlet) => outlet.poll(cx).map(|next| next.map(|next| next.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(bytes) => bytes.is_none(),
            AnswerBody::Long(body) => body.first.is_none() && body.rest.is_end_stream(),
            AnswerBody::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Long(body) => body.length.map(SizeHint::with_exact).unwrap_or_default(),
            AnswerBody::Stream(_) => SizeHint::default(),
        }
    }
}
