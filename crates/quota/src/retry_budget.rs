//! The budget for retries, which send a request to a second backend.
//!
//! In any window a gateway retries at most a fixed fraction of its own requests in that window, plus a share
//! of the slack of the fleet. It decides locally, so the sum over all gateways stays within the limit during
//! a network partition too.

use std::time::Duration;

use crate::bin_ring::BinRing;
use crate::Now;

/// The number of bins that the window is divided into.
const BINS: usize = 20;
/// The fraction of the allowed ratio that is used.
const RATIO_FRACTION: f64 = 0.75;
/// The fraction of the allowed slack that is used.
const SLACK_FRACTION: f64 = 0.8;
/// The fraction of its share that a process uses in its first window, since the process before it may have
/// used all of it.
const FIRST_WINDOW_FRACTION: f64 = 0.25;

/// The limit on retries over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed in each window, over all gateways.
    pub slack: f64,
    /// The window over which requests and retries are counted.
    pub window: Duration,
}

/// The requests and retries counted in one bin.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: u32,
    retries: u32,
}

/// The retry budget of one service at one gateway.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    gateways: u32,
    counts: BinRing<Counts, BINS>,
}

impl RetryBudget {
    /// Creates the budget for one of `gateways` gateways.
    pub fn new(settings: RetryBudgetSettings, gateways: u32) -> Self {
        let gateways = gateways.max(1);
        Self { settings, gateways, counts: BinRing::default() }
    }

    /// Sets the number of gateways that share the slack.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways.max(1);
    }

    /// Records a request for the service.
    pub fn deposit(&mut self, now: Now) {
        self.advance(now);
        let counts = self.counts.newest_mut();
        counts.requests = counts.requests.saturating_add(1);
    }

    /// Takes one retry from the budget; returns whether one was available.
    pub fn take(&mut self, now: Now) -> bool {
        if self.available(now) < 1.0 {
            return false;
        }
        let counts = self.counts.newest_mut();
        counts.retries = counts.retries.saturating_add(1);
        true
    }

    /// The number of retries left at `now`; may be fractional or negative.
    pub fn available(&mut self, now: Now) -> f64 {
        self.advance(now);
        let requests: u32 = self.counts.newest(BINS).map(|counts| counts.requests).sum();
        let retries: u32 = self.counts.newest(BINS).map(|counts| counts.retries).sum();
        let share = self.settings.slack * SLACK_FRACTION / f64::from(self.gateways);
        let first_window = now < self.settings.window;
        let share = if first_window { share * FIRST_WINDOW_FRACTION } else { share };
        f64::from(requests) * self.settings.ratio * RATIO_FRACTION + share - f64::from(retries)
    }

    /// Advances to the bin of `now`.
    fn advance(&mut self, now: Now) {
        let width = (self.settings.window.as_nanos() / (BINS as u128 - 1)).max(1);
        self.counts.advance_to(u64::try_from(now.as_nanos() / width).unwrap_or(u64::MAX));
    }
}
