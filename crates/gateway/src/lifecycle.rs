//! What the process is there for: serving, or ending since the signal.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// How long connections still come after the signal: the platform asks each second and needs two misses.
pub(crate) const ACCEPT_AFTER_SIGNAL: Duration = Duration::from_millis(3_000);
/// From here on clients' connections at rest are ended.
pub(crate) const CLOSE_IDLE_AFTER_SIGNAL: Duration = Duration::from_millis(2_600);
/// Kept back of the grace.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// The lifecycle, turned once.
pub(crate) struct Lifecycle {
    shutdown_at: watch::Sender<Option<Instant>>,
    grace: Duration,
}

impl Lifecycle {
    pub fn new(grace: Duration) -> Self {
        Lifecycle { shutdown_at: watch::Sender::new(None), grace }
    }

    /// The signal to end has come.
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

    /// What is left until whatever is in hand is broken off; none before the signal.
    pub fn time_left(&self) -> Option<Duration> {
        let shutdown_at = (*self.shutdown_at.borrow())?;
        Some(
            (shutdown_at + self.grace.saturating_sub(GRACE_MARGIN)).saturating_duration_since(Instant::now()),
        )
    }

    /// Comes so long after the signal.
    pub async fn wait_since_shutdown(&self, time: Duration) {
        let mut shutdown_at = self.shutdown_at.subscribe();
        let shutdown_at =
            shutdown_at.wait_for(Option::is_some).await.ok().and_then(|shutdown_at| *shutdown_at);
        match shutdown_at {
            Some(shutdown_at) => sleep_until(shutdown_at + time).await,
            None => std::future::pending().await,
        }
    }

    /// Comes when the process must end whatever is still in hand.
    pub async fn wait_for_grace_end(&self) {
        self.wait_since_shutdown(self.grace.saturating_sub(GRACE_MARGIN)).await;
    }
}
