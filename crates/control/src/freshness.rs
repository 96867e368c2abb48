//! The latest moment as of which this process surely knows all that was acknowledged.

use crate::types::Now;

/// The latest moment as of which this process surely knows all that was acknowledged, by its own steady clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct Freshness {
    confirmed: Option<Now>,
}

impl Freshness {
    /// That moment, if one is known.
    pub(crate) fn confirmed(&self) -> Option<Now> {
        self.confirmed
    }

    /// Takes note of a moment; earlier ones than the latest change nothing.
    pub(crate) fn confirm(&mut self, at: Now) {
        self.confirmed = self.confirmed.max(Some(at));
    }
}
