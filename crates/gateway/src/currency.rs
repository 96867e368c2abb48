//! Whether the configuration in force is known to be the newest: a gateway that is cut off must not refuse by an old one.

use std::time::Duration;

use crate::Now;

/// How long a configuration is relied on after it was last known to be the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CurrencyBounds {
    /// For as long, what it does not hold may be refused for good: a newer one need not be in force anywhere yet.
    pub refuse_within: Duration,
    /// For as long, its keys are accepted; without a bound where the deployment sets none on withdrawn keys.
    pub accept_keys_within: Option<Duration>,
}

impl Default for CurrencyBounds {
    fn default() -> Self {
        CurrencyBounds { refuse_within: Duration::from_secs(2), accept_keys_within: None }
    }
}

/// When the configuration in force was last known to be the newest.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Currency {
    bounds: CurrencyBounds,
    newest_as_of: Option<Now>,
}

impl Currency {
    /// Of a process that nobody has told anything.
    pub fn new(bounds: CurrencyBounds) -> Self {
        Currency { bounds, newest_as_of: None }
    }

    /// It was the newest at that time. Words that come late don't take back what is known since.
    pub fn confirmed(&mut self, as_of: Now) {
        self.newest_as_of = self.newest_as_of.max(Some(as_of));
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
        self.newest_as_of.map(|as_of| now.saturating_sub(as_of))
    }
}

#[cfg(test)]
#[path = "../tests/unit/currency.rs"]
mod tests;
