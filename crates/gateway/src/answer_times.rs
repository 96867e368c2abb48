//! How long the answers of each route took lately.
//!
//! A process that shuts down takes requests for a while yet, since clients don't hear of it at once. Whatever is still
//! under way at the end of its grace is broken off. So it takes only what is likely to be done by then, and refuses the
//! rest before anything has run, to be asked for elsewhere.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::outgoing::ClientRequest;
use crate::shared::Shared;
use crate::Now;

/// The longest answer is taken from the present window and the one before.
const WINDOW: Duration = Duration::from_secs(15);
/// An answer is expected to take so many times as long as the longest one lately: load grows while others shut down.
const CAUTION: f64 = 1.5;
/// Routes remembered at a time; beyond them none is known.
const MOST_ROUTES: usize = 4_096;

/// The longest answers of routes in the last windows.
#[derive(Debug, Default)]
pub(crate) struct AnswerTimes {
    routes: HashMap<String, Longest>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Longest {
    /// The number of the present window since the start.
    window: u64,
    present: Duration,
    before: Duration,
}

impl Longest {
    /// What is known of the window of this number and the one before.
    fn at(self, window: u64) -> Longest {
        match window.saturating_sub(self.window) {
            0 => self,
            1 => Longest { window, present: Duration::ZERO, before: self.present },
            _ => Longest { window, ..Longest::default() },
        }
    }

    fn longest(self) -> Duration {
        self.present.max(self.before)
    }
}

fn window_of(now: Now) -> u64 {
    now.as_secs() / WINDOW.as_secs()
}

impl AnswerTimes {
    /// An answer of the route ended, whole or not, so long after its request had come.
    pub fn note(&mut self, now: Now, route: &str, took: Duration) {
        let window = window_of(now);
        if let Some(known) = self.routes.get_mut(route) {
            *known = known.at(window);
            known.present = known.present.max(took);
            return;
        }
        if self.routes.len() >= MOST_ROUTES {
            self.routes.retain(|_, known| !known.at(window).longest().is_zero());
        }
        if self.routes.len() < MOST_ROUTES {
            let longest = Longest { window, present: took, before: Duration::ZERO };
            self.routes.insert(route.to_owned(), longest);
        }
    }

    /// How long an answer of the route is likely to take at most; none where none ended lately.
    pub fn expected(&self, now: Now, route: &str) -> Option<Duration> {
        let longest = self.routes.get(route)?.at(window_of(now)).longest();
        (!longest.is_zero()).then(|| longest.mul_f64(CAUTION))
    }
}

/// Notes how long one request's answer took, once it has ended.
pub(crate) struct AnswerTimer {
    shared: Arc<Shared>,
    request: Arc<ClientRequest>,
}

impl AnswerTimer {
    pub fn new(shared: &Arc<Shared>, request: &Arc<ClientRequest>) -> AnswerTimer {
        AnswerTimer { shared: Arc::clone(shared), request: Arc::clone(request) }
    }
}

impl Drop for AnswerTimer {
    fn drop(&mut self) {
        let took = Instant::now().saturating_duration_since(self.request.arrived);
        let now = self.shared.now();
        self.shared.answer_times().note(now, &self.request.terms.route.name, took);
    }
}

#[cfg(test)]
#[path = "../tests/unit/answer_times.rs"]
mod tests;
