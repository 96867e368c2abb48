//! The number of gateways, as a gateway learns it from its homes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Now;

/// A lower number is adopted only after it has been received for this long.
const DECREASE_DELAY: Duration = Duration::from_secs(4);

/// The number of gateways, as a control-plane process counts them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayTotal {
    /// The number of gateways.
    pub count: u32,
    /// Whether the process has been running and connected for long enough to know all gateways.
    pub states_absence: bool,
}

/// The number of gateways by which a gateway divides fleet-wide budgets. It rises at once and falls late,
/// since a number that is too low would let all gateways together exceed the budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatewayCount {
    count: Option<u32>,
    lower_since: Option<Now>,
}

impl GatewayCount {
    /// A count without any number yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the number that a home has sent.
    pub fn update(&mut self, now: Now, total: GatewayTotal) {
        let known = self.count.unwrap_or(0);
        if total.count >= known && total.count > 0 {
            self.count = Some(total.count);
            self.lower_since = None;
            return;
        }
        if !total.states_absence {
            self.lower_since = None;
            return;
        }
        let since = *self.lower_since.get_or_insert(now);
        if now.saturating_sub(since) >= DECREASE_DELAY {
            self.count = Some(total.count.max(1));
            self.lower_since = None;
        }
    }

    /// The number of gateways, this one included; `None` before any home has sent one.
    pub fn count(&self) -> Option<u32> {
        self.count
    }
}
