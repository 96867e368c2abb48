//! The asynchronous runtime and signal handling.

use std::future::Future;

use snafu::ResultExt;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{signal, Signal, SignalKind};

use crate::error::{RuntimeSnafu, SignalsSnafu, SystemError};

/// Creates a single-threaded runtime.
///
/// # Errors
///
/// If no file descriptors are available for it (SYS-102).
pub fn runtime() -> Result<Runtime, SystemError> {
    Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)
}

/// Returns a future that completes on SIGTERM. SIGHUP, which terminates a process by default, is ignored, since changed
/// files are detected by polling.
///
/// # Errors
///
/// If the handlers can't be installed (SYS-103).
pub fn terminated() -> Result<impl Future<Output = ()>, SystemError> {
    let mut terminate = listen(SignalKind::terminate())?;
    let mut hangup = listen(SignalKind::hangup())?;
    Ok(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => return,
                _ = hangup.recv() => {}
            }
        }
    })
}

/// Creates a stream of signals of one kind.
fn listen(kind: SignalKind) -> Result<Signal, SystemError> {
    signal(kind).context(SignalsSnafu)
}
