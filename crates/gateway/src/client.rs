//! A client connection as driven by hyper, and its state.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use crankpick_configuration::ClientLimits;
use crankpick_http::framing::Framing;
use crankpick_http::stream::poll_write;
use crankpick_http::write_timeout::WriteTimeout;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::keep_alive::enforced_idle_timeout;
use crate::lingering_close::has_unread;

/// Write timeout against clients that do not read their responses.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(8);

/// Time within which the first request of a new connection is expected: clients send it right after
/// connecting.
const FIRST_REQUEST_WINDOW: Duration = Duration::from_secs(1);

/// Idle state of a connection between two requests.
#[derive(Clone, Copy)]
struct IdleState {
    /// When the connection became idle; `None` while a request is in flight.
    since: Option<Instant>,
    /// Idle time announced to the client by the last response.
    announced: Option<Duration>,
}

/// A client connection.
pub(crate) struct Client {
    pub stream: TcpStream,
    /// Notified when the connection is to be closed to make room.
    pub evicted: Notify,
    accepted: Instant,
    request_seen: AtomicBool,
    evict_requested: AtomicBool,
    /// Whether the connection closes as soon as no request is in flight.
    closing: AtomicBool,
    /// Whether part of a response could not be written yet.
    write_pending: AtomicBool,
    idle_state: Mutex<IdleState>,
    framing: Mutex<Framing>,
}

impl Client {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Client {
            stream,
            evicted: Notify::new(),
            accepted: Instant::now(),
            request_seen: AtomicBool::new(false),
            evict_requested: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            write_pending: AtomicBool::new(false),
            idle_state: Mutex::new(IdleState { since: Some(Instant::now()), announced: None }),
            framing: Mutex::new(Framing::new()),
        }
    }

    pub fn framing(&self) -> MutexGuard<'_, Framing> {
        self.framing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn idle_since(&self) -> Option<Instant> {
        self.idle_state().since
    }

    fn idle_state(&self) -> MutexGuard<'_, IdleState> {
        self.idle_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the idle time announced by a response; `None` if it announces the close.
    pub fn set_announced_idle(&self, announced: Option<Duration>) {
        self.idle_state().announced = announced;
    }

    /// Whether the connection is idle and its client may still expect it to be open.
    pub fn is_within_announced_idle(&self) -> bool {
        let idle_state = *self.idle_state();
        idle_state
            .since
            .zip(idle_state.announced)
            .is_some_and(|(since, announced)| since.elapsed() < announced)
    }

    /// Whether a request was read that has no response, and no earlier response announced the close.
    pub fn is_unanswered(&self) -> bool {
        let idle_state = *self.idle_state();
        idle_state.since.is_none()
            || (idle_state.announced.is_some() && self.framing().next_request().is_some())
    }

    /// Marks a request as in flight.
    pub fn request_started(&self) {
        self.request_seen.store(true, Ordering::Relaxed);
        self.idle_state().since = None;
    }

    /// Marks the request as finished, which starts the idle time.
    pub fn request_finished(&self) {
        self.idle_state().since = Some(Instant::now());
    }

    pub fn has_sent_request(&self) -> bool {
        self.request_seen.load(Ordering::Relaxed)
    }

    /// Whether the first request may still be in transit.
    pub fn awaits_first_request(&self) -> bool {
        !self.has_sent_request() && self.accepted.elapsed() < FIRST_REQUEST_WINDOW
    }

    /// Requests once that the connection be closed to make room.
    pub fn evict(&self) {
        if !self.evict_requested.swap(true, Ordering::Relaxed) {
            self.evicted.notify_one();
        }
    }

    pub fn is_evicted(&self) -> bool {
        self.evict_requested.load(Ordering::Relaxed)
    }

    /// Closes the connection as soon as no request is in flight.
    pub fn close_after_request(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    /// Whether the connection closes after the response to the current request.
    pub fn is_closing(&self) -> bool {
        self.is_evicted() || self.closing.load(Ordering::Relaxed)
    }

    /// When the client will have exceeded the header or idle timeout; `None` while a request is in flight.
    pub fn deadline(&self, limits: &ClientLimits) -> Option<Instant> {
        let idle_state = *self.idle_state();
        let since = idle_state.since.filter(|_| !self.has_pending_write())?;
        let head = self.framing().head_since();
        let idle_limit = enforced_idle_timeout(idle_state.announced, limits.idle_timeout);
        Some(head.map_or(since + idle_limit, |head| head + limits.header_timeout))
    }

    /// Whether no request is in flight or partially read, and the socket holds no data that hyper has not
    /// seen.
    pub fn is_quiescent(&self) -> bool {
        let idle = self.idle_since().is_some() && !self.has_pending_write();
        idle && self.framing().head_since().is_none() && !has_unread(&self.stream)
    }

    /// Whether part of a response could not be written yet.
    pub fn has_pending_write(&self) -> bool {
        self.write_pending.load(Ordering::Relaxed)
    }

    /// Makes the connection end with a reset, because an orderly close could make a truncated response look
    /// complete.
    pub fn reset(&self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// The byte stream of a client connection.
pub(crate) struct ClientStream {
    client: Arc<Client>,
    stall: WriteTimeout,
}

impl ClientStream {
    pub fn new(client: Arc<Client>) -> Self {
        ClientStream { client, stall: WriteTimeout::new(WRITE_STALL_TIMEOUT) }
    }

    fn write(
        &mut self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let written = poll_write(&self.client.stream, cx, write);
        let written = self.stall.check(cx, written);
        let was_pending = self.client.write_pending.swap(written.is_pending(), Ordering::Relaxed);
        if was_pending && written.is_ready() && self.client.idle_since().is_some() {
            // The idle time starts once the pending data has been written.
            self.client.request_finished();
        }
        written
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let client = &self.client;
        loop {
            std::task::ready!(client.stream.poll_read_ready(cx))?;
            match client.stream.try_read(buf.initialize_unfilled()) {
                Ok(length) => {
                    let received = &buf.initialize_unfilled()[..length];
                    client.framing().feed(received, Instant::now());
                    buf.advance(length);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for ClientStream {
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
        // Written data is in the kernel, which does not hold it back.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.client.stream).shutdown(Shutdown::Write))
    }
}
