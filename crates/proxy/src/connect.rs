//! Connections to backends as hyper-util's client opens them. Each knows what was written on it since
//! it last rested, is looked into before it is used again, ends itself before the backend would or when
//! an answer doesn't end, and leaves one log line.

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use crankpick_carry::run::SendPermission;
use crankpick_http::stall::Stall;
use hyper::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout_at, Instant, Sleep};

use crate::bodies::MOST;
use crate::places::Places;
use crate::share::halve;

/// Opens connections, no more at a time than its budget; where it is spent the longest idle one goes.
#[derive(Clone)]
pub struct Connector {
    budget: Arc<Semaphore>,
    links: Arc<Mutex<BTreeMap<u64, Arc<Link>>>>,
    timeout: Duration,
    idle: Duration,
    /// In a fleet, how long anything may be sent.
    right: Option<SendPermission>,
    pub places: Arc<Places>,
}

/// Head, body and what 1xx answers come ahead.
const MOST_ANSWER: usize = MOST as usize + (8 << 20);
/// How long a backend may take nothing of a request.
const UNREAD: Duration = Duration::from_secs(4);
/// ENFILE and EMFILE.
const NO_DESCRIPTOR: [i32; 2] = [23, 24];

/// Marks the error of a connection that was not tried for want of descriptors: no backend's fault.
#[derive(Debug)]
pub struct OverBudget;

impl std::fmt::Display for OverBudget {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("no descriptor to spare")
    }
}

impl std::error::Error for OverBudget {}

/// What is known of one connection, shared by its owner inside the client and the query that uses it.
pub struct Link {
    backend: u32,
    state: Mutex<State>,
}

struct State {
    /// None from an execution's first byte until its answer was read to the end.
    idle_since: Option<Instant>,
    written: usize,
    executions: u64,
    /// When the last of the answer in hand came, and how much of it has come.
    answer: Option<(Instant, usize)>,
    /// Whether it is passed on as it comes: then who takes it says how long it may stand still.
    flows: bool,
    why: Option<&'static str>,
    reader: Option<Waker>,
}

impl State {
    /// The reader looks anew at whether the connection still stands.
    fn wake(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

impl Link {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The number of the execution in hand, to be given back with `rest`.
    pub fn execution(&self) -> u64 {
        self.lock().executions
    }

    /// An answer was read to its end. The client may have given the connection on before this is said:
    /// then another execution has begun and nothing changes.
    pub fn rest(&self, execution: u64) {
        let mut state = self.lock();
        if state.executions == execution {
            state.idle_since = Some(Instant::now());
            state.written = 0;
            (state.answer, state.flows) = (None, false);
            state.wake();
        }
    }

    pub fn flow(&self) {
        self.lock().flows = true;
    }

    /// Whether it has carried others before and was found unfit before a byte of this request was written:
    /// then the request is as good as new for another connection.
    pub fn spent_unused(&self) -> bool {
        let state = self.lock();
        state.idle_since.is_some() && state.executions > 0
    }

    /// Whether a byte of the request in hand was written.
    pub fn begun(&self) -> bool {
        self.lock().idle_since.is_none()
    }

    /// Whether it has carried others before this one.
    pub fn kept(&self) -> bool {
        self.lock().executions > 1
    }

    /// Whether nothing came of an answer.
    pub fn unanswered(&self) -> bool {
        self.lock().answer.is_none()
    }

    /// Whether a request with a body of this length can't have been written whole. Only what holds for
    /// sure counts: the head has some length too, but nobody knows how much of it a part was.
    pub fn wrote_less_than(&self, body: usize) -> bool {
        let state = self.lock();
        state.idle_since.is_some() || state.written <= body
    }
}

impl Connector {
    pub fn new(budget: usize, timeout: Duration, idle: Duration, right: Option<SendPermission>) -> Self {
        let (budget, links, places) = (Arc::new(Semaphore::new(budget)), Arc::default(), Arc::default());
        Connector { budget, links, timeout, idle, right, places }
    }

    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    pub fn may_send(&self) -> bool {
        self.right.as_ref().is_none_or(SendPermission::is_valid)
    }

    /// No connection to this backend is used again.
    pub fn end_all(&self, backend: u32) {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        for link in links.values().filter(|link| link.backend == backend) {
            let mut state = link.lock();
            state.why.get_or_insert("backend_gone");
            state.wake();
        }
    }

    /// Beside another process each has half of the budget.
    pub async fn leave_room(&self, others: watch::Receiver<usize>, budget: usize) {
        halve(others, Arc::clone(&self.budget), budget, || self.end_longest_idle()).await;
    }

    fn end_longest_idle(&self) {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = links.values().filter_map(|link| {
            let state = link.lock();
            state.idle_since.filter(|_| state.why.is_none()).map(|since| (since, link))
        });
        if let Some((_, link)) = idle.min_by_key(|(since, _)| *since) {
            let mut state = link.lock();
            state.why = Some("over_budget");
            state.wake();
        }
    }

    async fn open(
        self,
        backend: u32,
        address: SocketAddr,
    ) -> Result<Wire, Box<dyn std::error::Error + Send + Sync>> {
        // Both waits within the one time: a drain may be told meanwhile.
        let until = Instant::now() + self.timeout;
        let spare = Arc::clone(&self.budget).try_acquire_owned();
        let permit = match spare {
            Ok(permit) => permit,
            Err(_) => {
                self.end_longest_idle();
                let freed = timeout_at(until, self.budget.acquire_owned()).await;
                freed.map_err(|_| OverBudget)?.map_err(|_| OverBudget)?
            }
        };
        let opened = timeout_at(until, TcpStream::connect(address)).await;
        let stream = opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())).map_err(|wrong| {
            tracing::info!(code = "backend_unreachable", %address, "{wrong}");
            if NO_DESCRIPTOR.iter().any(|code| wrong.raw_os_error() == Some(*code)) {
                return OverBudget.into();
            }
            Box::<dyn std::error::Error + Send + Sync>::from(wrong)
        })?;
        stream.set_nodelay(true)?;
        let state = State {
            idle_since: Some(Instant::now()),
            written: 0,
            executions: 0,
            answer: None,
            flows: false,
            why: None,
            reader: None,
        };
        let link = Arc::new(Link { backend, state: Mutex::new(state) });
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let number = links.last_key_value().map_or(0, |(last, _)| last + 1);
        links.insert(number, Arc::clone(&link));
        drop(links);
        Ok(Wire {
            stream,
            stall: Stall::new(UNREAD),
            link,
            number,
            links: self.links,
            address,
            opened: Instant::now(),
            idle: self.idle,
            patience: self.timeout,
            ends: Box::pin(sleep(self.idle)),
            right: self.right,
            places: self.places,
            _permit: permit,
        })
    }
}

impl tower_service::Service<Uri> for Connector {
    type Response = TokioIo<Wire>;
    type Error = Box<dyn std::error::Error + Send + Sync>;
    type Future = Pin<Box<dyn Future<Output = Result<TokioIo<Wire>, Self::Error>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connector = self.clone();
        Box::pin(async move {
            let authority = uri.authority().map_or("", |authority| authority.as_str());
            let (backend, address) = authority.split_once('@').ok_or("a place with no backend")?;
            let backend = backend.split_once('-').map_or(backend, |(backend, _)| backend);
            connector.open(backend.parse()?, address.parse()?).await.map(TokioIo::new)
        })
    }
}

pub struct Wire {
    stream: TcpStream,
    stall: Stall,
    link: Arc<Link>,
    number: u64,
    links: Arc<Mutex<BTreeMap<u64, Arc<Link>>>>,
    address: SocketAddr,
    opened: Instant,
    idle: Duration,
    /// What an answer that has begun may pause: a few ways there and back, as opening takes.
    patience: Duration,
    ends: Pin<Box<Sleep>>,
    right: Option<SendPermission>,
    places: Arc<Places>,
    _permit: OwnedSemaphorePermit,
}

impl Connection for Wire {
    fn connected(&self) -> Connected {
        Connected::new().extra(Arc::clone(&self.link))
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let wire = &mut *self;
        let before = buf.filled().len();
        let read = Pin::new(&mut wire.stream).poll_read(cx, buf);
        let came = buf.filled().len() - before;
        let mut state = wire.link.lock();
        match &read {
            Poll::Ready(Ok(())) if came > 0 => {
                let (_, length) = state.answer.unwrap_or((Instant::now(), 0));
                state.answer = Some((Instant::now(), length + came));
                if state.idle_since.is_some() {
                    state.why.get_or_insert("more_than_asked");
                } else if length + came > MOST_ANSWER {
                    state.why.get_or_insert("endless");
                    return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
                }
            }
            Poll::Ready(Ok(())) => {
                state.why.get_or_insert("closed_by_backend");
            }
            Poll::Ready(Err(_)) => {
                state.why.get_or_insert("reset_by_backend");
            }
            Poll::Pending => {
                state.reader = Some(cx.waker().clone());
                let (until, why) = match (state.idle_since, state.answer) {
                    // An end of input is what makes the client let go of a connection that rests.
                    (Some(_), _) if state.why.is_some() => return Poll::Ready(Ok(())),
                    (Some(since), _) => (since + wire.idle, "idle"),
                    (None, Some((came, _))) if !state.flows => (came + wire.patience, "endless"),
                    (None, _) => return read,
                };
                wire.ends.as_mut().reset(until);
                if wire.ends.as_mut().poll(cx).is_ready() {
                    state.why.get_or_insert(why);
                    return match why {
                        "idle" => Poll::Ready(Ok(())),
                        _ => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
                    };
                }
            }
        }
        read
    }
}

impl Wire {
    /// Before an execution's first byte: whatever came behind the last answer would pass for this one's,
    /// and what the other side has closed takes no more. The client may not have been told of either yet.
    fn fit(&self) -> io::Result<()> {
        let mut state = self.link.lock();
        // It may be given on before it is said to rest: then only the last answer tells that this one is new.
        if state.idle_since.is_none() && state.answer.is_none() {
            return Ok(());
        }
        state.written = 0;
        let found = match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(wrong) if wrong.kind() == io::ErrorKind::WouldBlock => None,
            Ok(0) => Some("closed_by_backend"),
            Ok(_) => Some("more_than_asked"),
            Err(_) => Some("reset_by_backend"),
        };
        // Looked at last thing before the first byte: the process may have slept since the query was taken.
        let found = found.or_else(|| {
            let may = self.right.as_ref().is_none_or(SendPermission::is_valid);
            (!may).then_some("cut_off")
        });
        // News may have come since the query was decided, or since this connection was begun.
        let open = || self.places.open(self.link.backend) == Some(self.address);
        let found = found.or_else(|| (!open()).then_some("out_of_bounds"));
        if let Some(found) = found {
            state.why.get_or_insert(found);
        }
        if state.why.is_some() {
            state.idle_since.get_or_insert_with(Instant::now);
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        state.idle_since = None;
        state.executions += 1;
        (state.answer, state.flows) = (None, false);
        Ok(())
    }

    fn wrote(&mut self, cx: &mut Context<'_>, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let written = self.stall.wrote(cx, written);
        let mut state = self.link.lock();
        match &written {
            Poll::Ready(Ok(length)) => state.written += length,
            Poll::Ready(Err(_)) => {
                state.why.get_or_insert("reset_by_backend");
            }
            Poll::Pending => {}
        }
        written
    }
}

impl AsyncWrite for Wire {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.fit()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.wrote(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.fit()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.wrote(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Drop for Wire {
    fn drop(&mut self) {
        self.links.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.number);
        let state = self.link.lock();
        // The client may let go of an idle one before it ends itself.
        let ended = if state.idle_since.is_some() { "idle" } else { "given_up" };
        tracing::info!(
            code = state.why.unwrap_or(ended),
            address = %self.address,
            executions = state.executions,
            open_ms = self.opened.elapsed().as_millis() as u64,
            "backend connection ended"
        );
    }
}
