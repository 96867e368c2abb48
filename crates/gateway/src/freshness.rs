//! Whether the configuration in force is known to be the newest: a gateway that is cut off must not refuse by an old one.

use std::time::Duration;

use crate::Now;

/// How long a configuration is relied on after it was last known to be the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessBounds {
    /// For as long, what it does not hold may be refused for good: a newer one need not be in force anywhere yet.
    pub refuse_within: Duration,
    /// For as long, its keys are accepted; without a bound where the deployment sets none on withdrawn keys.
    pub accept_keys_within: Option<Duration>,
}

impl Default for FreshnessBounds {
    fn default() -> Self {
        FreshnessBounds { refuse_within: Duration::from_secs(2), accept_keys_within: None }
    }
}

/// When the configuration in force was last known to be the newest.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Freshness {
    bounds: FreshnessBounds,
    confirmed_at: Option<Now>,
}

impl Freshness {
    /// Of a process that nobody has told anything.
    pub fn new(bounds: FreshnessBounds) -> Self {
        Freshness { bounds, confirmed_at: None }
    }

    /// It was the newest at that time. Words that come late don't take back what is known since.
    pub fn confirm(&mut self, as_of: Now) {
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }

    /// Whether an unknown key or route may be refused for good.
    pub fn may_refuse(&self, now: Now) -> bool {
        self.age(now).is_some_and(|age| age <= self.bounds.refuse_within)
    }

    /// Whether a key that it holds may still be accepted.
    pub fn may_accept_keys(&self, now: Now) -> bool {
        match self.bounds.accept_keys_within {
            Some(within) => self.age(now).is_some_and(|age| age <= within),
            None => true,
        }
    }

    fn age(&self, now: Now) -> Option<Duration> {
        self.confirmed_at.map(|as_of| now.saturating_sub(as_of))
    }
}

#[cfg(test)]
#[path = "../tests/unit/freshness.rs"]
mod tests;
