//! Detects that this process was frozen: it missed what was sent to it, and must not count that against the senders.

use std::time::Duration;

use crate::Now;

/// Watches the time between the calls of the host, which come at least at each tick.
#[derive(Clone, Debug)]
pub(crate) struct FreezeDetector {
    threshold: Duration,
    last_call_at: Now,
}

impl FreezeDetector {
    /// A pause between two calls that is longer than `threshold` counts as a freeze.
    pub fn new(now: Now, threshold: Duration) -> Self {
        Self { threshold, last_call_at: now }
    }

    /// Records a call. Returns the pause since the last one if this process may have been frozen in it.
    pub fn record_call(&mut self, now: Now) -> Option<Duration> {
        let pause = now.saturating_sub(self.last_call_at);
        self.last_call_at = self.last_call_at.max(now);
        (pause > self.threshold).then_some(pause)
    }
}
