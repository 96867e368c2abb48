//! Process life cycle: serving, or shutting down since the signal.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// How long connections are still accepted after the shutdown signal: the platform checks readiness every
/// second and needs two failures.
pub(crate) const ACCEPT_AFTER_SIGNAL: Duration = Duration::from_millis(3_000);
/// When idle client connections are closed after the shutdown signal.
pub(crate) const CLOSE_IDLE_AFTER_SIGNAL: Duration = Duration::from_millis(2_600);
/// Safety margin before the end of the grace period.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// The state of the life cycle; shutdown begins at most once.
pub(crate) struct Lifecycle {
    shutdown_at: watch::Sender<Option<Instant>>,
    grace: Duration,
}

impl Lifecycle {
    pub fn new(grace: Duration) -> Self {
        Lifecycle { shutdown_at: watch::Sender::new(None), grace }
    }

    /// Handles the shutdown signal; repeated signals have no effect.
    pub fn begin_shutdown(&self) {
        self.shutdown_at.send_if_modified(|shutdown_at| {
            let first = shutdown_at.is_none();
            shutdown_at.get_or_insert_with(Instant::now);
            first
        });
    }

    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_at.borrow().is_some()
    }

    /// Time left until requests in flight are aborted; `None` before the shutdown signal.
    pub fn time_left(&self) -> Option<Duration> {
        let shutdown_at = (*self.shutdown_at.borrow())?;
        Some(
            (shutdown_at + self.grace.saturating_sub(GRACE_MARGIN)).saturating_duration_since(Instant::now()),
        )
    }

    /// Completes `time` after the shutdown signal.
    pub async fn wait_since_shutdown(&self, time: Duration) {
        let mut shutdown_at = self.shutdown_at.subscribe();
        let shutdown_at =
            shutdown_at.wait_for(Option::is_some).await.ok().and_then(|shutdown_at| *shutdown_at);
        match shutdown_at {
            Some(shutdown_at) => sleep_until(shutdown_at + time).await,
            None => std::future::pending().await,
        }
    }

    /// Completes when the process must abort whatever is still in flight.
    pub async fn wait_for_grace_end(&self) {
        self.wait_since_shutdown(self.grace.saturating_sub(GRACE_MARGIN)).await;
    }
}
