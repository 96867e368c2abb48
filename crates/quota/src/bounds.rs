//! The limit of a tenant, and the division of the margin above it.

use std::time::Duration;

use crate::Now;

/// The fraction of the margin that is leased as additional rate.
const RATE_FRACTION: f64 = 0.10;
/// The fraction of the margin that is added to the depth of buckets.
const BURST_FRACTION: f64 = 0.25;
/// The fraction of the margin by which buckets may go into debt. It counts twice, since a process loses
/// its debt when it restarts.
const DEBT_FRACTION: f64 = 0.15;
/// The fraction of the margin for gateways without a lease. The rest covers leases of a lost owner.
const FLOOR_FRACTION: f64 = 0.10;

/// How far the sum over all gateways may exceed a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// The window over which the sum is taken.
    pub window: Duration,
    /// The fraction of rate x window + burst by which the sum may exceed it.
    pub over: f64,
    /// The absolute amount by which the sum may exceed it in addition, in units.
    pub slack: f64,
}

/// The limit of a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Units per second.
    pub rate: f64,
    /// Additional units in any window.
    pub burst: f64,
}

/// The total that an allocator may lease.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Total {
    /// Units per second.
    pub rate: f64,
    /// The sum of the depths of all buckets, its own pool included, in units.
    pub burst: f64,
    /// The sum of all debts, in units.
    pub debt: f64,
    /// When the total expires.
    pub valid_until: Now,
}

impl QuotaBounds {
    /// The maximum sum over one window, in units.
    pub fn max_per_window(&self, limit: QuotaLimit) -> f64 {
        self.limit_per_window(limit) + self.margin(limit)
    }

    /// The total that the owner may lease until `valid_until`.
    pub fn total(&self, limit: QuotaLimit, valid_until: Now) -> Total {
        let margin = self.margin(limit);
        Total {
            rate: limit.rate + margin * RATE_FRACTION / self.window.as_secs_f64(),
            burst: limit.burst + margin * BURST_FRACTION,
            debt: margin * DEBT_FRACTION,
            valid_until,
        }
    }

    /// The rate of a gateway without a lease, one of `gateways`, in units per second.
    pub(crate) fn floor_rate(&self, limit: QuotaLimit, gateways: u32) -> f64 {
        self.margin(limit) * FLOOR_FRACTION / self.window.as_secs_f64() / f64::from(gateways.max(1))
    }

    /// The sum that the limit itself allows over one window, in units.
    fn limit_per_window(&self, limit: QuotaLimit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }

    /// By how much the sum over one window may exceed the limit, in units.
    fn margin(&self, limit: QuotaLimit) -> f64 {
        self.limit_per_window(limit) * self.over + self.slack
    }
}
