//! Tracks whether the configuration in force is known to be the newest. A gateway that is cut off from the
//! control plane must not refuse requests based on an old configuration.

use std::time::Duration;

use crate::Now;

/// How long a configuration is trusted after it was last confirmed to be the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessBounds {
    /// Within this time an unknown key or route may be refused permanently, because a newer configuration
    /// need not be in force anywhere yet.
    pub refuse_within: Duration,
    /// Within this time the configured keys are accepted; unlimited if the deployment sets no bound for
    /// revoked keys.
    pub accept_keys_within: Option<Duration>,
}

impl Default for FreshnessBounds {
    fn default() -> Self {
        FreshnessBounds { refuse_within: Duration::from_secs(2), accept_keys_within: None }
    }
}

/// When the configuration in force was last confirmed to be the newest.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Freshness {
    bounds: FreshnessBounds,
    confirmed_at: Option<Now>,
}

impl Freshness {
    /// The state of a process that has received no confirmation.
    pub fn new(bounds: FreshnessBounds) -> Self {
        Freshness { bounds, confirmed_at: None }
    }

    /// Records that the configuration was the newest at `as_of`. Late confirmations do not move the time
    /// back.
    pub fn confirm(&mut self, as_of: Now) {
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }

    /// Whether an unknown key or route may be refused permanently.
    pub fn may_refuse(&self, now: Now) -> bool {
        self.age(now).is_some_and(|age| age <= self.bounds.refuse_within)
    }

    /// Whether a configured key may still be accepted.
    pub fn may_accept_keys(&self, now: Now) -> bool {
        match self.bounds.accept_keys_within {
            Some(within) => self.age(now).is_some_and(|age| age <= within),
            None => true,
        }
    }

    /// Until when a home counts as connected without another confirmation. A process that has just started has as long to
    /// reach one.
    pub fn home_expected_until(&self) -> Now {
        self.confirmed_at.unwrap_or_default() + self.bounds.refuse_within
    }

    fn age(&self, now: Now) -> Option<Duration> {
        self.confirmed_at.map(|as_of| now.saturating_sub(as_of))
    }
}

#[cfg(test)]
#[path = "../tests/unit/freshness.rs"]
mod tests;
