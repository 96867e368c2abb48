//! Bounds how long a peer may take nothing of what is written to it.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{sleep, Sleep};

/// Ends a connection of which the other side takes nothing for too long.
pub struct Stall {
    most: Duration,
    stalled: Option<Pin<Box<Sleep>>>,
}

impl Stall {
    pub fn new(most: Duration) -> Self {
        Stall { most, stalled: None }
    }

    /// To be handed what each write came to; turns one that pends for too long into an error.
    pub fn wrote<T>(&mut self, cx: &mut Context<'_>, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(sleep(self.most)));
        stalled.as_mut().poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}
