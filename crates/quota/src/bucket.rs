//! A token bucket, filled at a rate up to a depth. Credits may raise it above the depth.

use std::time::Duration;

use crate::Now;

/// How long a bucket may stay above its depth after a credit.
const SURPLUS_DURATION: Duration = Duration::from_secs(1);

/// A token bucket. Overflow is counted, to be returned to the source of the lease.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    level: f64,
    overflow: f64,
    filled_at: Now,
    credited_at: Now,
}

impl Bucket {
    /// Creates an empty bucket.
    pub fn new(now: Now) -> Self {
        Self { level: 0.0, overflow: 0.0, filled_at: now, credited_at: now }
    }

    /// The level, in units; negative if it is in debt.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// The time up to which the bucket has been filled.
    pub fn filled_at(&self) -> Now {
        self.filled_at
    }

    /// Fills the bucket up to the time `until`, at `rate` units per second, but not above the level `depth`.
    pub fn fill(&mut self, until: Now, rate: f64, depth: f64) {
        let elapsed = until.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(until);
        let accrued = rate * elapsed;
        let added = (depth - self.level).clamp(0.0, accrued);
        self.level += added;
        self.overflow += accrued - added;
        if self.level > depth && self.filled_at.saturating_sub(self.credited_at) >= SURPLUS_DURATION {
            self.overflow += self.level - depth;
            self.level = depth;
        }
    }

    /// Limits the level to `depth`. The excess is lost.
    pub fn truncate(&mut self, depth: f64) {
        self.level = self.level.min(depth);
    }

    /// Adds `amount` units, even above the depth.
    pub fn pay(&mut self, now: Now, amount: f64) {
        if amount > 0.0 {
            self.level += amount;
            self.credited_at = now;
        }
    }

    /// Removes `amount` units, even below zero.
    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Counts `amount` units that were not paid into the bucket as overflow.
    pub fn add_overflow(&mut self, amount: f64) {
        self.overflow += amount;
    }

    /// Returns the overflow since the last call, in units, and resets it.
    pub fn take_overflow(&mut self) -> f64 {
        std::mem::take(&mut self.overflow)
    }
}
