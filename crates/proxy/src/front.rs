//! Accepts and serves client connections, within a budget of descriptors, until the process ends.

use std::collections::BTreeMap;
use std::error::Error;
use std::future::poll_fn;
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use axum::body::Body;
use axum::extract::State;
use axum::http::header::CONNECTION;
use axum::http::{HeaderValue, Request, StatusCode};
use axum::routing::any;
use axum::Router;
use bytes::BytesMut;
use crankpick_http::body::Guarded;
use crankpick_http::framing::Framing;
use crankpick_http::stream::{linger, poll_write};
use crankpick_http::write_timeout::WriteTimeout;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, sleep_until, Instant};
use tower_service::Service;

use crate::lifecycle::{Lifecycle, LifecycleController, ACCEPT_AFTER_TERM};
use crate::permits::cede_half;
use crate::query::{answer, plain, Proxy};

/// Timeout for clients that connect and send nothing.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Idle timeout between requests, against clients that keep a connection forever. Not shorter, as closing may
/// race with a request; when there are many connections, idle ones are closed to make room.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Timeout for incomplete request heads; the first one counts from the opening and gets a little longer.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_500);
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_millis(2_800);
/// Timeout for clients that don't read their responses.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval at which a closing connection is checked again while unread bytes are in its socket.
const CLOSE_RETRY: Duration = Duration::from_millis(20);
/// Clients send their first request right after connecting: a connection without one after this time is the
/// first to be closed to make room.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(5);
/// Number of connections closed together to make room.
const CLOSE_BATCH: usize = 4;
/// Maximum buffer of a connection: heads are small, and many connections share the memory.
const MAX_BUFFER: usize = 32 << 10;
/// Limits on reading ahead of the request in flight, which is done only to detect whether its client is still
/// connected: bytes per connection, and the fraction of the memory for all connections together.
const MAX_READ_AHEAD: usize = 256 << 10;
const READ_AHEAD_DIVISOR: usize = 16;
const READ_CHUNK: usize = 4 << 10;

pub fn router(proxy: Arc<Proxy>, controller: LifecycleController) -> Router {
    let ready = |State(controller): State<LifecycleController>| async move {
        match controller.ready() {
            Ok(()) => plain(StatusCode::OK, "ready"),
            Err(why) => plain(StatusCode::SERVICE_UNAVAILABLE, &why),
        }
    };
    let ready = any(ready).with_state(controller);
    Router::new().route("/-/ready", ready).fallback(answer).with_state(proxy)
}

/// State of an open connection.
struct Client {
    opened: Instant,
    /// None while a request is in flight.
    idle_since: Mutex<Option<Instant>>,
    has_requested: AtomicBool,
    evicted: AtomicBool,
    /// Whether part of a response is still waiting to be written.
    write_pending: AtomicBool,
    /// Whether to close as soon as nothing is in flight and the socket holds no unread bytes.
    closing: AtomicBool,
    evict: Notify,
    framing: Mutex<Framing>,
    stream: TcpStream,
    ahead: Mutex<ReadAhead>,
    /// Bytes that all connections together may still read ahead.
    read_ahead_budget: Arc<AtomicUsize>,
}

/// Bytes received after the request in flight. hyper stops reading while it holds bytes of the next request, so
/// a client's disconnect behind them would not be noticed until the request in flight ends.
#[derive(Default)]
struct ReadAhead {
    bytes: BytesMut,
    /// The client has closed or reset the connection.
    ended: bool,
    /// hyper is waiting for input and will see the end itself.
    awaited: bool,
}

impl Drop for Client {
    fn drop(&mut self) {
        let length = self.ahead().bytes.len();
        self.read_ahead_budget.fetch_add(length, Ordering::Relaxed);
    }
}

impl Client {
    fn idle(&self) -> Option<Instant> {
        *self.idle_since.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_idle(&self, since: Option<Instant>) {
        *self.idle_since.lock().unwrap_or_else(PoisonError::into_inner) = since;
    }

    fn framing(&self) -> MutexGuard<'_, Framing> {
        self.framing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn may_read_ahead(&self, ahead: &ReadAhead) -> bool {
        ahead.bytes.len() < MAX_READ_AHEAD && self.read_ahead_budget.load(Ordering::Relaxed) >= READ_CHUNK
    }

    fn ahead(&self) -> MutexGuard<'_, ReadAhead> {
        self.ahead.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads beyond what hyper has read, as far as there are bytes and room, to detect whether the client
    /// disconnected.
    fn read_ahead(&self, mut read: impl FnMut(&mut [u8]) -> io::Result<usize>) -> MutexGuard<'_, ReadAhead> {
        let (mut ahead, mut part) = (self.ahead(), [0; READ_CHUNK]);
        while !ahead.ended && self.may_read_ahead(&ahead) {
            match read(&mut part) {
                Ok(0) => ahead.ended = true,
                Ok(length) => {
                    self.framing().feed(&part[..length], Instant::now());
                    ahead.bytes.extend_from_slice(&part[..length]);
                    self.read_ahead_budget.fetch_sub(length, Ordering::Relaxed);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => ahead.ended = true,
            }
        }
        ahead
    }

    /// Whether the client has disconnected according to the kernel: the runtime may not have been notified yet.
    fn disconnected(&self) -> bool {
        self.read_ahead(|part| (&*SockRef::from(&self.stream)).read(part)).ended
    }

    /// Completes when the client disconnects at a time when hyper would not notice. Must be polled after hyper,
    /// in the same task.
    fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.idle().is_some() || self.ahead().awaited {
            return Poll::Pending;
        }
        while self.may_read_ahead(&self.ahead()) {
            let _ = std::task::ready!(self.stream.poll_read_ready(cx));
            if self.read_ahead(|part| self.stream.try_read(part)).ended {
                return Poll::Ready(());
            }
        }
        Poll::Pending
    }

    /// Detects a disconnect when the read-ahead limit is reached and only the socket's state is left to check.
    async fn socket_closed(&self) {
        loop {
            sleep(CLOSE_RETRY).await;
            let ready = self.stream.ready(Interest::READABLE).await;
            let broken = SockRef::from(&self.stream).take_error();
            if ready.is_ok_and(|ready| ready.is_read_closed()) || !matches!(broken, Ok(None)) {
                return;
            }
        }
    }

    /// When the client will have been silent, or its request head incomplete, for too long; None while a query
    /// is in flight.
    fn silence_deadline(&self) -> Option<Instant> {
        let since = self.idle().filter(|_| !self.write_pending.load(Ordering::Relaxed))?;
        let head = self.framing().head_since();
        let (rest, most) = match self.has_requested.load(Ordering::Relaxed) {
            true => (IDLE_TIMEOUT, None),
            false => (FIRST_REQUEST_TIMEOUT, Some(self.opened + FIRST_HEAD_TIMEOUT)),
        };
        let until = head.map_or(since + rest, |head| head + HEAD_TIMEOUT);
        Some(most.map_or(until, |most| until.min(most)))
    }
}

/// Attached to a response body: marks the client as idle once the body was sent.
struct IdleOnDrop(Arc<Client>);

impl Drop for IdleOnDrop {
    fn drop(&mut self) {
        self.0.set_idle(Some(Instant::now()));
    }
}

#[derive(Default)]
struct Clients {
    open: Mutex<BTreeMap<u64, Arc<Client>>>,
}

impl Clients {
    /// Closes a few connections at once, since new ones arrive by the hundreds: first those that never sent a
    /// request, except the youngest, which may be about to; then those idle for longest.
    fn close_some_idle(&self) {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = open.values().filter(|client| !client.evicted.load(Ordering::Relaxed));
        let idle = idle.filter_map(|client| {
            client.idle().map(|since| (client.has_requested.load(Ordering::Relaxed), since, client))
        });
        let mut idle: Vec<_> = idle
            .filter(|(has_requested, since, _)| *has_requested || since.elapsed() > FIRST_REQUEST_GRACE)
            .collect();
        idle.sort_by_key(|(has_requested, since, _)| (*has_requested, *since));
        for (_, _, client) in idle.into_iter().take(CLOSE_BATCH) {
            client.evicted.store(true, Ordering::Relaxed);
            client.evict.notify_one();
        }
    }
}

/// I/O of a client connection; fails when no byte of a response can be written for too long.
struct ClientIo {
    write_timeout: WriteTimeout,
    client: Arc<Client>,
}

impl ClientIo {
    /// Whether to close now. The socket may hold a request that the runtime has not been notified of,
    /// especially after the process was suspended: it is accepted, as closing the connection would lose it.
    fn should_close(&self) -> bool {
        let overdue = || self.client.silence_deadline().is_some_and(|until| until <= Instant::now());
        let rests = || {
            let idle = self.client.idle().is_some() && !self.client.write_pending.load(Ordering::Relaxed);
            idle && (self.client.framing().head_since().is_none() || overdue())
        };
        let empty = || {
            let looked = SockRef::from(&self.client.stream).peek(&mut [MaybeUninit::uninit()]);
            self.client.ahead().bytes.is_empty() && !matches!(looked, Ok(1..))
        };
        self.client.closing.load(Ordering::Relaxed) && rests() && empty()
    }

    fn wrote<T>(&mut self, cx: &mut Context<'_>, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        let written = self.write_timeout.check(cx, written);
        let was_pending = self.client.write_pending.swap(written.is_pending(), Ordering::Relaxed);
        if was_pending && written.is_ready() && self.client.idle().is_some() {
            // Its idle time begins once all output is written.
            self.client.set_idle(Some(Instant::now()));
        }
        written
    }
}

impl AsyncRead for ClientIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let client = &self.client;
        let mut ahead = client.ahead();
        ahead.awaited = false;
        if !ahead.bytes.is_empty() {
            let length = ahead.bytes.len().min(buf.remaining());
            buf.put_slice(&ahead.bytes.split_to(length));
            client.read_ahead_budget.fetch_add(length, Ordering::Relaxed);
            return Poll::Ready(Ok(()));
        } else if ahead.ended {
            return Poll::Ready(Ok(()));
        }
        drop(ahead);
        loop {
            let read = match client.stream.poll_read_ready(cx)? {
                Poll::Ready(()) => client.stream.try_read(buf.initialize_unfilled()),
                Poll::Pending if self.should_close() => {
                    // Reporting the end of input makes hyper close an idle connection.
                    return Poll::Ready(Ok(()));
                }
                Poll::Pending => {
                    client.ahead().awaited = true;
                    return Poll::Pending;
                }
            };
            match read {
                Ok(length) => {
                    let came = &buf.initialize_unfilled()[..length];
                    client.framing().feed(came, Instant::now());
                    buf.advance(length);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl ClientIo {
    fn write(
        &mut self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let written = poll_write(&self.client.stream, cx, write);
        self.wrote(cx, written)
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.write(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // All written bytes are already in the kernel.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.client.stream).shutdown(Shutdown::Write))
    }
}

/// Accepts connections until the process ends and a little longer, then waits for all of them to end. Above
/// `early_close_above` open connections idle ones are closed early: a connection-level load balancer may count
/// unused connections like active ones.
pub async fn run(
    listener: TcpListener,
    router: Router,
    budget: usize,
    early_close_above: usize,
    memory: usize,
    lifecycle: watch::Receiver<Lifecycle>,
    others: watch::Receiver<usize>,
) {
    let read_ahead_budget = Arc::new(AtomicUsize::new(memory / READ_AHEAD_DIVISOR));
    let clients = Arc::new(Clients::default());
    let permits = Arc::new(Semaphore::new(budget));
    let share_permits = {
        let clients = Arc::clone(&clients);
        cede_half(others.clone(), Arc::clone(&permits), budget, move || clients.close_some_idle())
    };
    let share_permits = tokio::spawn(share_permits);
    let mut number = 0;
    let mut watched = lifecycle.clone();
    let mut stop_accepting = Box::pin(async {
        let _ = watched.wait_for(|lifecycle| matches!(lifecycle, Lifecycle::Ending(_))).await;
        // Another process that accepts from the same socket takes all connections from now on.
        if *others.borrow() == 0 {
            sleep(ACCEPT_AFTER_TERM).await;
        }
    });
    let mut serve = |stream: TcpStream, address: SocketAddr, permit: OwnedSemaphorePermit| {
        if budget.saturating_sub(permits.available_permits()) > early_close_above {
            clients.close_some_idle();
        }
        number += 1;
        let client = Arc::new(Client {
            opened: Instant::now(),
            idle_since: Mutex::new(Some(Instant::now())),
            has_requested: AtomicBool::new(false),
            evicted: AtomicBool::new(false),
            write_pending: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            evict: Notify::new(),
            framing: Mutex::new(Framing::new()),
            stream,
            ahead: Mutex::default(),
            read_ahead_budget: Arc::clone(&read_ahead_budget),
        });
        clients.open.lock().unwrap_or_else(PoisonError::into_inner).insert(number, Arc::clone(&client));
        let (clients, router, lifecycle) = (Arc::clone(&clients), router.clone(), lifecycle.clone());
        tokio::spawn(async move {
            let opened = Instant::now();
            let code = serve_connection(&client, router, lifecycle).await;
            clients.open.lock().unwrap_or_else(PoisonError::into_inner).remove(&number);
            let open_ms = opened.elapsed().as_millis() as u64;
            tracing::info!(code, %address, open_ms, "client connection ended");
            match code {
                // An orderly close would tell an HTTP/1.0 client that the truncated response is complete.
                "cut_off" => drop(SockRef::from(&client.stream).set_linger(Some(Duration::ZERO))),
                // Its descriptor is needed now, and its last response was sent long ago.
                "over_budget" => {}
                _ => linger(&client.stream).await,
            }
            drop(permit);
        });
    };
    loop {
        let accepted = tokio::select! {
            biased;
            () = &mut stop_accepting => break,
            accepted = accept(&listener, &permits, &clients) => accepted,
        };
        let (stream, address, permit) = accepted;
        serve(stream, address, permit);
    }
    // Connections in the kernel's accept queue would be reset when the listener closes, unless another process
    // accepts them.
    if let Some(last) = listener.into_std().ok().filter(|_| *others.borrow() == 0) {
        while let Ok(permit) = Arc::clone(&permits).try_acquire_owned() {
            let accepted = last.accept().and_then(|(stream, address)| {
                stream.set_nonblocking(true)?;
                Ok((TcpStream::from_std(stream)?, address))
            });
            let Ok((stream, address)) = accepted else { break };
            serve(stream, address, permit);
        }
    }
    share_permits.abort();
    let _ = share_permits.await;
    let _ = permits.acquire_many(budget as u32).await;
}

/// Accepts the next connection. Errors here are transient and must not end the loop.
async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
    clients: &Clients,
) -> (TcpStream, SocketAddr, OwnedSemaphorePermit) {
    loop {
        let permit = match Arc::clone(permits).try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                // Beyond the budget new connections wait in the kernel's queue until a permit is free.
                clients.close_some_idle();
                tokio::select! {
                    permit = Arc::clone(permits).acquire_owned() => match permit {
                        Ok(permit) => permit,
                        Err(_) => std::future::pending().await,
                    },
                    () = sleep(FIRST_REQUEST_GRACE) => continue,
                }
            }
        };
        match listener.accept().await {
            Ok((stream, address)) => return (stream, address, permit),
            Err(error) => {
                tracing::warn!(code = "accept_error", "{error}");
                clients.close_some_idle();
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// A request is dropped because its client has disconnected.
#[derive(Debug)]
struct Disconnected;

impl std::fmt::Display for Disconnected {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("the client has disconnected")
    }
}

impl Error for Disconnected {}

fn timed_out(error: &hyper::Error) -> bool {
    let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    source.is_some_and(|source| source.kind() == io::ErrorKind::TimedOut)
}

/// Serves one connection until it ends; returns the reason code.
async fn serve_connection(
    client: &Arc<Client>,
    router: Router,
    mut lifecycle: watch::Receiver<Lifecycle>,
) -> &'static str {
    let _ = client.stream.set_nodelay(true);
    let watched = lifecycle.clone();
    let service = service_fn(|mut request: Request<Incoming>| {
        if let Some(came) = client.framing().next_request() {
            request.extensions_mut().insert(came);
        }
        client.has_requested.store(true, Ordering::Relaxed);
        client.set_idle(None);
        let (mut router, watched) = (router.clone(), watched.clone());
        async move {
            // Don't start a request whose client disconnected behind it, or while it was waiting.
            if client.disconnected() {
                return Err(Disconnected);
            }
            // hyper may have polled for a body just before it arrived.
            if !client.ahead().bytes.is_empty() {
                tokio::task::yield_now().await;
            }
            let Ok(answer) = router.call(request).await;
            let mut answer = answer.map(|body| Body::new(Guarded::new(body, IdleOnDrop(Arc::clone(client)))));
            if watched.borrow().ready().is_err() || client.closing.load(Ordering::Relaxed) {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok(answer)
        }
    });
    let connection =
        http1::Builder::new().header_read_timeout(None).max_buf_size(MAX_BUFFER).serve_connection(
            TokioIo::new(ClientIo {
                write_timeout: WriteTimeout::new(WRITE_STALL_TIMEOUT),
                client: Arc::clone(client),
            }),
            service,
        );
    let mut connection = std::pin::pin!(connection);
    let (mut code, mut closing) = (None, false);
    loop {
        let close = lifecycle.borrow_and_update().close_at(client.opened);
        // A closing connection ends by itself unless its socket holds unread bytes.
        let soon = Instant::now()
            + if client.closing.load(Ordering::Relaxed) { CLOSE_RETRY } else { Duration::ZERO };
        let deadline =
            client.silence_deadline().unwrap_or_else(|| Instant::now() + FIRST_REQUEST_TIMEOUT).max(soon);
        let (close_at, why) = close.unwrap_or((client.opened, "closed_by_client"));
        let full = !client.may_read_ahead(&client.ahead());
        tokio::select! {
            biased;
            ended = connection.as_mut() => {
                return match ended {
                    Ok(()) => code.unwrap_or(why),
                    Err(_) if client.ahead().ended => "client_gone",
                    Err(error) if error.is_parse() => "not_http",
                    Err(error) if error.is_user() => "cut_off",
                    Err(error) if timed_out(&error) => "unread",
                    Err(_) => code.unwrap_or("client_gone"),
                };
            }
            () = poll_fn(|cx| client.poll_disconnected(cx)) => return "client_gone",
            () = client.socket_closed(), if full && client.idle().is_none() => return "client_gone",
            Ok(()) = lifecycle.changed() => {}
            () = sleep_until(deadline) => {
                if client.silence_deadline().is_some_and(|until| until <= Instant::now()) {
                    code.get_or_insert("silent");
                    client.closing.store(true, Ordering::Relaxed);
                }
            }
            () = sleep_until(close_at), if close.is_some() && !closing => {
                closing = true;
                client.closing.store(true, Ordering::Relaxed);
            }
            () = client.evict.notified() => {
                code = Some("over_budget");
                client.closing.store(true, Ordering::Relaxed);
            }
        }
    }
}
