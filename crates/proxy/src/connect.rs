//! Backend connections for the hyper-util client. Each tracks what was written since it was last idle, is
//! checked before reuse, closes itself before the backend would or when a response doesn't end, and writes one
//! log line when it ends.

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
use crankpick_http::write_timeout::WriteTimeout;
use hyper::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout_at, Instant, Sleep};

use crate::bodies::MAX_BODY;
use crate::endpoints::Endpoints;
use crate::permits::cede_half;

/// Opens connections within a budget; when it is exhausted the connection idle for longest is closed.
#[derive(Clone)]
pub struct Connector {
    budget: Arc<Semaphore>,
    connections: Arc<Mutex<BTreeMap<u64, Arc<TrackedConnection>>>>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    /// Set in a fleet: until when anything may be sent.
    right: Option<SendPermission>,
    pub endpoints: Arc<Endpoints>,
}

/// Maximum size of a response: body, head and any preceding 1xx responses.
const MAX_ANSWER: usize = MAX_BODY as usize + (8 << 20);
/// How long a backend may accept no bytes of a request.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(4);
/// ENFILE and EMFILE.
const OUT_OF_DESCRIPTORS: [i32; 2] = [23, 24];

/// Error of a connection that was not attempted because no descriptor was available: not the backend's fault.
#[derive(Debug)]
pub struct OverBudget;

impl std::fmt::Display for OverBudget {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("no file descriptor available")
    }
}

impl std::error::Error for OverBudget {}

/// State of one connection, shared by the I/O object inside the client and the query that uses it.
pub struct TrackedConnection {
    backend: u32,
    state: Mutex<State>,
}

struct State {
    /// None from the first byte of an execution until its response was read completely.
    idle_since: Option<Instant>,
    written: usize,
    executions: u64,
    /// When the latest bytes of the current response arrived, and how many have arrived in total.
    answer: Option<(Instant, usize)>,
    /// Whether the response is streamed: then its reader bounds how long it may pause.
    streaming: bool,
    end_reason: Option<&'static str>,
    reader: Option<Waker>,
}

impl State {
    /// Makes the reading task check again whether the connection should end.
    fn wake(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

impl TrackedConnection {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of the current execution, to be passed to `set_idle`.
    pub fn execution(&self) -> u64 {
        self.lock().executions
    }

    /// Marks the response as read completely. The client may have reused the connection before this call: then
    /// another execution has begun and nothing changes.
    pub fn set_idle(&self, execution: u64) {
        let mut state = self.lock();
        if state.executions == execution {
            state.idle_since = Some(Instant::now());
            state.written = 0;
            (state.answer, state.streaming) = (None, false);
            state.wake();
        }
    }

    pub fn set_streaming(&self) {
        self.lock().streaming = true;
    }

    /// Whether a pooled connection was found unusable before any byte of this request was written: then the
    /// request can safely be sent on another connection.
    pub fn unusable_before_use(&self) -> bool {
        let state = self.lock();
        state.idle_since.is_some() && state.executions > 0
    }

    /// Whether a byte of the current request was written.
    pub fn begun(&self) -> bool {
        self.lock().idle_since.is_none()
    }

    /// Whether the connection has carried executions before this one.
    pub fn reused(&self) -> bool {
        self.lock().executions > 1
    }

    /// Whether no byte of a response has arrived.
    pub fn has_no_answer(&self) -> bool {
        self.lock().answer.is_none()
    }

    /// Whether a request with a body of this length certainly was not written completely. The head counts too,
    /// but its length is unknown here, so only the body's length is compared.
    pub fn wrote_less_than(&self, body: usize) -> bool {
        let state = self.lock();
        state.idle_since.is_some() || state.written <= body
    }
}

impl Connector {
    pub fn new(
        budget: usize,
        connect_timeout: Duration,
        idle_timeout: Duration,
        right: Option<SendPermission>,
    ) -> Self {
        let (budget, connections, endpoints) =
            (Arc::new(Semaphore::new(budget)), Arc::default(), Arc::default());
        Connector { budget, connections, connect_timeout, idle_timeout, right, endpoints }
    }

    pub fn connect_timeout(&self) -> Duration {
        self.connect_timeout
    }

    pub fn may_send(&self) -> bool {
        self.right.as_ref().is_none_or(SendPermission::is_valid)
    }

    /// Closes all connections to this backend; none is used again.
    pub fn close_all(&self, backend: u32) {
        let connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        for connection in connections.values().filter(|connection| connection.backend == backend) {
            let mut state = connection.lock();
            state.end_reason.get_or_insert("backend_gone");
            state.wake();
        }
    }

    /// While another process runs, each process has half of the budget.
    pub async fn share_with(&self, others: watch::Receiver<usize>, budget: usize) {
        cede_half(others, Arc::clone(&self.budget), budget, || self.close_longest_idle()).await;
    }

    fn close_longest_idle(&self) {
        let connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = connections.values().filter_map(|connection| {
            let state = connection.lock();
            state.idle_since.filter(|_| state.end_reason.is_none()).map(|since| (since, connection))
        });
        if let Some((_, connection)) = idle.min_by_key(|(since, _)| *since) {
            let mut state = connection.lock();
            state.end_reason = Some("over_budget");
            state.wake();
        }
    }

    async fn open(
        self,
        backend: u32,
        address: SocketAddr,
    ) -> Result<BackendStream, Box<dyn std::error::Error + Send + Sync>> {
        // One deadline covers both waits: the backend may be drained meanwhile.
        let until = Instant::now() + self.connect_timeout;
        let spare = Arc::clone(&self.budget).try_acquire_owned();
        let permit = match spare {
            Ok(permit) => permit,
            Err(_) => {
                self.close_longest_idle();
                let freed = timeout_at(until, self.budget.acquire_owned()).await;
                freed.map_err(|_| OverBudget)?.map_err(|_| OverBudget)?
            }
        };
        let opened = timeout_at(until, TcpStream::connect(address)).await;
        let stream = opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())).map_err(|error| {
            tracing::info!(code = "backend_unreachable", %address, "{error}");
            if OUT_OF_DESCRIPTORS.iter().any(|code| error.raw_os_error() == Some(*code)) {
                return OverBudget.into();
            }
            Box::<dyn std::error::Error + Send + Sync>::from(error)
        })?;
        stream.set_nodelay(true)?;
        let state = State {
            idle_since: Some(Instant::now()),
            written: 0,
            executions: 0,
            answer: None,
            streaming: false,
            end_reason: None,
            reader: None,
        };
        let connection = Arc::new(TrackedConnection { backend, state: Mutex::new(state) });
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let number = connections.last_key_value().map_or(0, |(last, _)| last + 1);
        connections.insert(number, Arc::clone(&connection));
        drop(connections);
        Ok(BackendStream {
            stream,
            write_timeout: WriteTimeout::new(WRITE_STALL_TIMEOUT),
            connection,
            number,
            connections: self.connections,
            address,
            opened: Instant::now(),
            idle_timeout: self.idle_timeout,
            max_pause: self.connect_timeout,
            idle_timer: Box::pin(sleep(self.idle_timeout)),
            right: self.right,
            endpoints: self.endpoints,
            _permit: permit,
        })
    }
}

impl tower_service::Service<Uri> for Connector {
    type Response = TokioIo<BackendStream>;
    type Error = Box<dyn std::error::Error + Send + Sync>;
    type Future = Pin<Box<dyn Future<Output = Result<TokioIo<BackendStream>, Self::Error>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connector = self.clone();
        Box::pin(async move {
            let authority = uri.authority().map_or("", |authority| authority.as_str());
            let (backend, address) = authority.split_once('@').ok_or("authority without a backend number")?;
            let backend = backend.split_once('-').map_or(backend, |(backend, _)| backend);
            connector.open(backend.parse()?, address.parse()?).await.map(TokioIo::new)
        })
    }
}

pub struct BackendStream {
    stream: TcpStream,
    write_timeout: WriteTimeout,
    connection: Arc<TrackedConnection>,
    number: u64,
    connections: Arc<Mutex<BTreeMap<u64, Arc<TrackedConnection>>>>,
    address: SocketAddr,
    opened: Instant,
    idle_timeout: Duration,
    /// How long a response that has begun may pause: a few round trips, the same as opening a connection.
    max_pause: Duration,
    idle_timer: Pin<Box<Sleep>>,
    right: Option<SendPermission>,
    endpoints: Arc<Endpoints>,
    _permit: OwnedSemaphorePermit,
}

impl Connection for BackendStream {
    fn connected(&self) -> Connected {
        Connected::new().extra(Arc::clone(&self.connection))
    }
}

impl AsyncRead for BackendStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let before = buf.filled().len();
        let read = Pin::new(&mut this.stream).poll_read(cx, buf);
        let received = buf.filled().len() - before;
        let mut state = this.connection.lock();
        match &read {
            Poll::Ready(Ok(())) if received > 0 => {
                let (_, length) = state.answer.unwrap_or((Instant::now(), 0));
                state.answer = Some((Instant::now(), length + received));
                if state.idle_since.is_some() {
                    state.end_reason.get_or_insert("more_than_asked");
                } else if length + received > MAX_ANSWER {
                    state.end_reason.get_or_insert("endless");
                    return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
                }
            }
            Poll::Ready(Ok(())) => {
                state.end_reason.get_or_insert("closed_by_backend");
            }
            Poll::Ready(Err(_)) => {
                state.end_reason.get_or_insert("reset_by_backend");
            }
            Poll::Pending => {
                state.reader = Some(cx.waker().clone());
                let (until, end_reason) = match (state.idle_since, state.answer) {
                    // Reporting the end of input makes the client drop an idle connection.
                    (Some(_), _) if state.end_reason.is_some() => return Poll::Ready(Ok(())),
                    (Some(since), _) => (since + this.idle_timeout, "idle"),
                    (None, Some((received, _))) if !state.streaming => (received + this.max_pause, "endless"),
                    (None, _) => return read,
                };
                this.idle_timer.as_mut().reset(until);
                if this.idle_timer.as_mut().poll(cx).is_ready() {
                    state.end_reason.get_or_insert(end_reason);
                    return match end_reason {
                        "idle" => Poll::Ready(Ok(())),
                        _ => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
                    };
                }
            }
        }
        read
    }
}

impl BackendStream {
    /// Checks the connection before the first byte of an execution: bytes that follow the last response would
    /// be taken for this one's, and a connection closed by the other side accepts no request. The client may
    /// not have noticed either yet.
    fn check_reusable(&self) -> io::Result<()> {
        let mut state = self.connection.lock();
        // The connection may be reused before `set_idle`: then only the previous response shows that this
        // request is a new one.
        if state.idle_since.is_none() && state.answer.is_none() {
            return Ok(());
        }
        state.written = 0;
        let reason = match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => None,
            Ok(0) => Some("closed_by_backend"),
            Ok(_) => Some("more_than_asked"),
            Err(_) => Some("reset_by_backend"),
        };
        // Checked directly before the first byte: the process may have been suspended since the query was
        // accepted.
        let reason = reason.or_else(|| {
            let may = self.right.as_ref().is_none_or(SendPermission::is_valid);
            (!may).then_some("cut_off")
        });
        // The list may have changed since the query was decided, or since this connection was opened.
        let open = || self.endpoints.available_address(self.connection.backend) == Some(self.address);
        let reason = reason.or_else(|| (!open()).then_some("out_of_bounds"));
        if let Some(reason) = reason {
            state.end_reason.get_or_insert(reason);
        }
        if state.end_reason.is_some() {
            state.idle_since.get_or_insert_with(Instant::now);
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        state.idle_since = None;
        state.executions += 1;
        (state.answer, state.streaming) = (None, false);
        Ok(())
    }

    fn wrote(&mut self, cx: &mut Context<'_>, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let written = self.write_timeout.check(cx, written);
        let mut state = self.connection.lock();
        match &written {
            Poll::Ready(Ok(length)) => state.written += length,
            Poll::Ready(Err(_)) => {
                state.end_reason.get_or_insert("reset_by_backend");
            }
            Poll::Pending => {}
        }
        written
    }
}

impl AsyncWrite for BackendStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.check_reusable()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.wrote(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_reusable()?;
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

impl Drop for BackendStream {
    fn drop(&mut self) {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.number);
        let state = self.connection.lock();
        // The client may drop an idle connection before it closes itself.
        let ended = if state.idle_since.is_some() { "idle" } else { "given_up" };
        tracing::info!(
            code = state.end_reason.unwrap_or(ended),
            address = %self.address,
            executions = state.executions,
            open_ms = self.opened.elapsed().as_millis() as u64,
            "backend connection ended"
        );
    }
}
