//! Request and response bodies: short ones are buffered, longer ones streamed, all within a memory limit.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use axum::body::{Body, HttpBody};
use bytes::{Bytes, BytesMut};
use http_body::{Frame, SizeHint};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout, timeout_at, Instant, Sleep};

use crate::permits::cede_half;

/// Maximum size that is buffered, for request and response bodies.
pub const MAX_BUFFERED: usize = 64 << 10;
/// Maximum size of any body.
pub const MAX_BODY: u64 = 40 << 20;
/// Bodies up to this size take no permit of the pool.
const UNPOOLED: usize = 16 << 10;
/// Pool permits, each worth `UNPOOLED` bytes, for a buffered body and for a streamed one: its first part and
/// the buffers on both sides.
const BUFFERED_PERMITS: u32 = 4;
const STREAMED_PERMITS: u32 = 12;
/// Each direction's pool gets the memory divided by this.
const POOL_DIVISOR: usize = 4;
/// How long a client's body, or a streamed response, may make no progress.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_millis(2_500);
const BACKEND_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum rate of a client's body, against bodies that trickle forever: half of the slowest legitimate
/// client's.
const MIN_BYTES_PER_S: f64 = 32_768.0;

/// Why a body ended early.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyError {
    Aborted,
    TimedOut,
    TooLong,
    /// A previous execution has consumed bytes that are no longer buffered.
    Consumed,
    /// No buffer memory is available.
    OutOfMemory,
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            BodyError::Aborted => "the body broke off",
            BodyError::TimedOut => "the body did not come in time",
            BodyError::TooLong => "the body is too long",
            BodyError::Consumed => "the body has gone elsewhere",
            BodyError::OutOfMemory => "no memory for the body",
        })
    }
}

impl std::error::Error for BodyError {}

/// Memory for bodies larger than `UNPOOLED`.
pub struct Pool {
    permits: Arc<Semaphore>,
    total: usize,
}

impl Pool {
    pub fn new(memory: usize) -> Self {
        let total =
            (memory / POOL_DIVISOR / UNPOOLED).max(2 * (BUFFERED_PERMITS + STREAMED_PERMITS) as usize);
        Pool { permits: Arc::new(Semaphore::new(total)), total }
    }

    pub async fn share_with(self: Arc<Self>, others: watch::Receiver<usize>) {
        cede_half(others, Arc::clone(&self.permits), self.total, || ()).await;
    }

    async fn take(&self, permits: u32, max_wait: Duration) -> Result<OwnedSemaphorePermit, BodyError> {
        let taken = timeout(max_wait, Arc::clone(&self.permits).acquire_many_owned(permits)).await;
        taken.ok().and_then(Result::ok).ok_or(BodyError::OutOfMemory)
    }
}

/// Reads a body and enforces progress.
struct BodyReader {
    body: Body,
    stall_timeout: Duration,
    min_bytes_per_s: f64,
    received: u64,
    stalled_for: Duration,
    /// How long reading was delayed for lack of memory.
    memory_wait: Duration,
    /// When the current pause began and the timer that bounds it. A pause of the consumer does not count: it
    /// does not poll.
    stall: Option<(Instant, Pin<Box<Sleep>>)>,
}

impl BodyReader {
    fn new(body: Body, stall_timeout: Duration, min_bytes_per_s: f64) -> Self {
        let (stalled_for, memory_wait) = (Duration::ZERO, Duration::ZERO);
        BodyReader {
            body,
            stall_timeout,
            min_bytes_per_s,
            received: 0,
            stalled_for,
            memory_wait,
            stall: None,
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            let frame = Pin::new(&mut self.body).poll_frame(cx);
            let Poll::Ready(frame) = frame else {
                let stall_timeout = self.stall_timeout;
                let stall =
                    self.stall.get_or_insert_with(|| (Instant::now(), Box::pin(sleep(stall_timeout))));
                return stall.1.as_mut().poll(cx).map(|()| Some(Err(BodyError::TimedOut)));
            };
            if let Some((since, _)) = self.stall.take() {
                self.stalled_for += since.elapsed();
            }
            return Poll::Ready(match frame {
                None => None,
                Some(Err(_)) => Some(Err(BodyError::Aborted)),
                Some(Ok(frame)) => {
                    // Trailers are not forwarded: they belong to one hop.
                    let Ok(data) = frame.into_data() else { continue };
                    self.received += data.len() as u64;
                    let allowed =
                        self.stall_timeout.as_secs_f64() + self.received as f64 / self.min_bytes_per_s;
                    match self.stalled_for.as_secs_f64() > allowed {
                        true => Some(Err(BodyError::TimedOut)),
                        false if self.received > MAX_BODY => Some(Err(BodyError::TooLong)),
                        false => Some(Ok(data)),
                    }
                }
            });
        }
    }

    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        std::future::poll_fn(|cx| self.poll(cx)).await
    }

    /// Reads until the end or until more than `max_buffered` bytes are buffered; returns whether the end was reached.
    /// Permits for the whole body are acquired at once: bodies that hold some and wait for more could deadlock.
    /// A body of unknown length is not buffered past `until`: it may be long and must not be cut off.
    async fn read(
        &mut self,
        pool: &Pool,
        max_buffered: usize,
        until: Option<Instant>,
        max_wait: Duration,
    ) -> Result<(Bytes, bool, Permit), BodyError> {
        let until = until.filter(|_| self.body.size_hint().upper().is_none());
        let short = self.body.size_hint().upper().is_some_and(|most| most <= MAX_BUFFERED as u64);
        let (mut read, mut permit) = (BytesMut::new(), None);
        while read.len() <= max_buffered {
            if (read.len() > UNPOOLED || max_buffered == 0) && permit.is_none() {
                let since = Instant::now();
                permit =
                    Some(pool.take(if short { BUFFERED_PERMITS } else { STREAMED_PERMITS }, max_wait).await?);
                self.memory_wait += since.elapsed();
            }
            let next = match until.filter(|_| !read.is_empty()) {
                None => self.next().await,
                Some(until) => match timeout_at(until, self.next()).await {
                    Ok(next) => next,
                    Err(_) => break,
                },
            };
            match next {
                None => return Ok((read.freeze(), true, permit)),
                Some(data) => read.extend_from_slice(&data?),
            }
        }
        Ok((read.freeze(), false, permit))
    }
}

type Permit = Option<OwnedSemaphorePermit>;

/// The declared length of a body, at most MAX_BODY.
fn length(body: &Body) -> Result<SizeHint, BodyError> {
    let length = body.size_hint();
    match (length.lower() > MAX_BODY, length.exact()) {
        (true, _) => Err(BodyError::TooLong),
        (false, Some(exact)) => Ok(SizeHint::with_exact(exact)),
        (false, None) => Ok(SizeHint::new()),
    }
}

/// Body of a query.
#[derive(Clone)]
pub enum Payload {
    Buffered(Bytes, #[allow(dead_code, reason = "keeps its place")] Arc<Permit>),
    Streamed(Arc<StreamedBody>),
}

/// A body too long to be buffered.
pub struct StreamedBody {
    first: Bytes,
    /// None once an execution has begun to read it.
    rest: Mutex<Option<BodyReader>>,
    length: SizeHint,
    sent_at: watch::Sender<Option<Instant>>,
    _permit: Permit,
}

impl Payload {
    /// Reads the body. Waits for memory at most `max_wait`, as the client may have sent all of it and its
    /// deadline is running. Also returns how long it waited.
    pub async fn read(body: Body, pool: &Pool, max_wait: Duration) -> Result<(Payload, Duration), BodyError> {
        let length = length(&body)?;
        let mut reader = BodyReader::new(body, CLIENT_STALL_TIMEOUT, MIN_BYTES_PER_S);
        let (first, complete, permit) = reader.read(pool, MAX_BUFFERED, None, max_wait).await?;
        if complete {
            return Ok((Payload::Buffered(first, Arc::new(permit)), reader.memory_wait));
        }
        let memory_wait = reader.memory_wait;
        let (rest, sent_at) = (Mutex::new(Some(reader)), watch::Sender::new(None));
        let streamed = StreamedBody { first, rest, length, sent_at, _permit: permit };
        Ok((Payload::Streamed(Arc::new(streamed)), memory_wait))
    }

    /// The body for one execution of this query. `on_progress` is called for a streamed body: with false when
    /// it goes beyond the buffered part, with true when it was sent completely.
    pub fn body(&self, on_progress: impl Fn(bool) + Send + Sync + Unpin + 'static) -> Body {
        match self {
            Payload::Buffered(bytes, _) => Body::from(bytes.clone()),
            Payload::Streamed(streamed) => Body::new(StreamedBodySender {
                first: Some(streamed.first.clone()),
                streamed: Arc::clone(streamed),
                rest: None,
                on_progress,
            }),
        }
    }

    pub fn is_streamed(&self) -> bool {
        matches!(self, Payload::Streamed(_))
    }

    /// When the last byte was sent, if the body is streamed.
    pub fn sent_at(&self) -> Option<Instant> {
        match self {
            Payload::Buffered(..) => None,
            Payload::Streamed(streamed) => *streamed.sent_at.borrow(),
        }
    }

    /// Waits until the last byte was sent; returns at once if the body is buffered.
    pub async fn sent(&self) -> Option<Instant> {
        match self {
            Payload::Buffered(..) => None,
            Payload::Streamed(streamed) => {
                let mut sent_at = streamed.sent_at.subscribe();
                let sent_at = sent_at.wait_for(Option::is_some).await;
                sent_at.ok().and_then(|sent_at| *sent_at)
            }
        }
    }

    /// If at most this many bytes were written when the connection broke, the request certainly was not sent
    /// completely.
    pub fn max_unsent_bytes(&self) -> usize {
        match self {
            Payload::Buffered(bytes, _) => bytes.len(),
            Payload::Streamed(_) if self.sent_at().is_some() => 0,
            Payload::Streamed(_) => usize::MAX,
        }
    }
}

/// A streamed body on its way to one backend.
struct StreamedBodySender<T> {
    first: Option<Bytes>,
    streamed: Arc<StreamedBody>,
    rest: Option<BodyReader>,
    on_progress: T,
}

impl<T: Fn(bool) + Unpin> HttpBody for StreamedBodySender<T> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        if let Some(first) = this.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        if this.rest.is_none() {
            this.rest = this.streamed.rest.lock().unwrap_or_else(PoisonError::into_inner).take();
            if this.rest.is_some() {
                (this.on_progress)(false);
            }
        }
        let Some(rest) = &mut this.rest else { return Poll::Ready(Some(Err(BodyError::Consumed))) };
        let data = std::task::ready!(rest.poll(cx));
        // With a declared length, nothing is polled after its last byte.
        if data.is_none() || rest.body.is_end_stream() {
            (this.on_progress)(true);
            this.streamed.sent_at.send_replace(Some(Instant::now()));
        }
        Poll::Ready(data.map(|data| data.map(Frame::data)))
    }

    fn size_hint(&self) -> SizeHint {
        self.streamed.length
    }
}

/// A response on its way to the client: complete, or its first part and the rest to be streamed.
pub struct Answer {
    first: Option<Bytes>,
    rest: Option<BodyReader>,
    length: SizeHint,
    /// Called once the rest was read completely.
    read: Option<Box<dyn FnOnce() + Send>>,
    _permit: Permit,
}

impl Answer {
    pub async fn read(body: Body, pool: &Pool, until: Instant) -> Result<Answer, BodyError> {
        let declared = length(&body)?;
        let mut reader = BodyReader::new(body, BACKEND_STALL_TIMEOUT, f64::MIN_POSITIVE);
        // If the declared length is large, forward the first bytes at once: a slow backend takes a second to
        // fill the buffer.
        let max_buffered = if declared.lower() > MAX_BUFFERED as u64 { 0 } else { MAX_BUFFERED };
        let (first, complete, permit) = reader.read(pool, max_buffered, Some(until), Duration::MAX).await?;
        let length = if complete { SizeHint::with_exact(first.len() as u64) } else { declared };
        let (first, rest) = (Some(first), (!complete).then_some(reader));
        Ok(Answer { first, rest, length, read: None, _permit: permit })
    }

    pub fn is_complete(&self) -> bool {
        self.rest.is_none()
    }

    /// The body for the client; `read` is called once it was read completely.
    pub fn body(mut self, read: impl FnOnce() + Send + 'static) -> Body {
        self.read = Some(Box::new(read));
        Body::new(self)
    }
}

impl HttpBody for Answer {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let answer = &mut *self;
        if let Some(first) = answer.first.take().filter(|first| !first.is_empty()) {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Some(rest) = &mut answer.rest else { return Poll::Ready(None) };
        let data = std::task::ready!(rest.poll(cx));
        if data.is_none() || rest.body.is_end_stream() {
            answer.read.take().into_iter().for_each(|read| read());
        }
        Poll::Ready(data.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_none() && self.first.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        self.length
    }
}
