//! What a tenant may take, and how the margin of the rule is divided.

use std::time::Duration;

use crate::Now;

/// The part of the margin that is lent out as additional rate.
const RATE_PART: f64 = 0.10;
/// The part of the margin that deepens buckets.
const BURST_PART: f64 = 0.25;
/// The part of the margin that buckets may go into debt by. It counts twice: a process that restarts has
/// forgotten its debt.
const DEBT_PART: f64 = 0.15;
/// The part of the margin for gateways without a lease. The rest is for what a lost owner had lent.
const FLOOR_PART: f64 = 0.10;

/// How strictly the sum over all gateways is judged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// The window over which the sum is taken.
    pub window: Duration,
    /// The part by which the sum may exceed rate x window + burst.
    pub over: f64,
    /// What the sum may exceed that by.
    pub slack: f64,
}

/// What a tenant may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Units a second.
    pub rate: f64,
    /// Units above that.
    pub burst: f64,
}

/// What an allocator may lend.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Total {
    /// Units a second.
    pub rate: f64,
    /// The sum of the depths of all buckets, its own included.
    pub burst: f64,
    /// The sum of all debts.
    pub debt: f64,
    /// When this ends.
    pub valid_until: Now,
}

impl QuotaBounds {
    /// The most that may be taken in one window.
    pub fn most(&self, limit: QuotaLimit) -> f64 {
        self.plain(limit) + self.margin(limit)
    }

    /// What the owner may lend until `valid_until`.
    pub fn total(&self, limit: QuotaLimit, valid_until: Now) -> Total {
        let margin = self.margin(limit);
        Total {
            rate: limit.rate + margin * RATE_PART / self.window.as_secs_f64(),
            burst: limit.burst + margin * BURST_PART,
            debt: margin * DEBT_PART,
            valid_until,
        }
    }

    /// The rate of a gateway without a lease, one of `gateways`.
    pub(crate) fn floor_rate(&self, limit: QuotaLimit, gateways: u32) -> f64 {
        self.margin(limit) * FLOOR_PART / self.window.as_secs_f64() / f64::from(gateways.max(1))
    }

    fn plain(&self, limit: QuotaLimit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }

    fn margin(&self, limit: QuotaLimit) -> f64 {
        self.plain(limit) * self.over + self.slack
    }
}
