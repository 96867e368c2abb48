//! A client's connection as hyper drives it, and what is known of it meanwhile.

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

use crate::keep_alive::kept_rest;
use crate::lingering_close::has_unread;

/// Against clients that don't read their answers.
const UNREAD: Duration = Duration::from_secs(8);

/// Within which the first request of a connection is on its way: who connects asks right away.
const FIRST_REQUEST: Duration = Duration::from_secs(1);

/// What a connection does between two requests.
#[derive(Clone, Copy)]
struct Rest {
    /// None while a request is in hand.
    since: Option<Instant>,
    /// How long its client was told by the last answer that it may rest.
    announced: Option<Duration>,
}

/// One connection of a client.
pub(crate) struct Client {
    pub stream: TcpStream,
    /// Told to end to make room.
    pub evicted: Notify,
    accepted: Instant,
    asked: AtomicBool,
    told_to_end: AtomicBool,
    /// Whether it ends as soon as no request is in hand.
    leaving: AtomicBool,
    /// Whether some of an answer could not be written yet.
    behind: AtomicBool,
    rest: Mutex<Rest>,
    framing: Mutex<Framing>,
}

impl Client {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Client {
            stream,
            evicted: Notify::new(),
            accepted: Instant::now(),
            asked: AtomicBool::new(false),
            told_to_end: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            behind: AtomicBool::new(false),
            rest: Mutex::new(Rest { since: Some(Instant::now()), announced: None }),
            framing: Mutex::new(Framing::new()),
        }
    }

    pub fn framing(&self) -> MutexGuard<'_, Framing> {
        self.framing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn idle_since(&self) -> Option<Instant> {
        self.rest().since
    }

    fn rest(&self) -> MutexGuard<'_, Rest> {
        self.rest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Its answer announces how long it may rest; none where it announces the end.
    pub fn announce_rest(&self, announced: Option<Duration>) {
        self.rest().announced = announced;
    }

    /// Whether it rests, and its client may still believe that it is kept.
    pub fn rests_as_announced(&self) -> bool {
        let rest = *self.rest();
        rest.since.zip(rest.announced).is_some_and(|(since, announced)| since.elapsed() < announced)
    }

    /// Whether a request that was read has no answer, and no answer before it announced the end.
    pub fn is_unanswered(&self) -> bool {
        let rest = *self.rest();
        rest.since.is_none() || (rest.announced.is_some() && self.framing().next_request().is_some())
    }

    /// A request is in hand.
    pub fn asks(&self) {
        self.asked.store(true, Ordering::Relaxed);
        self.rest().since = None;
    }

    /// Its answer is done with.
    pub fn answered(&self) {
        self.rest().since = Some(Instant::now());
    }

    pub fn has_asked(&self) -> bool {
        self.asked.load(Ordering::Relaxed)
    }

    /// Whether its first request may be on its way.
    pub fn is_new(&self) -> bool {
        !self.has_asked() && self.accepted.elapsed() < FIRST_REQUEST
    }

    /// Tells it once to end, to make room.
    pub fn evict(&self) {
        if !self.told_to_end.swap(true, Ordering::Relaxed) {
            self.evicted.notify_one();
        }
    }

    pub fn is_evicted(&self) -> bool {
        self.told_to_end.load(Ordering::Relaxed)
    }

    /// It ends as soon as no request is in hand.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether it ends behind the answer to the request in hand.
    pub fn is_leaving(&self) -> bool {
        self.is_evicted() || self.leaving.load(Ordering::Relaxed)
    }

    /// When it will have taken too long over a head, or rested for too long; none while a request is in hand.
    pub fn patience(&self, limits: &ClientLimits) -> Option<Instant> {
        let rest = *self.rest();
        let since = rest.since.filter(|_| !self.is_behind())?;
        let head = self.framing().head_since();
        let kept = kept_rest(rest.announced, limits.idle_timeout);
        Some(head.map_or(since + kept, |head| head + limits.header_timeout))
    }

    /// Whether nothing is in hand, nothing half read, and nothing lies in its socket that hyper has not seen.
    pub fn at_rest(&self) -> bool {
        let idle = self.idle_since().is_some() && !self.is_behind();
        idle && self.framing().head_since().is_none() && !has_unread(&self.stream)
    }

    /// Whether some of an answer could not be written yet.
    pub fn is_behind(&self) -> bool {
        self.behind.load(Ordering::Relaxed)
    }

    /// Ends it by a reset, since an end in order could say that the answer is whole.
    pub fn reset(&self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// The bytes of a client's connection.
pub(crate) struct ClientStream {
    client: Arc<Client>,
    stall: WriteTimeout,
}

impl ClientStream {
    pub fn new(client: Arc<Client>) -> Self {
        ClientStream { client, stall: WriteTimeout::new(UNREAD) }
    }

    fn write(
        &mut self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let written = poll_write(&self.client.stream, cx, write);
        let written = self.stall.check(cx, written);
        let was_behind = self.client.behind.swap(written.is_pending(), Ordering::Relaxed);
        if was_behind && written.is_ready() && self.client.idle_since().is_some() {
            // Its rest begins once it has caught up.
            self.client.answered();
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
                    let came = &buf.initialize_unfilled()[..length];
                    client.framing().feed(came, Instant::now());
                    buf.advance(length);
                    return Poll::Ready(Ok(()));
                }
                Err(wrong) if wrong.kind() == io::ErrorKind::WouldBlock => {}
                Err(wrong) => return Poll::Ready(Err(wrong)),
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
        // All that is written is with the kernel, which holds nothing back.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.client.stream).shutdown(Shutdown::Write))
    }
}
