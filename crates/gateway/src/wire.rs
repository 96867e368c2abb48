//! A connection to a backend as hyper drives it: looked into before it is used again, and known to have
//! carried a byte of the request in hand or not.

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

/// How long a backend may take nothing of a request.
const UNREAD: Duration = Duration::from_secs(4);

/// What is known of one connection, shared by the wire and whoever sends on it.
#[derive(Debug, Default)]
pub(crate) struct Link {
    /// Whether a byte of the request in hand was written.
    began: AtomicBool,
    /// Whether it has carried a request before.
    kept: AtomicBool,
}

impl Link {
    /// A request is handed to a connection that has rested.
    pub fn take_up(&self) {
        self.began.store(false, Ordering::Relaxed);
        self.kept.store(true, Ordering::Relaxed);
    }

    /// Whether a byte of the request in hand was written: if not, nothing can have run.
    pub fn began(&self) -> bool {
        self.began.load(Ordering::Relaxed)
    }

    /// Whether it has carried a request before.
    pub fn kept(&self) -> bool {
        self.kept.load(Ordering::Relaxed)
    }
}

/// A connection to a backend.
pub(crate) struct Wire {
    stream: TcpStream,
    stall: WriteTimeout,
    link: Arc<Link>,
}

impl Wire {
    pub fn new(stream: TcpStream, link: Arc<Link>) -> Self {
        Wire { stream, stall: WriteTimeout::new(UNREAD), link }
    }

    /// Before a request's first byte on a kept connection: whatever came behind the last answer would pass for
    /// this one's, and what the other side has closed takes no more.
    fn look_into(&self) -> io::Result<()> {
        if self.link.began() || !self.link.kept() {
            return Ok(());
        }
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(wrong) if wrong.kind() == io::ErrorKind::WouldBlock => Ok(()),
            _ => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }

    fn wrote(&mut self, cx: &mut Context<'_>, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.link.began.store(true, Ordering::Relaxed);
        }
        self.stall.check(cx, written)
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Wire {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.look_into()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.wrote(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.look_into()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.wrote(cx, written)
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
