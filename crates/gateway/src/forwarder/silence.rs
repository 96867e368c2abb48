//! When a request moves from a silent backend to another one.
//!
//! Silence alone tells little: a long prompt on the same backend delays other streams, and a request that moves has its
//! prompt processed again. So a request stays as long as another backend can still answer before the client gives up.
//! It moves earlier if its backend is overdue and has also stopped its heartbeats, or is gone: nothing more will come.

use crankpick_dispatch::{BackendState, Target};
use tokio::time::{sleep, timeout, timeout_at, Instant};

use super::Forwarder;

impl Forwarder {
    /// Completes with another backend when the request has to move there from this one, which has been silent since
    /// `since`. Until one may be used, it is looked for whenever backends are published, and in intervals in which their
    /// load changes by a request like this one.
    pub async fn wait_for_alternative(&self, silent: &Target, since: Instant) -> Target {
        sleep(silent.expected.first_event.saturating_sub(since.elapsed())).await;
        let wait = self.shared.backend_queue.enter(self.request.policy.priority(), self.shared.now());
        loop {
            let now = Instant::now();
            let look_interval = self.expected_time().first_event;
            // The last look that is early enough.
            let last_look_at = self.latest_start().checked_sub(look_interval).unwrap_or(now);
            if self.is_heard_of(silent) && now < last_look_at {
                let _ = timeout_at(last_look_at, wait.woken()).await;
                continue;
            }
            if let Some(target) = self.alternative_to(silent) {
                return target;
            }
            let _ = timeout(look_interval, wait.woken()).await;
        }
    }

    /// Whether the backend still sends heartbeats, according to the registry.
    fn is_heard_of(&self, target: &Target) -> bool {
        let state = self.shared.dispatcher().backend_state(&target.id);
        matches!(state, Some(BackendState::Ready | BackendState::Draining))
    }
}
