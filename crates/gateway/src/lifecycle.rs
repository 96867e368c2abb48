//! What the process is there for: serving, or ending since the signal.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// How long connections still come after the signal: the platform asks each second and needs two misses.
pub(crate) const STILL_ACCEPTED: Duration = Duration::from_millis(3_000);
/// From here on clients' connections at rest are ended.
pub(crate) const IDLE_ENDED: Duration = Duration::from_millis(2_600);
/// Kept back of the grace.
const MARGIN: Duration = Duration::from_millis(300);

/// The lifecycle, turned once.
pub(crate) struct Lifecycle {
    ending: watch::Sender<Option<Instant>>,
    grace: Duration,
}

impl Lifecycle {
    pub fn new(grace: Duration) -> Self {
        Lifecycle { ending: watch::Sender::new(None), grace }
    }

    /// The signal to end has come.
    pub fn end(&self) {
        self.ending.send_if_modified(|ending| {
            let first = ending.is_none();
            ending.get_or_insert_with(Instant::now);
            first
        });
    }

    pub fn ending(&self) -> bool {
        self.ending.borrow().is_some()
    }

    /// What is left until whatever is in hand is broken off; none before the signal.
    pub fn time_left(&self) -> Option<Duration> {
        let since = (*self.ending.borrow())?;
        Some((since + self.grace.saturating_sub(MARGIN)).saturating_duration_since(Instant::now()))
    }

    /// Comes so long after the signal.
    pub async fn ended_for(&self, time: Duration) {
        let mut ending = self.ending.subscribe();
        let since = ending.wait_for(Option::is_some).await.ok().and_then(|since| *since);
        match since {
            Some(since) => sleep_until(since + time).await,
            None => std::future::pending().await,
        }
    }

    /// Comes when the process must end whatever is still in hand.
    pub async fn grace_over(&self) {
        self.ended_for(self.grace.saturating_sub(MARGIN)).await;
    }
}
