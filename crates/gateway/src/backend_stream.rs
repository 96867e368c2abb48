//! A connection to a backend as hyper drives it: looked into before it is used again, and known to have
//! carried a byte of the request in hand or not.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use crankpick_http::stall::Stall;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// How long a backend may take nothing of a request.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(4);

/// What is known of one connection, shared by the wire and whoever sends on it.
#[derive(Debug, Default)]
pub(crate) struct LinkState {
    /// Whether a byte of the request in hand was written.
    request_started: AtomicBool,
    /// Whether it has carried a request before.
    reused: AtomicBool,
}

impl LinkState {
    /// A request is handed to a connection that has rested.
    pub fn begin_reuse(&self) {
        self.request_started.store(false, Ordering::Relaxed);
        self.reused.store(true, Ordering::Relaxed);
    }

    /// Whether a byte of the request in hand was written: if not, nothing can have run.
    pub fn request_started(&self) -> bool {
        self.request_started.load(Ordering::Relaxed)
    }

    /// Whether it has carried a request before.
    pub fn is_reused(&self) -> bool {
        self.reused.load(Ordering::Relaxed)
    }
}

/// A connection to a backend.
pub(crate) struct BackendStream {
    stream: TcpStream,
    stall: Stall,
    link: Arc<LinkState>,
}

impl BackendStream {
    pub fn new(stream: TcpStream, link: Arc<LinkState>) -> Self {
        BackendStream { stream, stall: Stall::new(WRITE_STALL_TIMEOUT), link }
    }

    /// Before a request's first byte on a kept connection: whatever came behind the last answer would pass for
    /// this one's, and what the other side has closed takes no more.
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
        self.stall.wrote(cx, written)
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
