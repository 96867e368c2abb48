//! The byte stream of a backend connection as driven by hyper. It is checked before reuse, and records
//! whether any byte of the current request has been written.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use crankpick_http::write_timeout::WriteTimeout;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// How long a backend may read nothing of a request.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(4);

/// State of a connection, shared by its stream and the sender of requests.
#[derive(Debug, Default)]
pub(crate) struct LinkState {
    /// Whether a byte of the current request has been written.
    request_started: AtomicBool,
    /// Whether the connection has carried an earlier request.
    reused: AtomicBool,
}

impl LinkState {
    /// Assigns a new request to an idle connection.
    pub fn begin_reuse(&self) {
        self.request_started.store(false, Ordering::Relaxed);
        self.reused.store(true, Ordering::Relaxed);
    }

    /// Whether a byte of the current request has been written. If not, it cannot have been executed.
    pub fn request_started(&self) -> bool {
        self.request_started.load(Ordering::Relaxed)
    }

    /// Whether the connection has carried an earlier request.
    pub fn is_reused(&self) -> bool {
        self.reused.load(Ordering::Relaxed)
    }
}

/// The byte stream of a backend connection.
pub(crate) struct BackendStream {
    stream: TcpStream,
    stall: WriteTimeout,
    link: Arc<LinkState>,
}

impl BackendStream {
    pub fn new(stream: TcpStream, link: Arc<LinkState>) -> Self {
        BackendStream { stream, stall: WriteTimeout::new(WRITE_STALL_TIMEOUT), link }
    }

    /// Checks a reused connection before the first byte of a request: leftover data after the previous
    /// response would be taken for this one, and a connection closed by the peer accepts no request.
    fn check_before_reuse(&self) -> io::Result<()> {
        if self.link.request_started() || !self.link.is_reused() {
            return Ok(());
        }
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            _ => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }

    fn record_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.link.request_started.store(true, Ordering::Relaxed);
        }
        self.stall.check(cx, written)
    }
}

impl AsyncRead for BackendStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for BackendStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.check_before_reuse()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_before_reuse()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
