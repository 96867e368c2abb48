//! Connections to backends as hyper-util's client opens them. Each knows what was written on it since
//! it last rested, ends itself before the backend would, and leaves one log line.

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use hyper::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, Sleep};

/// Opens connections, no more at a time than its budget; where it is spent the longest idle one goes.
#[derive(Clone)]
pub struct Connector {
    budget: Arc<Semaphore>,
    links: Arc<Mutex<BTreeMap<u64, Arc<Link>>>>,
    timeout: Duration,
    idle: Duration,
}

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
    state: Mutex<State>,
}

struct State {
    /// None from an execution's first byte until its answer was read to the end.
    idle_since: Option<Instant>,
    written: usize,
    executions: u64,
    read_since: bool,
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
            state.wake();
        }
    }

    /// Whether a request with a body of this length can't have been written whole. Only what holds for
    /// sure counts: the head has some length too, but nobody knows how much of it a part was.
    pub fn wrote_less_than(&self, body: usize) -> bool {
        let state = self.lock();
        state.idle_since.is_some() || state.written <= body
    }
}

impl Connector {
    pub fn new(budget: usize, timeout: Duration, idle: Duration) -> Self {
        Connector { budget: Arc::new(Semaphore::new(budget)), links: Arc::default(), timeout, idle }
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

    async fn open(self, address: SocketAddr) -> Result<Wire, Box<dyn std::error::Error + Send + Sync>> {
        let spare = Arc::clone(&self.budget).try_acquire_owned();
        let permit = match spare {
            Ok(permit) => permit,
            Err(_) => {
                self.end_longest_idle();
                let freed = tokio::time::timeout(self.timeout, self.budget.acquire_owned()).await;
                freed.map_err(|_| OverBudget)?.map_err(|_| OverBudget)?
            }
        };
        let opened = tokio::time::timeout(self.timeout, TcpStream::connect(address)).await;
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
            read_since: true,
            why: None,
            reader: None,
        };
        let link = Arc::new(Link { state: Mutex::new(state) });
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let number = links.last_key_value().map_or(0, |(last, _)| last + 1);
        links.insert(number, Arc::clone(&link));
        drop(links);
        Ok(Wire {
            stream,
            link,
            number,
            links: self.links,
            address,
            opened: Instant::now(),
            idle: self.idle,
            idle_ends: Box::pin(tokio::time::sleep(self.idle)),
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
            let address = uri.authority().map_or("", |authority| authority.as_str()).parse()?;
            connector.open(address).await.map(TokioIo::new)
        })
    }
}

pub struct Wire {
    stream: TcpStream,
    link: Arc<Link>,
    number: u64,
    links: Arc<Mutex<BTreeMap<u64, Arc<Link>>>>,
    address: SocketAddr,
    opened: Instant,
    idle: Duration,
    idle_ends: Pin<Box<Sleep>>,
    _permit: OwnedSemaphorePermit,
}

impl Connection for Wire {
    fn connected(&self) -> Connected {
        Connected::new().extra(Arc::clone(&self.link))
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let wire = &mut *self;
        let before = buf.filled().len();
        let read = Pin::new(&mut wire.stream).poll_read(cx, buf);
        let mut state = wire.link.lock();
        match &read {
            Poll::Ready(Ok(())) if buf.filled().len() > before => state.read_since = true,
            Poll::Ready(Ok(())) => {
                state.why.get_or_insert("closed_by_backend");
            }
            Poll::Ready(Err(_)) => {
                state.why.get_or_insert("reset_by_backend");
            }
            Poll::Pending => {
                state.reader = Some(cx.waker().clone());
                let Some(since) = state.idle_since else { return read };
                // An end of input is what makes the client let go of a connection that rests.
                if state.why.is_some() {
                    return Poll::Ready(Ok(()));
                }
                wire.idle_ends.as_mut().reset(since + wire.idle);
                if wire.idle_ends.as_mut().poll(cx).is_ready() {
                    state.why = Some("idle");
                    return Poll::Ready(Ok(()));
                }
            }
        }
        read
    }
}

impl Wire {
    fn wrote(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let mut state = self.link.lock();
        match &written {
            Poll::Ready(Ok(length)) => {
                state.idle_since = None;
                if std::mem::take(&mut state.read_since) {
                    state.executions += 1;
                }
                state.written += length;
            }
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
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.wrote(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.wrote(written)
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
