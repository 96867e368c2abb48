//! The budget of requests sent to a second backend. Local: no partition can break it.
//!
//! In any window a gateway repeats at most a fixed part of its own requests in that window, and a share of
//! the fleet's slack. Summed over all gateways this keeps the rule, whoever is cut off.

use std::time::Duration;

use crate::Now;

const BINS: usize = 20;
/// The part of the allowed ratio that is used.
const RATIO_PART: f64 = 0.75;
/// The part of the allowed slack that is used.
const SLACK_PART: f64 = 0.8;
/// The part of its share that a process uses in its first window: its predecessor may have used the whole.
const RESTART_PART: f64 = 0.25;

/// The rule's figures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, over all gateways.
    pub slack: f64,
    /// The window over which both are counted.
    pub window: Duration,
}

/// The budget of one service at one gateway.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    gateways: u32,
    requests: [u32; BINS],
    repeats: [u32; BINS],
    newest: u64,
}

impl RetryBudget {
    /// A budget of a gateway that is one of `gateways`.
    pub fn new(settings: RetryBudgetSettings, gateways: u32) -> Self {
        let gateways = gateways.max(1);
        Self { settings, gateways, requests: [0; BINS], repeats: [0; BINS], newest: 0 }
    }

    /// Sets the number of gateways that share the slack.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways.max(1);
    }

    /// A request for the service came in.
    pub fn deposit(&mut self, now: Now) {
        self.advance(now);
        let bin = &mut self.requests[self.newest as usize % BINS];
        *bin = bin.saturating_add(1);
    }

    /// A request is to be sent to a second backend; whether it may.
    pub fn take(&mut self, now: Now) -> bool {
        if self.left(now) < 1.0 {
            return false;
        }
        let bin = &mut self.repeats[self.newest as usize % BINS];
        *bin = bin.saturating_add(1);
        true
    }

    /// How many more requests may be repeated by now.
    pub fn left(&mut self, now: Now) -> f64 {
        self.advance(now);
        let requests: u32 = self.requests.iter().sum();
        let repeats: u32 = self.repeats.iter().sum();
        let share = self.settings.slack * SLACK_PART / f64::from(self.gateways);
        let first_window = now < self.settings.window;
        let share = if first_window { share * RESTART_PART } else { share };
        f64::from(requests) * self.settings.ratio * RATIO_PART + share - f64::from(repeats)
    }

    fn advance(&mut self, now: Now) {
        let width = (self.settings.window.as_nanos() / (BINS as u128 - 1)).max(1);
        let bin = u64::try_from(now.as_nanos() / width).unwrap_or(u64::MAX);
        if bin >= self.newest + BINS as u64 {
            self.requests = [0; BINS];
            self.repeats = [0; BINS];
            self.newest = bin;
        }
        while self.newest < bin {
            self.newest += 1;
            self.requests[self.newest as usize % BINS] = 0;
            self.repeats[self.newest as usize % BINS] = 0;
        }
    }
}
