//! Bounds how long a peer may accept no written bytes.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{sleep, Sleep};

/// Fails a write when the peer accepts nothing for too long.
pub struct WriteTimeout {
    limit: Duration,
    stalled: Option<Pin<Box<Sleep>>>,
}

impl WriteTimeout {
    pub fn new(limit: Duration) -> Self {
        WriteTimeout { limit, stalled: None }
    }

    /// Must be called with the result of each write; turns one that has been pending for too long into an
    /// error.
    pub fn check<T>(&mut self, cx: &mut Context<'_>, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(sleep(self.limit)));
        stalled.as_mut().poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}
