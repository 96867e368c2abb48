//! The one clock of a run: all observers live in one process, so their moments can be compared.

use std::fmt;
use std::time::{Duration, Instant};

/// A moment of a run, in microseconds since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(u64);

impl Moment {
    /// A moment so many milliseconds after the start.
    pub fn from_millis(milliseconds: u64) -> Self {
        Moment(milliseconds * 1_000)
    }

    /// The time since an earlier moment; zero if that one is later.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The moment so much later.
    pub fn plus(self, time: Duration) -> Moment {
        Moment(self.0 + time.as_micros() as u64)
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:.3}s", self.0 as f64 / 1e6)
    }
}

/// Tells the moments of one run.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock { start: Instant::now() }
    }

    /// The moment that it is.
    pub fn now(&self) -> Moment {
        Moment(self.start.elapsed().as_micros() as u64)
    }

    /// Sleeps until a moment.
    pub async fn sleep_until(&self, moment: Moment) {
        let deadline = self.start + Duration::from_micros(moment.0);
        tokio::time::sleep_until(deadline.into()).await;
    }
}
