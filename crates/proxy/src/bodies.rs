//! Bodies and answers: what is short is kept whole, what is longer passed on as it comes, and all of it in
//! bounded memory.

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

use crate::share::halve;

/// What is kept whole, of a query's body and of an answer.
pub const SHORT: usize = 64 << 10;
/// What nobody may send more of.
pub const MOST: u64 = 40 << 20;
/// What takes no place in the pool.
const SMALL: usize = 16 << 10;
/// Places in the pool, each worth `SMALL`, for what is kept whole and for what flows through: its first part
/// and the buffers to either side.
const KEPT: u32 = 4;
const FLOWING: u32 = 12;
/// Of the memory, for each direction.
const POOL: usize = 4;
/// How long a client's body, or an answer that flows through, may stand still.
const CLIENT_STILL: Duration = Duration::from_millis(2_500);
const BACKEND_STILL: Duration = Duration::from_secs(2);
/// Against bodies that trickle for ever: half of the slowest sound client's.
const LEAST_PER_S: f64 = 32_768.0;

/// Why a body ended before its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Broken {
    Off,
    Still,
    TooLong,
    /// An execution before this one had more of it than is kept.
    Gone,
    /// There is no memory for it.
    NoRoom,
}

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            Broken::Off => "the body broke off",
            Broken::Still => "the body did not come in time",
            Broken::TooLong => "the body is too long",
            Broken::Gone => "the body has gone elsewhere",
            Broken::NoRoom => "no memory for the body",
        })
    }
}

impl std::error::Error for Broken {}

/// The memory for what is not small.
pub struct Pool {
    places: Arc<Semaphore>,
    whole: usize,
}

impl Pool {
    pub fn new(memory: usize) -> Self {
        let whole = (memory / POOL / SMALL).max(2 * (KEPT + FLOWING) as usize);
        Pool { places: Arc::new(Semaphore::new(whole)), whole }
    }

    pub async fn leave_room(self: Arc<Self>, others: watch::Receiver<usize>) {
        halve(others, Arc::clone(&self.places), self.whole, || ()).await;
    }

    async fn take(&self, places: u32, within: Duration) -> Result<OwnedSemaphorePermit, Broken> {
        let taken = timeout(within, Arc::clone(&self.places).acquire_many_owned(places)).await;
        taken.ok().and_then(Result::ok).ok_or(Broken::NoRoom)
    }
}

/// One side's bytes as they come, held to making progress.
struct Source {
    body: Body,
    still: Duration,
    least_per_s: f64,
    came: u64,
    waited: Duration,
    /// How long it was not read for want of memory.
    held_up: Duration,
    /// Since when it stands still, and until when it may. Whoever can't take more does not ask.
    stands: Option<(Instant, Pin<Box<Sleep>>)>,
}

impl Source {
    fn new(body: Body, still: Duration, least_per_s: f64) -> Self {
        let (waited, held_up) = (Duration::ZERO, Duration::ZERO);
        Source { body, still, least_per_s, came: 0, waited, held_up, stands: None }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Broken>>> {
        loop {
            let frame = Pin::new(&mut self.body).poll_frame(cx);
            let Poll::Ready(frame) = frame else {
                let still = self.still;
                let stands = self.stands.get_or_insert_with(|| (Instant::now(), Box::pin(sleep(still))));
                return stands.1.as_mut().poll(cx).map(|()| Some(Err(Broken::Still)));
            };
            if let Some((since, _)) = self.stands.take() {
                self.waited += since.elapsed();
            }
            return Poll::Ready(match frame {
                None => None,
                Some(Err(_)) => Some(Err(Broken::Off)),
                Some(Ok(frame)) => {
                    // Trailers stay behind: they belong to the hop that they came on.
                    let Ok(data) = frame.into_data() else { continue };
                    self.came += data.len() as u64;
                    let patience = self.still.as_secs_f64() + self.came as f64 / self.least_per_s;
                    match self.waited.as_secs_f64() > patience {
                        true => Some(Err(Broken::Still)),
                        false if self.came > MOST => Some(Err(Broken::TooLong)),
                        false => Some(Ok(data)),
                    }
                }
            });
        }
    }

    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        std::future::poll_fn(|cx| self.poll(cx)).await
    }

    /// Reads on until the end or past `kept`; tells whether it is the end. Its place in the pool is taken at once
    /// for all that may come: those that wait for more would hold up one another.
    /// What is of no told length is not kept past `until`: it may be long, and is not to be cut off.
    async fn read(
        &mut self,
        pool: &Pool,
        kept: usize,
        until: Option<Instant>,
        within: Duration,
    ) -> Result<(Bytes, bool, Permit), Broken> {
        let until = until.filter(|_| self.body.size_hint().upper().is_none());
        let short = self.body.size_hint().upper().is_some_and(|most| most <= SHORT as u64);
        let (mut read, mut permit) = (BytesMut::new(), None);
        while read.len() <= kept {
            if (read.len() > SMALL || kept == 0) && permit.is_none() {
                let since = Instant::now();
                permit = Some(pool.take(if short { KEPT } else { FLOWING }, within).await?);
                self.held_up += since.elapsed();
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

/// The length that a body was said to have; MOST at the most.
fn length(body: &Body) -> Result<SizeHint, Broken> {
    let length = body.size_hint();
    match (length.lower() > MOST, length.exact()) {
        (true, _) => Err(Broken::TooLong),
        (false, Some(exact)) => Ok(SizeHint::with_exact(exact)),
        (false, None) => Ok(SizeHint::new()),
    }
}

/// A query's body.
#[derive(Clone)]
pub enum Payload {
    Whole(Bytes, #[allow(dead_code, reason = "keeps its place")] Arc<Permit>),
    Passing(Arc<Passage>),
}

/// One that is longer than what is kept of it.
pub struct Passage {
    first: Bytes,
    /// None once an execution has begun to pull it.
    rest: Mutex<Option<Source>>,
    length: SizeHint,
    ended: watch::Sender<Option<Instant>>,
    _permit: Permit,
}

impl Payload {
    /// Waits for memory no longer than `within`: its client may have sent all of it, and its time runs.
    /// Tells how long it waited.
    pub async fn read(body: Body, pool: &Pool, within: Duration) -> Result<(Payload, Duration), Broken> {
        let length = length(&body)?;
        let mut source = Source::new(body, CLIENT_STILL, LEAST_PER_S);
        let (first, whole, permit) = source.read(pool, SHORT, None, within).await?;
        if whole {
            return Ok((Payload::Whole(first, Arc::new(permit)), source.held_up));
        }
        let held_up = source.held_up;
        let (rest, ended) = (Mutex::new(Some(source)), watch::Sender::new(None));
        let passage = Passage { first, rest, length, ended, _permit: permit };
        Ok((Payload::Passing(Arc::new(passage)), held_up))
    }

    /// The body for one execution of this query.
    /// `told` hears whether a long one has gone whole: no as it goes on behind what is kept, then yes.
    pub fn body(&self, told: impl Fn(bool) + Send + Sync + Unpin + 'static) -> Body {
        match self {
            Payload::Whole(bytes, _) => Body::from(bytes.clone()),
            Payload::Passing(passage) => Body::new(Sending {
                first: Some(passage.first.clone()),
                passage: Arc::clone(passage),
                rest: None,
                told,
            }),
        }
    }

    pub fn passing(&self) -> bool {
        matches!(self, Payload::Passing(_))
    }

    /// When its last byte went, if it is passed on as it comes.
    pub fn gone_at(&self) -> Option<Instant> {
        match self {
            Payload::Whole(..) => None,
            Payload::Passing(passage) => *passage.ended.borrow(),
        }
    }

    /// The same, waited for; at once for what is kept whole.
    pub async fn gone(&self) -> Option<Instant> {
        match self {
            Payload::Whole(..) => None,
            Payload::Passing(passage) => {
                let mut ended = passage.ended.subscribe();
                let ended = ended.wait_for(Option::is_some).await;
                ended.ok().and_then(|ended| *ended)
            }
        }
    }

    /// A request with this body that broke off while no more than this was written has surely not gone whole.
    pub fn surely(&self) -> usize {
        match self {
            Payload::Whole(bytes, _) => bytes.len(),
            Payload::Passing(_) if self.gone_at().is_some() => 0,
            Payload::Passing(_) => usize::MAX,
        }
    }
}

/// A long body on its way to one backend.
struct Sending<T> {
    first: Option<Bytes>,
    passage: Arc<Passage>,
    rest: Option<Source>,
    told: T,
}

impl<T: Fn(bool) + Unpin> HttpBody for Sending<T> {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let sending = &mut *self;
        if let Some(first) = sending.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        if sending.rest.is_none() {
            sending.rest = sending.passage.rest.lock().unwrap_or_else(PoisonError::into_inner).take();
            if sending.rest.is_some() {
                (sending.told)(false);
            }
        }
        let Some(rest) = &mut sending.rest else { return Poll::Ready(Some(Err(Broken::Gone))) };
        let data = std::task::ready!(rest.poll(cx));
        // Nobody asks again behind the last byte of a length that was told.
        if data.is_none() || rest.body.is_end_stream() {
            (sending.told)(true);
            sending.passage.ended.send_replace(Some(Instant::now()));
        }
        Poll::Ready(data.map(|data| data.map(Frame::data)))
    }

    fn size_hint(&self) -> SizeHint {
        self.passage.length
    }
}

/// An answer on its way to the client: whole, or its first part with the rest behind it.
pub struct Answer {
    first: Option<Bytes>,
    rest: Option<Source>,
    length: SizeHint,
    /// Called once a rest was read to its end.
    read: Option<Box<dyn FnOnce() + Send>>,
    _permit: Permit,
}

impl Answer {
    pub async fn read(body: Body, pool: &Pool, until: Instant) -> Result<Answer, Broken> {
        let said = length(&body)?;
        let mut source = Source::new(body, BACKEND_STILL, f64::MIN_POSITIVE);
        // Of one that is said to be long the first bytes count: a slow backend takes a second for the rest of
        // what would be kept.
        let kept = if said.lower() > SHORT as u64 { 0 } else { SHORT };
        let (first, whole, permit) = source.read(pool, kept, Some(until), Duration::MAX).await?;
        let length = if whole { SizeHint::with_exact(first.len() as u64) } else { said };
        let (first, rest) = (Some(first), (!whole).then_some(source));
        Ok(Answer { first, rest, length, read: None, _permit: permit })
    }

    pub fn whole(&self) -> bool {
        self.rest.is_none()
    }

    /// The body for the client; `read` is called once the last of it was read.
    pub fn body(mut self, read: impl FnOnce() + Send + 'static) -> Body {
        self.read = Some(Box::new(read));
        Body::new(self)
    }
}

impl HttpBody for Answer {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
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
