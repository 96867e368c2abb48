//! How old the configuration of a home may be, by the gateway's clock.

use std::time::Duration;

use crate::Now;

/// A home whose configuration is at most this old is fresh.
pub(super) const MAX_FRESH_AGE: Duration = Duration::from_millis(600);

/// The age of a home's configuration as of its last answer. The age is stored, not the time that the
/// configuration dates from: that time may be before the start of this process, and so before its clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConfigurationFreshness {
    answered_at: Now,
    age_at_answer: Option<Duration>,
}

impl ConfigurationFreshness {
    /// The freshness that an answer received at `now` states.
    pub fn new(now: Now, age: Option<Duration>) -> Self {
        Self { answered_at: now, age_at_answer: age }
    }

    /// When the home last answered.
    pub fn answered_at(&self) -> Now {
        self.answered_at
    }

    /// The greatest age that the configuration may have at `now`; the greatest possible if the home could not tell.
    pub fn age(&self, now: Now) -> Duration {
        self.age_at_answer.map_or(Duration::MAX, |age| age + now.saturating_sub(self.answered_at))
    }

    /// Whether the configuration is at most [`MAX_FRESH_AGE`] old.
    pub fn is_fresh(&self, now: Now) -> bool {
        self.age(now) <= MAX_FRESH_AGE
    }

    /// Until when the configuration counts as fresh; `None` if its age is not known.
    pub fn fresh_until(&self) -> Option<Now> {
        self.age_at_answer.map(|age| (self.answered_at + MAX_FRESH_AGE).saturating_sub(age))
    }
}
