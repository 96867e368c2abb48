//! The runtime and the platform's signals.

use std::future::Future;

use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{signal, Signal, SignalKind};

/// A runtime on this thread.
pub fn runtime() -> Result<Runtime, String> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|wrong| format!("SYS-102: no runtime: {wrong}"))
}

/// Ends with SIGTERM.
pub fn terminated() -> Result<impl Future<Output = ()>, String> {
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

/// Hears one kind of signal.
pub fn listen(kind: SignalKind) -> Result<Signal, String> {
    signal(kind).map_err(|wrong| format!("SYS-103: signals can't be heard: {wrong}"))
}
