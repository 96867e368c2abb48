//! The timing of a replica's requests for the committed entries that it lacks.

use std::time::Duration;

use crate::options::transfer_time;
use crate::types::Now;

/// The time before an unanswered request for a small state is repeated; doubled each time.
const INITIAL_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// The longest time before an unanswered request for a small state is repeated.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(2_400);

/// The request in flight, if there is one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CatchUpRequest {
    sent_at: Option<Now>,
    retry_interval: Duration,
}

impl CatchUpRequest {
    /// Whether a request may be sent now.
    pub(crate) fn is_due(&self, now: Now) -> bool {
        self.sent_at.is_none_or(|at| now >= at + self.retry_interval)
    }

    /// Takes note that a request is sent whose answer holds about so many bytes.
    pub(crate) fn record_sent(&mut self, now: Now, bytes: usize) {
        let is_retry = self.sent_at.is_some();
        let doubled = (self.retry_interval * 2).min(MAX_RETRY_INTERVAL);
        let interval = if is_retry { doubled } else { INITIAL_RETRY_INTERVAL };
        self.retry_interval = interval.max(INITIAL_RETRY_INTERVAL + transfer_time(bytes));
        self.sent_at = Some(now);
    }

    /// The last request is answered, or no answer is expected any more: the next one may be sent at once.
    pub(crate) fn reset(&mut self) {
        *self = CatchUpRequest::default();
    }
}
