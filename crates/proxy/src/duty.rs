//! What a process is there for: serving, drained or ending. Turned by `admin` and `main`; `front`, `query` and
//! the fleet's part follow it.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// Connections go on coming for up to 0.4 s after the signal to end; idle ones end then too.
pub const LATE: Duration = Duration::from_millis(650);
/// After a drain begins idle connections end: by then most have ended by an answer, and few requests cross.
const DRAINED: Duration = Duration::from_millis(1_300);
/// What is opened later still asks at once.
const OPENED: Duration = Duration::from_millis(250);

/// What the process is there for, and since when no longer.
#[derive(Clone, Copy, Debug)]
pub enum Duty {
    Serving,
    Drained(Instant),
    Ending(Instant),
}

impl Duty {
    pub fn ready(&self) -> Result<(), String> {
        match self {
            Duty::Serving => Ok(()),
            Duty::Drained(_) => Err("drained".into()),
            Duty::Ending(_) => Err("ending".into()),
        }
    }

    /// Comes once the process is ending and nothing more may come whole: the kill may follow before its answer.
    pub async fn too_late(mut duty: watch::Receiver<Duty>) {
        let ending = duty.wait_for(|duty| matches!(duty, Duty::Ending(_))).await.map(|duty| *duty);
        match ending {
            Ok(Duty::Ending(since)) => sleep_until(since + LATE).await,
            _ => std::future::pending().await,
        }
    }

    /// When a client's connection that was opened then is to end, with the code for it.
    pub fn leave(&self, opened: Instant) -> Option<(Instant, &'static str)> {
        match self {
            Duty::Serving => None,
            Duty::Drained(since) => Some(((*since + DRAINED).max(opened + OPENED), "drained")),
            Duty::Ending(since) => Some(((*since + LATE).max(opened + OPENED), "stopping")),
        }
    }
}
