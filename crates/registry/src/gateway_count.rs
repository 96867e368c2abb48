//! The number of gateways, as a gateway is told it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Now;

/// A lower number must be told for this long before it is believed.
const FALL_AFTER: Duration = Duration::from_secs(4);

/// The number of gateways, as a control-plane process counts them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayTotal {
    /// The number of gateways.
    pub count: u32,
    /// Whether the process has been up, and connected, for long enough to know all.
    pub settled: bool,
}

/// The number of gateways that a gateway goes by. Each one's share of a fleet's budget is its inverse, so
/// the number rises at once and falls late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatewayCount {
    count: Option<u32>,
    lower_since: Option<Now>,
}

impl GatewayCount {
    /// Nothing told yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes what a home told.
    pub fn told(&mut self, now: Now, total: GatewayTotal) {
        let known = self.count.unwrap_or(0);
        if total.count >= known && total.count > 0 {
            self.count = Some(total.count);
            self.lower_since = None;
            return;
        }
        if !total.settled {
            self.lower_since = None;
            return;
        }
        let since = *self.lower_since.get_or_insert(now);
        if now.saturating_sub(since) >= FALL_AFTER {
            self.count = Some(total.count.max(1));
            self.lower_since = None;
        }
    }

    /// The number of gateways, this one included; none before any home told it.
    pub fn count(&self) -> Option<u32> {
        self.count
    }
}
