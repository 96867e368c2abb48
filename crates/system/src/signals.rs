//! The runtime and the platform's signals.

use std::future::Future;

use snafu::ResultExt;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{signal, Signal, SignalKind};

use crate::error::{RuntimeSnafu, SignalsSnafu, SystemError};

/// A runtime on this thread.
///
/// # Errors
/// The system gives no descriptors for it (SYS-102).
pub fn runtime() -> Result<Runtime, SystemError> {
    Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)
}

/// A future that ends with SIGTERM. SIGHUP, which ends a process by default, is ignored: files are watched instead.
///
/// # Errors
/// The handlers can't be installed (SYS-103).
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

/// A stream of one kind of signal.
fn listen(kind: SignalKind) -> Result<Signal, SystemError> {
    signal(kind).context(SignalsSnafu)
}
